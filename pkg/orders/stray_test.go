package orders_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// A load is held up on its way, and the endpoint starts again under its name meanwhile.
// The new incarnation is filled, and when it has accepted as many orders as the load
// expects, the load is carried out: the endpoint crashes with all its requests.
func TestLateLoadFindsRoomAtTheNextIncarnation(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.New(t)
		e := newEngine(130, weights)
		g := newController(e, 1)
		born := int64(100)
		g.Endpoints = func(time.Time) []fleet.View {
			return []fleet.View{{Endpoint: fleet.Endpoint{ID: fleet.NewEndpointID("e", born), Service: "llm", OnDisk: []string{"cold", "x", "y"}}}}
		}
		e.lose = func() loss {
			if born == 100 && e.sequence == 3 {
				return late // the load of the third model, after an unload
			}
			return nothing
		}
		for _, model := range []string{"x", "y"} {
			steps(ctx, g, time.Second, rare(model, ""))
		}
		is.Equal(e.held(), []string{"x", "y"})
		steps(ctx, g, 500*time.Millisecond, rare("cold", ""))
		e.restart()
		born = 200
		needs := rare("x", "a1")
		needs.Needs = append(needs.Needs, rare("y", "").Needs...)
		steps(ctx, g, 6*time.Second, needs)
		is.Equal(e.faults, nil)
		is.True(len(e.held()) > 0)
		steps(ctx, g, 14*time.Second, needs)
		is.Equal(len(e.held()), 2) // the load cannot come any more
	})
}

// rare is a report of a request that waits for a model which is seldom asked for.
func rare(model, adapter string) fleet.DemandReport {
	r := waiting(model, adapter)
	r.Needs[0].Arrived = 0
	return r
}
