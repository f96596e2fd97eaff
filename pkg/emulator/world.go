package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/residency"
	"github.com/tealvane/tealvane/pkg/serve"
)

const (
	// tick is the step of virtual time, a tenth of the shortest time that matters.
	tick = 5 * time.Millisecond
	// decideEvery is the period of decisions and demand reports.
	decideEvery = 20 * time.Millisecond
	// firstToken is the time from a send to the first token of an idle endpoint.
	firstToken = 25 * time.Millisecond
	// service names the only service.
	service = "models"
	// overcommit is the part by which requests may exceed an endpoint's places.
	overcommit = 1.25
)

// Policy decides which swaps to start.
type Policy func(residency.Snapshot) []residency.Swap

// model is one model and how often it is asked for.
type model struct {
	name   string
	class  *Class
	weight float64
	fleet  fleet.Model
}

// request is one client's request.
type request struct {
	*serve.Request
	model *model
	// first is when its client asked for the first time.
	first time.Time
	again bool
}

// running is a request that runs.
type running struct {
	ends     time.Time
	endpoint *endpoint
	model    string
}

// world is the state of a play.
type world struct {
	scenario  Scenario
	policy    Policy
	random    *rand.Rand
	start     time.Time
	now       time.Time
	models    map[string]*model
	names     []string
	endpoints []*endpoint
	waiting   []*request
	returning []*request
	runs      []running
	demand    *orders.Demand
	arrived   map[string]int
	stores    []time.Time
	// far is when models without a copy can serve at best.
	far      map[string]time.Time
	result   Result
	replaced int
}

func newWorld(s Scenario, policy Policy, seed uint64) *world {
	w := &world{
		scenario: s,
		policy:   policy,
		random:   rand.New(rand.NewPCG(seed, seed)),
		start:    time.Unix(0, 0),
		models:   map[string]*model{},
		arrived:  map[string]int{},
	}
	w.now = w.start
	w.demand = orders.NewDemand(w.now)
	for i := range s.Classes {
		w.addModels(&s.Classes[i])
		w.result.Classes = append(w.result.Classes, ClassResult{Name: s.Classes[i].Name})
	}
	for i := range s.Fleet.Endpoints {
		w.endpoints = append(w.endpoints, w.newEndpoint(i))
	}
	w.place()
	return w
}

func (w *world) newEndpoint(i int) *endpoint {
	return &endpoint{
		id:    fleet.EndpointID(fmt.Sprintf("e%03d", i)),
		zone:  fmt.Sprintf("z%d", i%w.scenario.Fleet.Zones),
		holds: map[string]*resident{},
	}
}

func (w *world) addModels(c *Class) {
	sum := 0.0
	for i := range c.Models {
		sum += math.Pow(float64(i+1), -c.Skew)
	}
	for i := range c.Models {
		name := fmt.Sprintf("%s-%03d", c.Name, i)
		w.models[name] = &model{
			name:   name,
			class:  c,
			weight: math.Pow(float64(i+1), -c.Skew) / sum,
			fleet: fleet.Model{
				Name:       name,
				WeightsMB:  c.WeightsMB,
				StoreLoad:  c.StoreLoad,
				DiskLoad:   c.DiskLoad,
				MemoryLoad: c.MemoryLoad,
			},
		}
		w.names = append(w.names, name)
	}
}

