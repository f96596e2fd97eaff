package emulator

import (
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/residency"
)

const (
	// unloadTime is how long an endpoint takes to unload an idle model.
	unloadTime = 62 * time.Millisecond
	// orderTrip is the time of an order on its way.
	orderTrip = 3 * time.Millisecond
)

// endpoint is a model of one endpoint.
type endpoint struct {
	id    fleet.EndpointID
	zone  string
	holds map[string]*resident
	// disk and memory name the copies it keeps, the last used one at the end.
	disk   []string
	memory []string
	swap   *swap
	// running is the number of requests that run.
	running int
}

type resident struct {
	readyAt time.Time
	leaving bool
	running int
}

// swap is a swap under way.
type swap struct {
	evict []string
	load  string
	// next is when the present step ends; loading tells that it is the load.
	next    time.Time
	loading bool
}

// touch notes the use of a copy in a list of limited length.
func touch(list []string, model string, most int) []string {
	if i := slices.Index(list, model); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	list = append(list, model)
	if len(list) > most {
		list = list[len(list)-most:]
	}
	return list
}

func (e *endpoint) tier(model string) residency.Tier {
	switch {
	case slices.Contains(e.memory, model):
		return residency.InMemory
	case slices.Contains(e.disk, model):
		return residency.OnDisk
	default:
		return residency.InStore
	}
}

// serves tells whether the endpoint has the model and a place for a request.
func (e *endpoint) serves(now time.Time, model string, slots int) bool {
	r := e.holds[model]
	return r != nil && !r.leaving && !r.readyAt.After(now) && e.running < slots
}

// step carries a swap on. It returns the model whose load begins, if one does.
func (e *endpoint) step(now time.Time) (begins string) {
	s := e.swap
	if s == nil || now.Before(s.next) {
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
	// An unload waits for the runs of its model.
	if r := e.holds[s.evict[0]]; r != nil && r.running > 0 {
		return ""
	}
	delete(e.holds, s.evict[0])
	s.evict = s.evict[1:]
	s.next = now.Add(unloadTime)
	return ""
}

// snapshot returns the endpoint as decisions see it.
func (e *endpoint) snapshot(now time.Time, w *world) residency.Endpoint {
	out := residency.Endpoint{
		ID:         e.id,
		Zone:       e.zone,
		CapacityMB: w.scenario.Fleet.MemoryMB,
		Copies:     map[string]residency.Tier{},
		Busy:       e.swap != nil,
	}
	for _, m := range e.disk {
		out.Copies[m] = residency.OnDisk
	}
	for _, m := range e.memory {
		out.Copies[m] = residency.InMemory
	}
	for name, r := range e.holds {
		out.Residents = append(out.Residents, residency.Resident{
			Model:   name,
			MB:      w.models[name].class.WeightsMB,
			Ready:   !r.readyAt.After(now),
			Since:   r.readyAt,
			Leaving: r.leaving,
		})
	}
	if e.swap != nil && !e.swap.loading {
		out.Residents = append(out.Residents, residency.Resident{Model: e.swap.load, MB: w.models[e.swap.load].class.WeightsMB})
	}
	slices.SortFunc(out.Residents, func(a, b residency.Resident) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return out
}
