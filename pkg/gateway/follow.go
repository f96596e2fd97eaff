package gateway

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/follow"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/relay"
)

const (
	// longPoll is how long a read waits for records of topics that change
	// seldom. Each call has a price; connections may fall silent, and a read
	// without an answer is given up after this time; other hosts tell of a newer
	// configuration meanwhile.
	longPoll = 15 * time.Second
	// listPoll is the longest period of reads of the list of endpoints, which
	// changes all the time.
	listPoll = 700 * time.Millisecond
	// listReads is how often the list is read at least in the time in which a
	// leaving endpoint must have been noticed.
	listReads = 3
	// confirmedListPoll is the period while the controller reads the list and passes
	// on in its notices what has changed. Where the store keeps a shorter history, a read
	// starts anew from the newest entries.
	confirmedListPoll = 10 * time.Second
	// confirmedFor is how old what is known of the list may be for that: the age of the
	// controller's read and the pause of its notices, with a notice that was lost.
	// confirmedParts bounds it by a part of the time in which a leaving endpoint must
	// have been noticed, so that a read of this host's own still comes in time.
	confirmedFor   = 1100 * time.Millisecond
	confirmedParts = 2
	// controllerListPoll is the period while this host gives orders: what endpoints
	// say of themselves corrects what it believes.
	controllerListPoll = 350 * time.Millisecond
	// leafListPoll is, for each host, the period in which hosts read the list that are told
	// by others which cannot read it either, so that all together make some twenty calls
	// a second.
	leafListPoll = 50 * time.Millisecond
	// toldListPoll is the period of a host that learns all topics from others.
	toldListPoll = time.Minute
	// gatherTime is for how long entries of hosts are gathered, about the time in which
	// hosts start that are started together, and gatherHost how much longer for each
	// host: each of many that start in turn woke all others.
	gatherTime = 300 * time.Millisecond
	gatherHost = 3 * time.Millisecond
	// listWakeParts is the part, as a divisor, of the time in which a leaving endpoint must have
	// been noticed that separates two reads of the list that were asked for by what another
	// host has told: at a start each of its answers asks for one.
	listWakeParts = 4
	// startGrace is for how long a host that has just started rests its reads, since others
	// will tell it: a relay has read the entries of hosts and the claim by then.
	startGrace = 1500 * time.Millisecond
	// startLook is how often a host that rests its first reads looks whether others tell it.
	startLook = 50 * time.Millisecond
	// storeRetry is the pause after a write that failed.
	storeRetry = 250 * time.Millisecond
)

// follower returns a follower of a topic.
func (g *Gateway) follower(t fleet.Topic, reset, apply func(fleet.Batch)) *follow.Follower {
	return &follow.Follower{
		Store:  g.store,
		State:  g.reads,
		Log:    g.log,
		Topic:  t,
		Wait:   longPoll,
		Told:   g.isToldOrWillBe,
		Reset:  reset,
		Apply:  apply,
		Result: func(err error) { g.noteStore(t, err) },
	}
}

// noteStore logs a lost or regained store once.
func (g *Gateway) noteStore(t fleet.Topic, err error) {
	now := g.Now()
	changed := g.reads.Answered(t, now, err)
	if t == fleet.TopicEndpoints {
		g.directory.StoreState(now, err == nil)
	}
	switch {
	case changed && err != nil:
		g.log.Warn("store lost", "topic", t, "error", err.Error())
		g.metrics.count("store_lost", nil)
	case changed:
		g.log.Info("store answers", "topic", t)
	}
}

func (g *Gateway) followConfig(ctx context.Context) {
	f := g.follower(fleet.TopicConfig, g.takeConfigs, g.takeConfigs)
	f.Told = func() bool { return g.isToldOrWillBe() && !g.lacksConfig() }
	f.Failed = g.askPeer
	f.Run(ctx)
}

func (g *Gateway) takeConfigs(b fleet.Batch) {
	for _, e := range b.Entries {
		g.takeConfig(e)
	}
}

// takeConfig puts a configuration in force if it is newer: records may be read
// again, and another host's copy may be old.
func (g *Gateway) takeConfig(e fleet.Entry) {
	c, isConfig, err := g.codec.Config(e)
	if !isConfig {
		return
	}
	if err != nil {
		g.log.Error("configuration is not understood; the last one stays in force", "offset", e.Offset, "error", err)
		return
	}
	g.feed.mu.Lock()
	defer g.feed.mu.Unlock()
	if old := g.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	g.config.Store(c)
	g.feed.config = e
	g.log.Info("configuration in force", "version", c.Version, "offset", e.Offset, "routes", len(c.Routes))
	signal(g.noticeNow)
	g.children.wake()
}

func (g *Gateway) followEndpoints(ctx context.Context) {
	f := g.follower(fleet.TopicEndpoints, g.resetEndpoints, g.takeEndpoints)
	f.Wait = 0
	f.Told = nil
	f.Pause = g.listPause
	f.FailedPause = g.leafListPause
	f.Wake = g.listNow
	f.WakePause = g.settings.Timing.Drain / listWakeParts
	f.Failed = g.askPeer
	f.Run(ctx)
}

