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

// Content digests and caller digests of requests.
const (
	harmful     uint64 = 1
	innocent    uint64 = 2
	other       uint64 = 3
	client      uint64 = 10
	otherClient uint64 = 11
)

// testCrash is a crash of an endpoint with the requests that were running there. Its time is in
// milliseconds after the start.
type testCrash struct {
	at       int
	requests []fleet.Fingerprint
}

func requestsBy(caller uint64, contents ...uint64) []fleet.Fingerprint {
	var out []fleet.Fingerprint
	for _, c := range contents {
		out = append(out, fleet.Fingerprint{Content: c, Caller: caller})
	}
	return out
}

func start() time.Time { return time.Unix(1000, 0) }

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// crashReports returns the reports of the i-th crash.
func crashReports(i int, e testCrash) []fleet.CrashReport {
	var out []fleet.CrashReport
	for _, f := range e.requests {
		out = append(out, fleet.CrashReport{Request: f, Endpoint: fleet.EndpointID(fmt.Sprint("e", i))})
	}
	return out
}

// blockedAfter replays the crashes and returns the requests that are blocked by the time until, in
// milliseconds.
func blockedAfter(crashes []testCrash, until int) []fleet.BlockedRequest {
	l := quarantine.NewCrashLog()
	var out []fleet.BlockedRequest
	for t := 0; t <= until; t += 20 {
		for i, e := range crashes {
			if e.at >= t && e.at < t+20 {
				l.Add(start().Add(ms(t)), crashReports(i, e))
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

// Endpoints crash while running requests, one of which may be the cause. A wrong verdict refuses a
// harmless request or lets the cause crash further endpoints.
func TestDecideBlocksTheCause(t *testing.T) {
	harmfulOf := func(caller uint64) fleet.BlockedRequest {
		return fleet.BlockedRequest{Content: harmful, Caller: caller}
	}
	for _, c := range []struct {
		name    string
		crashes []testCrash
		until   int
		want    []fleet.BlockedRequest
	}{
		{"two crashes do not block a request", []testCrash{{0, requestsBy(client, harmful)}, {300, requestsBy(client, harmful)}}, 5000, nil},
		{
			"three crashes while running one request",
			[]testCrash{{0, requestsBy(client, harmful)}, {300, requestsBy(client, harmful, innocent)}, {600, requestsBy(client, harmful)}},
			1100, []fleet.BlockedRequest{harmfulOf(client)},
		},
		{
			"not blocked before all hosts have reported the last crash",
			[]testCrash{{0, requestsBy(client, harmful)}, {300, requestsBy(client, harmful)}, {600, requestsBy(client, harmful)}},
			900, nil,
		},
		{
			"a harmless request that is retried beside the harmful one is not blocked",
			[]testCrash{{0, requestsBy(client, harmful)}, {300, requestsBy(client, harmful, innocent)}, {600, requestsBy(client, harmful, innocent)}, {900, requestsBy(client, harmful, innocent)}},
			5000, []fleet.BlockedRequest{harmfulOf(client)},
		},
		{
			"two requests that ran together: a further crash identifies the cause",
			[]testCrash{{0, requestsBy(client, harmful, innocent)}, {300, requestsBy(client, harmful, innocent)}, {600, requestsBy(client, harmful, innocent)}, {1300, requestsBy(client, harmful)}},
			5000, []fleet.BlockedRequest{harmfulOf(client)},
		},
		{
			"two requests that ran together: both are blocked without a further crash",
			[]testCrash{{0, requestsBy(client, harmful, innocent)}, {300, requestsBy(client, harmful, innocent)}, {600, requestsBy(client, harmful, innocent)}},
			1600, []fleet.BlockedRequest{harmfulOf(client), {Content: innocent, Caller: client}},
		},
		{
			"a rack that runs copies of one request loses power",
			[]testCrash{{0, requestsBy(client, innocent)}, {10, requestsBy(client, innocent)}, {30, requestsBy(client, other)}, {60, requestsBy(client, innocent)}},
			5000, nil,
		},
		{
			"copies of the harmful request crash three endpoints at once",
			[]testCrash{{0, requestsBy(client, harmful)}, {10, requestsBy(client, harmful)}, {30, requestsBy(client, harmful, innocent)}},
			5000, []fleet.BlockedRequest{harmfulOf(client)},
		},
		{
			"the harmful request comes from several addresses",
			[]testCrash{{0, requestsBy(client, harmful)}, {300, requestsBy(otherClient, harmful)}, {600, requestsBy(client, harmful)}},
			5000, []fleet.BlockedRequest{harmfulOf(fleet.AnyCaller)},
		},
		{
			"two harmful requests crash endpoints in turn",
			[]testCrash{
				{0, requestsBy(client, harmful)}, {80, requestsBy(client, other)}, {160, requestsBy(client, harmful)}, {240, requestsBy(client, other)},
				{320, requestsBy(client, harmful)}, {400, requestsBy(client, other)},
			},
			1000, []fleet.BlockedRequest{harmfulOf(client), {Content: other, Caller: client}},
		},
		{
			"two harmful requests crash endpoints within the correlation window",
			[]testCrash{
				{0, requestsBy(client, harmful)}, {40, requestsBy(client, other)}, {80, requestsBy(client, harmful)}, {120, requestsBy(client, other)},
				{160, requestsBy(client, harmful)}, {200, requestsBy(client, other)},
			},
			1000, []fleet.BlockedRequest{harmfulOf(client), {Content: other, Caller: client}},
		},
		{
			"the same content from another caller ran at one crash",
			[]testCrash{{0, requestsBy(client, harmful)}, {300, append(requestsBy(client, harmful), requestsBy(otherClient, harmful)...)}, {600, requestsBy(client, harmful)}},
			5000, []fleet.BlockedRequest{harmfulOf(client)},
		},
		{
			"the client continues from another address",
			[]testCrash{{0, requestsBy(client, harmful)}, {300, requestsBy(client, harmful)}, {600, requestsBy(client, harmful)}, {2000, requestsBy(otherClient, harmful)}},
			5000, []fleet.BlockedRequest{harmfulOf(client), harmfulOf(fleet.AnyCaller)},
		},
		{
			"crashes many seconds apart",
			[]testCrash{{0, requestsBy(client, harmful)}, {20_000, requestsBy(client, harmful)}, {40_000, requestsBy(client, harmful)}},
			40_500, []fleet.BlockedRequest{harmfulOf(client)},
		},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(blockedAfter(c.crashes, c.until), c.want) })
	}
}

// One request crashes each endpoint that runs it, beside harmless ones that are repeated up to
// three times. The cause must be blocked within a second of its third crash, and no request that
// ran at fewer than three crashes or only beside the cause.
func TestDecideBlocksNoHarmlessRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "ends")
		var crashes []testCrash
		ran := map[uint64]int{}
		at := 0
		for range n {
			at += rapid.IntRange(150, 3000).Draw(t, "pause")
			e := testCrash{at: at, requests: requestsBy(client, harmful)}
			for range rapid.IntRange(0, 4).Draw(t, "beside") {
				c := other + rapid.Uint64Range(0, 8).Draw(t, "content")
				if ran[c] < min(3, n-1) && !slices.Contains(e.requests, requestsBy(client, c)[0]) {
					ran[c]++
					e.requests = append(e.requests, requestsBy(client, c)...)
				}
			}
			crashes = append(crashes, e)
		}
		got := blockedAfter(crashes[:3], crashes[2].at+1000)
		if !slices.Contains(got, fleet.BlockedRequest{Content: harmful, Caller: client}) {
			t.Fatalf("blocked one second after the third crash: got %v, want the harmful request", got)
		}
		for _, b := range blockedAfter(crashes, at+5000) {
			if b.Content != harmful && !isIndistinguishable(b.Content, crashes) {
				t.Fatalf("harmless content %d is blocked after %d crashes", b.Content, ran[b.Content])
			}
		}
	})
}

