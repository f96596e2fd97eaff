// Package placement decides which replicas to load and to retire in one pool.
// It is a pure function of a snapshot; the fold checks its decisions again.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/record"
)

// Model is the demand for one customer's model and its limits.
type Model struct {
	Customer string
	Name     string
	// BaseModel is set for adapters.
	BaseModel   string
	MemoryMB    int64
	Min, Max    int
	Concurrency int
	// Waiting and Inflight are counts over all hosts.
	Waiting  int
	Inflight int
	// Deadline is the earliest deadline of a waiting request.
	Deadline time.Time
	// LastUsed is when the last request ended; zero when none was seen.
	LastUsed time.Time
	// KeepAlive is how long an idle replica stays loaded.
	KeepAlive time.Duration
	// Ahead is set while the next request is expected soon: one replica is
	// loaded and kept for it.
	Ahead bool
}

// Phase is the stage of a replica as far as placement cares.
type Phase int

// The phases of a replica.
const (
	Loading Phase = iota
	Ready
	Retiring
)

// Replica is a replica whose memory is reserved.
type Replica struct {
	ID       record.ReplicaID
	Customer string
	Model    string
	Endpoint string
	MemoryMB int64
	Phase    Phase
	// Busy replicas serve requests at this moment.
	Busy bool
}

// Tier is where an endpoint holds the checkpoint of a model.
type Tier int

// The tiers of a checkpoint, slowest first.
const (
	Remote Tier = iota
	Disk
	Memory
)

// Endpoint is an endpoint that may take replicas.
type Endpoint struct {
	Name   string
	Zone   string
	FreeMB int64
	// Cached holds the models whose checkpoints are nearer than the store.
	Cached map[string]Tier
}

// Snapshot is all that a decision depends on.
type Snapshot struct {
	Now       time.Time
	Models    []Model
	Replicas  []Replica
	Endpoints []Endpoint
	// LoadSlots is the number of loads that may be started now.
	LoadSlots int
}

// Place is a decision to load a model on an endpoint.
type Place struct {
	Customer string
	Model    string
	Endpoint string
}

// Actions are the decisions for one snapshot.
type Actions struct {
	Places  []Place
	Retires []record.ReplicaID
}

type modelKey struct{ customer, name string }

type decider struct {
	snap      Snapshot
	models    map[modelKey]*Model
	endpoints []Endpoint
	slots     int
	out       Actions
	retired   map[record.ReplicaID]bool
	// live counts the replicas of each model that serve or will serve, counted
	// all that hold memory; the contract bounds the latter.
	live    map[modelKey]int
	counted map[modelKey]int
	// adapters counts adapter replicas by the base that carries them.
	adapters map[baseKey]int
}

// baseKey names the replicas of a base model on one endpoint.
type baseKey struct{ customer, base, endpoint string }

// Decide returns what to load and to retire. Models whose requests have the
// earliest deadline come first for the load slots and the memory.
func Decide(snap Snapshot) Actions {
	d := &decider{
		snap:      snap,
		models:    map[modelKey]*Model{},
		endpoints: slices.Clone(snap.Endpoints),
		slots:     snap.LoadSlots,
		retired:   map[record.ReplicaID]bool{},
		live:      map[modelKey]int{},
		counted:   map[modelKey]int{},
		adapters:  map[baseKey]int{},
	}
	models := slices.Clone(snap.Models)
	for i := range models {
		d.models[modelKey{models[i].Customer, models[i].Name}] = &models[i]
	}
	d.count()
	d.passDemandToBases(models)
	d.retireExcess()
	d.retireIdle()
	slices.SortStableFunc(models, byUrgency)
	for i := range models {
		d.wake(&models[i])
	}
	return d.out
}

func (d *decider) count() {
	for _, r := range d.snap.Replicas {
		key := modelKey{r.Customer, r.Model}
		d.counted[key]++
		if r.Phase != Retiring {
			d.live[key]++
		}
		if m := d.models[key]; m != nil && m.BaseModel != "" {
			d.adapters[baseKey{r.Customer, m.BaseModel, r.Endpoint}]++
		}
	}
}

