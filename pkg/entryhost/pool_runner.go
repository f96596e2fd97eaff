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

// poolRunner runs the controller of one pool. Each pool has its own lock.
type poolRunner struct {
	host *Host
	name string

	mu   sync.Mutex
	ctrl *pool.Controller
	wake chan struct{}
	// epoch is the last ownership epoch in which this host owned the pool, and since is the time
	// at which this host first observed it.
	epoch record.Offset
	since time.Time
}

// applyStoreLimits lowers the configured load limits to those reported by the weight store. If the
// weight store does not report any, the configured limits apply.
func (h *Host) applyStoreLimits(ctx context.Context) {
	if h.store == nil {
		return
	}
	limits, err := h.store.Limits(ctx)
	if err != nil {
		h.logger.Warn("could not read limits of the weight store; using configured limits", "error", err)
		return
	}
	h.settings.Store.Concurrent = min(h.settings.Store.Concurrent, limits.Concurrent)
	h.settings.Store.PerSecond = min(h.settings.Store.PerSecond, limits.LoadsPerSecond)
}

// runPools starts a runner for each pool that the contracts name.
func (h *Host) runPools(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	for {
		changed := h.journal.Changed()
		for _, name := range h.state.Contracts.PoolNames() {
			h.poolRunnersMu.Lock()
			_, known := h.poolRunners[name]
			h.poolRunnersMu.Unlock()
			if !known {
				pr := h.poolRunner(name)
				loops.Go(func() { pr.run(ctx) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// poolRunner returns the runner of a pool and creates it if necessary.
func (h *Host) poolRunner(name string) *poolRunner {
	h.poolRunnersMu.Lock()
	defer h.poolRunnersMu.Unlock()
	pr := h.poolRunners[name]
	if pr == nil {
		pr = &poolRunner{host: h, name: name, wake: make(chan struct{}, 1)}
		pr.ctrl = pool.NewController(pool.Config{
			Pool:            name,
			Self:            h.self,
			StoreConcurrent: h.settings.Store.Concurrent,
			StorePerSecond:  h.settings.Store.PerSecond,
			NewReplicaID:    func() record.ReplicaID { return record.ReplicaID(record.NewID()) },
		})
		h.poolRunners[name] = pr
	}
	return pr
}

func (pr *poolRunner) run(ctx context.Context) {
	ticker := time.NewTicker(pr.host.settings.Timing.Tick)
	defer ticker.Stop()
	for {
		changed := pr.host.journal.Changed()
		pr.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		case <-pr.wake:
		}
	}
}

// step runs the controller once and executes the resulting effects.
func (pr *poolRunner) step(ctx context.Context) {
	now := pr.host.now()
	ref, epoch := pr.host.state.Pools.Owner(pr.name)
	pr.mu.Lock()
	if ref == pr.host.self {
		pr.observe(now, epoch)
		pr.planHandover(now)
	}
	effects := pr.ctrl.Step(now, pr.host.state)
	pr.mu.Unlock()
	for _, e := range effects {
		pr.execute(ctx, e)
	}
}

// observe passes the known endpoints to the controller. At the start of an ownership epoch the
// tracked endpoints are seeded from the replicated state. pr.mu must be held.
func (pr *poolRunner) observe(now time.Time, epoch record.Offset) {
	pr.host.membersMu.Lock()
	defer pr.host.membersMu.Unlock()
	if pr.epoch != epoch {
		pr.epoch, pr.since = epoch, now
		pr.host.members.AddKnown(now, recordedEndpoints(pr.host.state.Pools.Get(pr.name)))
	}
	pr.ctrl.Observe(pr.host.members.PoolObservations(pr.name, pr.since))
}

// recordedEndpoints returns the endpoints of a pool in the replicated state that are not lost.
func recordedEndpoints(p state.Pool) []external.ListedHost {
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

// planHandover selects a successor for the pool while the host is stopping. pr.mu must be held.
func (pr *poolRunner) planHandover(now time.Time) {
	if !pr.host.stopping.Load() {
		return
	}
	pr.host.watchMu.Lock()
	candidates := pr.host.watch.Candidates(now)
	pr.host.watchMu.Unlock()
	others := candidates[:0]
	for _, c := range candidates {
		if c != pr.host.self {
			others = append(others, c)
		}
	}
	if next, ok := lease.Preferred(pr.name, others); ok {
		pr.ctrl.HandOver(next)
	}
}

func (pr *poolRunner) execute(ctx context.Context, e pool.Effect) {
	switch {
	case e.Plan != nil:
		go pr.appendPlan(ctx, *e.Plan)
	case e.Quiesced != nil:
		go func() { _ = pr.host.appendWithTimeout(ctx, record.Record{Quiesced: e.Quiesced}) }()
	case e.Handover != nil:
		go func() { _ = pr.host.appendWithTimeout(ctx, record.Record{Handover: e.Handover}) }()
	case e.Order != nil:
		go pr.sendOrder(ctx, *e.Order)
	}
}

func (pr *poolRunner) appendPlan(ctx context.Context, p record.Plan) {
	if err := pr.host.appendWithTimeout(ctx, record.Record{Plan: &p}); err != nil {
		pr.host.metrics.planRejected(pr.name)
	}
	pr.mu.Lock()
	pr.ctrl.PlanDone()
	pr.mu.Unlock()
	pr.notify()
}

func (pr *poolRunner) sendOrder(ctx context.Context, order pool.Order) {
	start := pr.host.now()
	ctx, span := pr.host.tracer.Start(ctx, "order."+order.Kind.String())
	result, err := pr.host.engine.Order(ctx, order)
	if err != nil {
		span.RecordError(err)
	}
	span.End()
	pr.host.metrics.recordOrder(order.Kind.String(), result == pool.OrderOK, pr.host.now().Sub(start))
	pr.mu.Lock()
	pr.ctrl.OrderDone(pr.host.now(), order, result)
	pr.mu.Unlock()
	pr.notify()
}

func (pr *poolRunner) notify() {
	select {
	case pr.wake <- struct{}{}:
	default:
	}
}

func (h *Host) handleUsage(r peer.UsageReport) {
	pr := h.poolRunner(r.Pool)
	pr.mu.Lock()
	pr.ctrl.Report(h.now(), r.Host, r.Models)
	pr.mu.Unlock()
	for _, m := range r.Models {
		if m.Waiting > 0 {
			pr.notify()
			return
		}
	}
}
