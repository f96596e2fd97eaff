package gateway

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/follow"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/relay"
)

const (
	// longPollTimeout is how long a read waits for new records of topics that rarely change. A
	// read on a connection that was lost without an error is abandoned after this time.
	longPollTimeout = 15 * time.Second
	// maxListPollInterval is the longest interval between reads of the list of endpoints,
	// unless the controller confirms it.
	maxListPollInterval = 700 * time.Millisecond
	// listReadsPerDrain is the minimum number of reads of the list within the drain time of an
	// endpoint.
	listReadsPerDrain = 3
	// confirmedListPollInterval is the interval while the controller reads the list and sends
	// its changes in notices. Where the store keeps less history than this, a read starts over
	// from the newest entries.
	confirmedListPollInterval = 10 * time.Second
	// maxConfirmationAge bounds the age of the controller's last confirmation of the list,
	// allowing for one lost notice. The age is also bounded by the drain time divided by
	// confirmationDrainDivisor, which leaves time for a read by this host.
	maxConfirmationAge       = 1100 * time.Millisecond
	confirmationDrainDivisor = 2
	// controllerListPollInterval is the interval on the controller, whose model of the
	// endpoints is corrected by what they report.
	controllerListPollInterval = 350 * time.Millisecond
	// leafListPollIntervalPerHost, times the number of hosts, is the interval on hosts whose
	// upstream cannot read the list either. It bounds the read rate of all hosts together.
	leafListPollIntervalPerHost = 50 * time.Millisecond
	// passiveListPollInterval is the interval on a host that receives all topics from others.
	passiveListPollInterval = time.Minute
	// safeguardBytesPerSecond bounds what all hosts together read of the list, in bytes a second,
	// although others send them its changes.
	safeguardBytesPerSecond = 2e6
	// listWakeDrainDivisor divides the drain time to give the minimum interval between reads of
	// the list that notices from other hosts trigger.
	listWakeDrainDivisor = 4
	// startupGracePeriod is how long a starting host defers reads in the expectation that other
	// hosts send it the data.
	startupGracePeriod = 1500 * time.Millisecond
	// startupCheckInterval is how often a host that defers its first reads checks whether to go
	// on doing so.
	startupCheckInterval = 50 * time.Millisecond
)

// follower returns a follower of a topic.
func (g *Gateway) follower(t fleet.Topic, reset, apply func(fleet.Batch)) *follow.Follower {
	return &follow.Follower{
		Store:   g.store,
		State:   g.storeReads,
		Log:     g.log,
		Topic:   t,
		Wait:    longPollTimeout,
		Relayed: g.receivesOrExpectsUpdates,
		Reset:   g.withEra(t, reset),
		Apply:   g.withEra(t, apply),
		Result:  func(err error) { g.recordStoreResult(t, err) },

		MinFailurePause: func(err error) time.Duration { return g.minFailurePause(t, err) },
	}
}

// recordStoreResult records the result of a store read, and logs when the store becomes
// unavailable or available again.
func (g *Gateway) recordStoreResult(t fleet.Topic, err error) {
	now := g.Now()
	changed := g.storeReads.RecordResult(t, now, err)
	if t == fleet.TopicEndpoints {
		g.directory.SetStoreAvailable(now, err == nil)
	}
	switch {
	case changed && err != nil:
		g.log.Warn("store unavailable", "topic", t, "error", err.Error())
		g.metrics.count("store_lost", nil)
	case changed:
		g.log.Info("store available", "topic", t)
	}
}

func (g *Gateway) followConfig(ctx context.Context) {
	f := g.follower(fleet.TopicConfig, g.applyConfigs, g.applyConfigs)
	f.Start = g.awaitRelayedConfig
	f.Relayed = func() bool { return g.receivesOrExpectsUpdates() && !g.missedNewerConfig() }
	f.Failed = g.fetchStateAfterFailure
	f.NeededToStart = true
	f.Run(ctx)
}

