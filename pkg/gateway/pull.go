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
	// reportPeriod is the longest pause between two reports of demand, and
	// reportPause the shortest: requests that come together make one report.
	reportPeriod = 250 * time.Millisecond
	reportPause  = 20 * time.Millisecond
	// samePause is for how long the needs that were told last hold, unless requests wait
	// for a model that is missing. A relay asks up to fifty times a second, and its
	// report names some hundred models.
	samePause = 100 * time.Millisecond
	// lastResortPause separates two questions to the controller itself while all relays
	// of the zone are gone: half of the time after which its silence is noticed.
	lastResortPause = 600 * time.Millisecond
	// maxPulls bounds the questions of this host that are under way: one that waits for a
	// change, and those that tell of new demand meanwhile.
	maxPulls = 3
	// pullTimeout bounds a question: it is held for a while, and a host that gives no
	// answer after that is passed over.
	pullTimeout = relay.MaxHold + 250*time.Millisecond
	// maxNewsAge is how old what another host tells may be: after that it is cut off
	// itself, and the next one is asked.
	maxNewsAge = 900 * time.Millisecond
)

// errStaleNews means that another host has not heard the controller itself for long.
var errStaleNews = errors.New("the host that was asked is cut off itself")

// errNotKnown means that another host does not know this one yet.
var errNotKnown = errors.New("the host that was asked does not know this one yet")

