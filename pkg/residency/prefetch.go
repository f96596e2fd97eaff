package residency

// prefetch loads the models with the highest request rate per copy on endpoints that have
// nothing to swap in. Without it, a model whose last copy disappears with a replaced
// endpoint is loaded only after requests have queued for it.
func (d *decider) prefetch() {
	for i := range d.endpoints {
		e := &d.endpoints[i]
		if d.storeLoads <= 0 {
			return
		}
		if e.Busy || d.scheduled[e.ID] || e.hasSwappableCopy() {
			continue
		}
		m := d.mostRequested(e)
		if m == nil {
			continue
		}
		d.storeLoads--
		d.scheduled[e.ID] = true
		d.addReplica(m.Name, e)
		d.copies[m.Name]++
		d.out = append(d.out, Swap{Endpoint: e.ID, Load: m.Name, From: InStore})
	}
}

// mostRequested returns the model with the highest request rate per copy that fits the
// endpoint's free memory, or nil.
func (d *decider) mostRequested(e *Endpoint) *Model {
	free := e.CapacityMB - e.usedMB(d.models)
	var best *Model
	for i := range d.snap.Models {
		m := &d.snap.Models[i]
		if m.SlowRate <= 0 || m.WeightsMB > free || d.holds(e, m.Name) || e.Copies[m.Name] > InStore {
			continue
		}
		if best == nil || d.ratePerCopy(m) > d.ratePerCopy(best) {
			best = m
		}
	}
	return best
}

// ratePerCopy returns the request rate of a model divided by the number of copies after one
// more load.
func (d *decider) ratePerCopy(m *Model) float64 {
	return m.SlowRate / float64(1+d.copies[m.Name])
}
