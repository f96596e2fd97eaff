package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/record"
	"golang.org/x/sys/unix"
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
	// electPeriod is how often a host looks whether it should claim.
	electPeriod = 100 * time.Millisecond
	// secondOpinion bounds the questions to other hosts before a claim, and
	// heardLately is how fresh a sign of the holder's life has to be.
	secondOpinion = 300 * time.Millisecond
	heardLately   = 700 * time.Millisecond
	// kickPeriod is how often waiting requests are looked at for what changes
	// with time alone.
	kickPeriod = 20 * time.Millisecond
	// prunePeriod is how often state of endpoints that are gone is dropped.
	prunePeriod = time.Second
	// releaseRetry separates two tries of a stopping host to hand its claim on.
	releaseRetry = 400 * time.Millisecond
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
		sleep(ctx, reportPause)
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
			sleep(ctx, stepPeriod)
			continue
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
		sleep(ctx, stepPause)
	}
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
		n.ListEntries = g.feed.entries(g.directory.MaterialSince(told))
	}
	if back := g.directory.StoreBackAgo(now); back > 0 {
		n.StoreBackAgo = max(1, back.Milliseconds())
	}
	return n
}

// noOffset is before all offsets.
const noOffset = -1

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
	g.standing.Heard(n.Token, orders.Word{
		Host:     host,
		Sent:     sent,
		Token:    answer.Claim.Token,
		StoreAge: time.Duration(answer.StoreAge) * time.Millisecond,
	})
}

// elect claims when nobody gives orders.
func (g *Gateway) elect(ctx context.Context) {
	every(ctx, electPeriod, func() {
		if g.election.Running(bootTime()) {
			g.log.Warn("host was frozen; orders wait until the store confirms the claim")
		}
		if g.election.Confirming() {
			g.confirmClaim(ctx)
		}
		// A claim must come after this incarnation's entry: others take the holder
		// for dead by an entry of another incarnation.
		if g.leaving.Load() || !g.announced.Load() || !g.election.ShouldClaim(g.Now()) {
			return
		}
		if g.election.Vacant() || !g.heardElsewhere(ctx) {
			g.claim(ctx)
		}
	})
}

// heardElsewhere tells whether another host has heard the holder of the newest
// claim lately. If so the holder lives, and only this host does not hear it.
func (g *Gateway) heardElsewhere(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, secondOpinion)
	defer cancel()
	holder := g.election.Newest()
	addrs := g.mesh.answering(g.Now())
	type sign struct {
		at time.Time
		ok bool
	}
	heard := make(chan sign, len(addrs))
	asked := 0
	for _, addr := range addrs {
		if addr == holder.Holder.Addr {
			continue
		}
		asked++
		go func() {
			answer, err := g.mesh.send(ctx, addr, peer.Request{})
			if err == nil && answer.Claim != nil && answer.Claim.Token > holder.Token {
				g.election.Observe(g.Now(), *answer.Claim)
			}
			ago, ok := witnessed(answer, holder.Token)
			heard <- sign{g.Now().Add(-ago), err == nil && ok}
		}()
	}
	for range asked {
		if s := <-heard; s.ok {
			g.election.Heard(s.at, holder.Token)
			return true
		}
	}
	return false
}

// witnessed tells how long ago another host has heard the holder of a claim, if it
// can witness that. A host that does not know the asker yet answers without its
// claim, and one that knows an older claim speaks of another holder; taken for
// witnesses, they would put the successor of a dead holder off for as long as their
// reads of the store hang.
func witnessed(answer peer.Response, token int64) (ago time.Duration, ok bool) {
	if answer.Claim == nil || answer.Claim.Token < token {
		return 0, false
	}
	ago = time.Duration(answer.HolderHeard) * time.Millisecond
	return ago, ago < heardLately
}

// bootTime is the clock that goes on while the host is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without that clock a suspension shows only in the steady one, which
		// stands still meanwhile; the fencing tokens remain.
		return 0
	}
	return time.Duration(ts.Nano())
}

func (g *Gateway) claim(ctx context.Context) {
	offset, err := g.putClaim(ctx, g.self)
	if err != nil {
		g.log.Info("claim failed", "error", err.Error())
		if errors.Is(err, fleet.ErrStoreConflict) {
			// Another claim came first, and the read that should have told hangs.
			g.confirmClaim(ctx)
		}
		return
	}
	g.election.Won(g.Now(), token(offset))
	signal(g.listNow) // The controller knows the list from the store itself.
	g.log.Info("claim won", "token", token(offset))
	signal(g.noticeNow)
}

// putClaim appends a claim at the end that this host has read: if another claim
// came in between, it fails.
func (g *Gateway) putClaim(ctx context.Context, h orders.Holder) (int64, error) {
	value, err := record.Marshal(h)
	if err != nil {
		return 0, err
	}
	g.mesh.mu.Lock()
	at := g.mesh.claimsNext
	g.mesh.mu.Unlock()
	return g.store.Put(ctx, fleet.TopicClaims, claimKey, value, at)
}

// claimKey is the only key of the claims topic; the newest claim stays.
const claimKey = "controller"

// confirmClaim reads the newest claim now: after a freeze, or when this host's
// own has met another.
func (g *Gateway) confirmClaim(ctx context.Context) {
	batch, err := g.store.Newest(ctx, fleet.TopicClaims)
	if err != nil {
		g.log.Info("claim is not confirmed yet", "error", err.Error())
		return
	}
	for _, e := range batch.Entries {
		g.takeClaim(e)
	}
	g.mesh.setClaimsNext(batch.Next)
	g.election.Caught()
}

// releaseClaim hands the claim on when the host stops. While the store does not
// answer nobody can claim; the host then goes on to give orders until its end,
// or no cold model would be loaded until the store is back.
func (g *Gateway) releaseClaim(ctx context.Context, end time.Time) {
	released := g.self
	released.Released = true
	for ctx.Err() == nil && g.Now().Before(end) {
		held := g.election.Held()
		if held == 0 {
			return
		}
		if _, err := g.putClaim(ctx, released); err == nil {
			g.election.Lost(held)
			g.log.Info("claim handed on", "token", held)
			return
		}
		sleep(ctx, releaseRetry)
	}
	g.log.Info("claim is not handed on; it lapses", "token", g.election.Held())
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
