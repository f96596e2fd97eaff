package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/proptest"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/quarantine"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { proptest.Main(m, 300, 60) }

// Contents of requests, and who sends them.
const (
	harmful   uint64 = 1
	innocent  uint64 = 2
	other     uint64 = 3
	client    uint64 = 10
	elsewhere uint64 = 11
)

// ending is the end of an endpoint some milliseconds after the start, with what ran there.
type ending struct {
	at  int
	ran []fleet.Fingerprint
}

func by(caller uint64, contents ...uint64) []fleet.Fingerprint {
	var out []fleet.Fingerprint
	for _, c := range contents {
		out = append(out, fleet.Fingerprint{Content: c, Caller: caller})
	}
	return out
}

func start() time.Time { return time.Unix(1000, 0) }

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// crashesOf are what hosts tell of an end when it is seen.
func crashesOf(i int, e ending) []fleet.Crash {
	var out []fleet.Crash
	for _, f := range e.ran {
		out = append(out, fleet.Crash{Request: f, Endpoint: fleet.EndpointID(fmt.Sprint("e", i))})
	}
	return out
}

// blocked plays ends and returns what is blocked at a time.
func blocked(endings []ending, until int) []fleet.BlockedRequest {
	l := quarantine.NewLedger()
	var out []fleet.BlockedRequest
	for t := 0; t <= until; t += 20 {
		for i, e := range endings {
			if e.at >= t && e.at < t+20 {
				l.Add(start().Add(ms(t)), crashesOf(i, e))
			}
		}
		for _, v := range l.Decide(start().Add(ms(t))) {
			if !v.Suspect && !slices.Contains(out, v.Request) {
				out = append(out, v.Request)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b fleet.BlockedRequest) int { return int(a.Content) - int(b.Content) })
	return out
}

// Endpoints end under requests, and callers see broken answers. One of the requests that ran
// there may be to blame, or none. Where a request that is served elsewhere was blamed, its
// client was refused; where the one to blame was not, further endpoints ended.
func TestWhoIsToBlame(t *testing.T) {
	harmfulOf := func(caller uint64) fleet.BlockedRequest {
		return fleet.BlockedRequest{Content: harmful, Caller: caller}
	}
	for _, c := range []struct {
		name    string
		endings []ending
		until   int
		want    []fleet.BlockedRequest
	}{
		{"two ends are no proof", []ending{{0, by(client, harmful)}, {300, by(client, harmful)}}, 5000, nil},
		{
			"three ends under one request",
			[]ending{{0, by(client, harmful)}, {300, by(client, harmful, innocent)}, {600, by(client, harmful)}},
			1100, []fleet.BlockedRequest{harmfulOf(client)},
		},
		{
			"not before all hosts have told what ran at the last one",
			[]ending{{0, by(client, harmful)}, {300, by(client, harmful)}, {600, by(client, harmful)}},
			900, nil,
		},
		{
			"a request that was repeated beside the harmful one each time is served in the end",
			[]ending{{0, by(client, harmful)}, {300, by(client, harmful, innocent)}, {600, by(client, harmful, innocent)}, {900, by(client, harmful, innocent)}},
			5000, []fleet.BlockedRequest{harmfulOf(client)},
		},
		{
			"two requests that ran together: a further end tells which one",
			[]ending{{0, by(client, harmful, innocent)}, {300, by(client, harmful, innocent)}, {600, by(client, harmful, innocent)}, {1300, by(client, harmful)}},
			5000, []fleet.BlockedRequest{harmfulOf(client)},
		},
		{
			"two requests that ran together: nothing tells which one",
			[]ending{{0, by(client, harmful, innocent)}, {300, by(client, harmful, innocent)}, {600, by(client, harmful, innocent)}},
			1600, []fleet.BlockedRequest{harmfulOf(client), {Content: innocent, Caller: client}},
		},
		{
			"a rack loses power under copies of one request",
			[]ending{{0, by(client, innocent)}, {10, by(client, innocent)}, {30, by(client, other)}, {60, by(client, innocent)}},
			5000, nil,
		},
		{
			"copies of the harmful request end three endpoints at once",
			[]ending{{0, by(client, harmful)}, {10, by(client, harmful)}, {30, by(client, harmful, innocent)}},
			5000, []fleet.BlockedRequest{harmfulOf(client)},
		},
		{
			"the harmful request comes from several addresses",
			[]ending{{0, by(client, harmful)}, {300, by(elsewhere, harmful)}, {600, by(client, harmful)}},
			5000, []fleet.BlockedRequest{harmfulOf(fleet.AnyCaller)},
		},
		{
			"two harmful requests end endpoints in turn",
			[]ending{
				{0, by(client, harmful)}, {80, by(client, other)}, {160, by(client, harmful)}, {240, by(client, other)},
				{320, by(client, harmful)}, {400, by(client, other)},
			},
			1000, []fleet.BlockedRequest{harmfulOf(client), {Content: other, Caller: client}},
		},
		{
			"two harmful requests end endpoints faster than these can be told apart in time",
			[]ending{
				{0, by(client, harmful)}, {40, by(client, other)}, {80, by(client, harmful)}, {120, by(client, other)},
				{160, by(client, harmful)}, {200, by(client, other)},
			},
			1000, []fleet.BlockedRequest{harmfulOf(client), {Content: other, Caller: client}},
		},
		{
			"the same content of another caller ran beside it",
			[]ending{{0, by(client, harmful)}, {300, append(by(client, harmful), by(elsewhere, harmful)...)}, {600, by(client, harmful)}},
			5000, []fleet.BlockedRequest{harmfulOf(client)},
		},
		{
			"its client goes on from another address",
			[]ending{{0, by(client, harmful)}, {300, by(client, harmful)}, {600, by(client, harmful)}, {2000, by(elsewhere, harmful)}},
			5000, []fleet.BlockedRequest{harmfulOf(client), harmfulOf(fleet.AnyCaller)},
		},
		{
			"it comes back long after",
			[]ending{{0, by(client, harmful)}, {20_000, by(client, harmful)}, {40_000, by(client, harmful)}},
			40_500, []fleet.BlockedRequest{harmfulOf(client)},
		},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(blocked(c.endings, c.until), c.want) })
	}
}

