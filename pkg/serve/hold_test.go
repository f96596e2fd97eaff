package serve_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
)

func held(objective, budget time.Duration) *serve.Request {
	now := time.Unix(1000, 0)
	return &serve.Request{Route: fleet.Route{Objective: objective}, Arrived: now, Deadline: now.Add(budget)}
}

func TestHold(t *testing.T) {
	r := held(2500*time.Millisecond, 10*time.Second)
	at := func(d time.Duration) time.Time { return r.Arrived.Add(d) }
	for _, c := range []struct {
		name string
		s    serve.Situation
		hold bool
	}{
		{"a new request waits", serve.Situation{Now: at(0)}, true},
		{"one that has waited for half of its time still does", serve.Situation{Now: at(5 * time.Second)}, true},
		{"one that has waited for longer is refused in time to come back", serve.Situation{Now: at(6 * time.Second)}, false},
		{"unless the model is about to be there", serve.Situation{Now: at(6 * time.Second), ComingAt: at(7 * time.Second)}, true},
		{"a model that cannot come from the weight store in time is refused at once", serve.Situation{Now: at(0), FarUntil: at(12 * time.Second)}, false},
		{"one that can is waited for", serve.Situation{Now: at(0), FarUntil: at(7 * time.Second)}, true},
		{"a model that no configuration names is refused at once", serve.Situation{Now: at(0), Known: true, Unnamed: true}, false},
		{"but not when it comes too late", serve.Situation{Now: at(6 * time.Second), ComingAt: at(11 * time.Second)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, retryAfter, hold := serve.Hold(r, c.s)
			is.Equal(hold, c.hold)
			if !hold {
				remaining := r.Deadline.Sub(c.s.Now)
				is.True(retryAfter > 0 && retryAfter <= remaining/3) // clients obey up to a third
			}
		})
	}
}

// More models wait than can be loaded in time. Served in the order of arrival,
// each is loaded just too late; so one that is late already goes behind one that
// can be in time, unless it would have to be refused first.
func TestLateRequestsYieldToThoseInTime(t *testing.T) {
	is := is.New(t)
	old := held(2500*time.Millisecond, 10*time.Second)
	fresh := held(2500*time.Millisecond, 10*time.Second)
	fresh.Arrived = old.Arrived.Add(2 * time.Second)
	fresh.Deadline = fresh.Arrived.Add(10 * time.Second)
	now := fresh.Arrived
	freshDue, inTime := serve.Due(fresh, now)
	is.True(inTime)
	oldDue, inTime := serve.Due(old, now)
	is.True(!inTime)
	is.True(freshDue.Before(oldDue))
	is.True(oldDue.Before(old.Deadline))
}

// A user with fifteen seconds asks for a stream whose model is not loaded, and gets
// nothing. The request was held for 55% of the fifteen seconds; but clients of
// such streams leave after 3.2 s without a first event, so that all of them had
// gone before they were told to come back.
func TestStreamIsRefusedBeforeItsClientLeaves(t *testing.T) {
	is := is.New(t)
	r := held(500*time.Millisecond, 15*time.Second)
	r.FirstBy = r.Arrived.Add(3200 * time.Millisecond)
	_, _, hold := serve.Hold(r, serve.Situation{Now: r.Arrived.Add(time.Second)})
	is.True(hold)
	_, retryAfter, hold := serve.Hold(r, serve.Situation{Now: r.Arrived.Add(3 * time.Second)})
	is.True(!hold)
	is.True(retryAfter > 0)
	_, _, hold = serve.Hold(r, serve.Situation{Now: r.Arrived, FarUntil: r.Arrived.Add(6 * time.Second)})
	is.True(!hold) // a model from the weight store comes after the client has left
	due, _ := serve.Due(r, r.Arrived.Add(time.Second))
	is.True(due.Before(r.FirstBy))
}