// followController asks for what the controller tells, and tells what this host's requests need.
func (g *Gateway) followController(ctx context.Context) {
	free := make(chan struct{}, maxPulls)
	urgent := true
	for ctx.Err() == nil {
		if g.election.Held() != 0 {
			g.controller.Report(g.Now(), g.report(g.Now()))
			signal(g.noticeNow)
			wait.Or(ctx, reportPeriod, g.reportNow)
			wait.For(ctx, reportPause)
			continue
		}
		select {
		case free <- struct{}{}:
		case <-ctx.Done():
			return
		}
		rest := make(chan time.Duration, 1)
		go func(urgent bool) {
			defer func() { <-free }()
			rest <- g.pull(ctx, urgent)
		}(urgent)
		pause := reportPause
		select {
		case d := <-rest:
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

// urgentReports brings the wish to tell new demand at once, never while the controller is
// asked in place of a relay.
func (g *Gateway) urgentReports() <-chan struct{} {
	upstreams := g.upstreams()
	if len(upstreams) > 0 && inPlaceOfRelay(upstreams, g.mesh.firstAnswering(g.Now(), upstreams)) {
		return nil
	}
	return g.reportNow
}

// pull asks the best host that answers, and returns how long to rest. A report goes out
// once: one whose answer is lost may have been counted, and a second copy would count its
// arrivals twice.
func (g *Gateway) pull(ctx context.Context, urgent bool) time.Duration {
	now := g.Now()
	upstreams := g.upstreams()
	if len(upstreams) == 0 {
		return reportPeriod
	}
	to := g.mesh.firstAnswering(now, upstreams)
	p := fleet.Pull{
		Demand:    g.demand(now, to, urgent),
		ListNext:  g.directory.Offset(),
		HostsNext: g.feed.hostsKnown(),
		Heard:     g.heard(now),
	}
	p.Source, p.Token, p.Version = g.news.known()
	if !g.settings.Orders.EndpointsCheckTokens {
		p.Below = g.sums.Heard(now)
	}
	crashesNext := g.addCrashes(now, to.Addr, &p)
	p.SignalsSum, p.Signals = g.signals.inQuestion(now)
	p.Accounts, p.Rising = g.accounts.report(now)
	p.Brief = inPlaceOfRelay(upstreams, to)
	err := g.ask(ctx, to, p, crashesNext)
	if err == nil {
		g.mesh.noteAnswer(to.Addr)
		if inPlaceOfRelay(upstreams, to) {
			return lastResortPause
		}
		return 0
	}
	if !takenIn(err) {
		g.accounts.unreported(p.Accounts)
	}
	if ctx.Err() != nil {
		return 0
	}
	g.metrics.count("pulls_failed", nil)
	if errors.Is(err, errNotKnown) || errors.Is(err, errStaleNews) {
		g.mesh.passOver(g.Now(), to.Addr)
	} else {
		g.mesh.noteSilent(g.Now(), to.Addr)
	}
	g.log.Info("no news from the host that was asked", "asked", to.Name, "error", err.Error())
	if errors.Is(err, errNotKnown) {
		return wait.Jitter(reportPeriod) // It has to read this host's entry first.
	}
	return wait.Jitter(reportPause)
}

// takenIn tells whether a question with this error was taken in all the same: the host that was
// asked has answered, and only what it tells is old. What such a question told of accounts
// must not be told again, or it adds up at each hop.
func takenIn(err error) bool { return errors.Is(err, errStaleNews) }

// inPlaceOfRelay tells whether a host that has a relay asks the controller itself. All hosts
// do where all relays are gone, and each question takes a third of a millisecond of the
// time in which the controller decides.
func inPlaceOfRelay(upstreams []relay.Member, to relay.Member) bool {
	return len(upstreams) > 1 && to == upstreams[len(upstreams)-1]
}

// ask asks another host. Its answer confirms the crashes before the number crashesNext.
func (g *Gateway) ask(ctx context.Context, to relay.Member, p fleet.Pull, crashesNext int64) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := g.mesh.send(ctx, to.Addr, peer.Request{Pull: &p})
	if err != nil {
		return err
	}
	now := g.Now()
	if answer.Claim == nil {
		return errNotKnown
	}
	if answer.Claim.Token > g.election.Newest().Token {
		g.election.Observe(now, *answer.Claim)
		g.mesh.setClaimsNext(answer.Claim.Token) // It stands at the end of the topic.
		g.children.wake()
	}
	g.compareConfig(to.Addr, answer.ConfigVersion)
	if answer.Notice == nil {
		return nil // A newer question of this host is answered in its place.
	}
	g.crashesTold.answered(to.Addr, answer.Notice.Source, crashesNext)
	g.takeAnsweredBlocks(now, *answer.Notice)
	g.takeSignals(now, answer.Notice.Signals)
	g.signals.answered(answer.Notice.SignalsSum)
	if g.accounts.hear(now, now.Add(-milliseconds(answer.Notice.HeardAgo)), answer.Notice.Accounts) {
		g.children.wake()
	}
	if len(answer.Notice.Hosts) > 0 {
		g.takeHosts(fleet.Batch{Entries: answer.Notice.Hosts, Next: answer.Notice.HostsNext})
	}
	g.takeNotice(now, *answer.Notice)
	if !answer.Controlling && milliseconds(answer.Notice.HeardAgo) > maxNewsAge {
		return errStaleNews
	}
	g.news.note(now)
	return nil
}

// demand is what this host tells another of its own needs and of those behind it.
func (g *Gateway) demand(now time.Time, to relay.Member, urgent bool) fleet.DemandReport {
	if g.news.toldLately(now, to.Addr) && !urgent {
		return fleet.DemandReport{
			Host:          g.self.Host,
			Incarnation:   g.self.Incarnation,
			Seq:           g.reports.Add(1),
			ConfigVersion: g.configVersion(),
			Addr:          g.self.Addr,
			Same:          true,
		}
	}
	return g.sums.Sum(now, g.report(now))
}

// upstreams are the hosts that this one asks, best first.
func (g *Gateway) upstreams() []relay.Member {
	claim := g.election.Newest()
	controller := relay.Member{Name: claim.Holder.Host, Addr: claim.Holder.Addr}
	if claim.Token == 0 || claim.Holder.Released || claim.Holder.Addr == "" {
		controller = relay.Member{}
	}
	return g.mesh.upstreams(controller)
}

// heard is this host's last sign of life of the controller.
func (g *Gateway) heard(now time.Time) fleet.Heard {
	token := g.election.Newest().Token
	return fleet.Heard{
		Host:     g.self.Host,
		Token:    token,
		Stamp:    g.stampOf(token),
		StoreAge: min(g.listAge(now), time.Hour).Milliseconds(),
	}
}

// report is the demand of this host's own requests.
func (g *Gateway) report(now time.Time) fleet.DemandReport {
	report := fleet.DemandReport{
		Host:          g.self.Host,
		Incarnation:   g.self.Incarnation,
		Seq:           g.reports.Add(1),
		ConfigVersion: g.configVersion(),
		Addr:          g.self.Addr,
		Unreachable:   g.health.AllUnreachable(now),
		Pausing:       g.health.Signals.Pausing(now),
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
	return report
}