// listPause is the pause between two reads of the list of endpoints.
func (g *Gateway) listPause() time.Duration {
	if g.election.Held() != 0 {
		return controllerListPoll
	}
	told, confirmed := g.isTold(), g.listConfirmed()
	switch {
	case told && confirmed:
		return toldListPoll
	case told:
		return g.leafListPause()
	case confirmed:
		return confirmedListPoll
	case g.mesh.relaying() && g.mesh.hosts() > relay.Children(g.settings.cores()):
		// The controller does not confirm the list: it is cut off from the store. All hosts
		// behind this one rest on its reads.
		return controllerListPoll
	}
	return min(listPoll, g.settings.Timing.Drain/listReads)
}

// leafListPause is the pause after a read of the list that failed, or while nobody
// confirms it, of a host that is told by others.
func (g *Gateway) leafListPause() time.Duration {
	if !g.isTold() {
		return 0
	}
	return max(listPoll, time.Duration(g.mesh.hosts())*leafListPoll)
}

// isTold tells whether this host learns all topics from others. A few hosts of each zone
// read them in any case, so that what is passed on does not hang on one host: those that
// others ask, or would ask next.
//
// A claim that was just seen is a sign that its holder will speak, but not for long: hosts that
// are cut off read one claim after the other, and nobody speaks to them.
func (g *Gateway) isTold() bool {
	now := g.Now()
	if g.mesh.relaying() {
		return false
	}
	// A controller that dies is replaced, and its successor heard, within twice firstNews.
	silence := min(g.news.silence(now), now.Sub(g.started))
	return g.news.recent(now) || silence < 2*firstNews && g.mesh.claimedLately(now)
}

// isToldOrWillBe tells whether this host learns all topics from others, or has just started
// and will.
func (g *Gateway) isToldOrWillBe() bool { return g.isTold() || g.expectsNews() }

// expectsNews tells whether this host has just started and others will tell it what the
// store holds. As long as it does not know the others it cannot know that: of hosts that
// start together the first ones find few entries, and would take themselves for relays.
func (g *Gateway) expectsNews() bool {
	now := g.Now()
	if now.Sub(g.started) > startGrace {
		return false
	}
	return !g.reads.Loaded(fleet.TopicHosts) || !g.mesh.settled(now) || !g.mesh.relaying()
}

// listConfirmed tells whether the controller passes on what changes in the list.
func (g *Gateway) listConfirmed() bool {
	return g.mesh.confirmedAge(g.Now()) < min(confirmedFor, g.settings.Timing.Drain/confirmedParts)
}

// viewAge is how old what this host knows of the list of endpoints is at most: it
// was read from the store, or the controller has told that nothing else changed.
func (g *Gateway) viewAge(now time.Time) time.Duration {
	return min(g.listAge(now), g.mesh.confirmedAge(now))
}

func (g *Gateway) resetEndpoints(b fleet.Batch) {
	g.replaceList(b)
	g.endpointsChanged()
}

func (g *Gateway) replaceList(b fleet.Batch) {
	g.listMu.Lock()
	defer g.listMu.Unlock()
	list := make(map[int64]fleet.Endpoint, len(b.Entries))
	raw := make(map[string]fleet.Entry, len(b.Entries))
	for _, entry := range b.Entries {
		raw[entry.Key] = entry
		list[entry.Offset] = g.endpoint(entry)
	}
	g.feed.mu.Lock()
	g.feed.endpoints = raw
	g.feed.mu.Unlock()
	g.directory.Replace(g.Now(), b.Next, list)
}

func (g *Gateway) endpoint(entry fleet.Entry) fleet.Endpoint {
	e, err := g.codec.Endpoint(entry)
	if err != nil {
		g.metrics.count("entries_not_understood", nil)
		g.log.Warn("entry is not understood; no requests go to an endpoint of this name until it writes again", "endpoint", entry.Key, "offset", entry.Offset, "error", err.Error())
	}
	return e
}

func (g *Gateway) takeEndpoints(b fleet.Batch) {
	if len(b.Entries) == 0 {
		return
	}
	g.applyList(b)
	g.endpointsChanged()
}

func (g *Gateway) applyList(b fleet.Batch) {
	g.listMu.Lock()
	defer g.listMu.Unlock()
	now := g.Now()
	for _, entry := range b.Entries {
		g.feed.mu.Lock()
		if old, ok := g.feed.endpoints[entry.Key]; !ok || old.Offset < entry.Offset {
			g.feed.endpoints[entry.Key] = entry
		}
		g.feed.mu.Unlock()
		if len(entry.Value) == 0 {
			g.log.Info("endpoint is gone from the list", "endpoint", entry.Key, "offset", entry.Offset)
			g.directory.Remove(now, entry.Offset, fleet.NewEndpointID(entry.Key, 0))
			continue
		}
		g.directory.Apply(now, entry.Offset, g.endpoint(entry))
	}
}