// isIndistinguishable reports whether the content may be blocked with the harmful one: it ran at
// the first three crashes, and no further crash came in time to tell them apart.
func isIndistinguishable(content uint64, crashes []testCrash) bool {
	seen := 0
	for i, e := range crashes {
		if !slices.Contains(e.requests, requestsBy(client, content)[0]) {
			continue
		}
		if seen++; seen < 3 {
			continue
		}
		next := i + 1
		return i == 2 && (next == len(crashes) || crashes[next].at > e.at+850)
	}
	return false
}

// Crash reports arrive late, more than once and in any order. Duplicates must not count as further
// crashes.
func TestDuplicateCrashReportsAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []fleet.CrashReport
		crashed := map[fleet.EndpointID]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "crashes") {
			id := fleet.EndpointID(fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "endpoint")))
			crashed[id] = true
			all = append(all, fleet.CrashReport{Request: requestsBy(client, harmful)[0], Endpoint: id, Ago: rapid.Int64Range(0, 900).Draw(t, "ago")})
		}
		l := quarantine.NewCrashLog()
		seed := rapid.Uint64().Draw(t, "order")
		rand.New(rand.NewPCG(seed, 0)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		for _, c := range append(all, all...) {
			l.Add(start(), []fleet.CrashReport{c})
		}
		reports, next := l.Since(start(), 0, 100)
		if len(reports) != len(crashed) {
			t.Fatalf("Since returned %d crashes, but %d endpoints crashed", len(reports), len(crashed))
		}
		relay := quarantine.NewCrashLog()
		relay.Add(start(), reports)
		if relay.Add(start(), reports) {
			t.Fatalf("Add reports duplicates of %v as new", reports)
		}
		if rest, _ := l.Since(start(), next, 100); len(rest) > 0 {
			t.Fatalf("Since(%d) returned reports again: %v", next, rest)
		}
		found := slices.ContainsFunc(relay.Decide(start().Add(time.Second)), func(v quarantine.Verdict) bool { return !v.Suspect })
		if enough := len(crashed) >= 3; found != enough {
			t.Fatalf("request blocked: %t after %d crashes", found, len(crashed))
		}
	})
}

