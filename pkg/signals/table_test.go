package signals_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/proptest"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/signals"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { proptest.Main(m, 40, 20) }

const endpoint fleet.EndpointID = "i-1"

var start = time.Unix(1000, 0)

// maxAtOnce is the number of requests that a host tries to send at the same moment.
const maxAtOnce = 30

func at(d time.Duration) time.Time { return start.Add(d) }

// newHost returns the table of one of several hosts that know each other.
func newHost(self int, all int) *signals.Table {
	var others []string
	for i := range all {
		if i != self {
			others = append(others, fmt.Sprint("host-", i))
		}
	}
	l := signals.New()
	l.SetHosts(fmt.Sprint("host-", self), others)
	return l
}

// withRate returns a response that advertises a rate; withoutRate is one without a rate.
func withRate(r float64) signals.Response { return signals.Response{Rate: &r} }

var withoutRate signals.Response

// Many hosts send to an endpoint that advertises a rate. The sum of their small excesses must stay
// within what the endpoint tolerates.
func TestHostsTogetherStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 300).Draw(t, "hosts")
		advertised := rapid.Float64Range(0, 60).Draw(t, "rate")
		steady := rapid.Bool().Draw(t, "steady")
		const step, span, window = 20 * time.Millisecond, 12 * time.Second, 4 * time.Second
		var all []*signals.Table
		for i := range hosts {
			l := newHost(i, hosts)
			l.Observe(start, endpoint, withRate(advertised), start, true)
			all = append(all, l)
		}
		var sent []time.Duration
		for d := time.Duration(0); d < span; d += step {
			for _, l := range all {
				// If not steady, hosts send only at the end and have accumulated tokens by then.
				for n := 0; n < maxAtOnce && (steady || d >= span-window) && l.TryAcquire(at(d), endpoint); n++ {
					sent = append(sent, d)
				}
			}
			if d%time.Second == 0 {
				for _, l := range all {
					l.Observe(at(d), endpoint, withRate(advertised), start, true)
				}
			}
		}
		allowed := 1.5*advertised*window.Seconds() + 5
		first := 0
		for last, d := range sent {
			for d-sent[first] > window {
				first++
			}
			if n := last - first + 1; float64(n) > allowed {
				t.Fatalf("%d requests in %v from %d hosts, want at most %.1f", n, window, hosts, allowed)
			}
		}
		if steady && advertised >= 2 && hosts <= 8 && float64(len(sent)) < 0.5*advertised*span.Seconds() {
			t.Fatalf("only %d requests in %v at a rate of %.1f per second", len(sent), span, advertised)
		}
	})
}

// A response that was sent before the rate arrives late, or its request was not run. Neither may
// end the limit.
func TestOnlyLaterResponseEndsLimit(t *testing.T) {
	is := is.New(t)
	l := newHost(0, 9)
	l.Observe(at(time.Second), endpoint, withRate(1), at(0), true)
	l.Observe(at(2*time.Second), endpoint, withoutRate, at(500*time.Millisecond), true)
	l.Observe(at(2*time.Second), endpoint, withoutRate, at(1500*time.Millisecond), false)
	is.True(l.Throttled(at(2*time.Second), endpoint))
	l.Observe(at(2*time.Second), endpoint, withoutRate, at(1500*time.Millisecond), true)
	is.True(!l.Throttled(at(2*time.Second), endpoint))
}

// No requests are sent to a limited endpoint, so no response can end the limit. It must expire.
func TestUnobservedLimitExpires(t *testing.T) {
	is := is.New(t)
	l := newHost(0, 9)
	l.Observe(at(0), endpoint, withRate(1), at(0), true)
	is.True(l.Throttled(at(5*time.Second), endpoint))
	l.Observe(at(5*time.Second), endpoint, withRate(1), at(0), true)
	is.True(l.Throttled(at(12*time.Second), endpoint))
	is.True(!l.Throttled(at(16*time.Second), endpoint))
}

// Hosts observe changes at the same time and exchange them in any order. They must converge to the
// same signals.
func TestHostsConvergeOnLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*signals.Table{newHost(0, 3), newHost(1, 3), newHost(2, 3)}
		steps := rapid.IntRange(1, 30).Draw(t, "steps")
		for i := range steps {
			now := at(time.Duration(i) * time.Second)
			from := hosts[rapid.IntRange(0, 2).Draw(t, "from")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 3:
				from.Observe(now, endpoint, signals.Response{Draining: true}, now, false)
			case 0:
				from.Observe(now, endpoint, withRate(rapid.Float64Range(0, 5).Draw(t, "rate")), now, true)
			case 1:
				from.Observe(now, endpoint, withoutRate, now, true)
			default:
				hosts[rapid.IntRange(0, 2).Draw(t, "to")].Merge(now, from.All())
			}
		}
		for range 2 {
			for _, a := range hosts {
				for _, b := range hosts {
					a.Merge(at(time.Minute), b.All())
				}
			}
		}
		for _, h := range hosts {
			if h.Checksum() != hosts[0].Checksum() || len(h.All()) > 0 && h.All()[0] != hosts[0].All()[0] {
				t.Fatalf("hosts differ: one has %v, the first %v", h.All(), hosts[0].All())
			}
		}
	})
}