// Endpoints die for many reasons under requests that clients and hosts repeat up to three times,
// and one request ends each endpoint that it reaches. The harmful one has to be blocked within
// a second of its third end; no request may be blocked that ran at fewer than three ends, or
// only where a more harmful one ran.
func TestBlamesTheMostHarmful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "ends")
		var endings []ending
		ran := map[uint64]int{}
		at := 0
		for range n {
			at += rapid.IntRange(150, 3000).Draw(t, "pause")
			e := ending{at: at, ran: by(client, harmful)}
			for range rapid.IntRange(0, 4).Draw(t, "beside") {
				c := other + rapid.Uint64Range(0, 8).Draw(t, "content")
				if ran[c] < min(3, n-1) && !slices.Contains(e.ran, by(client, c)[0]) {
					ran[c]++
					e.ran = append(e.ran, by(client, c)...)
				}
			}
			endings = append(endings, e)
		}
		got := blocked(endings[:3], endings[2].at+1000)
		if !slices.Contains(got, fleet.BlockedRequest{Content: harmful, Caller: client}) {
			t.Fatalf("blocked %v one second after the third end", got)
		}
		for _, b := range blocked(endings, at+5000) {
			if b.Content != harmful && !mayBeTaken(b.Content, endings) {
				t.Fatalf("%d is blocked after %d ends", b.Content, ran[b.Content])
			}
		}
	})
}

// mayBeTaken tells whether nothing has told a content from the harmful one until somebody
// had to decide: it ran at three ends, and no further one came in time.
func mayBeTaken(content uint64, endings []ending) bool {
	seen := 0
	for i, e := range endings {
		if !slices.Contains(e.ran, by(client, content)[0]) {
			continue
		}
		if seen++; seen < 3 {
			continue
		}
		next := i + 1
		return i == 2 && (next == len(endings) || endings[next].at > e.at+850)
	}
	return false
}

// Hosts tell of ends late, doubled and in any order, by way of relays. A controller that took
// a copy for a further end would block requests that ended one endpoint.
func TestCopiesOfCrashesChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []fleet.Crash
		ends := map[fleet.EndpointID]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "crashes") {
			id := fleet.EndpointID(fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "endpoint")))
			ends[id] = true
			all = append(all, fleet.Crash{Request: by(client, harmful)[0], Endpoint: id, Ago: rapid.Int64Range(0, 900).Draw(t, "ago")})
		}
		l := quarantine.NewLedger()
		seed := rapid.Uint64().Draw(t, "order")
		rand.New(rand.NewPCG(seed, 0)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		for _, c := range append(all, all...) {
			l.Add(start(), []fleet.Crash{c})
		}
		told, next := l.Since(start(), 0, 100)
		if len(told) != len(ends) {
			t.Fatalf("%d crashes are told on, %d endpoints ended", len(told), len(ends))
		}
		relay := quarantine.NewLedger()
		relay.Add(start(), told)
		if relay.Add(start(), told) {
			t.Fatal("the same crashes are new again")
		}
		if rest, _ := l.Since(start(), next, 100); len(rest) > 0 {
			t.Fatalf("%v are told twice", rest)
		}
		found := slices.ContainsFunc(relay.Decide(start().Add(time.Second)), func(v quarantine.Verdict) bool { return !v.Suspect })
		if enough := len(ends) >= 3; found != enough {
			t.Fatalf("found: %t after %d ends", found, len(ends))
		}
	})
}

