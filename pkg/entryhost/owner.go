package entryhost

import (
	"context"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/lease"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

// owner runs the controller of one pool, a shard under its own lock.
type owner struct {
	host *Host
	name string

	mu   sync.Mutex
	ctrl *pool.Controller
	wake chan struct{}
	// epoch and since tell which ownership of this host was last seen to begin, and when.
	epoch record.Offset
	since time.Time
}

// askStore lowers the share of the weight store to what the store allows. An
// answer that does not come leaves the settings in force.
func (h *Host) askStore(ctx context.Context) {
	if h.store == nil {
		return
	}
	limits, err := h.store.Limits(ctx)
	if err != nil {
		h.logger.Warn("the weight store did not tell its limits", "error", err)
		return
	}
	h.settings.Store.Concurrent = min(h.settings.Store.Concurrent, limits.Concurrent)
	h.settings.Store.PerSecond = min(h.settings.Store.PerSecond, limits.LoadsPerSecond)
}

// runOwners starts a loop for each pool that the contracts name.
func (h *Host) runOwners(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	for {
		changed := h.journal.Changed()
		for _, name := range h.state.Contracts.PoolNames() {
			h.ownersMu.Lock()
			_, known := h.owners[name]
			h.ownersMu.Unlock()
			if !known {
				o := h.owner(name)
				loops.Go(func() { o.run(ctx) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (h *Host) owner(name string) *owner {
	h.ownersMu.Lock()
	defer h.ownersMu.Unlock()
	o := h.owners[name]
	if o == nil {
		o = &owner{host: h, name: name, wake: make(chan struct{}, 1)}
		o.ctrl = pool.NewController(pool.Config{
			Pool:            name,
			Self:            h.self,
			StoreConcurrent: h.settings.Store.Concurrent,
			StorePerSecond:  h.settings.Store.PerSecond,
			NewReplicaID:    func() record.ReplicaID { return record.ReplicaID(record.NewID()) },
		})
		h.owners[name] = o
	}
	return o
}

func (o *owner) run(ctx context.Context) {
	ticker := time.NewTicker(o.host.settings.Timing.Tick)
	defer ticker.Stop()
	for {
		changed := o.host.journal.Changed()
		o.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		case <-o.wake:
		}
	}
}

// step runs the controller and carries out its effects.
func (o *owner) step(ctx context.Context) {
	now := o.host.now()
	ref, epoch := o.host.state.Pools.Owner(o.name)
	o.mu.Lock()
	if ref == o.host.self {
		o.observe(now, epoch)
		o.planHandover(now)
	}
	effects := o.ctrl.Step(now, o.host.state)
	o.mu.Unlock()
	for _, e := range effects {
		o.carryOut(ctx, e)
	}
}

// observe tells the controller what is known of the endpoints. With a new
// ownership it begins anew, from the endpoints that the fold knows.
func (o *owner) observe(now time.Time, epoch record.Offset) {
	o.host.membersMu.Lock()
	defer o.host.membersMu.Unlock()
	if o.epoch != epoch {
		o.epoch, o.since = epoch, now
		o.host.members.Know(now, foldEndpoints(o.host.state.Pools.Get(o.name)))
	}
	o.ctrl.Observe(o.host.members.Pool(o.name, o.since))
}

func foldEndpoints(p state.Pool) []external.ListedHost {
	var hosts []external.ListedHost
	for _, e := range p.Endpoints {
		if !e.Lost {
			hosts = append(hosts, external.ListedHost{
				Name:          e.Endpoint,
				Kind:          external.EndpointHost,
				Incarnation:   e.Incarnation,
				Addr:          e.Addr,
				Zone:          e.Zone,
				Pool:          p.Name,
				ChecksFencing: e.ChecksFencing,
			})
		}
	}
	return hosts
}

// planHandover names the successor while the host is stopping.
func (o *owner) planHandover(now time.Time) {
	if !o.host.stopping.Load() {
		return
	}
	o.host.watchMu.Lock()
	candidates := o.host.watch.Candidates(now)
	o.host.watchMu.Unlock()
	others := candidates[:0]
	for _, c := range candidates {
		if c != o.host.self {
			others = append(others, c)
		}
	}
	if next, ok := lease.Preferred(o.name, others); ok {
		o.ctrl.HandOver(next)
	}
}

func (o *owner) carryOut(ctx context.Context, e pool.Effect) {
	switch {
	case e.Plan != nil:
		go o.appendPlan(ctx, *e.Plan)
	case e.Quiesced != nil:
		go func() { _ = o.host.appendSoon(ctx, record.Record{Quiesced: e.Quiesced}) }()
	case e.Handover != nil:
		go func() { _ = o.host.appendSoon(ctx, record.Record{Handover: e.Handover}) }()
	case e.Order != nil:
		go o.sendOrder(ctx, *e.Order)
	}
}

func (o *owner) appendPlan(ctx context.Context, p record.Plan) {
	if err := o.host.appendSoon(ctx, record.Record{Plan: &p}); err != nil {
		o.host.metrics.planVoid(o.name)
	}
	o.mu.Lock()
	o.ctrl.PlanDone()
	o.mu.Unlock()
	o.poke()
}

func (o *owner) sendOrder(ctx context.Context, order pool.Order) {
	start := o.host.now()
	ctx, span := o.host.tracer.Start(ctx, "order."+order.Kind.String())
	result, err := o.host.engine.Order(ctx, order)
	if err != nil {
		span.RecordError(err)
	}
	span.End()
	o.host.metrics.order(order.Kind.String(), result == pool.OrderOK, o.host.now().Sub(start))
	o.mu.Lock()
	o.ctrl.OrderDone(o.host.now(), order, result)
	o.mu.Unlock()
	o.poke()
}

func (o *owner) poke() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (h *Host) takeUsage(r peer.UsageReport) {
	o := h.owner(r.Pool)
	o.mu.Lock()
	o.ctrl.Report(h.now(), r.Host, r.Models)
	o.mu.Unlock()
	for _, m := range r.Models {
		if m.Waiting > 0 {
			o.poke()
			return
		}
	}
}
