package orders

import (
	"math"
	"time"

	"github.com/tealvane/tealvane/pkg/admission"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// replicaSet is an endpoint with the models that it can serve now. They share its slots.
type replicaSet struct {
	slots  int
	models []fleet.ModelRef
}

// readyReplicas returns the ready replicas of a service by endpoint.
func (c *Controller) readyReplicas(now time.Time, service string, trackers []*endpointTracker) []replicaSet {
	var out []replicaSet
	for _, t := range trackers {
		if c.excluded(t) {
			continue
		}
		t.mu.Lock()
		set := replicaSet{slots: t.endpoint.Slots}
		for name, r := range t.models {
			if !r.unloading && !r.unconfirmed && !now.Before(r.readyAt) {
				set.models = append(set.models, fleet.ModelRef{Service: service, Model: name})
			}
		}
		t.mu.Unlock()
		out = append(out, set)
	}
	return out
}

// countPlaces returns the slots that each model can use at its ready replicas. The requests of a
// model are assumed to be spread evenly over its replicas. A model can use the slots that the other
// models of an endpoint leave free; if the models need more slots than there are, they get them by
// max-min fairness.
func countPlaces(replicas []replicaSet, totals map[demandKey]*modelDemand) map[fleet.ModelRef]int {
	load, copies := map[fleet.ModelRef]float64{}, map[fleet.ModelRef]float64{}
	for key, d := range totals {
		load[fleet.ModelRef{Service: key.service, Model: key.model}] += float64(d.inflight + d.waiting)
	}
	for _, e := range replicas {
		for _, m := range e.models {
			copies[m]++
		}
	}
	places := map[fleet.ModelRef]float64{}
	for _, e := range replicas {
		flows := make([]admission.Flow, len(e.models))
		free := float64(e.slots)
		for i, m := range e.models {
			flows[i].Rate = min(load[m]/copies[m], float64(e.slots))
			free -= flows[i].Rate
		}
		shares := admission.Allocate(float64(e.slots), flows)
		for i, m := range e.models {
			places[m] += shares[i]*flows[i].Rate + max(0, free)
		}
	}
	out := make(map[fleet.ModelRef]int, len(places))
	for m, n := range places {
		out[m] = int(math.Round(n))
		if n > 0 {
			out[m] = max(1, out[m])
		}
	}
	return out
}
