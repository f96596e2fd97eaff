package serve_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
)

func requestWithObjective(objective, budget time.Duration) *serve.Request {
	now := time.Unix(1000, 0)
	return &serve.Request{Route: fleet.Route{Objective: objective}, Arrived: now, Deadline: now.Add(budget)}
}

func TestHold(t *testing.T) {
	r := requestWithObjective(2500*time.Millisecond, 10*time.Second)
	at := func(d time.Duration) time.Time { return r.Arrived.Add(d) }
	for _, c := range []struct {
		name string
		s    serve.HoldInput
		hold bool
	}{
		{"new request waits", serve.HoldInput{Now: at(0)}, true},
		{"request waits after half of its timeout", serve.HoldInput{Now: at(5 * time.Second)}, true},
		{"request is refused while its client can still retry", serve.HoldInput{Now: at(6 * time.Second)}, false},
		{"request waits if the model is about to be loaded", serve.HoldInput{Now: at(6 * time.Second), ReadyAt: at(7 * time.Second)}, true},
		{"request is refused at once if the model cannot be loaded in time", serve.HoldInput{Now: at(0), ColdReadyAt: at(12 * time.Second)}, false},
		{"request waits if the model can be loaded in time", serve.HoldInput{Now: at(0), ColdReadyAt: at(7 * time.Second)}, true},
		{"request is refused at once if no configuration names the model", serve.HoldInput{Now: at(0), HasEndpoints: true, NotConfigured: true}, false},
		{"request is refused if the load finishes too late", serve.HoldInput{Now: at(6 * time.Second), ReadyAt: at(11 * time.Second)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, retryAfter, hold := serve.Hold(r, c.s)
			is.Equal(hold, c.hold)
			if !hold {
				remaining := r.Deadline.Sub(c.s.Now)
				is.True(retryAfter > 0 && retryAfter <= remaining/3) // clients ignore a longer Retry-After
			}
		})
	}
}

// If more models are requested than can be loaded in time, a request that already missed its
// objective must yield to one that can still meet it, but not beyond its own deadline.
func TestLateRequestsYieldToRequestsOnTime(t *testing.T) {
	is := is.New(t)
	old := requestWithObjective(2500*time.Millisecond, 10*time.Second)
	fresh := requestWithObjective(2500*time.Millisecond, 10*time.Second)
	fresh.Arrived = old.Arrived.Add(2 * time.Second)
	fresh.Deadline = fresh.Arrived.Add(10 * time.Second)
	now := fresh.Arrived
	freshDue, onTime := serve.DemandRank(fresh, now)
	is.True(onTime)
	oldDue, onTime := serve.DemandRank(old, now)
	is.True(!onTime)
	is.True(freshDue.Before(oldDue))
	is.True(oldDue.Before(old.Deadline))
}

// A stream must be refused before its client disconnects without a first event, which may be
// well before its deadline.
func TestStreamIsRefusedBeforeClientDisconnects(t *testing.T) {
	is := is.New(t)
	r := requestWithObjective(500*time.Millisecond, 15*time.Second)
	r.FirstByteDeadline = r.Arrived.Add(3200 * time.Millisecond)
	_, _, hold := serve.Hold(r, serve.HoldInput{Now: r.Arrived.Add(time.Second)})
	is.True(hold)
	_, retryAfter, hold := serve.Hold(r, serve.HoldInput{Now: r.Arrived.Add(3 * time.Second)})
	is.True(!hold)
	is.True(retryAfter > 0)
	_, _, hold = serve.Hold(r, serve.HoldInput{Now: r.Arrived, ColdReadyAt: r.Arrived.Add(6 * time.Second)})
	is.True(!hold) // the load ends after the client disconnects
	due, _ := serve.DemandRank(r, r.Arrived.Add(time.Second))
	is.True(due.Before(r.FirstByteDeadline))
}