// A popular request ran at an endpoint that ended, and is served elsewhere after that. A copy
// of the crash comes late, by way of another relay; it brought back what service had cleared,
// and the request was blocked after three such ends.
func TestCopyDoesNotUndoAClearance(t *testing.T) {
	is := is.New(t)
	l := quarantine.NewLedger()
	for i := range 4 {
		crashes := crashesOf(i, ending{ran: by(client, innocent)})
		at := start().Add(time.Duration(i) * time.Second)
		is.True(l.Add(at, crashes))
		l.Clear(by(client, innocent)[0])
		is.True(!l.Add(at.Add(ms(100)), crashes))
	}
	is.Equal(len(l.Decide(start().Add(10*time.Second))), 0)
	told, _ := l.Since(start().Add(10*time.Second), 0, 10)
	is.Equal(len(told), 0)
}

// Ends are kept for ten minutes at most and for so many endpoints: a day on which endpoints
// flap would otherwise take the host's memory.
func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	l := quarantine.NewLedger()
	for i := range 2000 {
		l.Add(start().Add(ms(i)), crashesOf(i, ending{ran: by(client, uint64(i))}))
	}
	l.Expire(start().Add(ms(2000)))
	kept, next := l.Since(start().Add(ms(2000)), 0, 5000)
	is.Equal(len(kept), 512)
	is.Equal(next, int64(2000))
	l.Expire(start().Add(11 * time.Minute))
	kept, _ = l.Since(start().Add(11*time.Minute), 0, 5000)
	is.Equal(len(kept), 0)
}

// Two requests that crash endpoints come together and run side by side at three that end. The
// one that ended others as well explains these ends and is blocked; the other comes back later, and
// went to four further endpoints ("sent to servers 4 times more; 7 ended in all"), as its
// first three ends counted for nothing. Its fourth has to be its last.
func TestHarmfulRequestBesideAnother(t *testing.T) {
	is := is.New(t)
	endings := []ending{
		{0, by(client, harmful)}, {100, by(client, harmful)}, {200, by(client, harmful)},
		{300, by(client, harmful, other)}, {600, by(client, harmful, other)}, {900, by(client, harmful, other)},
		{6000, by(client, other)},
	}
	is.Equal(blocked(endings, 5900), []fleet.BlockedRequest{{Content: harmful, Caller: client}})
	is.Equal(blocked(endings, 6100), []fleet.BlockedRequest{{Content: harmful, Caller: client}, {Content: other, Caller: client}})
}

// Ends come, requests are cleared, and old ends are forgotten. A count that was not taken back
// explained ends by a request that no longer counts, and a harmful one was not blocked.
func TestWhatCountsIsWhatIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := quarantine.NewLedger()
		now := start()
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
			f := by(client+rapid.Uint64Range(0, 1).Draw(t, "caller"), 1+rapid.Uint64Range(0, 2).Draw(t, "content"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				l.Clear(f[0])
			case 1:
				l.Expire(now)
			default:
				l.Add(now, crashesOf(i-rapid.IntRange(0, 1).Draw(t, "back"), ending{ran: f}))
			}
		}
		l.Expire(now)
		anew := quarantine.NewLedger()
		kept, _ := l.Since(now, 0, 1000)
		anew.Add(now, kept)
		l.Add(now, crashesOf(1000, ending{ran: by(client, 99)})) // both look
		anew.Add(now, crashesOf(1000, ending{ran: by(client, 99)}))
		later := now.Add(2 * time.Second)
		if got, want := found(l.Decide(later)), found(anew.Decide(later)); !slices.Equal(got, want) {
			t.Fatalf("found %v, by what is kept %v", got, want)
		}
	})
}

// found names the requests of verdicts, in order.
func found(verdicts []quarantine.Verdict) []string {
	var out []string
	for _, v := range verdicts {
		out = append(out, fmt.Sprint(v.Request, v.Suspect))
	}
	slices.Sort(out)
	return out
}
