package residency

import (
	"slices"
	"time"
)

// FarModel is a model that is asked for and has no copy at any endpoint.
type FarModel struct {
	Model string
	// ReadyIn is in how long it can serve at best.
	ReadyIn time.Duration
}

// storePart is the part of the homes, as a divisor, that may load from the weight
// store at the same time.
const storePart = 4

// StoreSlots is how many loads from the weight store may run at once, of those
// that it does at full speed.
//
// The load pattern: most endpoints are gone, and with them most copies. With a
// load for each missing model the endpoints that are left did little else, and
// models with a copy were not swapped in. On the scenario loss, where four of
// nine endpoints are left, a quarter of them gives 215 answers in time of 557,
// all of them 126 (means of tealvane experiment). Endpoints that have no copies
// beyond what they hold have nothing else to do, as when all were replaced.
func StoreSlots(endpoints []Endpoint, slots int) int {
	homes, idle := 0, 0
	for i := range endpoints {
		if endpoints[i].home() {
			homes++
		} else {
			idle++
		}
	}
	return min(slots, max(1, idle+homes/storePart))
}

// home tells whether the endpoint can swap in a model from a copy of its own.
func (e *Endpoint) home() bool {
	for name := range e.Copies {
		held := slices.ContainsFunc(e.Residents, func(r Resident) bool { return r.Model == name })
		if !held {
			return true
		}
	}
	return false
}

// Far returns the models that have to come from the weight store, in the order
// in which they are loaded, and when each can serve at best. loading is the
// number of loads from the store under way, slots how many it does at full speed.
//
// The load pattern: many endpoints are replaced by empty ones at once, and most
// models are nowhere. Requests for those at the end of the queue cannot be served
// in time; held for half of their time they would only be refused later.
func Far(snap Snapshot, loading, slots int) []FarModel {
	d := newDecider(snap)
	var out []FarModel
	for _, n := range d.needs() {
		if d.replicas[n.model.Name] > 0 || d.copies[n.model.Name] > 0 {
			continue
		}
		rounds := 1 + (loading+len(out))/max(1, slots)
		out = append(out, FarModel{Model: n.model.Name, ReadyIn: time.Duration(rounds) * n.model.StoreLoad})
	}
	return slices.Clip(out)
}
