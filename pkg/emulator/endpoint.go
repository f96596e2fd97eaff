package emulator

import (
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/residency"
)

const (
	// unloadTime is the time to unload an idle model.
	unloadTime = 62 * time.Millisecond
	// orderLatency is the network latency of an order.
	orderLatency = 3 * time.Millisecond
)

// endpoint simulates one endpoint.
type endpoint struct {
	id     fleet.EndpointID
	zone   string
	loaded map[string]*loadedModel
	// diskCopies and memoryCopies name the cached copies, most recently used last.
	diskCopies   []string
	memoryCopies []string
	swap         *swap
	// running is the number of requests in progress.
	running int
}

type loadedModel struct {
	readyAt   time.Time
	unloading bool
	running   int
}

// swap is a swap in progress: it evicts models and then loads one.
type swap struct {
	evict []string
	load  string
	// stepEnds is when the current step ends. loading is set while that step is
	// the load.
	stepEnds time.Time
	loading  bool
}

// touch moves or adds a model to the end of an LRU list and drops the least
// recently used entries beyond limit.
func touch(list []string, model string, limit int) []string {
	if i := slices.Index(list, model); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	list = append(list, model)
	if len(list) > limit {
		list = list[len(list)-limit:]
	}
	return list
}

func (e *endpoint) tier(model string) residency.Tier {
	switch {
	case slices.Contains(e.memoryCopies, model):
		return residency.InMemory
	case slices.Contains(e.diskCopies, model):
		return residency.OnDisk
	default:
		return residency.InStore
	}
}

// canServe reports whether the endpoint has the model loaded and a free slot.
func (e *endpoint) canServe(now time.Time, model string, slots int) bool {
	r := e.loaded[model]
	return r != nil && !r.unloading && !r.readyAt.After(now) && e.running < slots
}

// advance advances the swap in progress. It returns the model whose load starts
// now, or "".
func (e *endpoint) advance(now time.Time) (loadStarted string) {
	s := e.swap
	if s == nil || now.Before(s.stepEnds) {
		return ""
	}
	if s.loading {
		e.swap = nil
		return ""
	}
	if len(s.evict) == 0 {
		s.loading = true
		return s.load
	}
	// Unload only after the requests of the model have finished.
	if r := e.loaded[s.evict[0]]; r != nil && r.running > 0 {
		return ""
	}
	delete(e.loaded, s.evict[0])
	s.evict = s.evict[1:]
	s.stepEnds = now.Add(unloadTime)
	return ""
}

// snapshot returns the state of the endpoint for the policy.
func (e *endpoint) snapshot(now time.Time, sim *simulation) residency.Endpoint {
	out := residency.Endpoint{
		ID:         e.id,
		Zone:       e.zone,
		CapacityMB: sim.scenario.Fleet.MemoryMB,
		Copies:     map[string]residency.Tier{},
		Busy:       e.swap != nil,
	}
	for _, m := range e.diskCopies {
		out.Copies[m] = residency.OnDisk
	}
	for _, m := range e.memoryCopies {
		out.Copies[m] = residency.InMemory
	}
	for name, r := range e.loaded {
		out.Residents = append(out.Residents, residency.Resident{
			Model:     name,
			MB:        sim.models[name].class.WeightsMB,
			Ready:     !r.readyAt.After(now),
			Since:     r.readyAt,
			Unloading: r.unloading,
		})
	}
	if e.swap != nil && !e.swap.loading {
		out.Residents = append(out.Residents, residency.Resident{Model: e.swap.load, MB: sim.models[e.swap.load].class.WeightsMB})
	}
	slices.SortFunc(out.Residents, func(a, b residency.Resident) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return out
}
