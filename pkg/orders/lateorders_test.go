package orders_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
)

// loseFirstCopies makes an endpoint lose the first copy of each order. It returns a function that executes those of
// the first incarnation with the given expected sequences, late and in order.
func loseFirstCopies(e *engine) func(expected ...int64) {
	seen := map[orders.Order]bool{}
	e.nextLoss = func() loss {
		o := e.received[len(e.received)-1]
		if e.restarts > 0 || seen[o] {
			return noLoss
		}
		seen[o] = true
		return lostOrder
	}
	return func(expected ...int64) {
		for _, sequence := range expected {
			for o := range seen {
				if o.Expected == sequence {
					e.execute(o)
				}
			}
			time.Sleep(loadTime + 10*time.Millisecond)
		}
	}
}

// Guards against reserving memory for one late load only: after a restart several may follow one another.
func TestMemoryIsReservedForConsecutiveLateLoads(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(190, weights)
		c := restarting(e)
		c.Config().Services["llm"].Engine.WeightsMB = 190
		late := loseFirstCopies(e)
		for _, model := range []string{"x", "y", "cold"} {
			steps(ctx, c, 1500*time.Millisecond, rare(model, ""))
		}
		is.Equal(e.held(), []string{"cold", "x", "y"})
		e.restart()
		steps(ctx, c, 1200*time.Millisecond, rare("big", ""))
		late(1, 2)
		is.Equal(e.faults, nil)
		steps(ctx, c, 16*time.Second, rare("big", ""))
		is.Equal(e.faults, nil)
		e.set(func() { is.True(e.holds["big"] != nil) })
	})
}

// Guards against counting the slots of late adapter loads as free after a restart.
func TestSlotsAreReservedForLateAdapterLoads(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(250, weights)
		c := restarting(e)
		c.Config().Services["llm"].Engine.WeightsMB = 250 // enough for x beside the late loads of models
		late := loseFirstCopies(e)
		for _, model := range []string{"x", "y"} {
			steps(ctx, c, 1500*time.Millisecond, rare(model, ""))
		}
		steps(ctx, c, time.Second, adapters("x", "a2"))
		steps(ctx, c, time.Second, adapters("x", "a3"))
		is.Equal(e.adapters("x"), 2)
		e.restart()
		steps(ctx, c, 1200*time.Millisecond, rare("x", ""))
		is.Equal(e.held(), []string{"x"})
		steps(ctx, c, 500*time.Millisecond, adapters("x", "a1"))
		late(2, 3)
		is.Equal(e.faults, nil)
		steps(ctx, c, 16*time.Second, adapters("x", "a1"))
		is.Equal(e.faults, nil)
		e.set(func() { is.True(e.holds["x"]["a1"]) })
	})
}

// Guards against acting on models of before a restart that the list does not show yet: an unload that is done already
// shows that the endpoint does not hold what is known.
func TestUnloadOfMissingModelEndsSwap(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights, "x", "y")
		e.sequence, e.history = 1, nil
		e.record()
		c := newController(e, 2, "x", "y")
		steps(ctx, c, 600*time.Millisecond, rare("x", ""))
		e.restart()
		is.Equal(e.execute(orders.Order{Load: true, Model: "cold", Expected: 0, Token: 1}), orders.Accepted) // of a former controller
		time.Sleep(loadTime + 10*time.Millisecond)
		steps(ctx, c, 4*time.Second, rare("big", ""))
		is.Equal(e.faults, nil)
		is.Equal(e.held(), []string{"big"})
	})
}

// Guards against taking a model that is loaded already for the only one that is not known.
func TestLoadOfPresentModelEndsSwap(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(190, weights)
		e.sequence, e.history = 2, nil
		e.record()
		c := newController(e, 2)
		c.Config().Services["llm"].Engine.WeightsMB = 190
		steps(ctx, c, 600*time.Millisecond, fleet.DemandReport{Host: "h"})
		e.restart()
		for i, model := range []string{"y", "cold"} { // of a former controller
			is.Equal(e.execute(orders.Order{Load: true, Model: model, Expected: int64(i), Token: 1}), orders.Accepted)
			time.Sleep(loadTime + 10*time.Millisecond)
		}
		steps(ctx, c, time.Second, rare("y", ""))
		steps(ctx, c, 4*time.Second, rare("big", ""))
		is.Equal(e.faults, nil)
	})
}

// Guards against loads that a former controller has given up and that a restarted endpoint executes in addition to
// those of the new controller, which does not know of them.
func TestTakeoverReservesRoomForLateLoads(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights)
		e.unfenced = true
		c := restarting(e)
		late := loseFirstCopies(e)
		for _, model := range []string{"x", "y"} {
			steps(ctx, c, 1500*time.Millisecond, rare(model, ""))
		}
		e.restart()
		c = restartingWithToken(e, 2)
		steps(ctx, c, 2*time.Second, rare("big", ""))
		late(1)
		is.Equal(e.faults, nil)
		steps(ctx, c, 16*time.Second, rare("big", ""))
		is.Equal(e.faults, nil)
		is.Equal(e.held(), []string{"big"})
	})
}
