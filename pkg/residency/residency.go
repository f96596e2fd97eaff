// Package residency decides which models the endpoints hold in memory when more models are
// in use than fit. Decide is a pure function of a snapshot. The controller in package
// orders checks each decision against the endpoint's own state before it acts on it.
//
// A few hot models receive most requests, and many models receive one every few seconds.
// The weight store is slow and runs few loads at once, whereas an endpoint reloads a model
// from its own memory or disk in under a second. A rarely used model is therefore swapped
// in at an endpoint that has a cached copy when requests wait for it.
package residency

import (
	"math"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Tier is where an endpoint holds a copy of a model's weights.
type Tier int

// The tiers, slowest first.
const (
	InStore Tier = iota
	OnDisk
	InMemory
)

// String implements fmt.Stringer.
func (t Tier) String() string { return [...]string{"store", "disk", "memory"}[t] }

// Resident is a model in an endpoint's memory.
type Resident struct {
	Model string
	MB    float64
	// Ready is false while the model is loading.
	Ready bool
	// Since is when the model became ready.
	Since time.Time
	// Unloading is set while the model is being unloaded.
	Unloading bool
	// Adapters is the number of adapters that are loaded or loading.
	Adapters int
}

// Endpoint is the state of an endpoint.
type Endpoint struct {
	ID         fleet.EndpointID
	Zone       string
	CapacityMB float64
	Residents  []Resident
	// Copies maps the models that the endpoint can reload without the weight store to the
	// tier of the copy.
	Copies map[string]Tier
	// Busy is set while the endpoint executes an order. It accepts no other.
	Busy bool
	// Version is the version of its software.
	Version string
	// SpeedPercent is the endpoint's work per second relative to the mean of the service, which
	// is 100; 0 if unknown.
	SpeedPercent int
}

// usedMB returns the memory in use, including models and adapters that are loading.
func (e *Endpoint) usedMB(models map[string]*Model) float64 {
	sum := 0.0
	for _, r := range e.Residents {
		sum += r.MB
		if m := models[r.Model]; m != nil {
			sum += float64(r.Adapters) * m.AdapterMB
		}
	}
	return sum
}

// Model is a model and its demand summed over all hosts.
type Model struct {
	fleet.Model
	Waiting int
	// OnTime is how many of the waiting requests can start in time if the model is loaded
	// now.
	OnTime int
	// Due is when the missing model starts to delay requests. It is the due time of the
	// earliest request that can still be in time, or of the earliest of all if none can.
	Due time.Time
	// FastRate and SlowRate are moving averages in requests per second, over a short and a longer
	// window.
	FastRate float64
	SlowRate float64
	Inflight int
	// Versions holds the software versions that some of the waiting requests require, and WaitingForVersion how many
	// these are. They go on streams that began there.
	Versions          []string
	WaitingForVersion int
	// AwaitingFirstByte is the moving average of the number of requests that wait at endpoints for
	// the first byte of their response.
	AwaitingFirstByte float64
}

// prefillLoad returns how many endpoints the prompts of a model keep fully busy. A replica
// processes prompts one at a time, so with an average of n requests waiting for their first
// byte it is busy for n/(1+n) of the time.
func (m *Model) prefillLoad(replicas int) float64 {
	n := float64(max(1, replicas))
	each := m.AwaitingFirstByte / n
	return n * each / (1 + each)
}

// Limits are the limits of a decision.
type Limits struct {
	// Slots is the number of requests that an endpoint runs at once.
	Slots int
	// StoreLoads is how many loads from the weight store may start now.
	StoreLoads int
	// RatePerReplica is how many requests per second one replica should serve.
	RatePerReplica float64
}

// Snapshot is the input of a decision.
type Snapshot struct {
	Now       time.Time
	Endpoints []Endpoint
	Models    []Model
	Limits    Limits
}

// Swap is a decision for one endpoint: evict some models, then load one.
type Swap struct {
	Endpoint fleet.EndpointID
	Evict    []string
	Load     string
	From     Tier
}

const (
	// hotRate is the rate, in requests per second, from which a model is hot and gets
	// replicas before requests wait. Below it, one replica serves a few requests each time that
	// it is loaded.
	hotRate = 2.5
	// spareRate is the rate, in requests per second, from which a model gets one replica
	// more than its rate requires, for bursts and endpoint failures.
	spareRate = 6
	// overloadThreshold is the overload from which a hot model goes before others.
	overloadThreshold = 1.15
	// spareDelay is when a shortfall without waiting requests becomes due, which only bursts
	// would need.
	spareDelay = time.Second
	// batchBonus is how much earlier a model is due for each further waiting request, up to
	// four, since one load serves them all.
	batchBonus = 400 * time.Millisecond
	// maxCopyWait is how long after its due time a model waits for an endpoint with a
	// cached copy before it is loaded from the weight store elsewhere.
	maxCopyWait = 3 * time.Second
	// minResidentTime is how long a loaded model is kept, so that the requests that waited
	// for it can arrive.
	minResidentTime = 150 * time.Millisecond
	// drainCost is the cost of running requests, which delay an unload by up to three seconds
	// and with it all other orders to the endpoint.
	drainCost = 1500 * time.Millisecond
	// evictCost is the cost, in seconds, of each request per second that an evicted model
	// would have served.
	evictCost = 1.0
	// blockCost is the cost, in seconds, of each copy at an endpoint that loads from the
	// weight store: none of them can be swapped in during the load, which takes six seconds
	// and more. New endpoints have no copies.
	blockCost = 0.2
	// zoneCost spreads the replicas of a hot model over availability zones. It is in
	// seconds for each replica in the zone.
	zoneCost = 0.15
	// colocationCost keeps hot models on different endpoints, in seconds for each hot
	// model. Two on one endpoint share its batch and leave little memory for swaps.
	colocationCost = 0.5
	// maxSlotShare is the share of an endpoint's slots that one model may use before it
	// gets another replica.
	maxSlotShare = 0.6
	// prefillUtilization is the share of its time that a replica spends on prompts above
	// which the model gets an extra replica. At half of the time, requests wait for others as
	// long as their own prompts take.
	prefillUtilization = 0.3
	// maxExtraLoss is the highest loss that an extra replica may cause, in requests per
	// second. With more, rarely used models are evicted for it.
	maxExtraLoss = 0.15
	// adapterCost is the cost, in seconds, of a swap for each resident with adapters.
	// Adapters load only while the endpoint executes no other order and are lost with their
	// model.
	adapterCost = 0.15
)

// modelVersion identifies a model at the endpoints of a software version.
type modelVersion struct{ model, version string }

type decider struct {
	snap     Snapshot
	models   map[string]*Model
	replicas map[string]int
	// capacity is the sum of the speeds of the replicas of each model, in replicas of mean speed.
	capacity map[string]float64
	// desired is the number of replicas that the demand for each model requires.
	desired    map[string]int
	storeLoads int
	out        []Swap
	scheduled  map[fleet.EndpointID]bool
	zones      map[string]map[string]int
	// copies counts the endpoints that have a cached copy of each model.
	copies map[string]int
	// versionReplicas counts the replicas of each model at endpoints of each software version.
	versionReplicas map[modelVersion]int
	endpoints       []Endpoint
}

// Decide returns the swaps to start now, at most one per endpoint.
func Decide(snap Snapshot) []Swap {
	d := newDecider(snap)
	for _, s := range d.shortfalls() {
		d.resolve(s)
	}
	d.prefetch()
	return d.out
}

func newDecider(snap Snapshot) *decider {
	d := &decider{
		snap:       snap,
		models:     map[string]*Model{},
		replicas:   map[string]int{},
		capacity:   map[string]float64{},
		desired:    map[string]int{},
		storeLoads: snap.Limits.StoreLoads,
		scheduled:  map[fleet.EndpointID]bool{},
		zones:      map[string]map[string]int{},
		copies:     map[string]int{},
		endpoints:  snap.Endpoints,

		versionReplicas: map[modelVersion]int{},
	}
	for i := range snap.Models {
		d.models[snap.Models[i].Name] = &snap.Models[i]
	}
	d.countReplicas()
	return d
}

func (d *decider) countReplicas() {
	for i := range d.endpoints {
		e := &d.endpoints[i]
		for _, r := range e.Residents {
			if r.Unloading {
				continue
			}
			d.addReplica(r.Model, e)
			if d.zones[r.Model] == nil {
				d.zones[r.Model] = map[string]int{}
			}
			d.zones[r.Model][e.Zone]++
		}
		for name := range e.Copies {
			d.copies[name]++
		}
	}
	for name, m := range d.models {
		d.desired[name] = desiredReplicas(m, d.snap.Limits)
	}
}

// desiredReplicas returns the number of replicas that the demand for a model requires.
func desiredReplicas(m *Model, l Limits) int {
	n := 0
	if m.FastRate >= hotRate {
		n = int(math.Ceil(m.FastRate / l.RatePerReplica))
		n = max(n, int(math.Ceil(float64(m.Inflight+m.Waiting)/(maxSlotShare*float64(max(1, l.Slots))))))
	}
	if m.FastRate >= spareRate {
		n++
	}
	if m.Waiting > m.WaitingForVersion {
		n = max(n, 1)
	}
	return n
}

// candidate is a swap that would load the missing model at one endpoint.
type candidate struct {
	swap     Swap
	endpoint *Endpoint
	cost     float64
	// loss is the request rate that the evicted models would have served, plus the cost of
	// draining them.
	loss float64
}

func (d *decider) resolve(s shortfall) {
	if s.cold && !s.version.Set && d.replicas[s.model.Name] >= d.desired[s.model.Name] {
		return // The model is loaded for requests that require a version.
	}
	best := candidate{cost: math.Inf(1)}
	hasCopy := false
	for i := range d.endpoints {
		e := &d.endpoints[i]
		if s.version.Set && e.Version != s.version.Version {
			continue
		}
		tier := e.Copies[s.model.Name]
		if e.Busy || d.scheduled[e.ID] {
			hasCopy = hasCopy || tier > InStore
			continue
		}
		if d.holds(e, s.model.Name) {
			continue
		}
		hasCopy = hasCopy || tier > InStore
		if c, ok := d.candidate(s, e, tier); ok && s.allows(c) && c.cost < best.cost {
			best = c
		}
	}
	if math.IsInf(best.cost, 1) {
		return
	}
	if best.swap.From == InStore {
		// An endpoint with a cached copy reloads the model sooner even if it is busy now,
		// and a load from the weight store blocks an endpoint for the time of several
		// swaps. Busy endpoints that already hold the model count too: otherwise store
		// loads for hot models would delay rarely used ones.
		if d.storeLoads <= 0 || hasCopy && !d.waitedTooLong(s) {
			return
		}
		d.storeLoads--
	}
	d.scheduled[best.swap.Endpoint] = true
	d.addReplica(s.model.Name, best.endpoint)
	for _, v := range best.swap.Evict {
		d.removeReplica(v, best.endpoint)
	}
	d.out = append(d.out, best.swap)
}

// waitedTooLong reports whether a cold model is overdue although endpoints have a copy of
// it.
func (d *decider) waitedTooLong(s shortfall) bool {
	return s.cold && d.snap.Now.Sub(s.model.Due) > maxCopyWait
}

func (d *decider) holds(e *Endpoint, model string) bool {
	return slices.ContainsFunc(e.Residents, func(r Resident) bool { return r.Model == model })
}

// candidate returns the cheapest way to load a model at an endpoint, and false if there is
// none. The cost, in seconds, covers the load, draining the evicted models and the requests
// that these would have served.
func (d *decider) candidate(s shortfall, e *Endpoint, tier Tier) (candidate, bool) {
	missing := s.model.WeightsMB - (e.CapacityMB - e.usedMB(d.models))
	victims, loss, ok := d.victims(s, e, missing)
	if !ok {
		return candidate{}, false
	}
	cost := LoadTime(s.model.Model, tier).Seconds() + loss*evictCost
	if tier == InStore {
		cost += blockCost * float64(len(e.Copies))
	}
	for _, r := range e.Residents {
		if r.Adapters > 0 {
			cost += adapterCost
		}
	}
	if s.model.FastRate >= hotRate {
		cost += zoneCost * float64(d.zones[s.model.Name][e.Zone])
		cost += colocationCost * float64(d.hotModelsAt(e))
		cost += e.slowCost()
	}
	swap := Swap{Endpoint: e.ID, Evict: victims, Load: s.model.Name, From: tier}
	return candidate{swap: swap, endpoint: e, cost: cost, loss: loss}, true
}

// hotModelsAt returns the number of hot models at an endpoint.
func (d *decider) hotModelsAt(e *Endpoint) int {
	n := 0
	for _, r := range e.Residents {
		if m := d.models[r.Model]; m != nil && !r.Unloading && m.FastRate >= hotRate {
			n++
		}
	}
	return n
}

// LoadTime returns the expected time of a load when few loads run.
func LoadTime(m fleet.Model, t Tier) time.Duration {
	switch t {
	case InMemory:
		return m.MemoryLoad
	case OnDisk:
		return m.DiskLoad
	default:
		return m.StoreLoad
	}
}
