package orders_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
)

// Guards against a new controller that asks thousands of endpoints for reports at once: its requests
// time out and it stops answering other hosts.
func TestReportRequestsInProgressAreBounded(t *testing.T) {
	const endpoints, maxInProgress = 500, 32
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(nil, 1)
		client := &slowReports{}
		c.Client = client
		c.Endpoints = func(time.Time) []fleet.View {
			out := make([]fleet.View, endpoints)
			for i := range out {
				out[i].Endpoint = fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i)), Service: "llm"}
			}
			return out
		}
		steps(t.Context(), c, 2*time.Second, fleet.DemandReport{Host: "h"})
		client.mu.Lock()
		defer client.mu.Unlock()
		is.True(client.most <= maxInProgress)
		is.Equal(client.answered, endpoints)
	})
}

// slowReports is a client of endpoints that take some time for a report.
type slowReports struct {
	orders.EndpointClient
	mu                         sync.Mutex
	inProgress, most, answered int
}

// Report implements orders.EndpointClient.
func (s *slowReports) Report(context.Context, fleet.Endpoint) (fleet.Report, error) {
	s.mu.Lock()
	s.inProgress++
	s.most = max(s.most, s.inProgress)
	s.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
	s.answered++
	return fleet.Report{}, nil
}

// Guards against sending every host the placements of thousands of endpoints that it knows from the
// list, and against not sending them when orders of a former controller may have changed them.
func TestPlacementsAsListedAreNotSent(t *testing.T) {
	for _, c := range []struct {
		name  string
		token int64
		holds []string
		want  int
	}{
		{"first claim, as listed", 1, []string{"x"}, 0},
		{"first claim, another model", 1, []string{"y"}, 1},
		{"later claim, as listed", 2, []string{"x"}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(ctx context.Context) {
				is := is.New(t)
				controller := newController(newEngine(130, weights, c.holds...), c.token, "x")
				steps(ctx, controller, 2*time.Second, fleet.DemandReport{Host: "h"})
				is.Equal(len(controller.Step(ctx, time.Now(), true).Endpoints), c.want)
			})
		})
	}
}

// Guards against sending placements again after reports that only confirm them.
func TestConfirmedPlacementIsNotSentAgain(t *testing.T) {
	run(t, func(ctx context.Context) {
		is := is.New(t)
		c := newController(newEngine(130, weights, "x"), 2, "x")
		is.Equal(len(c.Step(ctx, time.Now(), false).Endpoints), 1)
		time.Sleep(time.Second) // The report arrives.
		is.Equal(len(c.Step(ctx, time.Now(), false).Endpoints), 0)
	})
}
