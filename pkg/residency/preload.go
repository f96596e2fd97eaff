package residency

import (
	"cmp"
	"slices"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// maxPreloads bounds the loads from the weight store in progress while models are preloaded. Loads
// beyond the number that the store handles at full speed end later, but no request waits for them.
const maxPreloads = 8

// preload loads the models without any copy that cannot be loaded in time once requests wait for
// them. It does so only while nothing is requested: an endpoint that loads from the weight store
// swaps in no other model meanwhile.
func (d *decider) preload() {
	if d.snap.MaxWait == 0 || slices.ContainsFunc(d.snap.Models, Model.requested) {
		return
	}
	free := min(maxPreloads, d.snap.Limits.LoadsPerSecond) - d.snap.LoadsInProgress
	for _, m := range d.missing() {
		if free <= 0 {
			return
		}
		swap, ok := d.preloadAt(m)
		if !ok {
			continue
		}
		free--
		d.scheduled[swap.Endpoint] = true
		d.replicas[m.Name]++
		for _, v := range swap.Evict {
			d.replicas[v]--
		}
		d.out = append(d.out, swap)
	}
}

// requested reports whether there is demand for a model.
func (m Model) requested() bool { return m.Waiting > 0 || m.Inflight > 0 || m.SlowRate > 0 }

// missing returns the models without a copy whose load takes longer than any request waits.
func (d *decider) missing() []fleet.Model {
	var out []fleet.Model
	for _, m := range d.snap.Catalog {
		if m.StoreLoad >= d.snap.MaxWait && d.replicas[m.Name] == 0 && d.copies[m.Name] == 0 {
			out = append(out, m)
		}
	}
	return out
}

// preloadAt returns a swap that loads a model where it costs least: into free memory, else in place of
// models that other endpoints hold too.
func (d *decider) preloadAt(m fleet.Model) (Swap, bool) {
	var best Swap
	found := false
	for i := range d.endpoints {
		e := &d.endpoints[i]
		if e.Busy || d.scheduled[e.ID] {
			continue
		}
		evict, ok := d.spareResidents(e, m.WeightsMB-(e.CapacityMB-e.usedMB(d.models)))
		if ok && (!found || len(evict) < len(best.Evict)) {
			best, found = Swap{Endpoint: e.ID, Evict: evict, Load: m.Name, From: InStore}, true
		}
	}
	return best, found
}

// spareResidents returns residents whose eviction frees missing MB and leaves a replica of each
// elsewhere, those with the most replicas first.
func (d *decider) spareResidents(e *Endpoint, missing float64) ([]string, bool) {
	if missing <= 0 {
		return nil, true
	}
	spare := slices.DeleteFunc(slices.Clone(e.Residents), func(r Resident) bool {
		return !r.Ready || r.Unloading || d.replicas[r.Model] < 2
	})
	slices.SortFunc(spare, func(a, b Resident) int {
		return cmp.Or(cmp.Compare(d.replicas[b.Model], d.replicas[a.Model]), cmp.Compare(a.Model, b.Model))
	})
	var out []string
	for _, r := range spare {
		out = append(out, r.Model)
		if missing -= r.MB; missing <= 0 {
			return out, true
		}
	}
	return nil, false
}