// A duplicate report of a crash arrives after its request was cleared. It must not undo the
// clearance.
func TestDuplicateReportDoesNotUndoClear(t *testing.T) {
	is := is.New(t)
	l := quarantine.NewCrashLog()
	for i := range 4 {
		crashes := crashReports(i, testCrash{requests: requestsBy(client, innocent)})
		at := start().Add(time.Duration(i) * time.Second)
		is.True(l.Add(at, crashes))
		l.Clear(requestsBy(client, innocent)[0])
		is.True(!l.Add(at.Add(ms(100)), crashes))
	}
	is.Equal(len(l.Decide(start().Add(10*time.Second))), 0)
	reports, _ := l.Since(start().Add(10*time.Second), 0, 10)
	is.Equal(len(reports), 0)
}

// The number and the age of the crashes that are kept are bounded, or memory would grow while
// endpoints crash repeatedly.
func TestCrashLogIsBounded(t *testing.T) {
	is := is.New(t)
	l := quarantine.NewCrashLog()
	for i := range 2000 {
		l.Add(start().Add(ms(i)), crashReports(i, testCrash{requests: requestsBy(client, uint64(i))}))
	}
	l.Expire(start().Add(ms(2000)))
	kept, next := l.Since(start().Add(ms(2000)), 0, 5000)
	is.Equal(len(kept), 512)
	is.Equal(next, int64(2000))
	l.Expire(start().Add(11 * time.Minute))
	kept, _ = l.Since(start().Add(11*time.Minute), 0, 5000)
	is.Equal(len(kept), 0)
}

// Two harmful requests run side by side at three crashes, which are attributed to the one that ran
// at more. The other must be blocked at its fourth crash.
func TestTwoHarmfulRequestsAreBothBlocked(t *testing.T) {
	is := is.New(t)
	crashes := []testCrash{
		{0, requestsBy(client, harmful)}, {100, requestsBy(client, harmful)}, {200, requestsBy(client, harmful)},
		{300, requestsBy(client, harmful, other)}, {600, requestsBy(client, harmful, other)}, {900, requestsBy(client, harmful, other)},
		{6000, requestsBy(client, other)},
	}
	is.Equal(blockedAfter(crashes, 5900), []fleet.BlockedRequest{{Content: harmful, Caller: client}})
	is.Equal(blockedAfter(crashes, 6100), []fleet.BlockedRequest{{Content: harmful, Caller: client}, {Content: other, Caller: client}})
}

// Crashes are added and expire, and requests are cleared. The verdicts must equal those of a log
// that has seen only the retained crashes.
func TestCountsMatchRetainedCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := quarantine.NewCrashLog()
		now := start()
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
			f := requestsBy(client+rapid.Uint64Range(0, 1).Draw(t, "caller"), 1+rapid.Uint64Range(0, 2).Draw(t, "content"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				l.Clear(f[0])
			case 1:
				l.Expire(now)
			default:
				l.Add(now, crashReports(i-rapid.IntRange(0, 1).Draw(t, "back"), testCrash{requests: f}))
			}
		}
		l.Expire(now)
		replayed := quarantine.NewCrashLog()
		kept, _ := l.Since(now, 0, 1000)
		replayed.Add(now, kept)
		l.Add(now, crashReports(1000, testCrash{requests: requestsBy(client, 99)})) // makes both logs evaluate
		replayed.Add(now, crashReports(1000, testCrash{requests: requestsBy(client, 99)}))
		later := now.Add(2 * time.Second)
		if got, want := verdictNames(l.Decide(later)), verdictNames(replayed.Decide(later)); !slices.Equal(got, want) {
			t.Fatalf("verdicts %v, want %v as of a crash log with only the retained crashes", got, want)
		}
	})
}

// verdictNames returns the requests of the verdicts, sorted.
func verdictNames(verdicts []quarantine.Verdict) []string {
	var out []string
	for _, v := range verdicts {
		out = append(out, fmt.Sprint(v.Request, v.Suspect))
	}
	slices.Sort(out)
	return out
}
