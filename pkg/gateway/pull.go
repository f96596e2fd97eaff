package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/relay"
)

const (
	// maxReportInterval is the longest interval between two demand reports, minReportInterval
	// the shortest. Requests that arrive together are covered by one report.
	maxReportInterval = 250 * time.Millisecond
	minReportInterval = 20 * time.Millisecond
	// controllerFallbackInterval is the interval between pulls from the controller itself while
	// all relays of the zone are down. It must be shorter than the time after which the
	// controller counts as lost.
	controllerFallbackInterval = 600 * time.Millisecond
	// maxPulls bounds the pulls in flight: one that waits for a change, and others that report
	// new demand meanwhile.
	maxPulls = 3
	// pullTimeout bounds a pull, which the upstream host holds for up to relay.MaxPullHold.
	pullTimeout = relay.MaxPullHold + 250*time.Millisecond
	// maxNoticeAge is the age of an upstream host's last contact with the controller after
	// which the host counts as isolated and the next one is used.
	maxNoticeAge = 900 * time.Millisecond
)

var errStaleUpstream = errors.New("upstream host has not heard the controller recently")

var errUnknownHost = errors.New("upstream host does not know this host yet")

// followController pulls notices of the controller from the upstream host and reports the
// demand of this host's requests.
func (g *Gateway) followController(ctx context.Context) {
	slots := make(chan struct{}, maxPulls)
	urgent := true
	for ctx.Err() == nil {
		if g.election.HeldToken() != 0 {
			now := g.Now()
			own := g.demandReport(now)
			g.controller.Report(now, own)
			g.occupancy.sums.Add(now, own)
			trySend(g.stepNow)
			wait.ForOrWake(ctx, maxReportInterval, g.reportNow)
			wait.For(ctx, minReportInterval)
			continue
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		pauses := make(chan time.Duration, 1)
		go func(urgent bool) {
			defer func() { <-slots }()
			pauses <- g.pull(ctx, urgent)
		}(urgent)
		pause := minReportInterval
		select {
		case d := <-pauses:
			urgent = false
			pause = max(pause, d)
		case <-g.urgentReports():
			urgent = true
		case <-ctx.Done():
			return
		}
		wait.For(ctx, pause)
	}
}

// urgentReports returns the channel that triggers an immediate report, or nil while the
// controller is used in place of a relay.
func (g *Gateway) urgentReports() <-chan struct{} {
	upstreams := g.upstreams()
	if len(upstreams) > 0 && isControllerFallback(upstreams, g.mesh.firstReachable(g.Now(), upstreams)) {
		return nil
	}
	return g.reportNow
}

// pull pulls once from the best reachable upstream host and returns the minimum pause before
// the next pull. A report is never resent, since its receiver may have counted it even though
// the response was lost.
func (g *Gateway) pull(ctx context.Context, urgent bool) time.Duration {
	now := g.Now()
	upstreams := g.upstreams()
	if len(upstreams) == 0 {
		return maxReportInterval
	}
	to := g.mesh.firstReachable(now, upstreams)
	p := fleet.Pull{
		Demand:    g.demandFor(now, to, urgent),
		ListNext:  g.directory.Offset(),
		HostsNext: g.cache.HostsOffset(),
		Heartbeat: g.controllerHeartbeat(now),
	}
	p.Source, p.Token, p.Version = g.notices.Position()
	if !g.settings.Orders.EndpointsCheckTokens {
		p.DownstreamHeartbeats = g.demandAggregator.Heartbeats(now)
	}
	crashesNext := g.addCrashesTo(now, to.Addr, &p)
	p.SignalsChecksum, p.Signals = g.signals.forRequest(now)
	p.BrittleChecksum, p.Brittle = g.brittle.forRequest(now)
	p.Accounts, p.Rising = g.accounts.usageReport(now)
	p.ViaFallback = isControllerFallback(upstreams, to)
	err := g.sendPull(ctx, to, p, crashesNext)
	if err == nil {
		g.mesh.markReachable(to.Addr)
		if isControllerFallback(upstreams, to) {
			return controllerFallbackInterval
		}
		return 0
	}
	if !pullAccepted(err) {
		g.accounts.restoreUsage(p.Accounts)
	}
	if ctx.Err() != nil {
		return 0
	}
	g.metrics.count("pulls_failed", nil)
	if errors.Is(err, errUnknownHost) || errors.Is(err, errStaleUpstream) {
		g.mesh.markUnavailable(g.Now(), to.Addr)
	} else {
		g.mesh.markUnreachable(g.Now(), to.Addr)
	}
	g.log.Info("pull from upstream host failed", "asked", to.Name, "error", err.Error())
	if errors.Is(err, errUnknownHost) {
		return wait.Jitter(maxReportInterval) // The upstream host must read this host's entry first.
	}
	return wait.Jitter(minReportInterval)
}

// pullAccepted reports whether a pull that failed with err was still processed by the upstream
// host, which responded with outdated state. Account usage in such a pull must not be reported
// again.
func pullAccepted(err error) bool { return errors.Is(err, errStaleUpstream) }

// isControllerFallback reports whether to is the controller, used because all relays are down.
// Pulls to it must then be rare, since every host sends them and each takes CPU time of the
// controller.
func isControllerFallback(upstreams []relay.Member, to relay.Member) bool {
	return len(upstreams) > 1 && to == upstreams[len(upstreams)-1]
}

// sendPull sends a pull and applies the response, which acknowledges the crashes with numbers
// below crashesNext.
func (g *Gateway) sendPull(ctx context.Context, to relay.Member, p fleet.Pull, crashesNext int64) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	sent := g.Now()
	response, err := g.mesh.send(ctx, to.Addr, peer.Request{Pull: &p})
	if err != nil {
		return err
	}
	now := g.Now()
	if response.Claim == nil {
		return errUnknownHost
	}
	if response.Claim.Supersedes(g.election.Newest()) {
		g.election.Observe(now, *response.Claim)
		g.mesh.advanceClaimsOffset(fleet.Position(response.Claim.Token)) // It is the last one of the topic.
		g.children.wake()
	}
	g.fetchNewerConfig(to.Addr, response.ConfigVersion)
	if response.Notice == nil {
		return nil // A newer pull of this host is answered instead.
	}
	g.crashCursors.acknowledge(to.Addr, response.Notice.Source, crashesNext)
	g.mergeResponseBlocks(now, *response.Notice)
	g.mergeSignals(now, response.Notice.Signals)
	g.signals.acknowledge(response.Notice.SignalsChecksum)
	g.mergeBrittle(now, response.Notice.Brittle)
	g.brittle.acknowledge(response.Notice.BrittleChecksum)
	if g.levels.Apply(now.Add(-milliseconds(response.Notice.HeartbeatAge)), response.Notice.Levels) {
		g.children.wake()
	}
	if g.accounts.applyLevels(now, now.Add(-milliseconds(response.Notice.HeartbeatAge)), response.Notice.Accounts) {
		g.children.wake()
	}
	if len(response.Notice.Hosts) > 0 {
		g.applyHosts(fleet.Batch{Entries: response.Notice.Hosts, Next: response.Notice.HostsNext})
	}
	if g.startup.relayedStart() && g.cache.HostsOffset() > 0 && !response.Notice.HostsMore {
		g.storeReads.SetLoaded(fleet.TopicHosts)
	}
	g.applyOccupancy(now, response.Notice.Occupancy)
	g.applyNotice(now, *response.Notice)
	heartbeatAge := milliseconds(response.Notice.HeartbeatAge)
	if response.Controlling {
		heartbeatAge = 0
	}
	if heartbeatAge > maxNoticeAge {
		return errStaleUpstream
	}
	g.notices.RecordResponse(now)
	g.notices.RecordView(sent, heartbeatAge)
	return nil
}

