package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/quarantine"
)

// Digests of prompt parts.
const (
	sharedPart  uint64 = 100
	harmfulPart uint64 = 200
	soundPart   uint64 = 201
)

// partReport returns the report that a request with a prompt part had not begun at the i-th crash.
func partReport(i int, part uint64, position int, caller uint64) fleet.CrashReport {
	return fleet.CrashReport{
		Request: fleet.Fingerprint{Content: part, Caller: caller}, Endpoint: fleet.EndpointID(fmt.Sprint("e", i)), PromptPart: position,
	}
}

// contentReport returns the report that a content ran at the i-th crash.
func contentReport(i int, content uint64) fleet.CrashReport {
	return fleet.CrashReport{Request: requestsBy(client, content)[0], Endpoint: fleet.EndpointID(fmt.Sprint("e", i))}
}

// partCrash is what ran at one crash: its prompts, each with the first part, and contents. at is in milliseconds after
// the start.
type partCrash struct {
	at       int
	seconds  []uint64
	contents []uint64
}

// partVerdicts returns the prompt parts that are to be blocked by the time until, and the contents.
func partVerdicts(l *quarantine.CrashLog, crashes []partCrash, until int) (parts, contents []uint64) {
	for t := 0; t <= until; t += 20 {
		now := start().Add(ms(t))
		for i, c := range crashes {
			if c.at < t || c.at >= t+20 {
				continue
			}
			for _, second := range c.seconds {
				l.Add(now, []fleet.CrashReport{partReport(i, sharedPart, 2, client), partReport(i, second, 1, client)})
			}
			for _, content := range c.contents {
				l.Add(now, []fleet.CrashReport{contentReport(i, content)})
			}
		}
		for _, v := range l.DecideWithParts(now) {
			switch digest := v.Request.Content; {
			case v.Suspect:
			case v.PromptPart > 0 && !slices.Contains(parts, digest):
				parts = append(parts, digest)
			case v.PromptPart == 0 && !slices.Contains(contents, digest):
				contents = append(contents, digest)
			}
		}
	}
	slices.Sort(parts)
	return parts, contents
}

// Guards against blaming a prompt part for crashes that another part explains better, and against not blaming the one
// that causes them.
func TestPromptPartIsBlamed(t *testing.T) {
	bad := []uint64{harmfulPart}
	both := []uint64{harmfulPart, soundPart}
	for _, c := range []struct {
		name    string
		crashes []partCrash
		begun   map[uint64]int
		until   int
		want    []uint64
	}{
		{"two crashes", []partCrash{{0, bad, nil}, {200, bad, nil}}, nil, 5000, nil},
		{"three crashes", []partCrash{{0, bad, nil}, {200, bad, nil}, {400, bad, nil}}, nil, 1000, bad},
		{"not before all hosts have reported", []partCrash{{0, bad, nil}, {200, bad, nil}, {400, bad, nil}}, nil, 780, nil},
		{
			"a sound part beside two of them",
			[]partCrash{{0, bad, nil}, {200, both, nil}, {400, both, nil}},
			nil, 1000, bad,
		},
		{
			"two parts at the same three crashes: undecided",
			[]partCrash{{0, both, nil}, {200, both, nil}, {400, both, nil}},
			nil, 5000, nil,
		},
		{
			"two parts at the same five crashes: both",
			[]partCrash{{0, both, nil}, {200, both, nil}, {400, both, nil}, {600, both, nil}, {800, both, nil}},
			nil, 5000, both,
		},
		{
			"a response to the sound one began after the first two",
			[]partCrash{{0, both, nil}, {200, both, nil}, {400, both, nil}},
			map[uint64]int{soundPart: 300}, 1000, bad,
		},
		{
			"two harmful parts, under a first part on which a response began before them",
			[]partCrash{{100, bad, nil}, {300, []uint64{300}, nil}, {500, bad, nil}, {700, []uint64{300}, nil}, {900, bad, nil}, {1100, []uint64{300}, nil}},
			map[uint64]int{sharedPart: 0}, 2000, []uint64{harmfulPart, 300},
		},
		{
			"a harmful first part",
			[]partCrash{{0, []uint64{301}, nil}, {200, []uint64{302}, nil}, {400, []uint64{303}, nil}},
			nil, 1000, []uint64{sharedPart},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := quarantine.NewCrashLog()
			for part, at := range c.begun {
				l.RecordBegun(part, start().Add(ms(at)))
			}
			parts, _ := partVerdicts(l, c.crashes, c.until)
			is.New(t).Equal(parts, c.want)
		})
	}
}

