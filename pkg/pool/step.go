package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/placement"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

// step is one run of the owner's decisions on one copy of the pool.
type step struct {
	c         *Controller
	now       time.Time
	pool      state.Pool
	models    map[modelKey]state.PoolModel
	order     []state.PoolModel
	decisions []record.Decision
	effects   []Effect
}

func (s *step) run() []Effect {
	s.reconcileEndpoints()
	s.driveReplicas()
	s.unloadStrays()
	s.decidePlacement()
	if len(s.decisions) > 0 && !s.c.planning {
		s.c.planning = true
		s.effects = append(s.effects, Effect{Plan: &record.Plan{
			Pool:      s.pool.Name,
			Epoch:     s.pool.Epoch,
			Seq:       s.pool.Seq,
			Decisions: s.decisions[:min(len(s.decisions), maxDecisions)],
		}})
	}
	return s.effects
}

func (s *step) decide(d record.Decision) { s.decisions = append(s.decisions, d) }

// reconcileEndpoints brings the fold up to what was observed.
func (s *step) reconcileEndpoints() {
	for _, name := range slices.Sorted(maps.Keys(s.c.observed)) {
		o := s.c.observed[name]
		known, ok := s.pool.Endpoints[name]
		if !ok || known.Lost || known.EndpointSeen != o.EndpointSeen {
			s.register(o)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.pool.Endpoints)) {
		e := s.pool.Endpoints[name]
		if _, listed := s.c.observed[name]; !listed && !e.Lost && s.c.pendingOrders(name) == 0 {
			s.decide(record.Decision{Lost: &record.EndpointLost{Endpoint: name, Incarnation: e.Incarnation}})
		}
	}
}

// register records a new or restarted endpoint. It waits for this host's own
// orders to the former run: one that is still under way could reach the new
// run after the fold has given its memory to another replica.
func (s *step) register(o Observation) {
	if o.Incarnation == "" || s.c.pendingOrders(o.Endpoint) > 0 {
		return
	}
	seen := o.EndpointSeen
	s.decide(record.Decision{Endpoint: &seen})
}

// driveReplicas sends the orders that the fold's decisions call for, and
// records their results.
func (s *step) driveReplicas() {
	for _, id := range slices.Sorted(maps.Keys(s.pool.Replicas)) {
		r := s.pool.Replicas[id]
		if r.Phase != state.Retired && s.c.observed[r.Endpoint].Leaving {
			s.decide(record.Decision{Retire: &record.Retire{Replica: id}})
			continue
		}
		switch r.Phase {
		case state.Placed:
			s.driveLoad(r)
		case state.Loaded:
			s.checkStillLoaded(r)
		case state.Retired:
			s.driveUnload(r)
		}
	}
}

func (s *step) driveLoad(r state.Replica) {
	switch {
	case s.c.loaded[r.ID]:
		// A load may take longer than the keep-alive; its replica counts as just
		// used, or it would be retired before anybody could come back for it.
		s.c.lastUsed[modelKey{r.Customer, r.Model}] = s.now
		s.decide(record.Decision{Ready: &record.Ready{Replica: r.ID}})
	case s.attempts(r) >= maxLoadAttempts:
		s.decide(record.Decision{Retire: &record.Retire{Replica: r.ID}})
	case s.usable(r.Endpoint) && !s.excess(r):
		m := s.models[modelKey{r.Customer, r.Model}]
		s.send(Order{
			Kind:      OrderLoad,
			Endpoint:  r.Endpoint,
			Replica:   r.ID,
			Model:     r.Model,
			BaseModel: m.BaseModel,
			MemoryMB:  r.MemoryMB,
		})
	}
}

// excess tells whether a contract change since the decision forbids the load;
// placement then retires the replica. The owner looks again before each order,
// or a contract lowered between decision and order would be exceeded.
func (s *step) excess(r state.Replica) bool {
	m, ok := s.models[modelKey{r.Customer, r.Model}]
	return !ok || s.pool.Count(r.Customer, r.Model) > m.MaxReplicas
}

func (s *step) attempts(r state.Replica) int {
	if o := s.c.orders[orderKey{r.Endpoint, r.ID}]; o != nil && !o.pending {
		return o.attempts
	}
	return 0
}

// checkStillLoaded retires a replica that its endpoint no longer lists, for
// example because the engine evicted it. An observation that is older than the
// load does not list it either; so the first one that does is waited for.
func (s *step) checkStillLoaded(r state.Replica) {
	o, ok := s.c.observed[r.Endpoint]
	if !ok || !o.Reachable || o.Incarnation != s.pool.Endpoints[r.Endpoint].Incarnation {
		return
	}
	if slices.Contains(o.Loaded, r.ID) {
		delete(s.c.loaded, r.ID)
		return
	}
	if !s.c.loaded[r.ID] {
		s.decide(record.Decision{Retire: &record.Retire{Replica: r.ID}})
	}
}

