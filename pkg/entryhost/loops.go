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

// every calls f immediately and then once per period until ctx ends.
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

// appendWithTimeout appends a record whose loss is harmless. It returns an error if the append does
// not complete within the session TTL or if the record is rejected.
func (h *Host) appendWithTimeout(ctx context.Context, r record.Record) error {
	ctx, cancel := context.WithTimeout(ctx, h.settings.Timing.SessionTTL)
	defer cancel()
	out, err := h.journal.Append(ctx, r)
	if err != nil {
		return err
	}
	return out.Rejected
}

// runSession opens the session of this host and sends heartbeats.
func (h *Host) runSession(ctx context.Context) {
	every(ctx, h.settings.Timing.SessionRenew, func(ctx context.Context) {
		if h.journal.CaughtUp() {
			h.renewSession(ctx)
		}
	})
}

// runClaims monitors the sessions of all hosts and claims pools without a live owner. It checks
// more often than heartbeats are sent, because detection delay adds to the time a pool has no
// owner.
func (h *Host) runClaims(ctx context.Context) {
	every(ctx, h.settings.Timing.Tick, func(ctx context.Context) {
		if !h.journal.CaughtUp() {
			return
		}
		now := h.now()
		h.watchMu.Lock()
		h.watch.Observe(now, h.state.Hosts.Sessions(), h.journal.LogReadable())
		h.watchMu.Unlock()
		h.claimPools(ctx, now)
	})
}

// renewSession sends a heartbeat. If the session does not exist, for example because another host
// considered this one dead and ended it, renewSession opens a new one.
func (h *Host) renewSession(ctx context.Context) {
	r := record.Record{Renew: &record.SessionRenew{HostRef: h.self, Leaving: h.stopping.Load()}}
	if !h.state.Hosts.Has(h.self) {
		r = record.Record{Join: &record.SessionOpen{HostRef: h.self, PeerAddr: h.peerAddr, Zone: h.settings.Zone}}
	}
	if err := h.appendWithTimeout(ctx, r); err != nil {
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
		if !should || !h.journal.LogReadable() {
			continue
		}
		claim := record.PoolClaim{Pool: name, PrevEpoch: epoch, Owner: h.self}
		if err := h.appendWithTimeout(ctx, record.Record{Claim: &claim}); err == nil {
			h.logger.Info("claimed pool", "pool", name, "from", owner.Host)
		}
	}
}

// runMembership polls the platform's host list and checks the health of endpoints.
func (h *Host) runMembership(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	checks.Go(func() { every(ctx, h.settings.Timing.Probe, h.checkAllHealth) })
	every(ctx, h.settings.Timing.HostListPoll, h.pollHostList)
}

func (h *Host) pollHostList(ctx context.Context) {
	hosts, err := h.hostList.List(ctx)
	if err != nil {
		h.metrics.listFailed()
		return
	}
	h.membersMu.Lock()
	draining := h.members.ApplyList(h.now(), hosts)
	h.listed = hosts
	h.membersMu.Unlock()
	if len(draining) > 0 {
		h.notifyDraining(ctx, draining)
	}
	h.endGoneSessions(ctx)
	h.pruneHealth()
}

// notifyDraining sends drain notices to the other entry hosts, whose host lists may lag.
func (h *Host) notifyDraining(ctx context.Context, draining []membership.DrainingEndpoint) {
	h.logger.Info("endpoints are draining", "endpoints", draining)
	for _, addr := range h.peerAddrs() {
		go func() {
			_, _ = h.peers.Send(ctx, addr, peer.Request{Drain: &peer.DrainNotice{Endpoints: draining}})
		}()
	}
}

// endGoneSessions ends sessions of hosts that can no longer send orders: sessions whose peer
// address now belongs to this host, and lapsed sessions of hosts that the platform no longer
// lists.
func (h *Host) endGoneSessions(ctx context.Context) {
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
		unlisted := h.members.HostLost(now, s.Host)
		h.membersMu.Unlock()
		if s.PeerAddr == h.peerAddr || !live && unlisted {
			_ = h.appendWithTimeout(ctx, record.Record{Gone: &record.SessionClose{HostRef: s.HostRef}})
		}
	}
}

// checkAllHealth requests the status of the endpoints in pools that this host owns and of
// those that it sends requests to.
func (h *Host) checkAllHealth(ctx context.Context) {
	h.membersMu.Lock()
	targets := h.members.HealthCheckTargets()
	h.membersMu.Unlock()
	used := h.usedEndpoints()
	var group sync.WaitGroup
	for _, t := range targets {
		owner, _ := h.state.Pools.Owner(t.Pool)
		if t.Pool == "" || owner != h.self && !used[t.Name] {
			continue
		}
		group.Go(func() { h.checkHealth(ctx, t) })
	}
	group.Wait()
}

func (h *Host) checkHealth(ctx context.Context, t external.ListedHost) {
	status, err := h.engine.Status(ctx, t.Addr)
	now := h.now()
	h.membersMu.Lock()
	h.members.RecordHealthCheck(now, t.Name, status, err)
	h.membersMu.Unlock()
	for _, r := range status.Replicas {
		h.queues.RecordLoad(now, t.Pool, r.Model, string(r.ID), r.Running)
	}
}

// usedEndpoints returns the endpoints with replicas that this host currently sends requests to.
func (h *Host) usedEndpoints() map[string]bool {
	used := map[string]bool{}
	for _, t := range h.queues.Active() {
		used[t.Endpoint] = true
	}
	return used
}

// peerAddrs returns the peer addresses of the other entry hosts. The platform's host list is
// included so that a new host without any state finds its peers.
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

// runUsageReports sends the usage of models at this host to the owners of their pools.
func (h *Host) runUsageReports(ctx context.Context) {
	ticker := time.NewTicker(h.settings.Timing.Tick)
	defer ticker.Stop()
	for {
		h.reportUsage(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.usageReportDue:
		}
	}
}

// triggerUsageReport requests an immediate usage report, so that a request for a model without a
// loaded replica does not wait for the next periodic report.
func (h *Host) triggerUsageReport() {
	select {
	case h.usageReportDue <- struct{}{}:
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
		h.handleUsage(r)
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

// runMaintenance writes snapshots and advances the expiry horizon of idempotency keys. One
// preferred host does this at a time; concurrent maintenance by two hosts is harmless.
func (h *Host) runMaintenance(ctx context.Context) {
	every(ctx, h.settings.Timing.SessionRenew, func(ctx context.Context) {
		h.watchMu.Lock()
		best, ok := lease.Preferred("upkeep", h.watch.Candidates(h.now()))
		h.watchMu.Unlock()
		if !ok || best != h.self || !h.journal.LogReadable() {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		h.advanceKeyHorizon(ctx)
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
	// minHorizonAdvance is the minimum step of the horizon, which limits the number of records.
	minHorizonAdvance = time.Hour
)

// advanceKeyHorizon expires idempotency keys that are older than the longest retention period of
// any contract.
func (h *Host) advanceKeyHorizon(ctx context.Context) {
	keep := time.Duration(0)
	for _, customer := range h.state.Contracts.Customers() {
		if e, ok := h.state.Contracts.Get(customer); ok {
			keep = max(keep, e.Contract.KeyRetention)
		}
	}
	before := h.now().Add(-keep)
	if keep > 0 && before.Sub(h.state.Keys.Horizon()) > minHorizonAdvance {
		_ = h.appendWithTimeout(ctx, record.Record{Horizon: &record.KeyHorizon{Before: before}})
	}
}
