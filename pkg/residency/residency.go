// Package residency decides which models an endpoint's memory holds, where more
// models are asked for than fit. It is a pure function of a snapshot: the controller
// of orders checks each decision again against what the endpoint says of itself.
//
// The load pattern: a few models take most requests and change during the day;
// many models get a request every few seconds. The weight store does a load in
// seconds and few at once, while an endpoint reloads a model that it has held
// before from its own memory or disk in under a second. So each rare model has
// home endpoints, where its copy lies, and is swapped in there for the requests
// that wait.
package residency

import (
	"math"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Tier is where an endpoint has a copy of a model's weights.
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
	// Ready models serve; others are loading.
	Ready bool
	// Since is when the model became ready.
	Since time.Time
	// Leaving models are being unloaded.
	Leaving bool
	// Adapters is the number held or loading.
	Adapters int
}

// Endpoint is one endpoint as far as decisions go.
type Endpoint struct {
	ID         fleet.EndpointID
	Zone       string
	CapacityMB float64
	Residents  []Resident
	// Copies names the models that reload fast here.
	Copies map[string]Tier
	// Busy endpoints carry out an order and take no other.
	Busy bool
}

// usedMB is the memory that is taken or about to be.
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

// Model is the demand for a model over all hosts.
type Model struct {
	fleet.Model
	Waiting int
	// InTime is how many of the waiting requests can begin in time if the model is
	// loaded now.
	InTime int
	// Due is when the lack of the model begins to cost: for the first of the
	// requests that can be in time, or of all if there are none.
	Due time.Time
	// Rate is in requests a second, over a few seconds; Slow over more.
	Rate     float64
	Slow     float64
	Inflight int
	// Starting is how many requests wait at endpoints for the first part of their
	// answers, on the average of a few seconds.
	Starting float64
}

// offered is how many endpoints the prompts of a model would keep busy without a
// pause. Requests that wait for the first part of their answers at a replica are
// read one after the other, so that n of them on the average mean that it reads for
// n/(1+n) of the time.
func (m *Model) offered(replicas int) float64 {
	n := float64(max(1, replicas))
	each := m.Starting / n
	return n * each / (1 + each)
}

// Limits are the bounds of a decision.
type Limits struct {
	// Slots is the number of requests that an endpoint runs at once.
	Slots int
	// StoreLoads is how many loads from the weight store may start now.
	StoreLoads int
	// RatePerReplica is how many requests a second one replica is to serve.
	RatePerReplica float64
}

// Snapshot is all that a decision depends on.
type Snapshot struct {
	Now       time.Time
	Endpoints []Endpoint
	Models    []Model
	Limits    Limits
}

// Swap is a decision for one endpoint.
type Swap struct {
	Endpoint fleet.EndpointID
	Evict    []string
	Load     string
	From     Tier
}

const (
	// hotRate is the rate above which a model gets replicas ahead of waiting
	// requests. Below it, one replica serves a few requests in each stay.
	hotRate = 2.5
	// spareRate is the rate above which a model gets one replica more than its
	// rate needs, so that a burst or the loss of an endpoint finds a place.
	spareRate = 6
	// overloaded is the overload above which a busy model goes before rare ones.
	overloaded = 1.15
	// spareDue is when the lack of a replica that only bursts need begins to cost.
	spareDue = time.Second
	// batchBonus is how much earlier a model is due for each further request that
	// waits for it, up to four: one load serves them all.
	batchBonus = 400 * time.Millisecond
	// stuckAfter is for how long after its due time a model waits for a place at one
	// of its homes, before it is loaded from the store elsewhere.
	stuckAfter = 3 * time.Second
	// minStay is how long a loaded model stays: the requests that waited for it
	// are on their way.
	minStay = 150 * time.Millisecond
	// drainCost is the weight of running requests, which hold up an unload by up to
	// three seconds; the endpoint takes no other order meanwhile.
	drainCost = 1500 * time.Millisecond
	// evictCost is the weight, in seconds, of the requests a second that the
	// evicted model would have served.
	evictCost = 1.0
	// blockCost, for each copy at an endpoint, keeps loads from the store away from
	// it: while such a load runs, for six seconds and more, none of the models at
	// home there can be loaded. New endpoints have no copies.
	blockCost = 0.2
	// zoneCost spreads the replicas of a busy model over availability zones.
	zoneCost = 0.15
	// stackCost keeps busy models on different endpoints: two on one share its
	// batch, and leave too little memory to load a rare model while another serves.
	stackCost = 0.5
	// busyShare is the part of an endpoint's slots that one model may fill
	// before it gets another replica.
	busyShare = 0.6
	// extraUse is the part of its time that a replica reads prompts for, above which
	// the model gets a further one: at half of the time, requests wait for others for
	// as long as they are read themselves.
	extraUse = 0.3
	// extraLoss is the most that may leave for such a replica, in requests a second: with more,
	// rare models lose their places.
	extraLoss = 0.15
	// adapterCost keeps swaps away from endpoints that hold adapters: these load
	// only while no order runs there, and are lost with their model.
	adapterCost = 0.15
)