func (g *Gateway) applyConfigs(b fleet.Batch) {
	for _, e := range b.Entries {
		g.applyConfig(e)
	}
}

// applyConfig puts a configuration in force if it is newer than the current one. Records may be
// read twice, and another host's copy may be outdated.
func (g *Gateway) applyConfig(e fleet.Entry) {
	c, isConfig, err := g.codec.Config(e)
	if !isConfig {
		return
	}
	if err != nil {
		g.log.Error("decoding configuration failed; keeping the current one", "offset", e.Offset, "error", err)
		return
	}
	newer := false
	g.cache.WithConfig(func(current *fleet.Entry) {
		if old := g.config.Load(); old == nil || old.Version < c.Version {
			g.config.Store(c)
			*current, newer = e, true
		}
	})
	if !newer {
		return
	}
	g.log.Info("configuration in force", "version", c.Version, "offset", e.Offset, "routes", len(c.Routes))
	trySend(g.stepNow)
	g.children.wake()
}

func (g *Gateway) followEndpoints(ctx context.Context) {
	f := g.follower(fleet.TopicEndpoints, g.replaceEndpoints, g.applyEndpoints)
	f.Start = g.awaitRelayedList
	f.NeededToStart = true
	f.Wait = 0
	f.Relayed = nil
	f.Pause = g.listPollInterval
	f.MinFailurePause = func(err error) time.Duration {
		return max(g.leafListPollInterval(), g.minFailurePause(fleet.TopicEndpoints, err))
	}
	f.Wake = g.listReadNow
	f.MinWakePause = g.minListReadInterval()
	f.Failed = g.fetchState
	f.Run(ctx)
}

// minListReadInterval returns the minimum interval between reads of the list that notices trigger.
func (g *Gateway) minListReadInterval() time.Duration {
	return g.settings.Timing.Drain / listWakeDrainDivisor
}

// listPollInterval returns the pause between two reads of the list of endpoints.
func (g *Gateway) listPollInterval() time.Duration {
	if g.election.HeldToken() != 0 {
		return controllerListPollInterval
	}
	updated, confirmed := g.receivesUpdates(), g.listConfirmed()
	switch {
	case updated && confirmed:
		return max(passiveListPollInterval, g.safeguardInterval(g.mesh.hosts()))
	case updated:
		return g.leafListPollInterval()
	case confirmed:
		return max(confirmedListPollInterval, g.safeguardInterval(g.mesh.relays()))
	case !g.mesh.isRelay() && g.startup.relayedStart() && g.expectsUpdates():
		return g.sharedListPollInterval()
	case g.mesh.isRelay() && g.mesh.hosts() > relay.Children(g.settings.cores()):
		// The controller does not confirm the list because it cannot reach the store. All hosts
		// behind this one depend on its reads.
		return controllerListPollInterval
	}
	return min(maxListPollInterval, g.settings.Timing.Drain/listReadsPerDrain)
}

// safeguardInterval returns the interval at which a number of hosts may read the whole list although
// others send them its changes.
func (g *Gateway) safeguardInterval(readers int) time.Duration {
	return time.Duration(float64(readers) * float64(g.cache.ListBytes()) / safeguardBytesPerSecond * float64(time.Second))
}

// leafListPollInterval returns the pause, on a host that receives updates, after a failed read
// of the list or while the controller does not confirm it. It returns 0 on other hosts.
func (g *Gateway) leafListPollInterval() time.Duration {
	if !g.receivesUpdates() {
		return 0
	}
	return g.sharedListPollInterval()
}

// sharedListPollInterval returns an interval at which all hosts together read the list at a rate that
// does not grow with their number.
func (g *Gateway) sharedListPollInterval() time.Duration {
	return max(maxListPollInterval, time.Duration(g.mesh.hosts())*leafListPollIntervalPerHost)
}

