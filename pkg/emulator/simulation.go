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
	// tick is the step of virtual time.
	tick = 5 * time.Millisecond
	// decideInterval is the interval between demand reports and placement decisions.
	decideInterval = 20 * time.Millisecond
	// firstToken is the time to first token of an idle endpoint.
	firstToken = 25 * time.Millisecond
	// service is the name of the simulated service.
	service = "models"
	// overcommitFactor is the ratio of concurrent requests to an endpoint's slots.
	overcommitFactor = 1.25
)

// Policy returns the swaps to start for a snapshot.
type Policy func(residency.Snapshot) []residency.Swap

// model is one model with its share of the class's rate.
type model struct {
	name   string
	class  *Class
	weight float64
	fleet  fleet.Model
}

// request is a client's request.
type request struct {
	*serve.Request
	model *model
	// first is the time of the first attempt.
	first   time.Time
	retried bool
}

// activeRun is a request in progress on an endpoint.
type activeRun struct {
	ends     time.Time
	endpoint *endpoint
	model    string
}

// simulation is the state of one simulation.
type simulation struct {
	scenario      Scenario
	policy        Policy
	random        *rand.Rand
	start         time.Time
	now           time.Time
	models        map[string]*model
	names         []string
	endpoints     []*endpoint
	waiting       []*request
	retrying      []*request
	active        []activeRun
	demand        *orders.Demand
	arrivals      map[string]int
	storeLoadEnds []time.Time
	// coldReadyAt maps models without a copy to the earliest time at which they can serve.
	coldReadyAt  map[string]time.Time
	result       Result
	replacements int
}

func newSimulation(s Scenario, policy Policy, seed uint64) *simulation {
	sim := &simulation{
		scenario: s,
		policy:   policy,
		random:   rand.New(rand.NewPCG(seed, seed)),
		start:    time.Unix(0, 0),
		models:   map[string]*model{},
		arrivals: map[string]int{},
	}
	sim.now = sim.start
	sim.demand = orders.NewDemand(sim.now)
	for i := range s.Classes {
		sim.addModels(&s.Classes[i])
		sim.result.Classes = append(sim.result.Classes, ClassResult{Name: s.Classes[i].Name})
	}
	for i := range s.Fleet.Endpoints {
		sim.endpoints = append(sim.endpoints, sim.newEndpoint(i))
	}
	sim.placeInitial()
	return sim
}

func (sim *simulation) newEndpoint(i int) *endpoint {
	return &endpoint{
		id:     fleet.EndpointID(fmt.Sprintf("e%03d", i)),
		zone:   fmt.Sprintf("z%d", i%sim.scenario.Fleet.Zones),
		loaded: map[string]*loadedModel{},
	}
}

