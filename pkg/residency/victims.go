package residency

import (
	"cmp"
	"math"
	"slices"
)

type victim struct {
	model string
	mb    float64
	loss  float64
}

// victims returns the models to evict to free missing MB, cheapest first, and their total
// loss. It returns false if evicting all candidates does not free enough.
func (d *decider) victims(s shortfall, e *Endpoint, missing float64) ([]string, float64, bool) {
	if missing <= 0 {
		return nil, 0, true
	}
	var list []victim
	for _, r := range e.Residents {
		if v, ok := d.victim(s, e, r); ok {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.model, b.model))
	})
	var out []string
	loss := 0.0
	for _, v := range list {
		out = append(out, v.model)
		loss += v.loss
		if missing -= v.mb; missing <= 0 {
			return out, loss, true
		}
	}
	return nil, 0, false
}

// victim returns the cost of evicting a resident, or false if it must not be evicted.
func (d *decider) victim(s shortfall, e *Endpoint, r Resident) (victim, bool) {
	if !r.Ready || r.Unloading || d.snap.Now.Sub(r.Since) < minResidentTime {
		return victim{}, false
	}
	m := d.models[r.Model]
	if m == nil {
		return victim{model: r.Model, mb: r.MB}, true
	}
	mb := r.MB + float64(r.Adapters)*m.AdapterMB
	replicas := d.replicas[r.Model]
	if m.Waiting > 0 && replicas <= 1 {
		return victim{}, false
	}
	if slices.Contains(m.Versions, e.Version) && d.versionReplicas[modelVersion{r.Model, e.Version}] <= 1 {
		return victim{}, false
	}
	// A replica that a hot model requires is not evicted.
	if replicas <= d.desired[r.Model] && d.desired[r.Model] > 0 && m.FastRate >= hotRate {
		return victim{}, false
	}
	loss := d.servedRate(m, e)
	loss += drainCost.Seconds() * math.Min(1, float64(m.Inflight)/float64(max(1, replicas)))
	return victim{model: r.Model, mb: mb, loss: loss}, true
}