// An endpoint asks for a backoff and then for a shorter one. The first one must stay in force.
func TestShorterBackoffDoesNotReplaceLonger(t *testing.T) {
	is := is.New(t)
	l := newHost(0, 9)
	l.Observe(at(0), endpoint, signals.Response{RetryAfter: 3 * time.Second}, at(0), false)
	l.Observe(at(time.Second), endpoint, signals.Response{RetryAfter: time.Second}, at(0), false)
	is.True(!l.TryAcquire(at(2900*time.Millisecond), endpoint))
	until, wait := l.Next(at(2*time.Second), endpoint)
	is.True(wait)
	is.Equal(until, at(3*time.Second))
	is.True(l.TryAcquire(at(3*time.Second), endpoint))
	is.Equal(l.Checksum(), uint64(0)) // it concerns this host only
}

// An endpoint advertises a rate and asks for a backoff. The later of the two times must be
// returned.
func TestBackoffOfLimitedEndpoint(t *testing.T) {
	is := is.New(t)
	l := newHost(0, 1)
	l.Observe(at(0), endpoint, signals.Response{Rate: withRate(1).Rate, RetryAfter: 4 * time.Second}, at(0), false)
	until, wait := l.Next(at(100*time.Millisecond), endpoint)
	is.True(wait)
	is.Equal(until, at(4*time.Second))
	is.True(l.TryAcquire(at(4*time.Second), endpoint))
	until, wait = l.Next(at(4*time.Second), endpoint)
	is.True(wait)
	is.Equal(until, at(5*time.Second))
}

// A host that was partitioned sends outdated signals. They must not restore a limit or take back
// that an endpoint is shutting down.
func TestStaleSignalsAreIgnored(t *testing.T) {
	is := is.New(t)
	l := newHost(0, 3)
	l.Observe(at(0), endpoint, signals.Response{Rate: withRate(1).Rate, Draining: true}, at(0), true)
	l.Observe(at(2*time.Second), endpoint, withoutRate, at(time.Second), true)
	is.Equal(len(l.Merge(at(3*time.Second), []fleet.EndpointSignal{{Endpoint: endpoint, Version: 1, Limited: true, Rate: 1}})), 0)
	is.True(!l.Throttled(at(3*time.Second), endpoint))
	l.Merge(at(3*time.Second), []fleet.EndpointSignal{{Endpoint: endpoint, Version: 9, Limited: true, Rate: 2}})
	is.True(l.Throttled(at(3*time.Second), endpoint))
	is.Equal(l.Draining(), []fleet.EndpointID{endpoint})
}

// An endpoint advertises a rate of zero. Some requests must still be sent, or hosts would not learn
// when the limit ends.
func TestZeroRateAllowsOccasionalRequests(t *testing.T) {
	is := is.New(t)
	l := newHost(0, 1)
	n := 0
	for d := time.Duration(0); d < time.Minute; d += time.Second {
		l.Observe(at(d), endpoint, withRate(0), at(d), false)
		if l.TryAcquire(at(d), endpoint) {
			n++
		}
	}
	is.True(n > 0 && n <= 6) // one in ten seconds
}

// advertisedPart is the part of its load that an overloaded endpoint advertises as its rate. span
// is the window in which the endpoint counts requests, which includes those before it advertised
// the rate.
const (
	advertisedPart = 1 / 3.5
	span           = 4 * time.Second
)

// An endpoint receives several times the rate that it then advertises. Requests that hosts sent
// just before they learned of the rate must count against it.
func TestRateCountsEarlierRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 30).Draw(t, "hosts")
		advertised := rapid.Float64Range(1, 30).Draw(t, "rate")
		delay := time.Duration(rapid.IntRange(50, 250).Draw(t, "told")) * time.Millisecond
		const settle, responseTime = 3 * time.Second, 20 * time.Millisecond
		all := make([]*signals.Table, hosts)
		for i := range all {
			all[i] = newHost(i, hosts)
		}
		gap := time.Duration(advertisedPart / advertised * float64(time.Second))
		learned := make([]time.Duration, hosts)
		for i := range learned {
			learned[i] = gap + responseTime + delay
		}
		var sent []time.Duration
		for d, n := -3*time.Second, 0; d < 8*time.Second; d, n = d+gap, n+1 {
			i := rapid.IntRange(0, hosts-1).Draw(t, "at")
			for j, l := range all {
				if learned[j] <= d {
					l.Observe(at(d), endpoint, withRate(advertised), at(d), true)
				}
			}
			if all[i].TryAcquire(at(d), endpoint) {
				sent = append(sent, d)
				if d > 0 {
					learned[i] = min(learned[i], d+responseTime)
				}
			}
		}
		allowed := 1.5*advertised*span.Seconds() + 5
		first := 0
		for last, d := range sent {
			for d-sent[first] > span {
				first++
			}
			if n := last - first + 1; d >= settle && float64(n) > allowed {
				t.Fatalf("%d requests in the %v before %v, want at most %.1f", n, span, d, allowed)
			}
		}
	})
}