func (g *Gateway) endpointsChanged() {
	// An entry may be new here of an endpoint that has said already that it leaves.
	for _, id := range g.health.Signals.Leaving() {
		g.directory.Leave(id)
	}
	g.board.Changed()
	g.dispatcher.Kick()
	signal(g.noticeNow)
	g.children.wake()
}

// hostEntry is what a host writes of itself once at its start.
type hostEntry struct {
	Addr        string           `cbor:"1,keyasint"`
	Incarnation string           `cbor:"2,keyasint"`
	Fingerprint peer.Fingerprint `cbor:"3,keyasint"`
	Zone        string           `cbor:"4,keyasint,omitempty"`
	// Cores is the processor that the host has, 0 if it does not state it.
	Cores float64 `cbor:"5,keyasint,omitempty"`
}

// announce writes where other hosts reach this one and by which key.
func (g *Gateway) announce(ctx context.Context) {
	value, err := record.Marshal(hostEntry{
		Addr:        g.self.Addr,
		Incarnation: g.self.Incarnation,
		Fingerprint: g.mesh.own,
		Zone:        g.settings.Zone,
		Cores:       g.settings.cores(),
	})
	if err != nil {
		g.log.Error("own entry", "error", err)
		return
	}
	for ctx.Err() == nil {
		if _, err := g.store.Put(ctx, fleet.TopicHosts, g.self.Host, value, fleet.AnyOffset); err == nil {
			g.announced.Store(true)
			return
		}
		wait.For(ctx, wait.Jitter(storeRetry))
	}
}

func (g *Gateway) followHosts(ctx context.Context) {
	take := func(b fleet.Batch) {
		g.takeHosts(b)
	}
	f := g.follower(fleet.TopicHosts, take, take)
	f.Gather = g.gatherHosts
	// Of hosts that start together, one that read at once would find few of the others, and
	// read again.
	wait.For(ctx, gatherTime)
	// A host that has just started has to know its relay's new key before it can be told
	// anything: it does not rest on the word of a controller that it cannot hear yet.
	f.Told = func() bool {
		now := g.Now()
		return !g.mesh.relaying() && (g.news.recent(now) || g.mesh.settled(now) && g.expectsNews())
	}
	f.Run(ctx)
}

// gatherHosts is for how long entries of hosts are gathered. Relays read them sooner: they
// are few, and have to know a host before they tell it anything.
func (g *Gateway) gatherHosts() time.Duration {
	if g.mesh.relaying() {
		return gatherTime
	}
	return gatherTime + time.Duration(g.mesh.hosts())*gatherHost
}

// takeHosts takes in entries of hosts that are complete up to an offset.
func (g *Gateway) takeHosts(b fleet.Batch) {
	for _, e := range b.Entries {
		g.takeHost(e)
	}
	g.feed.takeHosts(b)
	g.budget.SetHosts(g.mesh.hosts())
	g.health.Signals.SetHosts(g.self.Host, g.mesh.names())
	g.children.wake()
}

func (g *Gateway) takeHost(e fleet.Entry) {
	var h hostEntry
	if err := record.Unmarshal(e.Value, &h); err != nil {
		g.log.Error("host's entry is not understood", "peer", e.Key, "error", err)
		return
	}
	g.mesh.learn(e.Key, h)
	g.election.Restarted(e.Key, h.Incarnation)
}

// restAtStart rests, before a topic is read for the first time, as long as this host is told what
// stands there, or will be: a minute at most, as between two reads.
func (g *Gateway) restAtStart(ctx context.Context, told func() bool) {
	for g.Now().Sub(g.started) < toldListPoll && told() {
		if !wait.For(ctx, startLook) {
			return
		}
	}
}

func (g *Gateway) followClaims(ctx context.Context) {
	// A host that others ask is among the first to claim; the rest learns from it who has.
	g.restAtStart(ctx, g.isToldOrWillBe)
	take := func(b fleet.Batch) {
		for _, e := range b.Entries {
			g.takeClaim(e)
		}
		g.mesh.setClaimsNext(b.Next)
		g.election.Caught()
	}
	g.follower(fleet.TopicClaims, take, take).Run(ctx)
}

func (g *Gateway) takeClaim(e fleet.Entry) {
	var h orders.Holder
	if err := record.Unmarshal(e.Value, &h); err != nil {
		g.log.Error("claim is not understood", "offset", e.Offset, "error", err)
		return
	}
	before := g.election.Newest().Token
	claim := orders.Claim{Holder: h, Token: token(e.Offset)}
	g.election.Observe(g.Now(), claim)
	if claim.Token > before {
		g.mesh.noteClaim(g.Now())
		g.children.wake()
		g.log.Info("claim", "holder", h.Host, "token", claim.Token, "released", h.Released)
	}
}

// token turns the offset of a claim into a fencing token, which is positive.
func token(offset int64) int64 { return offset + 1 }
