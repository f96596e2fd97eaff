package orders_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
)

// adapters returns a report of requests that wait for adapters of a model.
func adapters(model string, names ...string) fleet.DemandReport {
	r := fleet.DemandReport{Host: "h"}
	for _, name := range names {
		r.Needs = append(r.Needs, rare(model, name).Needs...)
	}
	return r
}

// Guards against counting the slots of adapters in transit as free once their model is unloaded.
func TestAdaptersInTransitOutliveTheirModel(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		run(t, func(ctx context.Context) {
			is := is.NewRelaxed(t)
			e := newEngine(130, weights, "x", "y")
			e.transit.duration = cycle([]int{5000, 5000, 10, 10, 10, 10})
			c := newController(e, 1, "x", "y")
			steps(ctx, c, 600*time.Millisecond, fleet.DemandReport{Host: "h"})
			steps(ctx, c, 200*time.Millisecond, adapters("x", "a1", "a2"))
			is.Equal(len(e.transit.adapters), 2)
			steps(ctx, c, 1200*time.Millisecond, rare("big", ""))
			is.Equal(e.held(), []string{"big"})
			if takeover {
				c = newController(e, 2)
			}
			steps(ctx, c, 2*time.Second, adapters("big", "a1", "a2"))
			is.Equal(e.faults, nil)
			steps(ctx, c, 3*time.Second, adapters("big", "a1", "a2"))
			is.Equal(e.faults, nil)
			is.Equal(e.adapters("big"), 2) // The slots are free now.
		})
	}
}

// Guards against unloading an adapter in transit, which changes nothing at the endpoint: the next load then goes out
// with a sequence that a late order may make valid.
func TestAdapterInTransitIsNotEvicted(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights, "x")
		e.transit.duration = cycle([]int{5000, 10, 10, 10})
		c := newController(e, 1, "x")
		steps(ctx, c, 600*time.Millisecond, fleet.DemandReport{Host: "h"})
		steps(ctx, c, 100*time.Millisecond, adapters("x", "a1"))
		steps(ctx, c, 100*time.Millisecond, adapters("x", "a2"))
		steps(ctx, c, 500*time.Millisecond, fleet.DemandReport{Host: "h"})
		steps(ctx, c, 100*time.Millisecond, adapters("x", "a3"))
		e.execute(orders.Order{Load: true, Model: "cold", Expected: 2, Token: 1}) // late
		steps(ctx, c, 3*time.Second, adapters("x", "a3"))
		is.Equal(e.faults, nil)
		e.set(func() { is.True(e.holds["x"]["a3"]) })
		for _, o := range e.received {
			is.True(o.Load || o.Adapter != "a1")
		}
	})
}

// Guards against evicting an adapter that is too small to make room for the one that is loaded.
func TestEvictedAdapterMakesRoom(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights, "x", "y")
		const sizeMB = 9 // the endpoint has 10 MB besides the models
		e.transit.sizes = map[string]float64{"y": sizeMB}
		c := newController(e, 1, "x", "y")
		y := c.Config().Services["llm"].Engine.Models["y"]
		y.AdapterMB = sizeMB
		c.Config().Services["llm"].Engine.Models["y"] = y
		steps(ctx, c, 800*time.Millisecond, adapters("x", "a1"))
		steps(ctx, c, 800*time.Millisecond, adapters("y", "a1"))
		steps(ctx, c, 800*time.Millisecond, adapters("y", "a2"))
		is.Equal(e.faults, nil)
	})
}

// Guards against sending the load of an adapter that no longer fits after it has waited for other orders.
func TestWaitingAdapterIsCheckedAgain(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights, "x")
		c := newController(e, 1, "x")
		var current atomic.Pointer[fleet.Config]
		current.Store(config())
		c.Config = current.Load
		steps(ctx, c, 800*time.Millisecond, adapters("x", "a1"))
		e.set(func() { e.transit.unloading = true }) // rejects orders
		steps(ctx, c, 600*time.Millisecond, adapters("x", "a2"))
		synctest.Wait() // No order is between its check and its acceptance.
		reduced := config()
		reduced.Services["llm"].Engine.AdapterSlots = 1
		current.Store(reduced)
		e.set(func() { e.transit.unloading = false })
		steps(ctx, c, 200*time.Millisecond, adapters("x", "a2"))
		is.Equal(e.adapters("x"), 1)
		steps(ctx, c, 3*time.Second, adapters("x", "a2"))
		is.Equal(e.adapters("x"), 1)
		e.set(func() { is.True(e.holds["x"]["a2"]) }) // in place of the other one
	})
}
