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

// step makes the owner's decisions for one snapshot of the pool's state.
type step struct {
	c         *Controller
	now       time.Time
	pool      state.Pool
	models    map[modelKey]state.PoolModel
	modelList []state.PoolModel
	decisions []record.Decision
	effects   []Effect
}

func (s *step) run() []Effect {
	s.reconcileEndpoints()
	s.reconcileReplicas()
	s.unloadUnknown()
	s.decidePlacement()
	if len(s.decisions) > 0 && !s.c.planPending {
		s.c.planPending = true
		s.effects = append(s.effects, Effect{Plan: &record.Plan{
			Pool:      s.pool.Name,
			Epoch:     s.pool.Epoch,
			Seq:       s.pool.Seq,
			Decisions: s.decisions[:min(len(s.decisions), maxDecisions)],
		}})
	}
	return s.effects
}

func (s *step) addDecision(d record.Decision) { s.decisions = append(s.decisions, d) }

// reconcileEndpoints records new, restarted and lost endpoints.
func (s *step) reconcileEndpoints() {
	for _, name := range slices.Sorted(maps.Keys(s.c.observed)) {
		o := s.c.observed[name]
		known, ok := s.pool.Endpoints[name]
		if !ok || known.Lost || known.EndpointRegistered != o.EndpointRegistered {
			s.registerEndpoint(o)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.pool.Endpoints)) {
		e := s.pool.Endpoints[name]
		if _, listed := s.c.observed[name]; !listed && !e.Lost && s.c.pendingOrders(name) == 0 {
			s.addDecision(record.Decision{Lost: &record.EndpointRemoved{Endpoint: name, Incarnation: e.Incarnation}})
		}
	}
}

// registerEndpoint records a new or restarted endpoint. It waits for this host's orders to
// the former incarnation, because one that is in progress could reach the new incarnation
// after its memory was assigned to another replica.
func (s *step) registerEndpoint(o Observation) {
	if o.Incarnation == "" || s.c.pendingOrders(o.Endpoint) > 0 {
		return
	}
	registered := o.EndpointRegistered
	s.addDecision(record.Decision{Endpoint: &registered})
}

// reconcileReplicas sends the orders that the replicas' phases require and records their
// results.
func (s *step) reconcileReplicas() {
	for _, id := range slices.Sorted(maps.Keys(s.pool.Replicas)) {
		r := s.pool.Replicas[id]
		if r.Phase != state.Retired && s.c.observed[r.Endpoint].Draining {
			s.addDecision(record.Decision{Retire: &record.Retire{Replica: id}})
			continue
		}
		switch r.Phase {
		case state.Placed:
			s.reconcileLoad(r)
		case state.Loaded:
			s.checkStillLoaded(r)
		case state.Retired:
			s.reconcileUnload(r)
		}
	}
}

func (s *step) reconcileLoad(r state.Replica) {
	switch {
	case s.c.loaded[r.ID]:
		// A load may take longer than the keep-alive. The replica counts as just used, so
		// that it is not retired before it serves a request.
		s.c.lastUsed[modelKey{r.Customer, r.Model}] = s.now
		s.addDecision(record.Decision{Ready: &record.Ready{Replica: r.ID}})
	case s.attempts(r) >= maxLoadAttempts:
		s.addDecision(record.Decision{Retire: &record.Retire{Replica: r.ID}})
	case s.usable(r.Endpoint) && !s.exceedsContract(r):
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

// exceedsContract reports whether the contract no longer allows the load, because it
// changed after the decision. Placement then retires the replica.
func (s *step) exceedsContract(r state.Replica) bool {
	m, ok := s.models[modelKey{r.Customer, r.Model}]
	return !ok || s.pool.Count(r.Customer, r.Model) > m.MaxReplicas
}

func (s *step) attempts(r state.Replica) int {
	if o := s.c.orders[orderKey{r.Endpoint, r.ID}]; o != nil && !o.pending {
		return o.attempts
	}
	return 0
}

// checkStillLoaded retires a replica that its endpoint no longer lists, for example because
// the endpoint evicted it. Observations made before the load do not list the replica either,
// so they are ignored until the first one that lists it.
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
		s.addDecision(record.Decision{Retire: &record.Retire{Replica: r.ID}})
	}
}

func (s *step) reconcileUnload(r state.Replica) {
	lost := s.pool.Endpoints[r.Endpoint].Lost
	order := s.c.orders[orderKey{r.Endpoint, r.ID}]
	if order != nil && order.pending {
		return
	}
	switch {
	case lost || s.c.unloaded[r.ID]:
		if s.pool.MayFree(r) {
			s.addDecision(record.Decision{Free: &record.Free{Replica: r.ID}})
		}
	case s.usable(r.Endpoint):
		s.send(Order{Kind: OrderUnload, Endpoint: r.Endpoint, Replica: r.ID, Model: r.Model})
	}
}

// usable reports whether an endpoint was observed in the incarnation that the replicated
// state knows.
func (s *step) usable(endpoint string) bool {
	e, known := s.pool.Endpoints[endpoint]
	o, listed := s.c.observed[endpoint]
	return known && listed && !e.Lost && e.Incarnation == o.Incarnation
}

// unloadUnknown unloads replicas that an endpoint lists and the replicated state does not
// know. They result from delayed orders of a former owner.
func (s *step) unloadUnknown() {
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
	// The token is taken from the same snapshot as the ownership. A newer state could already
	// belong to the epoch of the next owner.
	o.Fence = s.pool.Changed
	s.effects = append(s.effects, Effect{Order: &o})
}

// decidePlacement adds placement decisions, unless a plan is in progress that would change
// their input.
func (s *step) decidePlacement() {
	if s.c.planPending {
		return
	}
	actions := placement.Decide(s.snapshot())
	for _, id := range actions.Retires {
		s.addDecision(record.Decision{Retire: &record.Retire{Replica: id}})
	}
	for _, p := range actions.Places {
		if !s.c.store.AllowN(s.now, 1) {
			return
		}
		s.addDecision(record.Decision{Place: &record.Place{
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
	for _, m := range s.modelList {
		snap.Models = append(snap.Models, s.c.placementModel(s.now, m, demand[modelKey{m.Customer, m.Name}]))
	}
	for _, name := range slices.Sorted(maps.Keys(s.pool.Endpoints)) {
		o := s.c.observed[name]
		if s.usable(name) && !o.Draining && o.Reachable {
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
