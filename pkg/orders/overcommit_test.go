package orders_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"pgregory.net/rapid"
)

// inUse adds a model that serves a request to a report, so that it is not evicted.
func inUse(r fleet.DemandReport, model string) fleet.DemandReport {
	r.Needs = append(r.Needs, fleet.NeedReport{Service: "llm", Model: model, Inflight: 4, Arrived: 2})
	return r
}

// Guards against a load that is sent after an adapter order has taken the late load of another model for its
// own effect.
func TestAdapterOrderDoesNotHideLateLoad(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights, "x", "y")
		lost := false
		e.nextLoss = func() loss {
			if lost {
				return lostOrder
			}
			return noLoss
		}
		c := newController(e, 1, "x", "y")
		for e.orderCount() == 0 {
			steps(ctx, c, 20*time.Millisecond, inUse(rare("cold", ""), "y"))
		}
		is.Equal(e.held(), []string{"y"})
		e.set(func() { lost = true }) // from the load on, which is given up after some seconds
		steps(ctx, c, 4500*time.Millisecond, inUse(rare("cold", ""), "y"))
		steps(ctx, c, 800*time.Millisecond, inUse(fleet.DemandReport{Host: "h"}, "y"))
		steps(ctx, c, 40*time.Millisecond, inUse(rare("y", "a1"), "y"))
		wanted := rare("x", "")
		wanted.Needs = append(wanted.Needs, rare("y", "a1").Needs...)
		steps(ctx, c, 400*time.Millisecond, inUse(wanted, "y"))
		is.Equal(e.execute(orders.Order{Load: true, Model: "cold", Expected: 1, Token: 1}), orders.Accepted)
		e.set(func() { lost = false })
		steps(ctx, c, 6*time.Second, inUse(wanted, "y"))
		is.Equal(e.faults, nil)
	})
}

// Guards against exceeding an endpoint's memory when orders get no response for some seconds, some of them
// are executed after they were given up, and models and adapters are wanted at once.
func TestBlackoutsWithLateOrdersDoNotOvercommit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type phase struct{ calm, blackout, late int }
		var phases []phase
		for range 4 {
			phases = append(phases, phase{
				calm:     rapid.IntRange(100, 1500).Draw(rt, "calm_ms"),
				blackout: rapid.IntRange(4000, 6000).Draw(rt, "blackout_ms"),
				late:     rapid.IntRange(200, 3500).Draw(rt, "late_ms"),
			})
		}
		wanted := rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y", "cold", "big"}), 60, 60).Draw(rt, "models")
		adapters := rapid.SliceOfN(rapid.SampledFrom([]string{"", "a1", "a2", "a3"}), 60, 60).Draw(rt, "adapters")
		lateShare := rapid.IntRange(1, 6).Draw(rt, "late_share")
		restarts := rapid.IntRange(-2, len(phases)-1).Draw(rt, "restart")
		var faults []string
		runOnce(t, rapid.Bool().Draw(rt, "contention"), func(ctx context.Context) {
			e := newEngine(130, weights, "x", "y")
			dark := false
			e.nextLoss = func() loss {
				switch {
				case dark && e.orders%lateShare == 0:
					return delayedOrder
				case dark:
					return lostOrder
				}
				return noLoss
			}
			c := newController(e, 1, "x", "y")
			c.Endpoints = func(time.Time) []fleet.View {
				return []fleet.View{{Endpoint: fleet.Endpoint{ID: e.id(), Service: "llm", OnDisk: []string{"cold", "x", "y", "big"}}}}
			}
			i := 0
			want := func(d int) {
				for ; d > 0; d -= 500 {
					r := rare(wanted[i%len(wanted)], "")
					if a := adapters[i%len(adapters)]; a != "" {
						r.Needs = append(r.Needs, rare(e.anyHeld(i), a).Needs...)
					}
					i++
					steps(ctx, c, time.Duration(min(d, 500))*time.Millisecond, r)
				}
			}
			for n, p := range phases {
				want(p.calm)
				e.set(func() {
					dark = true
					e.delay = time.Duration(p.blackout+p.late-4000) * time.Millisecond
				})
				want(p.blackout)
				e.set(func() { dark = false })
				if n == restarts {
					e.restart()
				}
			}
			want(6000)
			faults = e.faults
		})
		if len(faults) > 0 {
			rt.Fatalf("endpoint memory exceeded: %v", faults)
		}
	})
}

