package serve_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
)

// A model's replicas are asked for a quarter more than they can serve, for ten seconds.
// Taken up as they came, all requests waited for as long, and nearly all were late. Replayed
// at one replica: 25 requests a second are served, 31 come, and they aim at 400 ms.
func TestOverloadLeavesMostRequestsInTime(t *testing.T) {
	is := is.New(t)
	route := fleet.Route{Priority: 1, Objective: 400 * time.Millisecond}
	inOrder := func(*serve.Request, time.Time) int { return 0 }
	is.True(inTime(route, inOrder) < 0.3)
	is.True(inTime(route, serve.Urgency) > 0.65)
}

// inTime plays requests at a replica that takes them up by urgency, and returns the part
// that began in time.
func inTime(route fleet.Route, urgency func(*serve.Request, time.Time) int) float64 {
	const serviceTime, gap, requests = 40 * time.Millisecond, 32 * time.Millisecond, 310
	start := time.Unix(1000, 0)
	type waiter struct {
		*serve.Request
		urgency int
	}
	var queue []waiter
	now, next, begun := start, 0, 0
	for range requests {
		for ; next < requests && !start.Add(time.Duration(next)*gap).After(now); next++ {
			r := &serve.Request{ID: fmt.Sprintf("%08x", next*2654435761), Arrived: start.Add(time.Duration(next) * gap), Route: route}
			queue = append(queue, waiter{r, urgency(r, r.Arrived)})
		}
		slices.SortStableFunc(queue, func(a, b waiter) int { return cmp.Compare(a.urgency, b.urgency) })
		if len(queue) > 0 {
			if !now.After(queue[0].Aim()) {
				begun++
			}
			queue = queue[1:]
		}
		now = now.Add(serviceTime)
	}
	return float64(begun) / requests
}

// A request of the first rank waits beside others, and behind one that is late already.
func TestRanksComeBeforeTheDraw(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for i := range 200 {
		r := &serve.Request{ID: fmt.Sprint(i), Arrived: now, Route: fleet.Route{Objective: time.Second}}
		first := serve.Urgency(r, now)
		late := serve.Urgency(r, now.Add(2*time.Second))
		r.Route.Priority = 1
		other := serve.Urgency(r, now)
		is.True(first < other)
		is.True(other < serve.Urgency(r, now.Add(2*time.Second)))
		is.Equal(first, late) // the first rank is served late rather than never
		is.True(other < 9)
	}
}
