package orders_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
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
		e := newEngine(130, weights)
		c := restarting(e)
		late := loseFirstCopies(e)
		for _, model := range []string{"x", "y"} {
			steps(ctx, c, 1500*time.Millisecond, rare(model, ""))
		}
		steps(ctx, c, time.Second, adapters("x", "a2"))
		steps(ctx, c, time.Second, adapters("x", "a3"))
		is.Equal(e.adapters("x"), 2)
		e.restart()
		steps(ctx, c, 1200*time.Millisecond, rare("x", ""))
		steps(ctx, c, 500*time.Millisecond, adapters("x", "a1"))
		late(2, 3)
		is.Equal(e.faults, nil)
		steps(ctx, c, 16*time.Second, adapters("x", "a1"))
		is.Equal(e.faults, nil)
		e.set(func() { is.True(e.holds["x"]["a1"]) })
	})
}