func (s *step) driveUnload(r state.Replica) {
	lost := s.pool.Endpoints[r.Endpoint].Lost
	pending := s.c.orders[orderKey{r.Endpoint, r.ID}]
	if pending != nil && pending.pending {
		return
	}
	switch {
	case lost || s.c.confirmed[r.ID]:
		if s.pool.MayFree(r) {
			s.decide(record.Decision{Free: &record.Free{Replica: r.ID}})
		}
	case s.usable(r.Endpoint):
		s.send(Order{Kind: OrderUnload, Endpoint: r.Endpoint, Replica: r.ID, Model: r.Model})
	}
}

// usable endpoints are observed in the same incarnation that the fold knows.
func (s *step) usable(endpoint string) bool {
	e, known := s.pool.Endpoints[endpoint]
	o, listed := s.c.observed[endpoint]
	return known && listed && !e.Lost && e.Incarnation == o.Incarnation
}

// unloadStrays unloads replicas that an endpoint lists and the fold does not
// know. They come from orders that a former owner sent late.
func (s *step) unloadStrays() {
	for _, name := range slices.Sorted(maps.Keys(s.c.observed)) {
		if !s.usable(name) {
			continue
		}
		for _, id := range s.c.observed[name].Loaded {
			if _, known := s.pool.Replicas[id]; !known {
				s.send(Order{Kind: OrderUnload, Endpoint: name, Replica: id})
			}
		}
	}
}

func (s *step) send(o Order) {
	key := orderKey{o.Endpoint, o.Replica}
	state := s.c.orders[key]
	if state == nil {
		state = &orderState{}
		s.c.orders[key] = state
	}
	if state.pending || s.now.Before(state.retryAt) {
		return
	}
	if o.Kind == OrderLoad && state.attempts > 0 && !s.c.store.AllowN(s.now, 1) {
		return
	}
	state.pending = true
	state.epoch = s.pool.Epoch
	e := s.pool.Endpoints[o.Endpoint]
	o.Pool = s.pool.Name
	o.Epoch = s.pool.Epoch
	o.Addr = e.Addr
	o.Incarnation = e.Incarnation
	// The token comes from the same copy as the ownership: read from the fold a
	// moment later, it could already lie in the epoch of the next owner.
	o.Fence = s.pool.Changed
	s.effects = append(s.effects, Effect{Order: &o})
}

// decidePlacement asks the placement policy, unless a plan is in flight whose
// result would change the snapshot.
func (s *step) decidePlacement() {
	if s.c.planning {
		return
	}
	actions := placement.Decide(s.snapshot())
	for _, id := range actions.Retires {
		s.decide(record.Decision{Retire: &record.Retire{Replica: id}})
	}
	for _, p := range actions.Places {
		if !s.c.store.AllowN(s.now, 1) {
			return
		}
		s.decide(record.Decision{Place: &record.Place{
			Replica:  s.c.cfg.NewReplicaID(),
			Customer: p.Customer,
			Model:    p.Model,
			Endpoint: p.Endpoint,
		}})
	}
}

func (s *step) snapshot() placement.Snapshot {
	snap := placement.Snapshot{Now: s.now, LoadSlots: s.c.cfg.StoreConcurrent - s.loading()}
	reserved := map[string]int64{}
	for _, r := range s.pool.Replicas {
		reserved[r.Endpoint] += r.MemoryMB
	}
	demand := s.c.demand()
	for _, m := range s.order {
		snap.Models = append(snap.Models, s.c.placementModel(s.now, m, demand[modelKey{m.Customer, m.Name}]))
	}
	for _, name := range slices.Sorted(maps.Keys(s.pool.Endpoints)) {
		o := s.c.observed[name]
		if s.usable(name) && !o.Leaving && o.Reachable {
			e := s.pool.Endpoints[name]
			snap.Endpoints = append(snap.Endpoints, placement.Endpoint{
				Name:   name,
				Zone:   e.Zone,
				FreeMB: e.MemoryMB - reserved[name],
			})
		}
	}
	for _, r := range s.pool.Replicas {
		snap.Replicas = append(snap.Replicas, placement.Replica{
			ID:       r.ID,
			Customer: r.Customer,
			Model:    r.Model,
			Endpoint: r.Endpoint,
			MemoryMB: r.MemoryMB,
			Phase:    [...]placement.Phase{placement.Loading, placement.Ready, placement.Retiring}[r.Phase],
		})
	}
	slices.SortFunc(snap.Replicas, func(a, b placement.Replica) int { return cmp.Compare(a.ID, b.ID) })
	return snap
}

func (s *step) loading() int {
	n := 0
	for _, r := range s.pool.Replicas {
		if r.Phase == state.Placed {
			n++
		}
	}
	return n
}
