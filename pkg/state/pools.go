package state

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/record"
)

// Phase is the stage of a replica's life.
type Phase int

// The phases of a replica, in order.
const (
	// Placed replicas have memory reserved; their load may be under way.
	Placed Phase = iota
	// Loaded replicas serve requests.
	Loaded
	// Retired replicas get no new requests; their memory is still reserved.
	Retired
)

// String names the phase.
func (p Phase) String() string {
	return [...]string{"placed", "loaded", "retired"}[p]
}

// Replica is one replica whose memory is reserved.
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
	record.EndpointSeen
	// Lost endpoints have left the platform's list.
	Lost bool
}

// Former is a past owner that may still have orders under way.
type Former struct {
	Epoch record.Offset
	Owner record.HostRef
}

// Pool is a copy of one pool's state.
type Pool struct {
	Name  string
	Epoch record.Offset
	Owner record.HostRef
	Seq   uint64
	// Changed is the offset of the last record that changed the pool. A copy of
	// the pool carries it, so that it never belongs to a later epoch.
	Changed   record.Offset
	Former    []Former
	Endpoints map[string]Endpoint
	Replicas  map[record.ReplicaID]Replica
}

// ReservedMB is the memory of an endpoint that replicas hold.
func (p *Pool) ReservedMB(endpoint string) int64 {
	var sum int64
	for _, r := range p.Replicas {
		if r.Endpoint == endpoint {
			sum += r.MemoryMB
		}
	}
	return sum
}

// Count is the number of replicas of a customer's model that are loaded,
// loading or in doubt.
func (p *Pool) Count(customer, model string) int {
	count := 0
	for _, r := range p.Replicas {
		if r.Customer == customer && r.Model == model {
			count++
		}
	}
	return count
}

// MayFree tells whether the memory of a retired replica may be given back once
// the present owner's unload order was accepted.
//
// A former owner that was paused between decision and order may still send a
// load order for the replica; it would show as memory used twice. Either the
// endpoint refuses it, because the unload order raised its fencing token, or
// no owner of the replica's time is left that could send it.
func (p *Pool) MayFree(r Replica) bool {
	e := p.Endpoints[r.Endpoint]
	if e.ChecksFencing && !e.Lost {
		return true
	}
	return !slices.ContainsFunc(p.Former, func(f Former) bool { return f.Epoch >= r.Epoch })
}

func (p *Pool) clone() Pool {
	c := *p
	c.Former = slices.Clone(p.Former)
	c.Endpoints = maps.Clone(p.Endpoints)
	c.Replicas = maps.Clone(p.Replicas)
	return c
}

// Pools holds all pools. Each has a lock of its own.
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

// Get returns a copy of a pool; an unclaimed pool is empty.
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

// Names returns all claimed pools in order.
func (ps *Pools) Names() []string {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return slices.Sorted(maps.Keys(ps.pools))
}

// Target is a loaded replica with the address that serves it.
type Target struct {
	Replica  record.ReplicaID
	Endpoint string
	Addr     string
	Zone     string
}

// Targets returns the loaded replicas of a model in order, whoever's contract
// placed them.
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

// EndpointOf returns the endpoint of a replica.
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

// Loading tells whether a load of a model was decided and not yet confirmed.
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

// claim moves a pool to a new epoch. Of several claims that follow the same
// epoch the first in the log wins; a delayed copy finds another epoch.
func (ps *Pools) claim(off record.Offset, c record.PoolClaim) error {
	p := ps.find(c.Pool)
	if p == nil {
		p = ps.create(c.Pool)
	}
	if p.Epoch != c.PrevEpoch {
		return errors.Wrapf(ErrStale, "epoch of pool %q is %d, not %d", c.Pool, p.Epoch, c.PrevEpoch)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Epoch != 0 {
		p.Former = append(p.Former, Former{Epoch: p.Epoch, Owner: p.Owner})
	}
	p.start(off, c.Owner)
	return nil
}

// handover moves a pool to the next owner. The former owner has no orders
// under way when it appends this record, so nothing waits for it.
func (ps *Pools) handover(off record.Offset, h record.Handover) error {
	p := ps.find(h.Pool)
	if p == nil || p.Epoch != h.Epoch {
		return errors.Wrapf(ErrStale, "handover of pool %q in epoch %d", h.Pool, h.Epoch)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start(off, h.To)
	return nil
}

func (p *lockedPool) start(epoch record.Offset, owner record.HostRef) {
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

func (ps *Pools) quiesced(q record.Quiesced) {
	p := ps.find(q.Pool)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Former = slices.DeleteFunc(p.Former, func(f Former) bool {
		return f.Owner == q.Owner && f.Epoch < q.Epoch
	})
}

func (ps *Pools) dropFormer(ref record.HostRef) {
	for _, name := range ps.Names() {
		p := ps.find(name)
		p.mu.Lock()
		p.Former = slices.DeleteFunc(p.Former, func(f Former) bool { return f.Owner == ref })
		p.mu.Unlock()
	}
}