// byUrgency orders models with waiting requests by deadline before the others.
func byUrgency(a, b Model) int {
	if (a.Waiting > 0) != (b.Waiting > 0) {
		if a.Waiting > 0 {
			return -1
		}
		return 1
	}
	return a.Deadline.Compare(b.Deadline)
}

// passDemandToBases makes a base count as used while one of its adapters is,
// and wakes it for an adapter that waits.
func (d *decider) passDemandToBases(models []Model) {
	for i := range models {
		adapter := &models[i]
		if adapter.BaseModel == "" {
			continue
		}
		base := d.models[modelKey{adapter.Customer, adapter.BaseModel}]
		if base == nil {
			continue
		}
		if adapter.LastUsed.After(base.LastUsed) {
			base.LastUsed = adapter.LastUsed
		}
		base.Inflight += adapter.Inflight
		if adapter.Waiting == 0 {
			continue
		}
		if base.Waiting == 0 || adapter.Deadline.Before(base.Deadline) {
			base.Deadline = adapter.Deadline
		}
		base.Waiting += adapter.Waiting
	}
}

// retireExcess drains what a lowered or withdrawn contract no longer allows.
// Loading replicas go first, then idle ones.
func (d *decider) retireExcess() {
	live := map[modelKey][]Replica{}
	for _, r := range d.snap.Replicas {
		if r.Phase != Retiring {
			key := modelKey{r.Customer, r.Model}
			live[key] = append(live[key], r)
		}
	}
	for key, replicas := range live {
		limit := 0
		if m := d.models[key]; m != nil {
			limit = m.Max
		}
		slices.SortStableFunc(replicas, func(a, b Replica) int {
			return cmp.Or(cmp.Compare(a.Phase, b.Phase), cmp.Compare(boolRank(a.Busy), boolRank(b.Busy)), cmp.Compare(a.ID, b.ID))
		})
		for i := 0; i < len(replicas)-limit; i++ {
			d.retire(replicas[i])
		}
	}
	slices.Sort(d.out.Retires)
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (d *decider) retire(r Replica) {
	if d.retired[r.ID] {
		return
	}
	d.retired[r.ID] = true
	if r.Phase != Retiring {
		d.live[modelKey{r.Customer, r.Model}]--
	}
	d.out.Retires = append(d.out.Retires, r.ID)
}

// retireIdle retires replicas beyond the minimum whose model was idle for
// longer than its keep-alive.
func (d *decider) retireIdle() {
	for _, r := range d.snap.Replicas {
		m := d.models[modelKey{r.Customer, r.Model}]
		if m == nil || !d.evictable(r, m) {
			continue
		}
		if !m.Ahead && d.snap.Now.Sub(m.LastUsed) > m.KeepAlive {
			d.retire(r)
		}
	}
}

// evictable replicas are loaded, serve nothing, are not wanted and carry no adapter.
func (d *decider) evictable(r Replica, m *Model) bool {
	if r.Phase != Ready || r.Busy || d.retired[r.ID] {
		return false
	}
	if m.Waiting > 0 || m.Inflight > 0 {
		return false
	}
	return d.live[modelKey{r.Customer, r.Model}] > m.Min && !d.carriesAdapter(r)
}

func (d *decider) carriesAdapter(base Replica) bool {
	return d.adapters[baseKey{base.Customer, base.Model, base.Endpoint}] > 0
}

// wanted is the number of replicas that the demand justifies.
func wanted(m *Model) int {
	load := m.Waiting + m.Inflight
	if m.Waiting == 0 && m.Ahead {
		return max(m.Min, min(1, m.Max))
	}
	if m.Waiting == 0 {
		return m.Min
	}
	need := (load + m.Concurrency - 1) / max(1, m.Concurrency)
	return min(max(need, m.Min), m.Max)
}

func (d *decider) wake(m *Model) {
	key := modelKey{m.Customer, m.Name}
	for d.live[key] < wanted(m) && d.counted[key] < m.Max && d.slots > 0 {
		if !d.placeOne(m) {
			return
		}
	}
}

func (d *decider) placeOne(m *Model) bool {
	i := d.choose(m)
	if i < 0 {
		d.evictFor(m)
		return false
	}
	d.endpoints[i].FreeMB -= m.MemoryMB
	d.slots--
	d.live[modelKey{m.Customer, m.Name}]++
	d.counted[modelKey{m.Customer, m.Name}]++
	d.out.Places = append(d.out.Places, Place{Customer: m.Customer, Model: m.Name, Endpoint: d.endpoints[i].Name})
	return true
}

// choose returns the index of the best endpoint with room, or -1: nearest
// checkpoint first, then the zone with fewest replicas of the model, then the
// tightest fit, which keeps large gaps for large models.
func (d *decider) choose(m *Model) int {
	best := -1
	for i, e := range d.endpoints {
		if e.FreeMB < m.MemoryMB || !d.hasBase(m, e.Name) {
			continue
		}
		if best < 0 || d.better(m, e, d.endpoints[best]) {
			best = i
		}
	}
	return best
}

func (d *decider) better(m *Model, a, b Endpoint) bool {
	order := cmp.Or(
		-cmp.Compare(a.Cached[m.Name], b.Cached[m.Name]),
		cmp.Compare(d.inZone(m, a.Zone), d.inZone(m, b.Zone)),
		cmp.Compare(a.FreeMB, b.FreeMB),
		cmp.Compare(a.Name, b.Name),
	)
	return order < 0
}

func (d *decider) inZone(m *Model, zone string) int {
	n := 0
	for _, r := range d.snap.Replicas {
		if r.Customer == m.Customer && r.Model == m.Name && r.Phase != Retiring && d.zone(r.Endpoint) == zone {
			n++
		}
	}
	for _, p := range d.out.Places {
		if p.Customer == m.Customer && p.Model == m.Name && d.zone(p.Endpoint) == zone {
			n++
		}
	}
	return n
}

func (d *decider) zone(endpoint string) string {
	for _, e := range d.endpoints {
		if e.Name == endpoint {
			return e.Zone
		}
	}
	return ""
}

// hasBase tells whether an adapter finds its base loaded on the endpoint.
func (d *decider) hasBase(m *Model, endpoint string) bool {
	if m.BaseModel == "" {
		return true
	}
	return slices.ContainsFunc(d.snap.Replicas, func(r Replica) bool {
		return r.Endpoint == endpoint && r.Model == m.BaseModel && r.Phase == Ready && !d.retired[r.ID]
	})
}

// evictFor retires idle replicas on the endpoint where fewest are needed to
// make room. It retires nothing while memory that is being given back suffices.
func (d *decider) evictFor(m *Model) {
	if m.Waiting == 0 {
		return
	}
	var best []Replica
	for _, e := range d.endpoints {
		if !d.hasBase(m, e.Name) {
			continue
		}
		missing := m.MemoryMB - e.FreeMB - d.givingBack(e.Name)
		if missing <= 0 {
			return
		}
		victims := d.victims(e.Name, missing)
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	for _, r := range best {
		d.retire(r)
	}
}

func (d *decider) givingBack(endpoint string) int64 {
	var sum int64
	for _, r := range d.snap.Replicas {
		if r.Endpoint == endpoint && (r.Phase == Retiring || d.retired[r.ID]) {
			sum += r.MemoryMB
		}
	}
	return sum
}

// victims returns the longest idle replicas that free at least need, or nil.
func (d *decider) victims(endpoint string, need int64) []Replica {
	var idle []Replica
	for _, r := range d.snap.Replicas {
		m := d.models[modelKey{r.Customer, r.Model}]
		if r.Endpoint == endpoint && m != nil && d.evictable(r, m) {
			idle = append(idle, r)
		}
	}
	slices.SortStableFunc(idle, func(a, b Replica) int {
		return d.lastUsed(a).Compare(d.lastUsed(b))
	})
	for i, r := range idle {
		need -= r.MemoryMB
		if need <= 0 {
			return idle[:i+1]
		}
	}
	return nil
}

func (d *decider) lastUsed(r Replica) time.Time {
	return d.models[modelKey{r.Customer, r.Model}].LastUsed
}
