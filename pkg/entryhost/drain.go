package entryhost

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/record"
)

// shutdowner is implemented by *http.Server.
type shutdowner interface {
	Shutdown(ctx context.Context) error
}

// drain shuts the host down gracefully. The host keeps accepting requests until the load balancer
// has had time to observe that it is not ready, hands its pools over and waits for requests in
// progress. If no order is in flight, it then ends its session, so that other hosts do not have to
// wait for the session to expire.
func (h *Host) drain(ctx context.Context, callers shutdowner) {
	h.logger.Info("stopping")
	h.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, h.settings.Timing.DrainTimeout)
	defer cancel()
	// Announce the shutdown first, so that no other host hands a pool over to this one.
	_ = h.appendWithTimeout(ctx, record.Record{Renew: &record.SessionRenew{HostRef: h.self, Leaving: true}})
	h.notifyPools()
	wait.For(ctx, h.settings.Timing.ReadinessLag)
	if err := callers.Shutdown(ctx); err != nil {
		h.logger.Warn("graceful shutdown did not complete; aborting requests in progress", "error", err)
	}
	h.waitBackground(ctx)
	h.waitFor(ctx, func() bool { return h.keyClaims.Pending() == 0 })
	// Bound the wait for the handover, because there may be no other host to take the pools.
	handover, cancelHandover := context.WithTimeout(ctx, h.settings.Timing.SessionTTL)
	defer cancelHandover()
	h.waitFor(handover, func() bool { return !h.ownsPools() })
	if !h.ordersInFlight() {
		_ = h.appendWithTimeout(ctx, record.Record{Gone: &record.SessionClose{HostRef: h.self}})
	}
	h.logger.Info("stopped")
}

// waitBackground waits for requests that continue after their caller has disconnected.
func (h *Host) waitBackground(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		h.runner.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// waitFor polls done until it returns true or ctx ends.
func (h *Host) waitFor(ctx context.Context, done func() bool) {
	ticker := time.NewTicker(h.settings.Timing.Tick)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *Host) ownsPools() bool {
	for _, name := range h.state.Pools.Names() {
		if ref, _ := h.state.Pools.Owner(name); ref == h.self {
			return true
		}
	}
	return false
}

func (h *Host) notifyPools() {
	h.poolRunnersMu.Lock()
	defer h.poolRunnersMu.Unlock()
	for _, pr := range h.poolRunners {
		pr.notify()
	}
}

// ordersInFlight reports whether an order to an endpoint is in progress in any pool.
func (h *Host) ordersInFlight() bool {
	h.poolRunnersMu.Lock()
	defer h.poolRunnersMu.Unlock()
	for _, pr := range h.poolRunners {
		pr.mu.Lock()
		busy := pr.ctrl.Busy()
		pr.mu.Unlock()
		if busy {
			return true
		}
	}
	return false
}
