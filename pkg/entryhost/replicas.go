package entryhost

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/pkg/completion"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/fairqueue"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/state"
)

// replicas implements fairqueue.Replicas from the replicated state and the platform's host list.
type replicas struct{ host *Host }

// Targets implements fairqueue.Replicas. Endpoints that are draining are excluded.
func (r replicas) Targets(kind contract.Kind, poolName, model string) []state.Target {
	h := r.host
	if kind == contract.Service {
		return h.serviceTargets(model)
	}
	targets := h.state.Pools.Targets(poolName, model)
	if len(targets) == 0 {
		return nil
	}
	h.membersMu.Lock()
	defer h.membersMu.Unlock()
	available := targets[:0]
	for _, t := range targets {
		if !h.members.Draining(t.Endpoint) {
			available = append(available, t)
		}
	}
	return available
}

func (h *Host) serviceTargets(service string) []state.Target {
	h.membersMu.Lock()
	defer h.membersMu.Unlock()
	var targets []state.Target
	for _, e := range h.members.ServiceEndpoints(service) {
		targets = append(targets, state.Target{
			Replica:  record.ReplicaID(e.Name),
			Endpoint: e.Name,
			Addr:     e.Addr,
			Zone:     e.Zone,
		})
	}
	return targets
}

// Loading implements fairqueue.Replicas.
func (r replicas) Loading(poolName, model string) bool {
	return r.host.state.Pools.Loading(poolName, model)
}

// CanLoad implements fairqueue.Replicas.
func (r replicas) CanLoad(poolName string) bool {
	h := r.host
	if !h.journal.LogReadable() || !h.journal.LogWritable() {
		return false
	}
	owner, epoch := h.state.Pools.Owner(poolName)
	if epoch == 0 {
		return false
	}
	h.watchMu.Lock()
	defer h.watchMu.Unlock()
	return h.watch.Live(h.now(), owner)
}

// requestTerms returns the contract terms that apply to a request.
func requestTerms(r *serve.Request) fairqueue.Terms {
	c := completion.CallOf(r)
	return fairqueue.Terms{Customer: c.Customer, Weight: c.Weight, Model: c.Model, Rank: c.Rank}
}

// cold reports whether no replica of a model is loaded.
func (h *Host) cold(m contract.Model) bool {
	return len(replicas{h}.Targets(m.Kind, m.Pool, m.Name)) == 0
}

// pruneHealth removes health data of replicas that no longer exist.
func (h *Host) pruneHealth() {
	live := map[fleet.EndpointID]bool{}
	for _, name := range h.state.Pools.Names() {
		for id := range h.state.Pools.Get(name).Replicas {
			live[fleet.EndpointID(id)] = true
		}
	}
	h.membersMu.Lock()
	for _, e := range h.members.HealthCheckTargets() {
		live[fleet.EndpointID(e.Name)] = true
	}
	h.membersMu.Unlock()
	h.health.Prune(live)
}

// runQueues processes all queues after each state change and once per tick.
func (h *Host) runQueues(ctx context.Context) {
	ticker := time.NewTicker(h.settings.Timing.Tick)
	defer ticker.Stop()
	for {
		changed := h.journal.Changed()
		h.queues.Step(h.now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}
