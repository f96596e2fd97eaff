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

// mostAtOnce is how many requests a host wants to send at the same moment.
const mostAtOnce = 30

func at(d time.Duration) time.Time { return start.Add(d) }

// host returns one host of several that know one another.
func host(self int, all int) *signals.Table {
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

// rate is an answer that states a rate, none one that states nothing.
func rate(r float64) signals.Answer { return signals.Answer{Rate: &r} }

var none signals.Answer

// All hosts have many requests for an endpoint that states a rate. Together they exceed what it
// allows, each by a little.
func TestAllHostsTogetherKeepToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 300).Draw(t, "hosts")
		stated := rapid.Float64Range(0, 60).Draw(t, "rate")
		steady := rapid.Bool().Draw(t, "steady")
		const step, span, window = 20 * time.Millisecond, 12 * time.Second, 4 * time.Second
		var all []*signals.Table
		for i := range hosts {
			l := host(i, hosts)
			l.Observe(start, endpoint, rate(stated), start, true)
			all = append(all, l)
		}
		var sent []time.Duration
		for d := time.Duration(0); d < span; d += step {
			for _, l := range all {
				// Hosts with nothing to send for some time have their parts left.
				for n := 0; n < mostAtOnce && (steady || d >= span-window) && l.Use(at(d), endpoint); n++ {
					sent = append(sent, d)
				}
			}
			if d%time.Second == 0 {
				for _, l := range all {
					l.Observe(at(d), endpoint, rate(stated), start, true)
				}
			}
		}
		allowed := 1.5*stated*window.Seconds() + 5
		first := 0
		for last, d := range sent {
			for d-sent[first] > window {
				first++
			}
			if n := last - first + 1; float64(n) > allowed {
				t.Fatalf("%d requests in %v of %d hosts, %.1f are allowed", n, window, hosts, allowed)
			}
		}
		if steady && stated >= 2 && hosts <= 8 && float64(len(sent)) < 0.5*stated*span.Seconds() {
			t.Fatalf("%d requests in %v at %.1f a second: the endpoint could do more", len(sent), span, stated)
		}
	})
}

// An answer from before the endpoint stated its rate arrives late, or is one to a request that
// was not run. Taken for the end of the limit, all hosts would send as before.
func TestLimitEndsOnlyByALaterAnswer(t *testing.T) {
	is := is.New(t)
	l := host(0, 9)
	l.Observe(at(time.Second), endpoint, rate(1), at(0), true)
	l.Observe(at(2*time.Second), endpoint, none, at(500*time.Millisecond), true)
	l.Observe(at(2*time.Second), endpoint, none, at(1500*time.Millisecond), false)
	is.True(l.InNeed(at(2*time.Second), endpoint))
	l.Observe(at(2*time.Second), endpoint, none, at(1500*time.Millisecond), true)
	is.True(!l.InNeed(at(2*time.Second), endpoint))
}

// Nobody sends to an endpoint that has stated a rate, so that no answer can show that it does no
// more. It was left alone for good.
func TestLimitEndsWhereNobodySeesIt(t *testing.T) {
	is := is.New(t)
	l := host(0, 9)
	l.Observe(at(0), endpoint, rate(1), at(0), true)
	is.True(l.InNeed(at(5*time.Second), endpoint))
	l.Observe(at(5*time.Second), endpoint, rate(1), at(0), true)
	is.True(l.InNeed(at(12*time.Second), endpoint))
	is.True(!l.InNeed(at(16*time.Second), endpoint))
}

// Hosts see changes at the same time and tell one another in any order. One that kept another
// limit than the others would exceed theirs.
func TestHostsAgreeOnLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*signals.Table{host(0, 3), host(1, 3), host(2, 3)}
		steps := rapid.IntRange(1, 30).Draw(t, "steps")
		for i := range steps {
			now := at(time.Duration(i) * time.Second)
			from := hosts[rapid.IntRange(0, 2).Draw(t, "from")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 3:
				from.Observe(now, endpoint, signals.Answer{Leaving: true}, now, false)
			case 0:
				from.Observe(now, endpoint, rate(rapid.Float64Range(0, 5).Draw(t, "rate")), now, true)
			case 1:
				from.Observe(now, endpoint, none, now, true)
			default:
				hosts[rapid.IntRange(0, 2).Draw(t, "to")].Take(now, from.All())
			}
		}
		for range 2 {
			for _, a := range hosts {
				for _, b := range hosts {
					a.Take(at(time.Minute), b.All())
				}
			}
		}
		for _, h := range hosts {
			if h.Sum() != hosts[0].Sum() || len(h.All()) > 0 && h.All()[0] != hosts[0].All()[0] {
				t.Fatalf("%v, %v", h.All(), hosts[0].All())
			}
		}
	})
}

