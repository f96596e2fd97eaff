// Package placement decides which replicas to load and to retire in one pool. Decide is a
// pure function of a snapshot. The replicated state validates its decisions when they are
// applied.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/record"
)

// Model is a customer's model with its limits and demand.
type Model struct {
	Customer string
	Name     string
	// BaseModel is set for adapters.
	BaseModel   string
	MemoryMB    int64
	Min, Max    int
	Concurrency int
	// Waiting and Inflight are summed over all hosts.
	Waiting  int
	Inflight int
	// Deadline is the earliest deadline of a waiting request.
	Deadline time.Time
	// LastUsed is when the last request ended, or zero if none was seen.
	LastUsed time.Time
	// KeepAlive is how long an idle replica stays loaded.
	KeepAlive time.Duration
	// Preload is set while the next request is expected soon. One replica is then loaded and
	// kept in advance.
	Preload bool
}

// Phase is the lifecycle phase of a replica.
type Phase int

// The phases of a replica.
const (
	Loading Phase = iota
	Ready
	Retiring
)

// Replica is a replica that has memory reserved.
type Replica struct {
	ID       record.ReplicaID
	Customer string
	Model    string
	Endpoint string
	MemoryMB int64
	Phase    Phase
	// Busy is set while the replica serves requests.
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

// Endpoint is an endpoint that can take replicas.
type Endpoint struct {
	Name   string
	Zone   string
	FreeMB int64
	// Cached maps the models whose checkpoints the endpoint holds locally to their tier.
	Cached map[string]Tier
}

// Snapshot is the input of a decision.
type Snapshot struct {
	Now       time.Time
	Models    []Model
	Replicas  []Replica
	Endpoints []Endpoint
	// LoadSlots is the number of loads that may start now.
	LoadSlots int
}

// Placement is a decision to load a model on an endpoint.
type Placement struct {
	Customer string
	Model    string
	Endpoint string
}

// Actions are the decisions for one snapshot.
type Actions struct {
	Places  []Placement
	Retires []record.ReplicaID
}

type modelKey struct{ customer, name string }

type decider struct {
	snap      Snapshot
	models    map[modelKey]*Model
	endpoints []Endpoint
	loadSlots int
	out       Actions
	retired   map[record.ReplicaID]bool
	// active counts the replicas of each model that are loading or ready. reserved counts
	// all that hold memory, retiring ones included: this is the number that the contract
	// limits.
	active   map[modelKey]int
	reserved map[modelKey]int
	// adapters counts the adapter replicas on each base model and endpoint.
	adapters map[baseKey]int
}

// baseKey identifies a base model on one endpoint.
type baseKey struct{ customer, base, endpoint string }

// Decide returns what to load and to retire. Models with the earliest request deadlines get
// load slots and memory first.
func Decide(snap Snapshot) Actions {
	d := &decider{
		snap:      snap,
		models:    map[modelKey]*Model{},
		endpoints: slices.Clone(snap.Endpoints),
		loadSlots: snap.LoadSlots,
		retired:   map[record.ReplicaID]bool{},
		active:    map[modelKey]int{},
		reserved:  map[modelKey]int{},
		adapters:  map[baseKey]int{},
	}
	models := slices.Clone(snap.Models)
	for i := range models {
		d.models[modelKey{models[i].Customer, models[i].Name}] = &models[i]
	}
	d.countReplicas()
	d.addAdapterDemand(models)
	d.retireExcess()
	d.retireIdle()
	slices.SortStableFunc(models, byUrgency)
	for i := range models {
		d.scaleUp(&models[i])
	}
	return d.out
}

func (d *decider) countReplicas() {
	for _, r := range d.snap.Replicas {
		key := modelKey{r.Customer, r.Model}
		d.reserved[key]++
		if r.Phase != Retiring {
			d.active[key]++
		}
		if m := d.models[key]; m != nil && m.BaseModel != "" {
			d.adapters[baseKey{r.Customer, m.BaseModel, r.Endpoint}]++
		}
	}
}

// byUrgency sorts models with waiting requests first, by deadline.
func byUrgency(a, b Model) int {
	if (a.Waiting > 0) != (b.Waiting > 0) {
		if a.Waiting > 0 {
			return -1
		}
		return 1
	}
	return a.Deadline.Compare(b.Deadline)
}

// addAdapterDemand adds the demand of adapters to their base models, so that a base stays
// loaded while its adapters are in use and is loaded for an adapter that has waiting
// requests.
func (d *decider) addAdapterDemand(models []Model) {
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

// retireExcess retires replicas beyond the contract's maximum, loading ones first, then
// idle ones.
func (d *decider) retireExcess() {
	active := map[modelKey][]Replica{}
	for _, r := range d.snap.Replicas {
		if r.Phase != Retiring {
			key := modelKey{r.Customer, r.Model}
			active[key] = append(active[key], r)
		}
	}
	for key, replicas := range active {
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
		d.active[modelKey{r.Customer, r.Model}]--
	}
	d.out.Retires = append(d.out.Retires, r.ID)
}

// retireIdle retires replicas beyond the minimum whose model has been idle for longer than
// its keep-alive.
func (d *decider) retireIdle() {
	for _, r := range d.snap.Replicas {
		m := d.models[modelKey{r.Customer, r.Model}]
		if m == nil || !d.evictable(r, m) {
			continue
		}
		if !m.Preload && d.snap.Now.Sub(m.LastUsed) > m.KeepAlive {
			d.retire(r)
		}
	}
}

// evictable reports whether a replica is ready and idle, its model has no requests, it is not
// needed for the minimum and carries no adapter.
func (d *decider) evictable(r Replica, m *Model) bool {
	if r.Phase != Ready || r.Busy || d.retired[r.ID] {
		return false
	}
	if m.Waiting > 0 || m.Inflight > 0 {
		return false
	}
	return d.active[modelKey{r.Customer, r.Model}] > m.Min && !d.carriesAdapter(r)
}

func (d *decider) carriesAdapter(base Replica) bool {
	return d.adapters[baseKey{base.Customer, base.Model, base.Endpoint}] > 0
}

// desiredReplicas returns the number of replicas that the demand requires, within the
// contract's limits.
func desiredReplicas(m *Model) int {
	load := m.Waiting + m.Inflight
	if m.Waiting == 0 && m.Preload {
		return max(m.Min, min(1, m.Max))
	}
	if m.Waiting == 0 {
		return m.Min
	}
	required := (load + m.Concurrency - 1) / max(1, m.Concurrency)
	return min(max(required, m.Min), m.Max)
}

func (d *decider) scaleUp(m *Model) {
	key := modelKey{m.Customer, m.Name}
	for d.active[key] < desiredReplicas(m) && d.reserved[key] < m.Max && d.loadSlots > 0 {
		if !d.placeOne(m) {
			return
		}
	}
}

func (d *decider) placeOne(m *Model) bool {
	i := d.pickEndpoint(m)
	if i < 0 {
		d.evictFor(m)
		return false
	}
	d.endpoints[i].FreeMB -= m.MemoryMB
	d.loadSlots--
	d.active[modelKey{m.Customer, m.Name}]++
	d.reserved[modelKey{m.Customer, m.Name}]++
	d.out.Places = append(d.out.Places, Placement{Customer: m.Customer, Model: m.Name, Endpoint: d.endpoints[i].Name})
	return true
}

// pickEndpoint returns the index of the best endpoint with enough free memory, or -1. It
// prefers the fastest checkpoint tier, then the zone with the fewest replicas of the model,
// then the tightest fit, which leaves large free blocks for large models.
func (d *decider) pickEndpoint(m *Model) int {
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
		cmp.Compare(d.replicasInZone(m, a.Zone), d.replicasInZone(m, b.Zone)),
		cmp.Compare(a.FreeMB, b.FreeMB),
		cmp.Compare(a.Name, b.Name),
	)
	return order < 0
}

func (d *decider) replicasInZone(m *Model, zone string) int {
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

// hasBase reports whether the endpoint can take the model: the base of an adapter must be
// ready there.
func (d *decider) hasBase(m *Model, endpoint string) bool {
	if m.BaseModel == "" {
		return true
	}
	return slices.ContainsFunc(d.snap.Replicas, func(r Replica) bool {
		return r.Endpoint == endpoint && r.Model == m.BaseModel && r.Phase == Ready && !d.retired[r.ID]
	})
}

// evictFor retires idle replicas on the endpoint where the fewest must be retired to fit the model.
// It retires none if memory that is already being released is enough.
func (d *decider) evictFor(m *Model) {
	if m.Waiting == 0 {
		return
	}
	var best []Replica
	for _, e := range d.endpoints {
		if !d.hasBase(m, e.Name) {
			continue
		}
		missingMB := m.MemoryMB - e.FreeMB - d.releasingMB(e.Name)
		if missingMB <= 0 {
			return
		}
		victims := d.victims(e.Name, missingMB)
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	for _, r := range best {
		d.retire(r)
	}
}

func (d *decider) releasingMB(endpoint string) int64 {
	var sum int64
	for _, r := range d.snap.Replicas {
		if r.Endpoint == endpoint && (r.Phase == Retiring || d.retired[r.ID]) {
			sum += r.MemoryMB
		}
	}
	return sum
}

// victims returns the least recently used evictable replicas that free at least needMB, or
// nil.
func (d *decider) victims(endpoint string, needMB int64) []Replica {
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
		needMB -= r.MemoryMB
		if needMB <= 0 {
			return idle[:i+1]
		}
	}
	return nil
}

func (d *decider) lastUsed(r Replica) time.Time {
	return d.models[modelKey{r.Customer, r.Model}].LastUsed
}
