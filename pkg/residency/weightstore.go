package residency

import (
	"slices"
	"time"
)

// ColdModel is a requested model that no endpoint has in memory or as a cached copy.
type ColdModel struct {
	Model string
	// ReadyIn is the shortest time until the model can serve requests.
	ReadyIn time.Duration
}

// storeLoadDivisor limits loads from the weight store to one for every storeLoadDivisor
// endpoints that have other copies to swap in.
const storeLoadDivisor = 4

// StoreSlots returns how many loads from the weight store may run at once. slots is the
// number that the store handles at full speed. The result is lower when few endpoints are
// left, so that loads of missing models do not block swaps from cached copies. Endpoints
// with nothing to swap in count in full.
func StoreSlots(endpoints []Endpoint, slots int) int {
	withCopies, withoutCopies := 0, 0
	for i := range endpoints {
		if endpoints[i].hasSwappableCopy() {
			withCopies++
		} else {
			withoutCopies++
		}
	}
	return min(slots, max(1, withoutCopies+withCopies/storeLoadDivisor))
}

// hasSwappableCopy reports whether the endpoint has a cached copy of a model that it does
// not hold in memory.
func (e *Endpoint) hasSwappableCopy() bool {
	for name := range e.Copies {
		held := slices.ContainsFunc(e.Residents, func(r Resident) bool { return r.Model == name })
		if !held {
			return true
		}
	}
	return false
}

// ColdModels returns the models that must be loaded from the weight store, in load order, with the
// earliest time at which each can serve. loading is the number of store loads in progress,
// slots the number that the store handles at full speed. Hosts use it to reject early the
// requests that cannot meet their deadline.
func ColdModels(snap Snapshot, loading, slots int) []ColdModel {
	d := newDecider(snap)
	var out []ColdModel
	for _, s := range d.shortfalls() {
		if d.replicas[s.model.Name] > 0 || d.copies[s.model.Name] > 0 {
			continue
		}
		rounds := 1 + (loading+len(out))/max(1, slots)
		out = append(out, ColdModel{Model: s.model.Name, ReadyIn: time.Duration(rounds) * s.model.StoreLoad})
	}
	return slices.Clip(out)
}
