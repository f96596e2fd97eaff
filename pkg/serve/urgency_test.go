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

// Under overload, serving requests in order of arrival delays nearly all of them beyond their
// objective. Ordered by urgency, most of them must meet it.
func TestUrgencyKeepsMostRequestsOnTimeUnderOverload(t *testing.T) {
	is := is.New(t)
	route := fleet.Route{Priority: 1, Objective: 400 * time.Millisecond}
	arrivalOrder := func(*serve.Request, time.Time) int { return 0 }
	is.True(onTime(route, arrivalOrder) < 0.3)
	is.True(onTime(route, serve.Urgency) > 0.65)
}

// onTime simulates a replica that serves requests in order of urgency, and returns the share
// of requests that meet their objective.
func onTime(route fleet.Route, urgency func(*serve.Request, time.Time) int) float64 {
	const serviceTime, gap, requests = 40 * time.Millisecond, 32 * time.Millisecond, 310
	start := time.Unix(1000, 0)
	type waiter struct {
		*serve.Request
		urgency int
	}
	var queue []waiter
	now, next, onTime := start, 0, 0
	for range requests {
		for ; next < requests && !start.Add(time.Duration(next)*gap).After(now); next++ {
			r := &serve.Request{ID: fmt.Sprintf("%08x", next*2654435761), Arrived: start.Add(time.Duration(next) * gap), Route: route}
			queue = append(queue, waiter{r, urgency(r, r.Arrived)})
		}
		slices.SortStableFunc(queue, func(a, b waiter) int { return cmp.Compare(a.urgency, b.urgency) })
		if len(queue) > 0 {
			if !now.After(queue[0].ObjectiveTime()) {
				onTime++
			}
			queue = queue[1:]
		}
		now = now.Add(serviceTime)
	}
	return float64(onTime) / requests
}

// Requests of the highest priority must precede all others, even if they are late. Late
// requests of other priorities come last.
func TestPriorityPrecedesUrgencyHash(t *testing.T) {
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
		is.Equal(first, late) // the highest priority does not yield when late
		is.True(other < 9)
	}
}