type decider struct {
	snap     Snapshot
	models   map[string]*Model
	replicas map[string]int
	// wanted is the number of replicas that the demand for a model justifies.
	wanted  map[string]int
	loads   int
	out     []Swap
	touched map[fleet.EndpointID]bool
	zones   map[string]map[string]int
	// copies counts the endpoints that have a copy of a model.
	copies    map[string]int
	endpoints []Endpoint
}

// Decide returns the swaps to start now, at most one an endpoint.
func Decide(snap Snapshot) []Swap {
	d := newDecider(snap)
	for _, n := range d.needs() {
		d.meet(n)
	}
	d.fill()
	return d.out
}

func newDecider(snap Snapshot) *decider {
	d := &decider{
		snap:      snap,
		models:    map[string]*Model{},
		replicas:  map[string]int{},
		wanted:    map[string]int{},
		loads:     snap.Limits.StoreLoads,
		touched:   map[fleet.EndpointID]bool{},
		zones:     map[string]map[string]int{},
		copies:    map[string]int{},
		endpoints: snap.Endpoints,
	}
	for i := range snap.Models {
		d.models[snap.Models[i].Name] = &snap.Models[i]
	}
	d.count()
	return d
}

func (d *decider) count() {
	for _, e := range d.endpoints {
		for _, r := range e.Residents {
			if r.Leaving {
				continue
			}
			d.replicas[r.Model]++
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
		d.wanted[name] = wanted(m, d.snap.Limits)
	}
}

// wanted is the number of replicas that the demand for a model justifies.
func wanted(m *Model, l Limits) int {
	n := 0
	if m.Rate >= hotRate {
		n = int(math.Ceil(m.Rate / l.RatePerReplica))
		n = max(n, int(math.Ceil(float64(m.Inflight+m.Waiting)/(busyShare*float64(max(1, l.Slots))))))
	}
	if m.Rate >= spareRate {
		n++
	}
	if m.Waiting > 0 {
		n = max(n, 1)
	}
	return n
}

// option is a way to meet a need at one endpoint.
type option struct {
	swap Swap
	cost float64
	// loss is what the models that leave would have served, in requests a second.
	loss float64
}

func (d *decider) meet(n need) {
	best := option{cost: math.Inf(1)}
	home := false
	for i := range d.endpoints {
		e := &d.endpoints[i]
		tier := e.Copies[n.model.Name]
		if e.Busy || d.touched[e.ID] {
			home = home || tier > InStore
			continue
		}
		if d.holds(e, n.model.Name) {
			continue
		}
		home = home || tier > InStore
		if o, ok := d.option(n, e, tier); ok && n.allows(o) && o.cost < best.cost {
			best = o
		}
	}
	if math.IsInf(best.cost, 1) {
		return
	}
	if best.swap.From == InStore {
		// A home that is busy now, or whose models have to stay for a moment, reloads
		// sooner, and a load from the store, of six seconds and more, keeps an
		// endpoint from some eight swaps. Busy homes that hold the model already count
		// too, which keeps such loads of busy models rare: with them more requests for
		// rare models were late than busy ones gained.
		if d.loads <= 0 || home && !d.stuck(n) {
			return
		}
		d.loads--
	}
	d.touched[best.swap.Endpoint] = true
	d.replicas[n.model.Name]++
	for _, v := range best.swap.Evict {
		d.replicas[v]--
	}
	d.out = append(d.out, best.swap)
}

// stuck tells that the homes of a model have had no place for it for long.
func (d *decider) stuck(n need) bool {
	return n.cold && d.snap.Now.Sub(n.model.Due) > stuckAfter
}

func (d *decider) holds(e *Endpoint, model string) bool {
	return slices.ContainsFunc(e.Residents, func(r Resident) bool { return r.Model == model })
}

// option returns the cheapest way to load a model at an endpoint. Its cost is
// in seconds: the load, the drain of what leaves, and what the models that
// leave would have served.
func (d *decider) option(n need, e *Endpoint, tier Tier) (option, bool) {
	missing := n.model.WeightsMB - (e.CapacityMB - e.usedMB(d.models))
	victims, loss, ok := d.victims(n, e, missing)
	if !ok {
		return option{}, false
	}
	cost := LoadTime(n.model.Model, tier).Seconds() + loss*evictCost
	if tier == InStore {
		cost += blockCost * float64(len(e.Copies))
	}
	for _, r := range e.Residents {
		if r.Adapters > 0 {
			cost += adapterCost
		}
	}
	if n.model.Rate >= hotRate {
		cost += zoneCost * float64(d.zones[n.model.Name][e.Zone])
		cost += stackCost * float64(d.hotAt(e))
	}
	return option{swap: Swap{Endpoint: e.ID, Evict: victims, Load: n.model.Name, From: tier}, cost: cost, loss: loss}, true
}

// hotAt counts the busy models at an endpoint.
func (d *decider) hotAt(e *Endpoint) int {
	n := 0
	for _, r := range e.Residents {
		if m := d.models[r.Model]; m != nil && !r.Leaving && m.Rate >= hotRate {
			n++
		}
	}
	return n
}

// LoadTime is the time of a load while few loads run.
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