// An endpoint asks for a pause twice, the second time for a shorter one, and is asked for a model
// and by the controller. Any of these ended the first pause.
func TestPauseHoldsForAllRequests(t *testing.T) {
	is := is.New(t)
	l := host(0, 9)
	l.Observe(at(0), endpoint, signals.Answer{Pause: 3 * time.Second}, at(0), false)
	l.Observe(at(time.Second), endpoint, signals.Answer{Pause: time.Second}, at(0), false)
	is.True(!l.Use(at(2900*time.Millisecond), endpoint))
	until, wait := l.Next(at(2*time.Second), endpoint)
	is.True(wait)
	is.Equal(until, at(3*time.Second))
	is.True(l.Use(at(3*time.Second), endpoint))
	is.Equal(l.Sum(), uint64(0)) // it concerns this host only
}

// An endpoint states a rate and asks for a pause: the later time counts.
func TestPauseOfALimitedEndpoint(t *testing.T) {
	is := is.New(t)
	l := host(0, 1)
	l.Observe(at(0), endpoint, signals.Answer{Rate: rate(1).Rate, Pause: 4 * time.Second}, at(0), false)
	until, wait := l.Next(at(100*time.Millisecond), endpoint)
	is.True(wait)
	is.Equal(until, at(4*time.Second))
	is.True(l.Use(at(4*time.Second), endpoint))
	until, wait = l.Next(at(4*time.Second), endpoint)
	is.True(wait)
	is.Equal(until, at(5*time.Second))
}

// A host that was cut off tells what others know to be over. It brought a rate back, and made an
// endpoint that leaves one that stays.
func TestOldNewsChangesNothing(t *testing.T) {
	is := is.New(t)
	l := host(0, 3)
	l.Observe(at(0), endpoint, signals.Answer{Rate: rate(1).Rate, Leaving: true}, at(0), true)
	l.Observe(at(2*time.Second), endpoint, none, at(time.Second), true)
	is.Equal(len(l.Take(at(3*time.Second), []fleet.EndpointSignal{{Endpoint: endpoint, Version: 1, Limited: true, Rate: 1}})), 0)
	is.True(!l.InNeed(at(3*time.Second), endpoint))
	l.Take(at(3*time.Second), []fleet.EndpointSignal{{Endpoint: endpoint, Version: 9, Limited: true, Rate: 2}})
	is.True(l.InNeed(at(3*time.Second), endpoint))
	is.Equal(l.Leaving(), []fleet.EndpointID{endpoint})
}

// An endpoint states that it takes nothing. Without any request, nobody would learn when it does.
func TestRateOfZeroIsTriedNowAndThen(t *testing.T) {
	is := is.New(t)
	l := host(0, 1)
	n := 0
	for d := time.Duration(0); d < time.Minute; d += time.Second {
		l.Observe(at(d), endpoint, rate(0), at(d), false)
		if l.Use(at(d), endpoint) {
			n++
		}
	}
	is.True(n > 0 && n <= 6) // one in ten seconds
}

// statedPart is the part of its load that an endpoint in need states as its rate, and span the time
// in which it counts, which reaches back to before it did.
const (
	statedPart = 1 / 3.5
	span       = 4 * time.Second
)

// An endpoint that gets several times the rate which it then states has got much of what it allows
// for the next seconds already. Hosts that began with their parts at once, and left out what they
// had just sent, exceeded it.
func TestRateHoldsForTheSpanInWhichItIsStated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 30).Draw(t, "hosts")
		stated := rapid.Float64Range(1, 30).Draw(t, "rate")
		told := time.Duration(rapid.IntRange(50, 250).Draw(t, "told")) * time.Millisecond
		const settle, answer = 3 * time.Second, 20 * time.Millisecond
		all := make([]*signals.Table, hosts)
		for i := range all {
			all[i] = host(i, hosts)
		}
		gap := time.Duration(statedPart / stated * float64(time.Second))
		learned := make([]time.Duration, hosts)
		for i := range learned {
			learned[i] = gap + answer + told
		}
		var sent []time.Duration
		for d, n := -3*time.Second, 0; d < 8*time.Second; d, n = d+gap, n+1 {
			i := rapid.IntRange(0, hosts-1).Draw(t, "at")
			for j, l := range all {
				if learned[j] <= d {
					l.Observe(at(d), endpoint, rate(stated), at(d), true)
				}
			}
			if all[i].Use(at(d), endpoint) {
				sent = append(sent, d)
				if d > 0 {
					learned[i] = min(learned[i], d+answer)
				}
			}
		}
		allowed := 1.5*stated*span.Seconds() + 5
		first := 0
		for last, d := range sent {
			for d-sent[first] > span {
				first++
			}
			if n := last - first + 1; d >= settle && float64(n) > allowed {
				t.Fatalf("%d requests in %v until %v, %.1f are allowed", n, span, d, allowed)
			}
		}
	})
}