// place puts models on the endpoints before the load begins: the most asked for
// first, by what their rates need, and leaves a copy of each on some disk.
func (w *world) place() {
	byRate := slices.Clone(w.names)
	slices.SortStableFunc(byRate, func(a, b string) int {
		return -compare(w.rate(w.models[a]), w.rate(w.models[b]))
	})
	for _, name := range byRate {
		m := w.models[name]
		for range 1 + int(w.rate(m)/w.scenario.Fleet.RatePerReplica) {
			if e := w.emptiest(m); e != nil {
				e.holds[name] = &resident{readyAt: w.start}
				e.disk = touch(e.disk, name, w.scenario.Fleet.DiskCopies)
			}
		}
	}
	for i, name := range w.names {
		e := w.endpoints[i%len(w.endpoints)]
		e.disk = touch(e.disk, name, w.scenario.Fleet.DiskCopies)
	}
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (w *world) rate(m *model) float64 { return m.class.Rate * m.weight }

func (w *world) used(e *endpoint) float64 {
	sum := 0.0
	for name := range e.holds {
		sum += w.models[name].class.WeightsMB
	}
	return sum
}

// emptiest returns the endpoint with most room that lacks a model and has room for it.
func (w *world) emptiest(m *model) *endpoint {
	var best *endpoint
	for _, e := range w.endpoints {
		if e.holds[m.name] != nil || w.used(e)+m.class.WeightsMB > w.scenario.Fleet.MemoryMB {
			continue
		}
		if best == nil || w.used(e) < w.used(best) {
			best = e
		}
	}
	return best
}

// Play plays a scenario with a policy; the same seed gives the same load.
func Play(s Scenario, policy Policy, seed uint64) Result {
	w := newWorld(s, policy, seed)
	end := w.start.Add(s.Duration)
	for n := 0; w.now.Before(end); n++ {
		w.trouble()
		w.arrive()
		w.finish()
		w.swaps()
		w.dispatch()
		if n%int(decideEvery/tick) == 0 {
			w.decide()
		}
		w.now = w.now.Add(tick)
	}
	w.result.finish(s)
	return w.result
}

// factor is what events make of the rate of a class now.
func (w *world) factor(c *Class) float64 {
	f := 1.0
	at := w.now.Sub(w.start)
	for _, e := range w.scenario.Events {
		if e.Kind == Burst && e.Class == c.Name && at >= e.At && at < e.At+e.For {
			f *= e.Factor
		}
	}
	return f
}

// trouble takes endpoints away.
func (w *world) trouble() {
	at := w.now.Sub(w.start)
	for _, e := range w.scenario.Events {
		if e.Kind == Burst || at < e.At || at >= e.At+tick {
			continue
		}
		for range min(e.Count, len(w.endpoints)-1) {
			w.lose(w.random.IntN(len(w.endpoints)), e.Kind == Replace)
		}
	}
}

func (w *world) lose(i int, replace bool) {
	gone := w.endpoints[i]
	w.runs = slices.DeleteFunc(w.runs, func(r running) bool { return r.endpoint == gone })
	if replace {
		w.replaced++
		w.endpoints[i] = w.newEndpoint(w.scenario.Fleet.Endpoints + w.replaced)
		return
	}
	w.endpoints = slices.Delete(w.endpoints, i, i+1)
}

// finish ends runs.
func (w *world) finish() {
	w.runs = slices.DeleteFunc(w.runs, func(r running) bool {
		if w.now.Before(r.ends) {
			return false
		}
		r.endpoint.running--
		if held := r.endpoint.holds[r.model]; held != nil {
			held.running--
		}
		return true
	})
}

// swaps carries all swaps on.
func (w *world) swaps() {
	for _, e := range w.endpoints {
		if name := e.step(w.now); name != "" {
			w.load(e, w.models[name])
		}
	}
}

// load begins a load. Beyond the store's slots all loads from it take longer.
func (w *world) load(e *endpoint, m *model) {
	f := w.scenario.Fleet
	tier := e.tier(m.name)
	took := residency.LoadTime(m.fleet, tier)
	if tier == residency.InStore {
		w.stores = slices.DeleteFunc(w.stores, func(until time.Time) bool { return !until.After(w.now) })
		took = time.Duration(float64(took) * math.Max(1, float64(len(w.stores)+1)/float64(f.StoreSlots)))
		w.stores = append(w.stores, w.now.Add(took))
		w.result.StoreLoads++
	}
	w.result.Loads++
	e.swap.next = w.now.Add(took)
	e.holds[m.name] = &resident{readyAt: w.now.Add(took)}
	e.disk = touch(e.disk, m.name, f.DiskCopies)
	e.memory = touch(e.memory, m.name, f.HostCopies)
}
