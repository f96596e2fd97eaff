package gateway

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// maxStepInterval and minStepInterval bound the pause between two steps of the controller.
	// The pause also lasts at least stepRestFactor times the duration of the step, which leaves
	// time to process demand reports on slow hosts.
	maxStepInterval = 40 * time.Millisecond
	minStepInterval = 8 * time.Millisecond
	stepRestFactor  = 2
	// idleStepInterval is the interval at which a host that is not the controller checks whether it
	// has become it by other means than its own claim.
	idleStepInterval = 200 * time.Millisecond
	// noticeInterval is about the longest interval between two notices to a host.
	// fullNoticeInterval is the interval between notices that name all endpoints, so that
	// receivers drop those that were removed.
	noticeInterval     = 300 * time.Millisecond
	fullNoticeInterval = 1500 * time.Millisecond
	// listLinkDivisor is the fraction, as a divisor, of the link's bandwidth that list entries
	// may use between two notices. defaultLinkMbps applies where the bandwidth is not
	// configured.
	listLinkDivisor = 4
	defaultLinkMbps = 10
	// maintenanceInterval is the period of maintain, which also rechecks queued requests for
	// conditions that depend on time alone.
	maintenanceInterval = 20 * time.Millisecond
	// staleListQueryIntervalPerHost, times the number of hosts, is the interval between
	// requests to other hosts for a stale list: during a store outage every host sends them.
	staleListQueryIntervalPerHost = 3 * time.Millisecond
	// pruneInterval is how often state of removed endpoints is dropped.
	pruneInterval = time.Second
)

