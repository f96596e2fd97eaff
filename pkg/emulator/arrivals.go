package emulator

import (
	"slices"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
)

// generateArrivals submits new requests at random and the retries that are due.
func (sim *simulation) generateArrivals() {
	for _, name := range sim.names {
		m := sim.models[name]
		expected := sim.rate(m) * sim.burstFactor(m.class) * tick.Seconds()
		for expected > 0 {
			if sim.random.Float64() < expected {
				sim.submit(&request{model: m, first: sim.now})
				sim.result.statsOf(m.class).Requested++
			}
			expected--
		}
	}
	sim.retrying = slices.DeleteFunc(sim.retrying, func(r *request) bool {
		if sim.now.Before(r.Arrived) {
			return false
		}
		sim.submit(r)
		return true
	})
}

func (sim *simulation) submit(r *request) {
	c := r.model.class
	r.Request = &serve.Request{
		Route:    fleet.Route{Objective: c.Objective},
		Service:  service,
		Model:    r.model.name,
		Arrived:  sim.now,
		Deadline: r.first.Add(c.Budget),
	}
	sim.arrivals[r.model.name]++
	sim.waiting = append(sim.waiting, r)
}
