package state

import (
	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/record"
)

// applyPlan is the single place at which decisions about a pool take effect.
// A plan of a former owner carries an old epoch, and a delayed copy of an
// applied plan an old sequence number: both are void as a whole.
func (ps *Pools) applyPlan(off record.Offset, plan record.Plan, contracts *Contracts) ([]error, error) {
	p := ps.find(plan.Pool)
	if p == nil {
		return nil, errors.Wrapf(ErrUnknown, "pool %q", plan.Pool)
	}
	if plan.Epoch != p.Epoch || plan.Seq != p.Seq {
		return nil, errors.Wrapf(ErrStale, "plan %d of epoch %d, pool %q is at %d of %d", plan.Seq, plan.Epoch, plan.Pool, p.Seq, p.Epoch)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Seq++
	p.Changed = off
	results := make([]error, len(plan.Decisions))
	for i, d := range plan.Decisions {
		results[i] = p.decide(off, d, contracts)
	}
	return results, nil
}

func (p *lockedPool) decide(off record.Offset, d record.Decision, contracts *Contracts) error {
	switch {
	case d.Endpoint != nil:
		p.seeEndpoint(off, *d.Endpoint)
		return nil
	case d.Lost != nil:
		return p.loseEndpoint(off, *d.Lost)
	case d.Place != nil:
		return p.place(off, *d.Place, contracts)
	case d.Ready != nil:
		return p.setPhase(off, d.Ready.Replica, Placed, Loaded)
	case d.Retire != nil:
		return p.retire(off, d.Retire.Replica)
	case d.Free != nil:
		return p.free(d.Free.Replica)
	}
	return nil
}

// seeEndpoint registers an endpoint. After a restart its memory is empty, but
// this may be an old observation of a run before the present one, whose
// replicas are loaded. So all are retired and stay counted until their unload
// is confirmed by the run that was observed.
func (p *lockedPool) seeEndpoint(off record.Offset, seen record.EndpointSeen) {
	known, ok := p.Endpoints[seen.Endpoint]
	if ok && known.Incarnation != seen.Incarnation {
		p.retireAll(off, seen.Endpoint)
	}
	p.Endpoints[seen.Endpoint] = Endpoint{EndpointSeen: seen}
}

func (p *lockedPool) loseEndpoint(off record.Offset, lost record.EndpointLost) error {
	e, ok := p.Endpoints[lost.Endpoint]
	if !ok || e.Incarnation != lost.Incarnation {
		return errors.Wrapf(ErrStale, "endpoint %q", lost.Endpoint)
	}
	e.Lost = true
	p.Endpoints[lost.Endpoint] = e
	p.retireAll(off, lost.Endpoint)
	return nil
}

func (p *lockedPool) retireAll(off record.Offset, endpoint string) {
	for id, r := range p.Replicas {
		if r.Endpoint == endpoint {
			r.Phase = Retired
			r.Changed = off
			p.Replicas[id] = r
		}
	}
}

// place reserves capacity. This check, and not the owner's, bounds replicas
// and memory: it sees every reservation in the order of the log.
func (p *lockedPool) place(off record.Offset, d record.Place, contracts *Contracts) error {
	m, ok := contracts.model(d.Customer, d.Model)
	if !ok || !m.Loadable() || m.Pool != p.Name {
		return errors.Wrapf(ErrUnknown, "model %q of %q in pool %q", d.Model, d.Customer, p.Name)
	}
	e, ok := p.Endpoints[d.Endpoint]
	if !ok || e.Lost {
		return errors.Wrapf(ErrUnknown, "endpoint %q", d.Endpoint)
	}
	if _, used := p.Replicas[d.Replica]; used {
		return errors.Wrapf(ErrStale, "replica %s", d.Replica)
	}
	if n := p.Count(d.Customer, d.Model); n >= m.MaxReplicas {
		return errors.Wrapf(ErrLimit, "%d of %d replicas of %q", n, m.MaxReplicas, d.Model)
	}
	if free := e.MemoryMB - p.ReservedMB(d.Endpoint); free < m.MemoryMB() {
		return errors.Wrapf(ErrLimit, "%d MB free on %q, %q needs %d MB", free, d.Endpoint, d.Model, m.MemoryMB())
	}
	if err := p.checkBase(m, d); err != nil {
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

// checkBase requires a loaded base replica on the same endpoint for an adapter.
func (p *lockedPool) checkBase(m contract.Model, d record.Place) error {
	if m.Kind != contract.Adapter {
		return nil
	}
	for _, r := range p.Replicas {
		if r.Endpoint == d.Endpoint && r.Model == m.BaseModel && r.Phase == Loaded {
			return nil
		}
	}
	return errors.Wrapf(ErrUnknown, "loaded base %q of adapter %q on %q", m.BaseModel, d.Model, d.Endpoint)
}

func (p *lockedPool) setPhase(off record.Offset, id record.ReplicaID, from, to Phase) error {
	r, ok := p.Replicas[id]
	if !ok || r.Phase != from {
		return errors.Wrapf(ErrStale, "replica %s", id)
	}
	r.Phase = to
	r.Changed = off
	p.Replicas[id] = r
	return nil
}

func (p *lockedPool) retire(off record.Offset, id record.ReplicaID) error {
	r, ok := p.Replicas[id]
	if !ok || r.Phase == Retired {
		return errors.Wrapf(ErrStale, "replica %s", id)
	}
	return p.setPhase(off, id, r.Phase, Retired)
}

func (p *lockedPool) free(id record.ReplicaID) error {
	r, ok := p.Replicas[id]
	if !ok || r.Phase != Retired {
		return errors.Wrapf(ErrStale, "replica %s", id)
	}
	if !p.MayFree(r) {
		return errors.Wrapf(ErrStale, "a former owner may still load replica %s", id)
	}
	delete(p.Replicas, id)
	return nil
}