// Guards against blaming a first part because its report of the newest crash came before that of the harmful part.
func TestPartsAreComparedByReportedCrashes(t *testing.T) {
	is := is.New(t)
	l := quarantine.NewCrashLog()
	for i := range 5 {
		l.Add(start(), []fleet.CrashReport{partReport(i, sharedPart, 2, client), partReport(i, harmfulPart, 1, client)})
	}
	l.Add(start().Add(ms(500)), []fleet.CrashReport{partReport(5, sharedPart, 2, client)})
	for _, v := range l.DecideWithParts(start().Add(ms(600))) {
		is.True(v.Suspect || v.Request.Content == harmfulPart)
	}
}

// Guards against blocking a content that ran at four crashes which a prompt part explains better, and against not
// blocking it at all if the part is not blocked.
func TestContentWaitsForPart(t *testing.T) {
	is := is.New(t)
	var crashes []partCrash
	for i := range 6 {
		crashes = append(crashes, partCrash{at: 100 * i, seconds: []uint64{harmfulPart}})
		if i >= 2 {
			crashes[i].contents = []uint64{innocent}
		}
	}
	_, contents := partVerdicts(quarantine.NewCrashLog(), crashes, 1900)
	is.Equal(len(contents), 0)
	_, contents = partVerdicts(quarantine.NewCrashLog(), crashes, 2100)
	is.Equal(contents, []uint64{innocent})
}

// Guards against contents that stay suspect, or become suspect by late reports, although a blocked prompt part has
// caused the crashes.
func TestBlockedPartExplainsItsCrashes(t *testing.T) {
	is := is.New(t)
	l := quarantine.NewCrashLog()
	for i := range 2 {
		l.Add(start(), []fleet.CrashReport{partReport(i, harmfulPart, 1, client), contentReport(i, innocent)})
	}
	is.True(l.Suspect(innocent))
	l.RecordBlockedPart(start(), harmfulPart)
	is.True(!l.Suspect(innocent))
	l.Add(start(), []fleet.CrashReport{contentReport(0, other), contentReport(1, other)})
	l.Add(start(), []fleet.CrashReport{contentReport(2, other), partReport(2, harmfulPart, 1, client)})
	is.True(!l.Suspect(other))
	l.Add(start(), []fleet.CrashReport{contentReport(3, other), contentReport(4, other)})
	is.True(l.Suspect(other)) // other crashes count
}

// Guards against a part that is blocked for one caller after the other while requests of all of them crash endpoints,
// and against blocking the requests of a caller that ran beside some of the crashes.
func TestPartIsBlockedForItsCallers(t *testing.T) {
	for _, c := range []struct {
		name    string
		callers [][]uint64
		want    uint64
	}{
		{"one caller", [][]uint64{{client}, {client}, {client, otherClient}}, client},
		{"several callers", [][]uint64{{client}, {client}, {client}, {otherClient}, {otherClient}, {otherClient}}, fleet.AnyCaller},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := quarantine.NewCrashLog()
			for i, callers := range c.callers {
				for _, caller := range callers {
					l.Add(start(), []fleet.CrashReport{partReport(i, harmfulPart, 1, caller)})
				}
			}
			var blocked []uint64
			for _, v := range l.DecideWithParts(start().Add(time.Second)) {
				if !v.Suspect {
					blocked = append(blocked, v.Request.Caller)
				}
			}
			is.Equal(blocked, []uint64{c.want})
		})
	}
}

// decideFor lets a host decide for all hosts for some time and exchange blocks with the others.
func decideFor(d time.Duration, controller *quarantine.Guard, others ...*quarantine.Guard) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		controller.DecideForAll(time.Now())
		for _, g := range append(others, controller) {
			g.UpdateTrials(time.Now())
			for _, h := range append(others, controller) {
				h.Merge(time.Now(), g.Blocklist.All(time.Now()))
			}
		}
	}
}

