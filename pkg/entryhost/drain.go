package entryhost

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/record"
)

// shutdowner stops taking requests and waits for those it has; *http.Server is one.
type shutdowner interface {
	Shutdown(ctx context.Context) error
}

// drain is a graceful shutdown. The host keeps taking requests for as long as
// the balancer may still send them, hands its pools over, lets all requests
// end, and at last ends its session: its orders are over, so nobody has to
// wait for them.
func (h *Host) drain(ctx context.Context, callers shutdowner) {
	h.logger.Info("stopping")
	h.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, h.settings.Timing.DrainTimeout)
	defer cancel()
	// Tell the other hosts at once, so that none hands a pool to this one.
	_ = h.appendSoon(ctx, record.Record{Renew: &record.HostRenew{HostRef: h.self, Leaving: true}})
	h.pokeOwners()
	wait.For(ctx, h.settings.Timing.ReadinessLag)
	if err := callers.Shutdown(ctx); err != nil {
		h.logger.Warn("requests were cut", "error", err)
	}
	h.waitBackground(ctx)
	h.waitFor(ctx, func() bool { return h.ledger.Pending() == 0 })
	// Wait for the hand-over, but not for another host that may never come.
	handover, cancelHandover := context.WithTimeout(ctx, h.settings.Timing.SessionTTL)
	defer cancelHandover()
	h.waitFor(handover, func() bool { return !h.ownsPools() })
	if !h.ownersBusy() {
		_ = h.appendSoon(ctx, record.Record{Gone: &record.HostGone{HostRef: h.self}})
	}
	h.logger.Info("stopped")
}

// waitBackground waits for requests that go on after their caller has gone.
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

// waitFor returns when done is true or ctx ends.
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

func (h *Host) pokeOwners() {
	h.ownersMu.Lock()
	defer h.ownersMu.Unlock()
	for _, o := range h.owners {
		o.poke()
	}
}

// ownersBusy tells whether an order is under way.
func (h *Host) ownersBusy() bool {
	h.ownersMu.Lock()
	defer h.ownersMu.Unlock()
	for _, o := range h.owners {
		o.mu.Lock()
		busy := o.ctrl.Busy()
		o.mu.Unlock()
		if busy {
			return true
		}
	}
	return false
}

// peerHandler answers other entry hosts.
type peerHandler struct{ host *Host }

// HandleUsage implements peer.Handler.
func (p peerHandler) HandleUsage(r peer.UsageReport) { p.host.takeUsage(r) }

// HandleLeave implements peer.Handler.
func (p peerHandler) HandleLeave(l peer.LeaveNotice) {
	p.host.membersMu.Lock()
	defer p.host.membersMu.Unlock()
	for _, leave := range l.Endpoints {
		p.host.members.MarkLeaving(leave)
	}
}

// HandleTail implements peer.Handler.
func (p peerHandler) HandleTail(r peer.TailRequest) ([]external.Entry, error) {
	return p.host.journal.Recent(r.From, r.Limit)
}

// HandleSnapshot implements peer.Handler. A host that has not caught up has
// nothing to offer.
func (p peerHandler) HandleSnapshot() ([]record.Snapshot, error) {
	if !p.host.journal.CaughtUp() {
		return nil, external.ErrUnavailable
	}
	records, err := p.host.journal.Snapshot()
	if err != nil {
		return nil, err
	}
	chunks := make([]record.Snapshot, len(records))
	for i, r := range records {
		chunks[i] = *r.Snapshot
	}
	return chunks, nil
}
