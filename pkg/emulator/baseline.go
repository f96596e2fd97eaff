package emulator

import (
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/residency"
)

// Baseline is the plain policy to compare with: models are loaded in the order in
// which they are due, at the first free endpoint that holds a copy, and the model
// that has been there longest makes way. It knows nothing of demand.
func Baseline(snap residency.Snapshot) []residency.Swap {
	b := baseline{snap: snap, models: map[string]residency.Model{}, taken: map[int]bool{}}
	for _, m := range snap.Models {
		b.models[m.Name] = m
	}
	var out []residency.Swap
	for _, m := range b.wanted() {
		if s, ok := b.place(m); ok {
			out = append(out, s)
		}
	}
	return out
}

type baseline struct {
	snap   residency.Snapshot
	models map[string]residency.Model
	taken  map[int]bool
	stores int
}

// wanted returns the models that wait and lie nowhere.
func (b *baseline) wanted() []residency.Model {
	var list []residency.Model
	for _, m := range b.snap.Models {
		if m.Waiting > 0 && !b.held(m.Name) {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(x, y residency.Model) int { return x.Due.Compare(y.Due) })
	return list
}

func (b *baseline) held(model string) bool {
	return slices.ContainsFunc(b.snap.Endpoints, func(e residency.Endpoint) bool {
		return slices.ContainsFunc(e.Residents, func(r residency.Resident) bool { return r.Model == model && !r.Leaving })
	})
}

func (b *baseline) place(m residency.Model) (residency.Swap, bool) {
	if s, ok := b.at(m, true); ok {
		return s, true
	}
	if b.stores >= b.snap.Limits.StoreLoads || b.copied(m.Name) {
		return residency.Swap{}, false
	}
	s, ok := b.at(m, false)
	if ok {
		b.stores++
	}
	return s, ok
}

func (b *baseline) copied(model string) bool {
	return slices.ContainsFunc(b.snap.Endpoints, func(e residency.Endpoint) bool { return e.Copies[model] > residency.InStore })
}

// at places a model at the first free endpoint with or without a copy.
func (b *baseline) at(m residency.Model, copied bool) (residency.Swap, bool) {
	for i, e := range b.snap.Endpoints {
		if e.Busy || b.taken[i] || copied && e.Copies[m.Name] == residency.InStore {
			continue
		}
		if evict, ok := b.evict(e, m.WeightsMB); ok {
			b.taken[i] = true
			return residency.Swap{Endpoint: e.ID, Evict: evict, Load: m.Name, From: e.Copies[m.Name]}, true
		}
	}
	return residency.Swap{}, false
}

// evict returns what has to leave, the oldest first.
func (b *baseline) evict(e residency.Endpoint, needMB float64) ([]string, bool) {
	const settle = 150 * time.Millisecond
	free := e.CapacityMB - needMB
	for _, r := range e.Residents {
		free -= r.MB
	}
	list := slices.Clone(e.Residents)
	slices.SortStableFunc(list, func(x, y residency.Resident) int { return x.Since.Compare(y.Since) })
	var out []string
	for _, r := range list {
		if free >= 0 {
			break
		}
		if !r.Ready || r.Leaving || b.snap.Now.Sub(r.Since) < settle {
			continue
		}
		out = append(out, r.Model)
		free += r.MB
	}
	return out, free >= 0
}