func (sim *simulation) addModels(c *Class) {
	sum := 0.0
	for i := range c.Models {
		sum += math.Pow(float64(i+1), -c.Skew)
	}
	for i := range c.Models {
		name := fmt.Sprintf("%s-%03d", c.Name, i)
		sim.models[name] = &model{
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
		sim.names = append(sim.names, name)
	}
}

// placeInitial loads models before the load starts, most popular first and with as
// many replicas as their rates need, and puts a copy of each on one disk.
func (sim *simulation) placeInitial() {
	byRate := slices.Clone(sim.names)
	slices.SortStableFunc(byRate, func(a, b string) int {
		return -compare(sim.rate(sim.models[a]), sim.rate(sim.models[b]))
	})
	for _, name := range byRate {
		m := sim.models[name]
		for range 1 + int(sim.rate(m)/sim.scenario.Fleet.RatePerReplica) {
			if e := sim.leastUsed(m); e != nil {
				e.loaded[name] = &loadedModel{readyAt: sim.start}
				e.diskCopies = touch(e.diskCopies, name, sim.scenario.Fleet.DiskCopies)
			}
		}
	}
	for i, name := range sim.names {
		e := sim.endpoints[i%len(sim.endpoints)]
		e.diskCopies = touch(e.diskCopies, name, sim.scenario.Fleet.DiskCopies)
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

func (sim *simulation) rate(m *model) float64 { return m.class.Rate * m.weight }

func (sim *simulation) usedMB(e *endpoint) float64 {
	sum := 0.0
	for name := range e.loaded {
		sum += sim.models[name].class.WeightsMB
	}
	return sum
}

// leastUsed returns the least used endpoint that has room for m and has not loaded
// it, or nil.
func (sim *simulation) leastUsed(m *model) *endpoint {
	var best *endpoint
	for _, e := range sim.endpoints {
		if e.loaded[m.name] != nil || sim.usedMB(e)+m.class.WeightsMB > sim.scenario.Fleet.MemoryMB {
			continue
		}
		if best == nil || sim.usedMB(e) < sim.usedMB(best) {
			best = e
		}
	}
	return best
}

// Simulate simulates a scenario with a policy. The same seed gives the same load.
func Simulate(s Scenario, policy Policy, seed uint64) Result {
	sim := newSimulation(s, policy, seed)
	end := sim.start.Add(s.Duration)
	for n := 0; sim.now.Before(end); n++ {
		sim.applyLosses()
		sim.generateArrivals()
		sim.finish()
		sim.advanceSwaps()
		sim.dispatch()
		if n%int(decideInterval/tick) == 0 {
			sim.decide()
		}
		sim.now = sim.now.Add(tick)
	}
	sim.result.finish(s)
	return sim.result
}

// burstFactor returns the factor by which events currently multiply the rate of a
// class.
func (sim *simulation) burstFactor(c *Class) float64 {
	f := 1.0
	at := sim.now.Sub(sim.start)
	for _, e := range sim.scenario.Events {
		if e.Kind == Burst && e.Class == c.Name && at >= e.At && at < e.At+e.For {
			f *= e.Factor
		}
	}
	return f
}

// applyLosses applies the lose and replace events that are due.
func (sim *simulation) applyLosses() {
	at := sim.now.Sub(sim.start)
	for _, e := range sim.scenario.Events {
		if e.Kind == Burst || at < e.At || at >= e.At+tick {
			continue
		}
		for range min(e.Count, len(sim.endpoints)-1) {
			sim.loseEndpoint(sim.random.IntN(len(sim.endpoints)), e.Kind == Replace)
		}
	}
}

func (sim *simulation) loseEndpoint(i int, replace bool) {
	lost := sim.endpoints[i]
	sim.active = slices.DeleteFunc(sim.active, func(r activeRun) bool { return r.endpoint == lost })
	if replace {
		sim.replacements++
		sim.endpoints[i] = sim.newEndpoint(sim.scenario.Fleet.Endpoints + sim.replacements)
		return
	}
	sim.endpoints = slices.Delete(sim.endpoints, i, i+1)
}

// finish removes the requests that have finished.
func (sim *simulation) finish() {
	sim.active = slices.DeleteFunc(sim.active, func(r activeRun) bool {
		if sim.now.Before(r.ends) {
			return false
		}
		r.endpoint.running--
		if model := r.endpoint.loaded[r.model]; model != nil {
			model.running--
		}
		return true
	})
}

// advanceSwaps advances all swaps and starts their loads.
func (sim *simulation) advanceSwaps() {
	for _, e := range sim.endpoints {
		if name := e.advance(sim.now); name != "" {
			sim.startLoad(e, sim.models[name])
		}
	}
}

// startLoad starts a load. Loads from the weight store slow down when more than
// StoreSlots are in progress.
func (sim *simulation) startLoad(e *endpoint, m *model) {
	f := sim.scenario.Fleet
	tier := e.tier(m.name)
	duration := residency.LoadTime(m.fleet, tier)
	if tier == residency.InStore {
		sim.storeLoadEnds = slices.DeleteFunc(sim.storeLoadEnds, func(until time.Time) bool { return !until.After(sim.now) })
		duration = time.Duration(float64(duration) * math.Max(1, float64(len(sim.storeLoadEnds)+1)/float64(f.StoreSlots)))
		sim.storeLoadEnds = append(sim.storeLoadEnds, sim.now.Add(duration))
		sim.result.StoreLoads++
	}
	sim.result.Loads++
	e.swap.stepEnds = sim.now.Add(duration)
	e.loaded[m.name] = &loadedModel{readyAt: sim.now.Add(duration)}
	e.diskCopies = touch(e.diskCopies, m.name, f.DiskCopies)
	e.memoryCopies = touch(e.memoryCopies, m.name, f.HostCopies)
}
