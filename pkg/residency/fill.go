package residency

// fill lets endpoints that have nothing to swap in load models ahead of need: the
// ones that are asked for most, for each copy that there is.
//
// The load pattern: endpoints are replaced one after the other by empty ones, and
// the copies go with them. Loaded only once they were missed, after the last home
// had left, models that are asked for all the time were away for many seconds.
func (d *decider) fill() {
	for i := range d.endpoints {
		e := &d.endpoints[i]
		if d.loads <= 0 {
			return
		}
		if e.Busy || d.touched[e.ID] || e.home() {
			continue
		}
		m := d.mostWanted(e)
		if m == nil {
			continue
		}
		d.loads--
		d.touched[e.ID] = true
		d.replicas[m.Name]++
		d.copies[m.Name]++
		d.out = append(d.out, Swap{Endpoint: e.ID, Load: m.Name, From: InStore})
	}
}

// mostWanted returns the model that an endpoint should load into its free memory,
// nil for none.
func (d *decider) mostWanted(e *Endpoint) *Model {
	free := e.CapacityMB - e.usedMB(d.models)
	var best *Model
	for i := range d.snap.Models {
		m := &d.snap.Models[i]
		if m.Slow <= 0 || m.WeightsMB > free || d.holds(e, m.Name) || e.Copies[m.Name] > InStore {
			continue
		}
		if best == nil || d.perCopy(m) > d.perCopy(best) {
			best = m
		}
	}
	return best
}

// perCopy is the rate of a model for each copy that there would be.
func (d *decider) perCopy(m *Model) float64 {
	return m.Slow / float64(1+d.copies[m.Name])
}
