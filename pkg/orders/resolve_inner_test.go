package orders

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// Guards against taking another host's late load for the own order, whose effect came from an unload that was in
// progress before: the adapter loaded by it would not be counted.
func TestReportWithUnknownLoadResolvesNoOrder(t *testing.T) {
	x := fleet.LoadedModel{Model: "x", Adapters: []string{"a2"}}
	cold := fleet.LoadedModel{Model: "cold"}
	for _, c := range []struct {
		name   string
		report fleet.Report
		want   orderState
	}{
		{"only the order's effect", fleet.Report{Sequence: 8, Loaded: []fleet.LoadedModel{x, cold}}, accepted},
		{"known adapter has arrived in its reloaded model", fleet.Report{Sequence: 8, Loaded: []fleet.LoadedModel{x, {Model: "cold", Adapters: []string{"a4"}}}}, accepted},
		{"unknown adapter loaded", fleet.Report{Sequence: 8, Loaded: []fleet.LoadedModel{x, {Model: "cold", Adapters: []string{"a2"}}}}, abandoned},
		{"unknown adapter in transit", fleet.Report{Sequence: 8, Loaded: []fleet.LoadedModel{x, cold}, Loading: []string{"cold/a2"}}, abandoned},
		{"unknown model loaded", fleet.Report{Sequence: 8, Loaded: []fleet.LoadedModel{x, cold, {Model: "y"}}}, abandoned},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := newEndpointTracker(fleet.View{Endpoint: fleet.Endpoint{ID: "e"}}, &unansweredLoads{})
			tracker.sequence = 7
			tracker.models["x"] = &resident{adapters: map[string]*adapter{"a1": {unloading: true}, "a2": {}}}
			tracker.models["cold"] = &resident{adapters: map[string]*adapter{}}
			tracker.departing[adapterRef{"cold", "a4"}] = 6
			sent := outgoingOrder{order: Order{Model: "x", Adapter: "a1", Expected: 7}, unanswered: true}
			is.Equal(tracker.resolveOrder(c.report, &sent), c.want)
		})
	}
}
