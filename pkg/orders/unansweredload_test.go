package orders_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
)

// Guards against a delayed load that a restarted endpoint executes in addition to the
// models that it holds already.
func TestMemoryIsReservedForDelayedLoad(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.New(t)
		e := newEngine(130, weights)
		c := newController(e, 1)
		startMillis := int64(100)
		c.Endpoints = func(time.Time) []fleet.View {
			return []fleet.View{{Endpoint: fleet.Endpoint{ID: fleet.NewEndpointID("e", startMillis), Service: "llm", OnDisk: []string{"cold", "x", "y"}}}}
		}
		e.nextLoss = func() loss {
			if startMillis == 100 && e.sequence == 3 {
				return delayedOrder // the load of the third model, after an unload
			}
			return noLoss
		}
		for _, model := range []string{"x", "y"} {
			steps(ctx, c, time.Second, rare(model, ""))
		}
		is.Equal(e.held(), []string{"x", "y"})
		steps(ctx, c, 500*time.Millisecond, rare("cold", ""))
		e.restart()
		startMillis = 200
		report := rare("x", "a1")
		report.Needs = append(report.Needs, rare("y", "").Needs...)
		steps(ctx, c, 6*time.Second, report)
		is.Equal(e.faults, nil)
		is.True(len(e.held()) > 0)
		steps(ctx, c, 14*time.Second, report)
		is.Equal(len(e.held()), 2) // the load can no longer arrive
	})
}

// rare returns a report of a request for a rarely used model.
func rare(model, adapter string) fleet.DemandReport {
	r := waiting(model, adapter)
	r.Needs[0].Arrived = 0
	return r
}

// restarting returns a controller whose endpoint restarts under its name when restart is called.
func restarting(e *engine) *orders.Controller { return restartingWithToken(e, 1) }

func restartingWithToken(e *engine, token int64) *orders.Controller {
	c := newController(e, token)
	c.Endpoints = func(time.Time) []fleet.View {
		return []fleet.View{{RestartedAt: e.restartedAt(), Endpoint: fleet.Endpoint{ID: e.id(), Service: "llm", OnDisk: []string{"big", "cold", "x", "y"}}}}
	}
	return c
}

// Guards against a swap that continues after its endpoint has restarted: the new incarnation would
// execute the load in addition to the models that it was given since.
func TestSwapEndsWhenEndpointRestarts(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights, "x", "y")
		c := restarting(e)
		for e.orderCount() == 0 {
			steps(ctx, c, 20*time.Millisecond, rare("cold", ""))
		}
		e.restart()
		steps(ctx, c, 4*time.Second, rare("big", ""))
		is.Equal(len(e.faults), 0)
		is.Equal(e.held(), []string{"big"})
	})
}

// Guards against a load that is in flight while its endpoint restarts, and is executed after the new
// incarnation was given another model.
func TestMemoryIsReservedForLoadInFlight(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.NewRelaxed(t)
		e := newEngine(130, weights, "x", "y")
		e.delay = 900 * time.Millisecond
		e.nextLoss = func() loss {
			if e.orders == 2 {
				return delayedOrder // the load of the first swap
			}
			return noLoss
		}
		c := restarting(e)
		for e.orderCount() < 2 {
			steps(ctx, c, 20*time.Millisecond, rare("cold", ""))
		}
		e.restart()
		steps(ctx, c, 4*time.Second, rare("big", ""))
		is.Equal(len(e.faults), 0)
	})
}