// control runs the controller while this host holds the claim.
func (g *Gateway) control(ctx context.Context) {
	var lastFull time.Time
	wasAllowed := true
	for ctx.Err() == nil {
		interval := maxStepInterval
		if g.election.HeldToken() == 0 {
			interval = idleStepInterval
		}
		select {
		case <-g.stepNow:
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
		now := g.Now()
		full := now.Sub(lastFull) >= fullNoticeInterval
		n := g.controller.Step(ctx, now, full)
		if n == nil {
			lastFull = time.Time{}
			wait.For(ctx, maxStepInterval)
			continue
		}
		if allowed := g.ordersAllowed(); allowed != wasAllowed {
			wasAllowed = allowed
			g.logOrdersAllowed(wasAllowed)
		}
		if full {
			lastFull = now
		}
		g.publish(*n)
		wait.For(ctx, max(minStepInterval, stepRestFactor*g.Now().Sub(now)))
	}
}

// logOrdersAllowed logs that orders are paused or resumed.
func (g *Gateway) logOrdersAllowed(allowed bool) {
	msg := "orders paused: neither the store nor all other hosts confirm this host as the only controller"
	if allowed {
		msg = "orders resumed"
	}
	g.log.Info(msg, "token", g.election.HeldToken(), "claims_age_ms", g.readAge(g.Now(), fleet.TopicClaims).Milliseconds(), "hosts", g.mesh.hosts())
}

// readAge returns the time since the store last answered a read of a topic.
func (g *Gateway) readAge(now time.Time, t fleet.Topic) time.Duration {
	return now.Sub(g.storeReads.LastSuccess(t))
}

// withListChanges adds to a notice what has changed in the list of endpoints after offset
// since.
func (g *Gateway) withListChanges(now time.Time, n fleet.Notice, since, change fleet.Position) fleet.Notice {
	g.listMu.Lock()
	defer g.listMu.Unlock()
	next := g.directory.Offset()
	change = max(change, g.directory.RoutingOffset())
	if next > 0 {
		change = min(change, next.Previous()) // The rest is not complete yet.
	}
	n.ListSince = since
	n.ListChange = change
	n.ListAge = min(g.listViewAge(now), time.Hour).Milliseconds()
	if since != fleet.NoPosition && change > since {
		n.ListEntries = g.fitToLink(g.cache.EndpointEntries(g.directory.RoutingChangesSince(since)))
	}
	era, _ := g.era.current()
	n.StoreEra = max(0, era)
	if ago := g.directory.StoreRestoredAgo(now); ago > 0 {
		n.StoreRestoredAgo = max(1, ago.Milliseconds())
	}
	return n
}

// fitToLink returns the entries, or nil if this host's link cannot carry them to all children
// in addition to other messages. After a store outage all entries change at once; sending them
// over a slow link would delay notices and trigger a new election. Without the entries, each
// host reads the store.
func (g *Gateway) fitToLink(entries []fleet.Entry) []fleet.Entry {
	size := 0
	for _, e := range entries {
		size += len(e.Key) + len(e.Value)
	}
	if size > g.maxListBytes() {
		return nil
	}
	return entries
}

// maxListBytes returns how many bytes of list entries a notice to each child may carry.
func (g *Gateway) maxListBytes() int {
	bytesPerInterval := g.linkBytesPerSecond() * noticeInterval.Seconds()
	return int(bytesPerInterval/listLinkDivisor) / g.mesh.fanOut(g.settings.cores())
}

// linkBytesPerSecond returns the bandwidth of this host's link.
func (g *Gateway) linkBytesPerSecond() float64 {
	link := g.settings.Limits.LinkMbps
	if link == 0 {
		link = defaultLinkMbps
	}
	const bitsPerByte, mega = 8, 1e6
	return link * mega / bitsPerByte
}

// publish applies the controller's notice on this host and wakes the pending pulls of its
// children.
func (g *Gateway) publish(n fleet.Notice) {
	n.Incarnation = g.self.Incarnation
	n.Addr = g.self.Addr
	g.levels.Apply(g.Now(), n.Levels)
	g.locator.ApplyNotice(g.Now(), n)
	g.dispatcher.DispatchWaiting()
	g.children.wake()
}

// maintain runs periodic tasks.
func (g *Gateway) maintain(ctx context.Context) {
	lastPrune, lastQuery := g.Now(), time.Time{}
	var shares accountShares
	wait.Every(ctx, maintenanceInterval, func() {
		g.dispatcher.DispatchWaiting()
		now := g.Now()
		g.checkLinks(ctx, now)
		g.probeSlotOwners(ctx)
		g.updateBlocks(now)
		g.updateAccountLevels(now)
		g.streams.Check(now)
		g.budget.SetHosts(g.sharingHosts())
		due := now.Sub(lastQuery) >= time.Duration(g.mesh.hosts())*staleListQueryIntervalPerHost
		if due && g.storeReads.Loaded(fleet.TopicEndpoints) && g.listViewAge(now) > maxListAge {
			lastQuery = now
			go g.fetchState(ctx)
		}
		if now.Sub(lastPrune) < pruneInterval {
			return
		}
		lastPrune = now
		g.children.evict(now)
		g.recordLevels(now)
		g.guard.Prune(now)
		g.cache.Evict(g.directory.Prune(now))
		live := g.directory.LiveIDs(now)
		g.transport.CloseExcept(live)
		g.links.Table.Retain(live)
		g.linkMetrics()
		g.health.Prune(live)
		g.slots.Retain(live)
		g.slotMetrics()
		g.occupancy.local.SetEndpoints(live)
		g.occupancyMetrics(now)
		shares.update(g.metrics, g.dispatcher.AccountShares())
		bodyBytes, bodiesRejected := g.bodies.Used()
		g.metrics.gauge("body_memory_bytes", float64(bodyBytes))
		g.metrics.gauge("bodies_rejected", float64(bodiesRejected))
		g.metrics.gauge("endpoints", float64(len(live)))
		g.metrics.gauge("endpoints_limited", float64(g.health.Signals.LimitedCount(now)))
		g.metrics.gauge("requests_blocked", float64(g.guard.Blocklist.Count()))
		g.metrics.gauge("endpoint_connections", float64(g.transport.Opened()))
	})
}
