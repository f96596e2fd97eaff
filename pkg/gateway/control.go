package gateway

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// stepPeriod and stepPause are the longest and the shortest pause between two
	// of the controller's decisions. stepRest is the least pause in parts of the time
	// that a decision takes: on the weakest hosts it takes a tenth of a second where hundreds
	// of models are asked for, and what is reported meanwhile has to be taken in.
	stepPeriod = 40 * time.Millisecond
	stepPause  = 8 * time.Millisecond
	stepRest   = 2
	// noticePeriod is the time for which entries of the list may fill the link, about
	// the longest pause between two answers to a host; fullNotice separates two
	// notices that name all endpoints, so that what is gone is forgotten.
	noticePeriod = 300 * time.Millisecond
	fullNotice   = 1500 * time.Millisecond
	// listShare is the part of the link, as a divisor, that entries of the list may take
	// in the time between two notices; the rest is for requests and other messages.
	// leastLinkMbps is assumed where the link is not stated: the slowest that is in use.
	listShare     = 4
	leastLinkMbps = 10
	// kickPeriod is how often waiting requests are looked at for what changes
	// with time alone.
	kickPeriod = 20 * time.Millisecond
	// gossipPause is, for each host, the pause between two questions to others for a list that
	// nobody confirms: while the store is away all hosts ask, and each is asked by all.
	gossipPause = 3 * time.Millisecond
	// prunePeriod is how often state of endpoints that are gone is dropped.
	prunePeriod = time.Second
	// noOffset is before all offsets.
	noOffset = -1
)

// control runs the controller while this host holds the claim.
func (g *Gateway) control(ctx context.Context) {
	var lastFull time.Time
	may := true
	for ctx.Err() == nil {
		select {
		case <-g.noticeNow:
		case <-time.After(stepPeriod):
		case <-ctx.Done():
			return
		}
		now := g.Now()
		full := now.Sub(lastFull) >= fullNotice
		n := g.controller.Step(ctx, now, full)
		if n == nil {
			lastFull = time.Time{}
			wait.For(ctx, stepPeriod)
			continue
		}
		if allowed := g.mayOrder(); allowed != may {
			may = allowed
			g.logOrders(may)
		}
		if full {
			lastFull = now
		}
		g.publish(*n)
		wait.For(ctx, max(stepPause, stepRest*g.Now().Sub(now)))
	}
}

// logOrders tells why the controller gives orders again, or does not.
func (g *Gateway) logOrders(may bool) {
	msg := "orders rest: neither the store nor all other hosts show that no other host gives orders"
	if may {
		msg = "orders go on"
	}
	g.log.Info(msg, "token", g.election.Held(), "list_age_ms", g.listAge(g.Now()).Milliseconds(), "hosts", g.mesh.hosts())
}

// listAge is how long ago the store answered a read of the list of endpoints.
func (g *Gateway) listAge(now time.Time) time.Duration {
	return now.Sub(g.reads.LastAnswer(fleet.TopicEndpoints))
}

// withList adds what has changed in the list of endpoints since what a host was told.
func (g *Gateway) withList(now time.Time, n fleet.Notice, told, change int64) fleet.Notice {
	g.listMu.Lock()
	defer g.listMu.Unlock()
	change = max(change, g.directory.Material())
	n.ListSince = told
	n.ListChange = change
	n.ListAge = min(g.viewAge(now), time.Hour).Milliseconds()
	if told != noOffset && change > told {
		n.ListEntries = g.fitting(g.feed.entries(g.directory.MaterialSince(told)))
	}
	if back := g.directory.StoreBackAgo(now); back > 0 {
		n.StoreBackAgo = max(1, back.Milliseconds())
	}
	return n
}

// fitting returns entries that this host's link carries to all others beside its other
// messages, or none. After an outage of the store the entries of all endpoints change at
// once: they would take a slow link for seconds, notices would come too late, and other hosts
// would claim one after the other. Without the entries, each host reads the store.
func (g *Gateway) fitting(entries []fleet.Entry) []fleet.Entry {
	size := 0
	for _, e := range entries {
		size += len(e.Key) + len(e.Value)
	}
	if size > g.listBytes() {
		return nil
	}
	return entries
}

// listBytes is how many bytes of entries an answer to each host may carry.
func (g *Gateway) listBytes() int {
	link := g.settings.Limits.LinkMbps
	if link == 0 {
		link = leastLinkMbps
	}
	const bitsPerByte, mega = 8, 1e6
	period := link * mega / bitsPerByte * noticePeriod.Seconds()
	return int(period/listShare) / g.mesh.fanOut(g.settings.cores())
}

// publish takes in what the controller believes, and lets the hosts that ask see it.
func (g *Gateway) publish(n fleet.Notice) {
	n.Incarnation = g.self.Incarnation
	n.Addr = g.self.Addr
	g.board.Notice(g.Now(), n)
	g.dispatcher.Kick()
	g.children.wake()
}

// maintain does what has to be done from time to time.
func (g *Gateway) maintain(ctx context.Context) {
	last, asked := g.Now(), time.Time{}
	every(ctx, kickPeriod, func() {
		g.dispatcher.Kick()
		now := g.Now()
		g.guardRequests(now)
		g.levelAccounts(now)
		due := now.Sub(asked) >= time.Duration(g.mesh.hosts())*gossipPause
		if due && g.reads.Loaded(fleet.TopicEndpoints) && g.viewAge(now) > maxListAge {
			asked = now
			go g.askPeer(ctx)
		}
		if now.Sub(last) < prunePeriod {
			return
		}
		last = now
		g.children.drop(now)
		g.guard.Prune(now)
		g.feed.drop(g.directory.Prune(now))
		live := map[fleet.EndpointID]bool{}
		for _, v := range g.directory.Live(now) {
			live[v.ID] = true
		}
		g.endpoints.Retain(live)
		g.health.Prune(live)
		g.metrics.gauge("endpoints", float64(len(live)))
		g.metrics.gauge("endpoints_limited", float64(g.health.Signals.LimitedCount(now)))
		g.metrics.gauge("requests_blocked", float64(g.guard.Blocks.Count()))
		g.metrics.gauge("endpoint_connections", float64(g.endpoints.Opened()))
	})
}
