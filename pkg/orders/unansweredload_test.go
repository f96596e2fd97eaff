package orders_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
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
