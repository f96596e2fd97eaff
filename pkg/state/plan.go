package state

import (
	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/record"
)

// applyPlan applies the decisions of a pool's owner. It rejects the whole plan
// if the epoch is that of a former owner or if the sequence number has
// already been used. It returns the result of each decision.
func (ps *Pools) applyPlan(off record.Offset, plan record.Plan, contracts *Contracts) ([]error, error) {
	p := ps.find(plan.Pool)
	if p == nil {
		return nil, errors.Wrapf(ErrUnknown, "pool %q", plan.Pool)
	}
	if plan.Epoch != p.Epoch || plan.Seq != p.Seq {
		return nil, errors.Wrapf(ErrStale, "plan %d in epoch %d: pool %q expects plan %d in epoch %d", plan.Seq, plan.Epoch, plan.Pool, p.Seq, p.Epoch)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Seq++
	p.Changed = off
	results := make([]error, len(plan.Decisions))
	for i, d := range plan.Decisions {
		results[i] = p.applyDecision(off, d, contracts)
	}
	return results, nil
}

func (p *lockedPool) applyDecision(off record.Offset, d record.Decision, contracts *Contracts) error {
	switch {
	case d.Endpoint != nil:
		p.registerEndpoint(off, *d.Endpoint)
		return nil
	case d.Lost != nil:
		return p.markEndpointLost(off, *d.Lost)
	case d.Place != nil:
		return p.placeReplica(off, *d.Place, contracts)
	case d.Ready != nil:
		return p.setPhase(off, d.Ready.Replica, Placed, Loaded)
	case d.Retire != nil:
		return p.retireReplica(off, d.Retire.Replica)
	case d.Free != nil:
		return p.freeReplica(d.Free.Replica)
	}
	return nil
}

// registerEndpoint adds an endpoint or replaces its entry. A new incarnation
// has normally lost its loaded models, but the observation may be outdated. All
// replicas are therefore retired, and their memory stays reserved until the
// observed incarnation confirms the unload.
func (p *lockedPool) registerEndpoint(off record.Offset, observed record.EndpointRegistered) {
	known, ok := p.Endpoints[observed.Endpoint]
	if ok && known.Incarnation != observed.Incarnation {
		p.retireReplicasOn(off, observed.Endpoint)
	}
	p.Endpoints[observed.Endpoint] = Endpoint{EndpointRegistered: observed}
}

func (p *lockedPool) markEndpointLost(off record.Offset, lost record.EndpointRemoved) error {
	e, ok := p.Endpoints[lost.Endpoint]
	if !ok || e.Incarnation != lost.Incarnation {
		return errors.Wrapf(ErrStale, "endpoint %q is unknown or has another incarnation", lost.Endpoint)
	}
	e.Lost = true
	p.Endpoints[lost.Endpoint] = e
	p.retireReplicasOn(off, lost.Endpoint)
	return nil
}

func (p *lockedPool) retireReplicasOn(off record.Offset, endpoint string) {
	for id, r := range p.Replicas {
		if r.Endpoint == endpoint {
			r.Phase = Retired
			r.Changed = off
			p.Replicas[id] = r
		}
	}
}

// placeReplica reserves memory for a replica. The limits on replicas and memory
// are enforced here, because only the log orders all reservations.
func (p *lockedPool) placeReplica(off record.Offset, d record.Place, contracts *Contracts) error {
	m, ok := contracts.model(d.Customer, d.Model)
	if !ok || !m.Loadable() || m.Pool != p.Name {
		return errors.Wrapf(ErrUnknown, "model %q of %q in pool %q", d.Model, d.Customer, p.Name)
	}
	e, ok := p.Endpoints[d.Endpoint]
	if !ok || e.Lost {
		return errors.Wrapf(ErrUnknown, "endpoint %q of pool %q", d.Endpoint, p.Name)
	}
	if _, exists := p.Replicas[d.Replica]; exists {
		return errors.Wrapf(ErrStale, "replica ID %s is already in use", d.Replica)
	}
	if n := p.Count(d.Customer, d.Model); n >= m.MaxReplicas {
		return errors.Wrapf(ErrLimit, "%d of %d replicas of model %q are reserved", n, m.MaxReplicas, d.Model)
	}
	if free := e.MemoryMB - p.ReservedMB(d.Endpoint); free < m.MemoryMB() {
		return errors.Wrapf(ErrLimit, "%d MB free on endpoint %q, model %q needs %d MB", free, d.Endpoint, d.Model, m.MemoryMB())
	}
	if err := p.requireLoadedBase(m, d); err != nil {
		return err
	}
	p.Replicas[d.Replica] = Replica{
		ID:       d.Replica,
		Customer: d.Customer,
		Model:    d.Model,
		Endpoint: d.Endpoint,
		MemoryMB: m.MemoryMB(),
		Epoch:    p.Epoch,
		Changed:  off,
	}
	return nil
}

// requireLoadedBase returns an error if m is an adapter whose base model is not
// loaded on the same endpoint.
func (p *lockedPool) requireLoadedBase(m contract.Model, d record.Place) error {
	if m.Kind != contract.Adapter {
		return nil
	}
	for _, r := range p.Replicas {
		if r.Endpoint == d.Endpoint && r.Model == m.BaseModel && r.Phase == Loaded {
			return nil
		}
	}
	return errors.Wrapf(ErrUnknown, "loaded base model %q of adapter %q on endpoint %q", m.BaseModel, d.Model, d.Endpoint)
}

func (p *lockedPool) setPhase(off record.Offset, id record.ReplicaID, from, to Phase) error {
	r, ok := p.Replicas[id]
	if !ok || r.Phase != from {
		return errors.Wrapf(ErrStale, "replica %s is unknown or in another phase", id)
	}
	r.Phase = to
	r.Changed = off
	p.Replicas[id] = r
	return nil
}

func (p *lockedPool) retireReplica(off record.Offset, id record.ReplicaID) error {
	r, ok := p.Replicas[id]
	if !ok || r.Phase == Retired {
		return errors.Wrapf(ErrStale, "replica %s is unknown or already retired", id)
	}
	return p.setPhase(off, id, r.Phase, Retired)
}

func (p *lockedPool) freeReplica(id record.ReplicaID) error {
	r, ok := p.Replicas[id]
	if !ok || r.Phase != Retired {
		return errors.Wrapf(ErrStale, "replica %s is unknown or not retired", id)
	}
	if !p.MayFree(r) {
		return errors.Wrapf(ErrStale, "a former owner may still load replica %s", id)
	}
	delete(p.Replicas, id)
	return nil
}
