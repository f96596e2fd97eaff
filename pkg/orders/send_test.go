package orders_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
)

// Endpoints leave every other order unanswered. Each cost a second: its timeout,
// and the lag of the report that was asked before it was sent again; models were
// swapped in at a third of the usual pace and most requests for them were late.
func TestUnansweredOrdersCostLittle(t *testing.T) {
	is := is.NewRelaxed(t)
	for _, l := range []loss{lostOrder, late} {
		run(t, func(ctx context.Context) {
			e := newEngine(130, weights, "x", "y")
			n := 0
			e.lose = func() loss {
				if n++; n%2 == 1 {
					return l
				}
				return nothing
			}
			g := newController(e, 1, "x", "y")
			start := time.Now()
			for !slices.Contains(e.held(), "cold") && time.Since(start) < 10*time.Second {
				steps(ctx, g, 20*time.Millisecond, waiting("cold", ""))
			}
			is.True(time.Since(start) < 2*time.Second)
			is.Equal(len(e.faults), 0)
		})
	}
}

// A load is given up without an answer; its late copy is carried out just as the
// next load, which expects the same sequence, gets no answer either. The report
// then shows an order more, which passed for the new load: the controller
// believed in a model that was not there, and the next one had no place.
func TestLateOrderDoesNotPassForTheNext(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights, "x")
		start := time.Now()
		e.lose = func() loss {
			if time.Since(start) < 6200*time.Millisecond {
				return lostOrder
			}
			return nothing
		}
		g := newController(e, 1, "x")
		// Rates would make the models busy ones.
		want := func(model string) fleet.DemandReport {
			r := waiting(model, "")
			r.Needs[0].Arrived = 0
			return r
		}
		steps(ctx, g, 4600*time.Millisecond, want("y"))
		steps(ctx, g, 1500*time.Millisecond, want("cold"))
		e.carryOut(orders.Order{Load: true, Model: "y", Token: 1})
		steps(ctx, g, time.Second, want("cold"))
		steps(ctx, g, 4*time.Second, want("big"))
		is.Equal(len(e.faults), 0)
	})
}

// An unload is carried out, its answer is lost, and another holder's load comes
// before the repeat, whose report says a sequence two higher. Taken for the own
// unload it left the other load uncounted, and the endpoint got 170 MB of 130.
func TestForeignOrderDoesNotPassForTheOwn(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights, "x")
		e.lose = func() loss {
			if e.orders > 1 {
				return nothing
			}
			time.AfterFunc(time.Millisecond, func() {
				is.Equal(e.carryOut(orders.Order{Load: true, Model: "y", Expected: 1, Token: 1}), orders.Accepted)
			})
			return lostAnswer
		}
		g := newController(e, 1, "x")
		steps(ctx, g, 4*time.Second, waiting("big", ""))
		is.Equal(len(e.faults), 0)
		is.Equal(e.held(), []string{"big"})
	})
}
