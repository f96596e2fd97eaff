package emulator

import (
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/residency"
)

// Baseline is a simple policy for comparison. It loads missing models in the order
// in which their requests are due, on the first free endpoint that has a copy, and
// evicts the models that have been loaded longest. It ignores demand.
func Baseline(snap residency.Snapshot) []residency.Swap {
	b := baselinePolicy{snap: snap, models: map[string]residency.Model{}, assigned: map[int]bool{}}
	for _, m := range snap.Models {
		b.models[m.Name] = m
	}
	var out []residency.Swap
	for _, m := range b.missing() {
		if s, ok := b.plan(m); ok {
			out = append(out, s)
		}
	}
	return out
}

type baselinePolicy struct {
	snap       residency.Snapshot
	models     map[string]residency.Model
	assigned   map[int]bool
	storeLoads int
}

// missing returns the models with waiting requests that no endpoint has loaded,
// sorted by due time.
func (b *baselinePolicy) missing() []residency.Model {
	var models []residency.Model
	for _, m := range b.snap.Models {
		if m.Waiting > 0 && !b.loaded(m.Name) {
			models = append(models, m)
		}
	}
	slices.SortStableFunc(models, func(x, y residency.Model) int { return x.Due.Compare(y.Due) })
	return models
}

func (b *baselinePolicy) loaded(model string) bool {
	return slices.ContainsFunc(b.snap.Endpoints, func(e residency.Endpoint) bool {
		return slices.ContainsFunc(e.Residents, func(r residency.Resident) bool { return r.Model == model && !r.Unloading })
	})
}

func (b *baselinePolicy) plan(m residency.Model) (residency.Swap, bool) {
	if s, ok := b.findEndpoint(m, true); ok {
		return s, true
	}
	if b.storeLoads >= b.snap.Limits.StoreLoads || b.hasCopy(m.Name) {
		return residency.Swap{}, false
	}
	s, ok := b.findEndpoint(m, false)
	if ok {
		b.storeLoads++
	}
	return s, ok
}

func (b *baselinePolicy) hasCopy(model string) bool {
	return slices.ContainsFunc(b.snap.Endpoints, func(e residency.Endpoint) bool { return e.Copies[model] > residency.InStore })
}

// findEndpoint plans a load of m on the first free endpoint. If withCopy is set, it
// considers only endpoints that have a copy of the weights.
func (b *baselinePolicy) findEndpoint(m residency.Model, withCopy bool) (residency.Swap, bool) {
	for i, e := range b.snap.Endpoints {
		if e.Busy || b.assigned[i] || withCopy && e.Copies[m.Name] == residency.InStore {
			continue
		}
		if evict, ok := b.evict(e, m.WeightsMB); ok {
			b.assigned[i] = true
			return residency.Swap{Endpoint: e.ID, Evict: evict, Load: m.Name, From: e.Copies[m.Name]}, true
		}
	}
	return residency.Swap{}, false
}

// evict returns the models to evict for needMB, oldest first. It reports whether
// that frees enough memory.
func (b *baselinePolicy) evict(e residency.Endpoint, needMB float64) ([]string, bool) {
	const minResidence = 150 * time.Millisecond
	free := e.CapacityMB - needMB
	for _, r := range e.Residents {
		free -= r.MB
	}
	oldestFirst := slices.Clone(e.Residents)
	slices.SortStableFunc(oldestFirst, func(x, y residency.Resident) int { return x.Since.Compare(y.Since) })
	var out []string
	for _, r := range oldestFirst {
		if free >= 0 {
			break
		}
		if !r.Ready || r.Unloading || b.snap.Now.Sub(r.Since) < minResidence {
			continue
		}
		out = append(out, r.Model)
		free += r.MB
	}
	return out, free >= 0
}
