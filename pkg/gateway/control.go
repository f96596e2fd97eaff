package gateway

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/peer"
)

const (
	// reportPeriod is the longest pause between two reports of demand, and
	// reportPause the shortest: requests that come together make one report.
	reportPeriod = 250 * time.Millisecond
	reportPause  = 8 * time.Millisecond
	// stepPeriod and stepPause are the same for the controller's decisions.
	stepPeriod = 40 * time.Millisecond
	stepPause  = 8 * time.Millisecond
	// noticePeriod is the longest pause between two notices, fullNotice between
	// two that name all endpoints: a notice may be lost.
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
	// prunePeriod is how often state of endpoints that are gone is dropped.
	prunePeriod = time.Second
	// noOffset is before all offsets.
	noOffset = -1
)

// reportDemand tells the controller what this host's requests need.
func (g *Gateway) reportDemand(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-g.reportNow:
		case <-time.After(reportPeriod):
		case <-ctx.Done():
			return
		}
		g.report(ctx)
		wait.For(ctx, reportPause)
	}
}

func (g *Gateway) report(ctx context.Context) {
	now := g.Now()
	report := fleet.DemandReport{
		Host:          g.self.Host,
		Incarnation:   g.self.Incarnation,
		ConfigVersion: g.configVersion(),
		Addr:          g.self.Addr,
		Unreachable:   g.health.AllUnreachable(now),
	}
	for _, d := range g.dispatcher.Demand() {
		n := fleet.NeedReport{
			Service:  d.Service,
			Model:    d.Model,
			Adapter:  d.Adapter,
			Waiting:  d.Waiting,
			InTime:   d.InTime,
			Inflight: d.Inflight,
			Arrived:  d.Arrived,
			Starting: d.Starting.Milliseconds(),
			Priority: d.Priority,
		}
		if d.Waiting > 0 {
			n.DueIn = d.Due.Sub(now).Milliseconds()
		}
		report.Needs = append(report.Needs, n)
	}
	if g.election.Held() != 0 {
		g.controller.Report(now, report)
		signal(g.noticeNow)
		return
	}
	claim := g.election.Newest()
	if claim.Token == 0 || claim.Holder.Released || claim.Holder.Addr == "" {
		return
	}
	answer, err := g.mesh.send(ctx, claim.Holder.Addr, peer.Request{Demand: &report})
	if err != nil {
		g.metrics.count("reports_lost", nil)
		return
	}
	now = g.Now()
	g.compareConfig(claim.Holder.Addr, answer.ConfigVersion)
	if answer.Claim != nil && answer.Claim.Token > claim.Token {
		g.election.Observe(now, *answer.Claim)
	}
	if answer.Controlling {
		g.election.Heard(now, claim.Token)
	}
}

// control runs the controller while this host holds the claim.
func (g *Gateway) control(ctx context.Context) {
	var lastNotice, lastFull time.Time
	told := int64(noOffset)
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
			told = noOffset
			wait.For(ctx, stepPeriod)
			continue
		}
		if allowed := g.mayOrder(); allowed != may {
			may = allowed
			g.logOrders(may)
		}
		change := g.directory.Material()
		if len(n.Endpoints) > 0 || change > told || now.Sub(lastNotice) >= noticePeriod {
			lastNotice = now
			if full {
				lastFull = now
			}
			g.publish(ctx, g.withList(now, *n, told, change))
			told = change
		}
		wait.For(ctx, stepPause)
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

// withList adds what has changed in the list of endpoints since the last notice.
func (g *Gateway) withList(now time.Time, n fleet.Notice, told, change int64) fleet.Notice {
	n.ListSince = told
	n.ListChange = change
	n.ListAge = g.listAge(now).Milliseconds()
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
// once: 93 of them for 77 hosts took a link of 10 Mbit/s for seconds, notices came
// too late, and other hosts claimed one after the other. Without the entries, each host
// reads the store.
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

// listBytes is how many bytes of entries a notice to each host may carry.
func (g *Gateway) listBytes() int {
	link := g.settings.Limits.LinkMbps
	if link == 0 {
		link = leastLinkMbps
	}
	const bitsPerByte, mega = 8, 1e6
	period := link * mega / bitsPerByte * noticePeriod.Seconds()
	return int(period/listShare) / g.mesh.hosts()
}

// publish tells all hosts what the controller believes.
func (g *Gateway) publish(ctx context.Context, n fleet.Notice) {
	n.Incarnation = g.self.Incarnation
	n.Addr = g.self.Addr
	g.board.Notice(g.Now(), n)
	g.dispatcher.Kick()
	for host, addr := range g.mesh.addresses() {
		go g.tell(ctx, host, addr, n)
	}
}

// tell sends a notice to one host and takes in what it answers.
func (g *Gateway) tell(ctx context.Context, host, addr string, n fleet.Notice) {
	sent := g.Now()
	answer, err := g.mesh.send(ctx, addr, peer.Request{Notice: &n})
	if err != nil {
		g.metrics.count("notices_lost", nil)
		return
	}
	if answer.Claim == nil {
		return // That host does not know this one yet.
	}
	if answer.Claim.Token > n.Token {
		g.election.Observe(g.Now(), *answer.Claim)
	}
	g.lease.Heard(n.Token, orders.NoticeAnswer{
		Host:     host,
		Sent:     sent,
		Token:    answer.Claim.Token,
		StoreAge: time.Duration(answer.StoreAge) * time.Millisecond,
	})
}

// maintain does what has to be done from time to time.
func (g *Gateway) maintain(ctx context.Context) {
	last := g.Now()
	every(ctx, kickPeriod, func() {
		g.dispatcher.Kick()
		now := g.Now()
		if g.reads.Loaded(fleet.TopicEndpoints) && g.viewAge(now) > maxListAge {
			go g.askPeer(ctx)
		}
		if now.Sub(last) < prunePeriod {
			return
		}
		last = now
		g.feed.drop(g.directory.Prune(now))
		live := map[fleet.EndpointID]bool{}
		for _, v := range g.directory.Live(now) {
			live[v.ID] = true
		}
		g.endpoints.Retain(live)
		g.health.Prune(live)
		g.metrics.gauge("endpoints", float64(len(live)))
		g.metrics.gauge("endpoint_connections", float64(g.endpoints.Opened()))
	})
}
