package state

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/record"
)

// Phase is the lifecycle phase of a replica.
type Phase int

// The phases of a replica, in order.
const (
	// Placed replicas have memory reserved; the load may be in progress.
	Placed Phase = iota
	// Loaded replicas serve requests.
	Loaded
	// Retired replicas receive no new requests; their memory is still reserved.
	Retired
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"placed", "loaded", "retired"}[p]
}

// Replica is a replica with reserved memory.
type Replica struct {
	ID       record.ReplicaID
	Customer string
	Model    string
	Endpoint string
	MemoryMB int64
	Phase    Phase
	// Epoch is the epoch in which the replica was placed.
	Epoch record.Offset
	// Changed is the offset of the plan that set the phase.
	Changed record.Offset
}

// Endpoint is a model endpoint of a pool.
type Endpoint struct {
	record.EndpointRegistered
	// Lost endpoints have been removed from the platform's list.
	Lost bool
}

// FormerOwner is a previous owner that may still have orders in flight.
type FormerOwner struct {
	Epoch record.Offset
	Owner record.HostRef
}

// Pool is the state of one pool.
type Pool struct {
	Name  string
	Epoch record.Offset
	Owner record.HostRef
	Seq   uint64
	// Changed is the offset of the last record that changed the pool.
	Changed   record.Offset
	Former    []FormerOwner
	Endpoints map[string]Endpoint
	Replicas  map[record.ReplicaID]Replica
}

// ReservedMB returns the memory reserved on an endpoint, in megabytes.
func (p *Pool) ReservedMB(endpoint string) int64 {
	var sum int64
	for _, r := range p.Replicas {
		if r.Endpoint == endpoint {
			sum += r.MemoryMB
		}
	}
	return sum
}

// Count returns the number of replicas of a customer's model in any phase.
func (p *Pool) Count(customer, model string) int {
	count := 0
	for _, r := range p.Replicas {
		if r.Customer == customer && r.Model == model {
			count++
		}
	}
	return count
}

// MayFree reports whether the memory of a retired replica may be released once
// the endpoint has accepted the current owner's unload order.
//
// A delayed load order of a former owner may still arrive for the replica. That
// is safe if the endpoint is listed and checks fencing tokens, because the unload
// order has raised the token. Otherwise no former owner since the epoch of the
// replica may have orders in flight.
func (p *Pool) MayFree(r Replica) bool {
	e := p.Endpoints[r.Endpoint]
	if e.ChecksFencing && !e.Lost {
		return true
	}
	return !slices.ContainsFunc(p.Former, func(f FormerOwner) bool { return f.Epoch >= r.Epoch })
}

func (p *Pool) clone() Pool {
	c := *p
	c.Former = slices.Clone(p.Former)
	c.Endpoints = maps.Clone(p.Endpoints)
	c.Replicas = maps.Clone(p.Replicas)
	return c
}

// Pools holds all pools, each with its own lock.
type Pools struct {
	mu    sync.RWMutex
	pools map[string]*lockedPool
}

type lockedPool struct {
	mu sync.RWMutex
	Pool
}

func newPools() *Pools {
	return &Pools{pools: map[string]*lockedPool{}}
}

func (ps *Pools) find(name string) *lockedPool {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.pools[name]
}

// Get returns a copy of a pool. A pool that was never claimed is empty.
func (ps *Pools) Get(name string) Pool {
	p := ps.find(name)
	if p == nil {
		return Pool{Name: name}
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.clone()
}

// Owner returns the owner and epoch of a pool.
func (ps *Pools) Owner(name string) (record.HostRef, record.Offset) {
	p := ps.find(name)
	if p == nil {
		return record.HostRef{}, 0
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.Owner, p.Epoch
}

// Names returns all pools that were ever claimed, in sorted order.
func (ps *Pools) Names() []string {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return slices.Sorted(maps.Keys(ps.pools))
}

// Target is a loaded replica and the address of its endpoint.
type Target struct {
	Replica  record.ReplicaID
	Endpoint string
	Addr     string
	Zone     string
}

// Targets returns the loaded replicas of a model in a pool, regardless of the
// customer whose contract placed them, ordered by ID.
func (ps *Pools) Targets(pool, model string) []Target {
	p := ps.find(pool)
	if p == nil {
		return nil
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	var targets []Target
	for _, r := range p.Replicas {
		e := p.Endpoints[r.Endpoint]
		if r.Model == model && r.Phase == Loaded && !e.Lost {
			targets = append(targets, Target{Replica: r.ID, Endpoint: r.Endpoint, Addr: e.Addr, Zone: e.Zone})
		}
	}
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.Replica, b.Replica) })
	return targets
}

// EndpointOf returns the ID of the endpoint that hosts a replica.
func (ps *Pools) EndpointOf(id record.ReplicaID) (string, bool) {
	for _, name := range ps.Names() {
		p := ps.find(name)
		p.mu.RLock()
		r, ok := p.Replicas[id]
		p.mu.RUnlock()
		if ok {
			return r.Endpoint, true
		}
	}
	return "", false
}

// Loading reports whether a replica of the model is placed but not yet loaded.
func (ps *Pools) Loading(pool, model string) bool {
	p := ps.find(pool)
	if p == nil {
		return false
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, r := range p.Replicas {
		if r.Model == model && r.Phase == Placed {
			return true
		}
	}
	return false
}

// claim starts a new epoch of a pool. Only the first of several claims on the
// same epoch is accepted, and a delayed copy is rejected.
func (ps *Pools) claim(off record.Offset, c record.PoolClaim) error {
	p := ps.find(c.Pool)
	if p == nil {
		p = ps.create(c.Pool)
	}
	if p.Epoch != c.PrevEpoch {
		return errors.Wrapf(ErrStale, "pool %q is in epoch %d, claim expects %d", c.Pool, p.Epoch, c.PrevEpoch)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Epoch != 0 {
		p.Former = append(p.Former, FormerOwner{Epoch: p.Epoch, Owner: p.Owner})
	}
	p.startEpoch(off, c.Owner)
	return nil
}

// handover transfers a pool to another host. The owner has no orders in
// flight when it appends the record, so it is not added to Former.
func (ps *Pools) handover(off record.Offset, h record.Handover) error {
	p := ps.find(h.Pool)
	if p == nil || p.Epoch != h.Epoch {
		return errors.Wrapf(ErrStale, "pool %q is not in epoch %d of the handover", h.Pool, h.Epoch)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startEpoch(off, h.To)
	return nil
}

func (p *lockedPool) startEpoch(epoch record.Offset, owner record.HostRef) {
	p.Epoch = epoch
	p.Changed = epoch
	p.Owner = owner
	p.Seq = 0
}

func (ps *Pools) create(name string) *lockedPool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := &lockedPool{Pool: Pool{
		Name:      name,
		Endpoints: map[string]Endpoint{},
		Replicas:  map[record.ReplicaID]Replica{},
	}}
	ps.pools[name] = p
	return p
}

func (ps *Pools) removeQuiescedOwner(q record.Quiesced) {
	p := ps.find(q.Pool)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Former = slices.DeleteFunc(p.Former, func(f FormerOwner) bool {
		return f.Owner == q.Owner && f.Epoch < q.Epoch
	})
}

func (ps *Pools) removeFormerOwner(ref record.HostRef) {
	for _, name := range ps.Names() {
		p := ps.find(name)
		p.mu.Lock()
		p.Former = slices.DeleteFunc(p.Former, func(f FormerOwner) bool { return f.Owner == ref })
		p.mu.Unlock()
	}
}
