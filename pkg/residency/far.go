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
		if d.replicas[n.model.Name] > 0 || d.haveCopy[n.model.Name] {
			continue
		}
		rounds := 1 + (loading+len(out))/max(1, slots)
		out = append(out, FarModel{Model: n.model.Name, ReadyIn: time.Duration(rounds) * n.model.StoreLoad})
	}
	return slices.Clip(out)
}