// demandFor returns the demand of this host and of those behind it, or a short report if to
// received the full demand recently.
func (g *Gateway) demandFor(now time.Time, to relay.Member, urgent bool) fleet.DemandReport {
	if g.notices.DemandSentRecently(now, to.Addr) && !urgent {
		return fleet.DemandReport{
			Host:          g.self.Host,
			Incarnation:   g.self.Incarnation,
			Seq:           g.reportSeq.Add(1),
			ConfigVersion: g.configVersion(),
			Addr:          g.self.Addr,
			Unchanged:     true,
		}
	}
	report := g.demandAggregator.Sum(now, g.demandReport(now))
	report.EndpointLoads = g.upstreamEndpointLoads(now, report.EndpointLoads)
	return report
}

// upstreams returns the hosts to pull from, best first.
func (g *Gateway) upstreams() []relay.Member {
	claim := g.election.Newest()
	controller := relay.Member{Name: claim.Holder.Host, Addr: claim.Holder.Addr}
	if claim.Token == 0 || claim.Holder.Released || claim.Holder.Addr == "" {
		controller = relay.Member{}
	}
	return g.mesh.upstreams(controller)
}

// controllerHeartbeat returns this host's last contact with the controller.
func (g *Gateway) controllerHeartbeat(now time.Time) fleet.ControllerHeartbeat {
	token := g.election.Newest().Token
	return fleet.ControllerHeartbeat{
		Host:     g.self.Host,
		Token:    token,
		Stamp:    g.stampOf(token),
		StoreAge: min(g.readAge(now, fleet.TopicClaims), time.Hour).Milliseconds(),
	}
}

// demandReport returns the demand of this host's own requests.
func (g *Gateway) demandReport(now time.Time) fleet.DemandReport {
	demandReport := fleet.DemandReport{
		Host:             g.self.Host,
		Incarnation:      g.self.Incarnation,
		Seq:              g.reportSeq.Add(1),
		ConfigVersion:    g.configVersion(),
		Addr:             g.self.Addr,
		Unreachable:      g.health.AllUnreachable(now),
		BackoffRequested: g.health.Signals.BackoffRequested(now),
		EndpointLoads:    g.ownEndpointLoads(now),
	}
	for _, d := range g.dispatcher.Demand() {
		n := fleet.NeedReport{
			Service:       d.Service,
			Model:         d.Model,
			Adapter:       d.Adapter,
			Version:       d.Version,
			Waiting:       d.Waiting,
			OnTime:        d.OnTime,
			Inflight:      d.Inflight,
			Arrived:       d.Arrived,
			FirstByteWait: d.FirstByteWait.Milliseconds(),
			Priority:      d.Priority,
			Completed:     d.Completed,
			Rejected:      d.Rejected,
			Flows:         d.Flows,
		}
		if d.Waiting > 0 {
			n.DueIn = d.Due.Sub(now).Milliseconds()
		}
		demandReport.Needs = append(demandReport.Needs, n)
	}
	return demandReport
}
