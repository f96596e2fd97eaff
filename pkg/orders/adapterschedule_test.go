package orders_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"pgregory.net/rapid"
)

// adapterSchedule is a random schedule of demand for models and adapters, lost and late orders, restarts of the
// endpoint under its name and takeovers.
type adapterSchedule struct {
	contention bool
	// transitMS and inUseMS are cycled through: how long adapters are on their way, and how long adapters that
	// are unloaded are still in use.
	transitMS, inUseMS []int
	losses             []loss
	unfenced           bool
	delayMS            int
	// termsMS are the times for which the controllers hold the claim.
	termsMS []int
	// restarts holds the steps before which the endpoint restarts. The list shows it listLagMS later.
	restarts  map[int]bool
	listLagMS int
	models    []string
	adapters  []int
	stepMS    []int
}

func drawAdapterSchedule(rt *rapid.T, lossy bool) adapterSchedule {
	ints := func(label string, n, low, high int) []int {
		return rapid.SliceOfN(rapid.IntRange(low, high), n, n).Draw(rt, label)
	}
	s := adapterSchedule{
		contention: rapid.Bool().Draw(rt, "contention"),
		transitMS:  ints("transit_ms", 10, 5, rapid.SampledFrom([]int{10, 400, 3000}).Draw(rt, "max_transit_ms")),
		inUseMS:    ints("in_use_ms", 6, -200, 200),
		delayMS:    rapid.IntRange(100, 7000).Draw(rt, "delay_ms"),
		termsMS:    ints("term_ms", rapid.IntRange(1, 3).Draw(rt, "terms"), 2000, 9000),
		restarts:   map[int]bool{},
		listLagMS:  rapid.SampledFrom([]int{0, 600, 1600}).Draw(rt, "list_lag_ms"),
		models:     rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "x", "y", "cold", "big"}), 40, 40).Draw(rt, "models"),
		adapters:   ints("adapters", 40, 0, 5),
		stepMS:     ints("step_ms", 40, 20, 900),
	}
	if lossy {
		s.losses = rapid.SliceOfN(rapid.SampledFrom([]loss{noLoss, noLoss, noLoss, lostOrder, lostResponse, delayedOrder, delayedOrder}), 30, 30).Draw(rt, "losses")
	}
	for range rapid.IntRange(0, 2).Draw(rt, "restarts") {
		s.restarts[rapid.IntRange(1, 30).Draw(rt, "restart")] = true
	}
	return s
}

// cycle returns a function that returns the elements of a list of milliseconds in turn, 0 for negative ones.
func cycle(ms []int) func() time.Duration {
	i := -1
	return func() time.Duration {
		i++
		return time.Duration(max(0, ms[i%len(ms)])) * time.Millisecond
	}
}

// run plays the schedule and returns the times at which the endpoint held more than it has room for.
func (s adapterSchedule) run(t *testing.T) []string {
	var faults []string
	runOnce(t, s.contention, func(ctx context.Context) {
		e := newEngine(130, weights, "x", "y")
		e.statesStart, e.unfenced = true, s.unfenced
		e.transit = adapterTransit{duration: cycle(s.transitMS), inUse: cycle(s.inUseMS)}
		if len(s.losses) > 0 {
			e.nextLoss = func() loss { return s.losses[e.orders%len(s.losses)] }
		}
		e.delay = time.Duration(s.delayMS) * time.Millisecond
		listed, listedAt, restartedAt := e.id(), time.Now(), time.Time{}
		step := 0
		for term, ms := range s.termsMS {
			c := newController(e, int64(term+1), "x", "y")
			c.Endpoints = func(now time.Time) []fleet.View {
				if listed != e.id() && now.Sub(listedAt) >= time.Duration(s.listLagMS)*time.Millisecond {
					listed, restartedAt = e.id(), now
				}
				return []fleet.View{{RestartedAt: restartedAt, Endpoint: fleet.Endpoint{ID: listed, Service: "llm", OnDisk: []string{"cold", "x", "y", "big"}}}}
			}
			for end := time.Now().Add(time.Duration(ms) * time.Millisecond); time.Now().Before(end); step++ {
				if s.restarts[step] {
					e.restart()
					listedAt = time.Now()
				}
				steps(ctx, c, time.Duration(s.stepMS[step%len(s.stepMS)])*time.Millisecond, s.demand(e, step))
			}
		}
		steps(ctx, newController(e, int64(len(s.termsMS)+1)), 3*time.Second, fleet.DemandReport{Host: "h"})
		faults = e.faults
	})
	return faults
}

// demand returns the requests that wait in a step: for a model or for up to two adapters of a loaded one.
func (s adapterSchedule) demand(e *engine, step int) fleet.DemandReport {
	if m := s.models[step%len(s.models)]; m != "" {
		return rare(m, "")
	}
	r := rare(e.anyHeld(step), fmt.Sprint("a", s.adapters[step%len(s.adapters)]))
	r.Needs = append(r.Needs, rare(e.anyHeld(step+1), fmt.Sprint("a", s.adapters[(step+7)%len(s.adapters)])).Needs...)
	return r
}

// Guards against exceeding an endpoint's memory or adapter slots while adapters are on their way to it, adapters that
// are unloaded are still in use, and the endpoint restarts.
func TestAdaptersInTransitDoNotOvercommit(t *testing.T) {
	checkAdapterSchedules(t, false)
}

// Guards against exceeding an endpoint's memory or adapter slots when orders are lost or executed late beside restarts
// and takeovers.
func TestLateAdapterOrdersDoNotOvercommit(t *testing.T) {
	checkAdapterSchedules(t, true)
}

func checkAdapterSchedules(t *testing.T, lossy bool) {
	rapid.Check(t, func(rt *rapid.T) {
		if faults := drawAdapterSchedule(rt, lossy).run(t); len(faults) > 0 {
			rt.Fatalf("endpoint capacity exceeded: %v", faults)
		}
	})
}