// receivesUpdates reports whether this host learns all topics from others. Relays, and the
// hosts that would replace them, always read the topics themselves, so that updates do not
// depend on a single host.
//
// A recent claim counts as an update, since its holder is about to send one, but only for a
// limited time: an isolated host reads a series of claims from the store without receiving any
// update.
func (g *Gateway) receivesUpdates() bool {
	now := g.Now()
	if g.mesh.isRelay() {
		return false
	}
	// A failed controller is replaced, and the first notice of its successor received, within
	// twice firstNoticeTimeout.
	sinceUpdate := min(g.notices.Age(now), now.Sub(g.startedAt))
	return g.notices.Recent(now) || sinceUpdate < 2*firstNoticeTimeout && g.mesh.claimSeenRecently(now)
}

// receivesOrExpectsUpdates reports whether this host learns all topics from others, or has just
// started and is about to.
func (g *Gateway) receivesOrExpectsUpdates() bool { return g.receivesUpdates() || g.expectsUpdates() }

// expectsUpdates reports whether this host has just started and other hosts are about to send
// it the contents of the store. Until all hosts that start at the same time are known, any of
// them may wrongly appear to be a relay.
func (g *Gateway) expectsUpdates() bool {
	now := g.Now()
	if now.Sub(g.startedAt) > g.startupGrace() {
		return false
	}
	stable := g.mesh.membershipStable(now)
	if g.startup.relayedStart() {
		stable = g.membershipSettled()
	}
	return !g.storeReads.Loaded(fleet.TopicHosts) || !stable || !g.mesh.isRelay()
}

// listConfirmed reports whether the controller keeps confirming this host's list of endpoints.
func (g *Gateway) listConfirmed() bool {
	return g.mesh.confirmedListAge(g.Now()) < min(maxConfirmationAge, g.settings.Timing.Drain/confirmationDrainDivisor)
}

// listViewAge returns the maximum age of this host's list of endpoints, which was either read
// from the store or confirmed by the controller.
func (g *Gateway) listViewAge(now time.Time) time.Duration {
	return min(g.readAge(now, fleet.TopicEndpoints), g.mesh.confirmedListAge(now))
}

func (g *Gateway) replaceEndpoints(b fleet.Batch) {
	g.replaceDirectory(b)
	g.endpointsChanged()
}

func (g *Gateway) replaceDirectory(b fleet.Batch) {
	g.listMu.Lock()
	defer g.listMu.Unlock()
	list := make(map[fleet.Position]fleet.Endpoint, len(b.Entries))
	for _, entry := range b.Entries {
		list[entry.Offset] = g.decodeEndpoint(entry)
	}
	if known := g.directory.Offset(); b.Next < known {
		g.log.Warn("endpoint list of the store ends before the known one", "next", b.Next, "known_next", known)
	}
	g.directory.Replace(g.Now(), b.Next, list)
	raw := make(map[string]fleet.Entry, len(b.Entries))
	for _, entry := range b.Entries {
		raw[entry.Key] = g.relayedEntry(entry, list[entry.Offset])
	}
	g.cache.ReplaceEndpoints(raw, b.Next)
}

func (g *Gateway) decodeEndpoint(entry fleet.Entry) fleet.Endpoint {
	e, err := g.codec.Endpoint(entry)
	if err != nil {
		g.metrics.count("entries_not_understood", nil)
		g.log.Warn("decoding endpoint entry failed; no requests are sent to this endpoint until its next entry", "endpoint", entry.Key, "offset", entry.Offset, "error", err.Error())
	}
	return e
}

func (g *Gateway) applyEndpoints(b fleet.Batch) {
	if len(b.Entries) == 0 && len(b.Malformed) == 0 {
		return
	}
	g.updateDirectory(b)
	g.endpointsChanged()
}