// Guards against the load of a swap that goes out although an adapter order has just found that another order
// was executed.
func TestSwapEndsWithItsBasis(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights, "y")
		lost := true
		e.nextLoss = func() loss {
			if lost {
				return lostOrder
			}
			return noLoss
		}
		c := newController(e, 1, "y")
		steps(ctx, c, 500*time.Millisecond, inUse(fleet.DemandReport{Host: "h"}, "y"))
		for e.orderCount() == 0 {
			steps(ctx, c, 20*time.Millisecond, inUse(rare("y", "a1"), "y"))
		}
		wanted := rare("x", "")
		wanted.Needs = append(wanted.Needs, rare("y", "a1").Needs...)
		steps(ctx, c, 100*time.Millisecond, inUse(wanted, "y"))
		is.Equal(e.execute(orders.Order{Load: true, Model: "cold", Token: 1}), orders.Accepted)
		e.set(func() { lost = false })
		steps(ctx, c, 6*time.Second, inUse(wanted, "y"))
		is.Equal(e.faults, nil)
		for _, o := range e.receivedOrders("x") {
			is.True(o.Expected > 0)
		}
	})
}

// Guards against counting a loaded model that the configuration no longer lists as free memory.
func TestUnlistedModelTakesMemory(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights, "x", "y")
		c := newController(e, 1, "x", "y")
		steps(ctx, c, 500*time.Millisecond, inUse(fleet.DemandReport{Host: "h"}, "x"))
		reduced := config()
		delete(reduced.Services["llm"].Engine.Models, "y")
		c.Config = func() *fleet.Config { return reduced }
		steps(ctx, c, 3*time.Second, inUse(rare("cold", ""), "x"))
		is.Equal(e.faults, nil)
		is.Equal(e.held(), []string{"cold", "x"})
	})
}

// Guards against a controller that never knew the size of a loaded model and counts it as free memory.
func TestModelOfUnknownSizeTakesMemory(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights, "x", "y")
		c := newController(e, 1, "x", "y")
		reduced := config()
		delete(reduced.Services["llm"].Engine.Models, "y")
		c.Config = func() *fleet.Config { return reduced }
		steps(ctx, c, 3*time.Second, inUse(rare("cold", ""), "x"))
		is.Equal(e.faults, nil)
		is.Equal(e.held(), []string{"cold", "x"})
	})
}

// Guards against a late load that an endpoint executes after a restart that its ID does not show.
func TestMemoryIsReservedAfterUnstatedRestart(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights, "x", "y")
		e.sequence, e.history = 1, nil
		e.record()
		dark := false
		e.nextLoss = func() loss {
			if dark {
				return lostOrder
			}
			return noLoss
		}
		c := newController(e, 1, "x", "y")
		for e.orderCount() < 2 { // an unload, then the load
			steps(ctx, c, 20*time.Millisecond, inUse(rare("cold", ""), "y"))
			e.set(func() { dark = e.orders == 1 })
		}
		late := e.receivedOrders("cold")[0]
		steps(ctx, c, 4500*time.Millisecond, inUse(rare("cold", ""), "y"))
		e.restart()
		e.set(func() { dark = false })
		steps(ctx, c, 4*time.Second, rare("x", ""))
		steps(ctx, c, 2*time.Second, rare("y", ""))
		e.execute(late)
		steps(ctx, c, 15*time.Second, rare("y", ""))
		is.Equal(e.faults, nil)
		is.True(slices.Contains(e.held(), "y"))
	})
}

// Guards against a sequence that runs ahead of the endpoint's after an order for an adapter that was loaded
// already.
func TestPresentAdapterDoesNotAdvanceSequence(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights, "y")
		c := newController(e, 1, "y")
		steps(ctx, c, 500*time.Millisecond, inUse(fleet.DemandReport{Host: "h"}, "y"))
		e.mu.Lock()
		e.holds["y"]["a1"] = true // unknown to the controller
		e.mu.Unlock()
		steps(ctx, c, 300*time.Millisecond, inUse(rare("y", "a1"), "y"))
		steps(ctx, c, time.Second, inUse(rare("x", ""), "y"))
		is.Equal(e.faults, nil)
		for _, o := range e.receivedOrders("x") {
			is.Equal(o.Expected, int64(0))
		}
	})
}

// Guards against counting a loaded model by a smaller size that the configuration has got since.
func TestLoadedModelKeepsItsSize(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights, "x", "y")
		c := newController(e, 1, "x", "y")
		steps(ctx, c, 500*time.Millisecond, inUse(fleet.DemandReport{Host: "h"}, "x"))
		changed := config()
		y := changed.Services["llm"].Engine.Models["y"]
		y.WeightsMB = 5
		changed.Services["llm"].Engine.Models["y"] = y
		c.Config = func() *fleet.Config { return changed }
		steps(ctx, c, 3*time.Second, inUse(rare("cold", ""), "x"))
		is.Equal(e.faults, nil)
		is.Equal(e.held(), []string{"cold", "x"})
	})
}
