package keepalive_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tealvane/tealvane/pkg/keepalive"
)

// series is the arrival times and the load time of one model.
type series struct {
	arrivals []time.Duration
	load     time.Duration
}

const simulatedTime = 7 * 24 * time.Hour

// workload generates the arrivals of a customer's models. One third come in sessions, one
// third at random with rates from one a minute to one a day, and one third are scheduled jobs
// with jitter.
func workload(models int, seed uint64) []series {
	rnd := rand.New(rand.NewPCG(seed, 1))
	list := make([]series, models)
	for i := range list {
		list[i].load = time.Duration(2+rnd.Float64()*8) * time.Second
		switch i % 3 {
		case 0:
			list[i].arrivals = sessions(rnd)
		case 1:
			list[i].arrivals = atRandom(rnd)
		default:
			list[i].arrivals = scheduled(rnd)
		}
	}
	return list
}

func exponential(rnd *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rnd.ExpFloat64() * float64(mean))
}

func sessions(rnd *rand.Rand) (list []time.Duration) {
	between := time.Duration(1+rnd.Float64()*12) * time.Hour
	within := time.Duration(5+rnd.Float64()*55) * time.Second
	for at := exponential(rnd, between); at < simulatedTime; at += exponential(rnd, between) {
		for range 1 + rnd.IntN(30) {
			list = append(list, at)
			at += exponential(rnd, within)
		}
	}
	return list
}

func atRandom(rnd *rand.Rand) (list []time.Duration) {
	mean := time.Duration(float64(time.Minute) * math.Pow(1440, rnd.Float64()))
	for at := exponential(rnd, mean); at < simulatedTime; at += exponential(rnd, mean) {
		list = append(list, at)
	}
	return list
}

func scheduled(rnd *rand.Rand) (list []time.Duration) {
	period := []time.Duration{15 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}[rnd.IntN(4)]
	for at := exponential(rnd, period); at < simulatedTime; at += period {
		list = append(list, at+time.Duration(rnd.Float64()*0.02*float64(period)))
	}
	return list
}

// outcome accumulates the results of a policy.
type outcome struct {
	idle  time.Duration
	waits []float64
}

// run replays the arrivals of a model under a policy. choose returns the plan to follow after
// a request.
func (o *outcome) run(s series, choose func(*keepalive.Gaps, time.Duration) keepalive.Plan) {
	var gaps keepalive.Gaps
	plan := choose(&gaps, s.load)
	for i := 1; i < len(s.arrivals); i++ {
		gap := s.arrivals[i] - s.arrivals[i-1]
		o.idle += idleTime(plan, gap)
		wait := s.load
		if plan.Keep >= gap || plan.Preload(gap) {
			wait = max(0, s.load-max(gap-plan.PreloadAt, 0))
			if plan.Keep >= gap {
				wait = 0
			}
		}
		o.waits = append(o.waits, wait.Seconds())
		gaps.Observe(gap)
		if i%8 == 0 || i < 16 {
			plan = choose(&gaps, s.load)
		}
	}
}

// idleTime returns how long the model was loaded without serving a request in a gap, including
// preloading.
func idleTime(p keepalive.Plan, gap time.Duration) time.Duration {
	idle := min(gap, p.Keep)
	if p.PreloadUntil > 0 {
		idle += max(0, min(gap, p.PreloadUntil)-max(p.PreloadAt, p.Keep))
	}
	return idle
}

func (o *outcome) report(b *testing.B) {
	slices.Sort(o.waits)
	at := func(q float64) float64 { return o.waits[int(q*float64(len(o.waits)-1))] }
	cold, sum := 0, 0.0
	for _, w := range o.waits {
		sum += w
		if w > 0 {
			cold++
		}
	}
	b.ReportMetric(o.idle.Hours(), "idle-hours")
	b.ReportMetric(at(0.5), "cold-p50-s")
	b.ReportMetric(at(0.99), "cold-p99-s")
	b.ReportMetric(100*float64(cold)/float64(len(o.waits)), "cold-%")
	b.ReportMetric(sum/float64(len(o.waits))*1000, "mean-ms")
	b.ReportMetric(0, "ns/op")
}

func benchmarkPolicy(b *testing.B, list []series, choose func(*keepalive.Gaps, time.Duration) keepalive.Plan) {
	for range b.N {
		var o outcome
		for _, s := range list {
			o.run(s, choose)
		}
		o.report(b)
	}
}

// BenchmarkKeepAlive reports idle accelerator hours and cold starts in a simulated week, for
// fixed timeouts and for the policy with several costs of a second of cold start.
func BenchmarkKeepAlive(b *testing.B) {
	for _, customer := range []struct {
		name   string
		models int
	}{{"abay", 220}, {"alas", 105}} {
		list := workload(customer.models, 7)
		for _, timeout := range []time.Duration{0, 30 * time.Second, 2 * time.Minute, 10 * time.Minute, time.Hour, 4 * time.Hour} {
			b.Run(fmt.Sprintf("%s/fixed=%s", customer.name, timeout), func(b *testing.B) {
				benchmarkPolicy(b, list, func(*keepalive.Gaps, time.Duration) keepalive.Plan {
					return keepalive.Plan{Keep: timeout}
				})
			})
		}
		for _, cold := range []float64{0.001, 0.01, 0.03, 0.1, 0.2, 1} {
			b.Run(fmt.Sprintf("%s/policy=%g", customer.name, cold), func(b *testing.B) {
				benchmarkPolicy(b, list, func(g *keepalive.Gaps, load time.Duration) keepalive.Plan {
					return g.Choose(keepalive.Cost{IdleHour: 1, ColdStartSecond: cold, Load: load}, 2*time.Minute)
				})
			})
		}
	}
}
