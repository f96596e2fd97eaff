package orders

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// Guards against taking what a report of before an order says of an adapter for its state after it.
func TestOldReportShowsNoArrival(t *testing.T) {
	is := is.New(t)
	tracker := newEndpointTracker(fleet.View{Endpoint: fleet.Endpoint{ID: "e"}}, &unansweredLoads{})
	a1 := &adapter{sequence: 5}
	tracker.models["x"] = &resident{adapters: map[string]*adapter{"a1": a1}}
	tracker.departing[adapterRef{"y", "a2"}] = 5
	report := fleet.Report{Sequence: 4, Loaded: []fleet.LoadedModel{{Model: "x", Adapters: []string{"a1"}}}}
	tracker.refresh(time.Now(), report)
	is.True(!a1.arrived)
	is.Equal(len(tracker.departing), 1)
	report.Sequence = 5
	tracker.refresh(time.Now(), report)
	is.True(a1.arrived)
	is.Equal(len(tracker.departing), 0)
}

// Guards against taking a report that is older than the last order for a restart, after which an endpoint may get no
// loads for some time.
func TestOldReportIsNoRestart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker := newEndpointTracker(fleet.View{Endpoint: fleet.Endpoint{ID: "e"}}, &unansweredLoads{})
	tracker.sequence, tracker.lastOrder = 3, now
	is.True(tracker.recordRestart(now.Add(reportLag), 2))
	is.True(tracker.restartedAt.IsZero())
	later := now.Add(time.Second)
	is.True(tracker.recordRestart(later, 2))
	is.Equal(tracker.restartedAt, later)
	is.True(!tracker.recordRestart(later, 3))
}

// Guards against loading more adapters than an endpoint has slots for, because one that was in transit when its model
// was unloaded has arrived after the model was loaded again.
func TestDepartingAdapterArrivesInReloadedModel(t *testing.T) {
	engine := &fleet.Engine{AdapterSlots: 2, WeightsMB: 100, Models: map[string]fleet.Model{"y": {WeightsMB: 10}}}
	now := time.Now()
	for _, c := range []struct {
		name     string
		report   fleet.Report
		adapters int
	}{
		{"arrived", fleet.Report{Sequence: 6, Loaded: []fleet.LoadedModel{{Model: "y", Adapters: []string{"a3"}}}}, 1},
		{"dropped", fleet.Report{Sequence: 6, Loaded: []fleet.LoadedModel{{Model: "y"}}}, 0},
		{"in transit", fleet.Report{Sequence: 6, Loaded: []fleet.LoadedModel{{Model: "y"}}, Loading: []string{"y/a3"}}, 1},
		{"model not loaded yet", fleet.Report{Sequence: 5}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := newEndpointTracker(fleet.View{Endpoint: fleet.Endpoint{ID: "e"}}, &unansweredLoads{})
			tracker.models["y"] = &resident{adapters: map[string]*adapter{}}
			tracker.departing[adapterRef{"y", "a3"}] = 6
			tracker.refresh(now, c.report)
			is.Equal(tracker.usage(now, engine).adapters, c.adapters)
		})
	}
}