// crashWithPart records three crashes with a prompt part at a guard.
func crashWithPart(g *quarantine.Guard) {
	for i := range 3 {
		g.CrashLog.Add(time.Now(), []fleet.CrashReport{partReport(i, harmfulPart, 1, client)})
	}
}

// Guards against blocking a part on which responses began at another host, also long before the last crash, and
// against trials that go on although a blocked part explains their crashes.
func TestHostsAnswerWhetherPartIsSound(t *testing.T) {
	prompt := fleet.Prompt{Caller: client, Parts: []uint64{harmfulPart}}
	for _, c := range []struct {
		name    string
		sound   bool
		blocked bool
	}{
		{"no response has begun", false, true},
		{"a response began between the crashes", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				controller, host := newHost("a"), newHost("b")
				for i := range 3 {
					controller.CrashLog.Add(time.Now(), []fleet.CrashReport{partReport(i, harmfulPart, 1, client), contentReport(i%2, innocent)})
					time.Sleep(time.Second)
					if c.sound && i == 1 {
						host.RecordBegun(prompt)
						for range 10 { // Responses with other parts begin meanwhile.
							time.Sleep(time.Second)
							host.RecordBegun(fleet.Prompt{Caller: client, Parts: []uint64{soundPart}})
						}
					}
				}
				decideFor(2*time.Second, controller, host)
				_, blocked := host.BlockedPart(prompt)
				is.Equal(blocked, c.blocked)
				is.Equal(host.Suspected(requestsBy(client, innocent)[0]), !c.blocked)
			})
		})
	}
}

// Guards against a host that has just become the controller, or that does not hear from all others, blocking a part
// before it knows what all hosts have seen.
func TestOnlyInformedHostBlocksParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newHost("a")
		prompt := fleet.Prompt{Caller: client, Parts: []uint64{harmfulPart}}
		crashWithPart(g)
		for range 100 {
			g.Decide(time.Now())
			time.Sleep(20 * time.Millisecond)
		}
		_, blocked := g.BlockedPart(prompt)
		is.True(!blocked)

		// A former controller has asked long ago.
		question := fleet.Block{Request: fleet.BlockedRequest{Content: harmfulPart}, Since: time.Now().Unix(), Suspect: true, PromptPart: 1}
		g.Merge(time.Now(), []fleet.Block{question})
		time.Sleep(time.Second)
		g.CrashLog.Add(time.Now(), []fleet.CrashReport{partReport(3, harmfulPart, 1, client)})
		decideFor(500*time.Millisecond, g)
		_, blocked = g.BlockedPart(prompt)
		is.True(!blocked)
		decideFor(time.Second, g)
		_, blocked = g.BlockedPart(prompt)
		is.True(blocked)
	})
}

// Guards against crashes of a content that are not stored because a prompt part, which may be sound, ran at more:
// hosts that are cut off from each other combine their crashes through the store.
func TestCrashesOfContentAreStoredBesidePart(t *testing.T) {
	is := is.New(t)
	l := quarantine.NewCrashLog()
	l.Add(start(), []fleet.CrashReport{partReport(0, sharedPart, 2, client), contentReport(0, harmful)})
	l.Add(start().Add(ms(200)), []fleet.CrashReport{partReport(1, sharedPart, 2, client)})
	stored := l.Attributed(start().Add(ms(500)), func(uint64, int) bool { return true })
	is.Equal(len(stored[harmful]), 1)
	is.Equal(len(stored[sharedPart]), 2)
}

// Guards against blocking a part before all hosts had the time to answer whether responses with it begin.
func TestPartIsNotBlockedBeforeHostsCanAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newHost("a")
		prompt := fleet.Prompt{Caller: client, Parts: []uint64{harmfulPart}}
		decideFor(2*time.Second, g)
		crashWithPart(g)
		decideFor(500*time.Millisecond, g)
		_, blocked := g.BlockedPart(prompt)
		is.True(!blocked)
		decideFor(300*time.Millisecond, g)
		_, blocked = g.BlockedPart(prompt)
		is.True(blocked)
	})
}
