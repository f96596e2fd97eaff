package entryhost

import (
	"context"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/lease"
	"github.com/tealvane/tealvane/pkg/membership"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/record"
)

// every calls f at once and then with a period until ctx ends.
func every(ctx context.Context, period time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// appendSoon appends a record whose loss is harmless, with bounded patience.
func (h *Host) appendSoon(ctx context.Context, r record.Record) error {
	ctx, cancel := context.WithTimeout(ctx, h.settings.Timing.SessionTTL)
	defer cancel()
	out, err := h.journal.Append(ctx, r)
	if err != nil {
		return err
	}
	return out.Void
}

// runSession joins and sends heartbeats.
func (h *Host) runSession(ctx context.Context) {
	every(ctx, h.settings.Timing.SessionRenew, func(ctx context.Context) {
		if h.journal.CaughtUp() {
			h.renew(ctx)
		}
	})
}

// runClaims watches the sessions of all hosts and claims pools without a live
// owner. It looks more often than heartbeats come: what it sees late is added
// to the time for which a pool has no owner.
func (h *Host) runClaims(ctx context.Context) {
	every(ctx, h.settings.Timing.Tick, func(ctx context.Context) {
		if !h.journal.CaughtUp() {
			return
		}
		now := h.now()
		h.watchMu.Lock()
		h.watch.Observe(now, h.state.Hosts.Sessions(), h.journal.Readable())
		h.watchMu.Unlock()
		h.claimPools(ctx, now)
	})
}

// renew joins again when the session is unknown: it may have been ended by a
// host that took this one for gone.
func (h *Host) renew(ctx context.Context) {
	r := record.Record{Renew: &record.HostRenew{HostRef: h.self, Leaving: h.stopping.Load()}}
	if !h.state.Hosts.Has(h.self) {
		r = record.Record{Join: &record.HostJoin{HostRef: h.self, PeerAddr: h.peerAddr, Zone: h.settings.Zone}}
	}
	if err := h.appendSoon(ctx, r); err != nil {
		h.metrics.renewFailed()
		return
	}
	h.joined.Store(true)
}

func (h *Host) claimPools(ctx context.Context, now time.Time) {
	for _, name := range h.state.Contracts.PoolNames() {
		owner, epoch := h.state.Pools.Owner(name)
		h.watchMu.Lock()
		should := h.watch.ShouldClaim(now, h.self, name, owner)
		h.watchMu.Unlock()
		if !should || !h.journal.Readable() {
			continue
		}
		claim := record.PoolClaim{Pool: name, PrevEpoch: epoch, Owner: h.self}
		if err := h.appendSoon(ctx, record.Record{Claim: &claim}); err == nil {
			h.logger.Info("claimed pool", "pool", name, "from", owner.Host)
		}
	}
}

// runMembers follows the platform's list and probes the endpoints.
func (h *Host) runMembers(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	probes.Go(func() { every(ctx, h.settings.Timing.Probe, h.probeAll) })
	every(ctx, h.settings.Timing.HostListPoll, h.pollList)
}

func (h *Host) pollList(ctx context.Context) {
	hosts, err := h.list.List(ctx)
	if err != nil {
		h.metrics.listFailed()
		return
	}
	h.membersMu.Lock()
	news := h.members.Listed(h.now(), hosts)
	h.listed = hosts
	h.membersMu.Unlock()
	if len(news) > 0 {
		h.tellLeaving(ctx, news)
	}
	h.reportGone(ctx)
	h.pruneHealth()
}

// tellLeaving passes on what this host's list shows; other hosts' lists may lag.
func (h *Host) tellLeaving(ctx context.Context, news []membership.Leave) {
	h.logger.Info("endpoints are leaving", "endpoints", news)
	for _, addr := range h.peerAddrs() {
		go func() {
			_, _ = h.peers.Send(ctx, addr, peer.Request{Leave: &peer.LeaveNotice{Endpoints: news}})
		}()
	}
}

// reportGone ends the sessions of runs whose process certainly sends no order
// any more: this run holds the address that theirs had, or they have lapsed
// and the platform has not listed their host for long.
func (h *Host) reportGone(ctx context.Context) {
	if !h.joined.Load() {
		return
	}
	now := h.now()
	for _, s := range h.state.Hosts.Sessions() {
		if s.HostRef == h.self {
			continue
		}
		h.watchMu.Lock()
		live := h.watch.Live(now, s.HostRef)
		h.watchMu.Unlock()
		h.membersMu.Lock()
		unlisted := h.members.EntryGone(now, s.Host)
		h.membersMu.Unlock()
		if s.PeerAddr == h.peerAddr || !live && unlisted {
			_ = h.appendSoon(ctx, record.Record{Gone: &record.HostGone{HostRef: s.HostRef}})
		}
	}
}

// probeAll asks the endpoints that matter to this host for their status.
func (h *Host) probeAll(ctx context.Context) {
	h.membersMu.Lock()
	targets := h.members.Targets()
	h.membersMu.Unlock()
	used := h.usedEndpoints()
	var group sync.WaitGroup
	for _, t := range targets {
		owner, _ := h.state.Pools.Owner(t.Pool)
		if t.Pool == "" || owner != h.self && !used[t.Name] {
			continue
		}
		group.Go(func() { h.probe(ctx, t) })
	}
	group.Wait()
}

func (h *Host) probe(ctx context.Context, t external.ListedHost) {
	status, err := h.engine.Status(ctx, t.Addr)
	now := h.now()
	h.membersMu.Lock()
	h.members.Probed(now, t.Name, status, err)
	h.membersMu.Unlock()
	for _, r := range status.Replicas {
		h.queues.NoteLoad(now, t.Pool, r.Model, string(r.ID), r.Running)
	}
}

// usedEndpoints are those with replicas that this host sends requests to now.
func (h *Host) usedEndpoints() map[string]bool {
	used := map[string]bool{}
	for _, t := range h.queues.Active() {
		used[t.Endpoint] = true
	}
	return used
}

// peerAddrs returns the addresses of the other entry hosts. A fresh host that
// has no state yet takes them from the platform's list.
func (h *Host) peerAddrs() []string {
	seen := map[string]bool{h.peerAddr: true}
	var addrs []string
	add := func(addr string) {
		if addr != "" && !seen[addr] {
			seen[addr] = true
			addrs = append(addrs, addr)
		}
	}
	now := h.now()
	for _, s := range h.state.Hosts.Sessions() {
		h.watchMu.Lock()
		live := h.watch.Live(now, s.HostRef)
		h.watchMu.Unlock()
		if live {
			add(s.PeerAddr)
		}
	}
	h.membersMu.Lock()
	defer h.membersMu.Unlock()
	for _, l := range h.listed {
		if l.Kind == external.EntryHost {
			add(l.Addr)
		}
	}
	return addrs
}

// runUsage reports to the owners how this host uses their models.
func (h *Host) runUsage(ctx context.Context) {
	ticker := time.NewTicker(h.settings.Timing.Tick)
	defer ticker.Stop()
	for {
		h.reportUsage(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.reportNow:
		}
	}
}

// reportSoon makes the next report due: a cold request should not wait for it.
func (h *Host) reportSoon() {
	select {
	case h.reportNow <- struct{}{}:
	default:
	}
}

func (h *Host) reportUsage(ctx context.Context) {
	for name, list := range h.queues.Usage(h.now()) {
		h.sendUsage(ctx, peer.UsageReport{Host: h.self.Host, Pool: name, Models: list})
	}
}

func (h *Host) sendUsage(ctx context.Context, r peer.UsageReport) {
	owner, _ := h.state.Pools.Owner(r.Pool)
	if owner == h.self {
		h.takeUsage(r)
		return
	}
	for _, s := range h.state.Hosts.Sessions() {
		if s.HostRef == owner {
			go func() {
				_, _ = h.peers.Send(ctx, s.PeerAddr, peer.Request{Usage: &r})
			}()
		}
	}
}

// runUpkeep writes snapshots and moves the horizon of idempotency keys. The
// preferred host does it; a second writer does no harm.
func (h *Host) runUpkeep(ctx context.Context) {
	every(ctx, h.settings.Timing.SessionRenew, func(ctx context.Context) {
		h.watchMu.Lock()
		best, ok := lease.Preferred("upkeep", h.watch.Candidates(h.now()))
		h.watchMu.Unlock()
		if !ok || best != h.self || !h.journal.Readable() {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		h.moveHorizon(ctx)
		due := h.state.Snapshots.NewestAsOf() + record.Offset(h.settings.Timing.SnapshotEvery)
		if h.state.Applied() < due {
			return
		}
		if err := h.journal.WriteSnapshot(ctx); err != nil {
			h.metrics.snapshotFailed()
		}
	})
}

const (
	snapshotTimeout = time.Minute
	// horizonStep is the least by which the horizon moves, so that it costs few records.
	horizonStep = time.Hour
)

// moveHorizon forgets keys that are older than every contract asks for.
func (h *Host) moveHorizon(ctx context.Context) {
	keep := time.Duration(0)
	for _, customer := range h.state.Contracts.Customers() {
		if e, ok := h.state.Contracts.Get(customer); ok {
			keep = max(keep, e.Contract.KeyRetention)
		}
	}
	before := h.now().Add(-keep)
	if keep > 0 && before.Sub(h.state.Keys.Horizon()) > horizonStep {
		_ = h.appendSoon(ctx, record.Record{Horizon: &record.Horizon{Before: before}})
	}
}