// updateDirectory applies entries of the list, which is complete up to b.Next then, if that is set.
func (g *Gateway) updateDirectory(b fleet.Batch) {
	g.listMu.Lock()
	defer g.listMu.Unlock()
	now := g.Now()
	for _, entry := range b.Entries {
		apply, remove := g.directory.Apply, g.directory.Remove
		if b.Next > 0 && entry.Offset >= b.Next {
			apply, remove = g.directory.ApplyAhead, g.directory.RemoveAhead
		}
		if len(entry.Value) == 0 {
			g.log.Info("endpoint removed from the list", "endpoint", entry.Key, "offset", entry.Offset)
			remove(now, entry.Offset, fleet.NewEndpointID(entry.Key, 0))
			g.cache.AddEndpoint(entry)
			continue
		}
		e := g.decodeEndpoint(entry)
		apply(now, entry.Offset, e)
		g.cache.AddEndpoint(g.relayedEntry(entry, e))
	}
	g.directory.Advance(b.Next)
}

// relayedEntry returns the entry to pass on to other hosts. After a restore, the older copy of the store
// may hold an entry from before an endpoint drained or left. The directory knows better, and so must
// hosts that learn of the list from this one: they get the former content at the new position.
func (g *Gateway) relayedEntry(entry fleet.Entry, decoded fleet.Endpoint) fleet.Entry {
	if !decoded.Draining && g.directory.DrainingOrGone(decoded.ID) {
		if old, ok := g.cache.Endpoint(entry.Key); ok {
			entry.Value = old.Value
		}
	}
	return entry
}

func (g *Gateway) endpointsChanged() {
	// The entry may be new for an endpoint that has already announced that it is draining.
	for _, id := range g.health.Signals.Draining() {
		g.directory.MarkDraining(id)
	}
	g.locator.MarkStale()
	g.dispatcher.DispatchWaiting()
	trySend(g.stepNow)
	g.children.wake()
}

// deferFirstRead delays the first read of a topic while provided reports that other hosts
// provide its contents, for at most passiveListPollInterval after the start.
func (g *Gateway) deferFirstRead(ctx context.Context, provided func() bool) {
	for g.Now().Sub(g.startedAt) < passiveListPollInterval && provided() {
		if !wait.For(ctx, startupCheckInterval) {
			return
		}
	}
}

func (g *Gateway) followClaims(ctx context.Context) {
	// Relays are among the first to claim. Other hosts learn of the claim from them.
	g.deferFirstRead(ctx, g.receivesOrExpectsUpdates)
	apply := func(b fleet.Batch) {
		for _, e := range b.Entries {
			g.applyClaim(e)
		}
		g.mesh.advanceClaimsOffset(b.Next)
		g.election.RecordCaughtUp()
	}
	f := g.follower(fleet.TopicClaims, apply, apply)
	f.Start = g.awaitRelayedClaim
	if !g.settings.Orders.EndpointsCheckTokens {
		f.Wait = orders.ClaimsReadInterval(g.settings.Timing.Lease)
	}
	f.Run(ctx)
}

func (g *Gateway) applyClaim(e fleet.Entry) {
	var h orders.Holder
	if err := record.Unmarshal(e.Value, &h); err != nil {
		g.log.Error("decoding claim failed; claim ignored", "offset", e.Offset, "error", err)
		return
	}
	before := g.election.Newest().Token
	claim := orders.Claim{Holder: h, Token: claimToken(e.Offset)}
	g.election.Observe(g.Now(), claim)
	if claim.Token > before {
		g.mesh.recordClaim(g.Now())
		g.children.wake()
		g.log.Info("new claim", "holder", h.Host, "token", claim.Token, "released", h.Released)
	}
}

// claimToken returns the fencing token of the claim at a position. Tokens are positive, and those of
// a newer era of the store are greater than all older ones.
func claimToken(at fleet.Position) int64 { return int64(at) + 1 }

// claimPosition returns the position of the claim with a token.
func claimPosition(token int64) fleet.Position { return fleet.Position(token - 1) }
