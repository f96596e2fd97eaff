package orders

import "github.com/tealvane/tealvane/pkg/fleet"

// modelSize returns a model with its size in MB, also if the configuration no longer lists it: an endpoint
// holds a model until it is ordered to unload it. While it is loaded it counts by the largest size listed. A model
// whose size was never known counts as the largest one of the configuration. mu must be held.
func (t *endpointTracker) modelSize(engine *fleet.Engine, name string) fleet.Model {
	known, ok := t.sizes[name]
	if m, listed := engine.Models[name]; listed {
		if t.models[name] != nil {
			m.WeightsMB = max(m.WeightsMB, known.WeightsMB)
			m.AdapterMB = max(m.AdapterMB, known.AdapterMB)
		}
		t.sizes[name] = m
		return m
	}
	if ok {
		return known
	}
	unknown := fleet.Model{Name: name}
	for _, m := range engine.Models {
		unknown.WeightsMB = max(unknown.WeightsMB, m.WeightsMB)
		unknown.AdapterMB = max(unknown.AdapterMB, m.AdapterMB)
	}
	return unknown
}

// memoryUse returns the memory in MB that a model and its adapters take. mu must be held.
func (t *endpointTracker) memoryUse(engine *fleet.Engine, name string, r *resident) float64 {
	m := t.modelSize(engine, name)
	return m.WeightsMB + float64(len(r.adapters))*m.AdapterMB
}
