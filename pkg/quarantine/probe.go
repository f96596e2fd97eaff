package quarantine

import (
	"context"
	"hash/fnv"
	"io"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
)

const (
	// grantTimeout is how long a copy that has a slot at an endpoint waits for its grant.
	grantTimeout = 1500 * time.Millisecond
	// crashDetectionDelay is how long it takes to detect and report a crash after a run breaks off.
	// A grant is kept for that time, so that the next copy waits for the verdict.
	crashDetectionDelay = time.Second
	// unusedGrantTimeout is how long a host keeps a grant for which it has no copy any more.
	unusedGrantTimeout = 200 * time.Millisecond
)

// probes holds the probe of each suspect content at this host. It is safe for concurrent use.
type probes struct {
	mu        sync.Mutex
	byContent map[uint64]*probe
}

func newProbes() *probes { return &probes{byContent: map[uint64]*probe{}} }

// start returns a new probe of the content, or nil if there is one already.
func (p *probes) start(g *Guard, f fleet.Fingerprint) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byContent[f.Content] != nil {
		return nil
	}
	x := &probe{guard: g, request: f}
	p.byContent[f.Content] = x
	return x
}

func (p *probes) remove(content uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byContent, content)
}

// has reports whether there is a probe of the content.
func (p *probes) has(content uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byContent[content] != nil
}

// Enter implements serve.Guard.
func (g *Guard) Enter(ctx context.Context, f fleet.Fingerprint, deadline time.Time) (serve.Probe, bool) {
	for {
		changes := g.Blocklist.Changes()
		if !g.Suspected(f) || g.Blocked(f) {
			return nil, true
		}
		if p := g.probes.start(g, f); p != nil {
			return p, true
		}
		if !g.waitForChange(ctx, changes, deadline) {
			return nil, false
		}
	}
}

// waitForChange blocks until changes is closed and reports whether that was before the deadline.
func (g *Guard) waitForChange(ctx context.Context, changes <-chan struct{}, deadline time.Time) bool {
	return !wait.ForOrWake(ctx, deadline.Sub(g.cfg.Now()), changes) && ctx.Err() == nil
}

// probe is the one copy of a suspect that may run at this host. It implements serve.Probe.
type probe struct {
	guard   *Guard
	request fleet.Fingerprint
	// grant is the trial as it was when this copy got its grant, zero without one.
	grant fleet.Trial
}

// Await implements serve.Probe.
func (p *probe) Await(ctx context.Context) bool {
	g := p.guard
	deadline := g.cfg.Now().Add(grantTimeout)
	for {
		changes := g.Blocklist.Changes()
		t, ok := g.Blocklist.trialOf(p.request.Content)
		switch {
		case g.Blocked(p.request):
			return false
		case !ok || t.cleared():
			return true
		case t.Stage == fleet.TrialGranted && t.Host == g.cfg.Host:
			p.grant = t.Trial
			return true
		case t.Stage == fleet.TrialWaiting:
			g.advanceTrial(p.request.Content, t.Trial, fleet.Trial{Round: t.Round, Stage: fleet.TrialRequested, Host: g.cfg.Host})
		}
		if !g.waitForChange(ctx, changes, deadline) {
			return false
		}
	}
}

// Done implements serve.Probe.
func (p *probe) Done(e fleet.Endpoint, outcome serve.ProbeOutcome) {
	if p.grant.Stage != fleet.TrialGranted || outcome == serve.ProbeNotRun {
		p.finish()
		return
	}
	go func() {
		defer p.finish()
		if outcome == serve.ProbeServed && p.guard.staysAlive(e) {
			p.guard.clearTrial(p.request.Content)
			return
		}
		wait.For(context.Background(), crashDetectionDelay)
	}()
}

// finish removes the probe and releases its grant, so that another copy can run.
func (p *probe) finish() {
	content := p.request.Content
	p.guard.probes.remove(content)
	p.guard.releaseGrant(content)
	p.guard.Blocklist.Notify()
}

// advanceTrial advances the trial if it is still in the stage from.
func (g *Guard) advanceTrial(content uint64, from, to fleet.Trial) {
	if !g.Blocklist.advanceTrial(g.cfg.Now(), content, from, to) {
		return
	}
	g.cfg.Log.Info("trial of a suspect request changed stage", "content", fleet.Hex(content), "round", to.Round, "stage", to.Stage.String(), "host", to.Host)
	g.applyTrial(content)
	g.cfg.OnTrialChange()
}

// releaseGrant releases the grant that this host has or has asked for.
func (g *Guard) releaseGrant(content uint64) {
	t, ok := g.Blocklist.trialOf(content)
	if ok && !t.cleared() && t.Host == g.cfg.Host && t.Stage != fleet.TrialWaiting {
		g.advanceTrial(content, t.Trial, t.nextRound())
	}
}

// clearTrial ends the trial after an endpoint has survived a copy.
func (g *Guard) clearTrial(content uint64) {
	for {
		t, ok := g.Blocklist.trialOf(content)
		if !ok || t.cleared() {
			return
		}
		g.advanceTrial(content, t.Trial, fleet.Trial{Round: t.Round, Stage: fleet.TrialCleared, Host: t.Host})
	}
}

// staysAlive reports whether the endpoint is still alive some time after a response, since a crash
// may show only after the response.
func (g *Guard) staysAlive(e fleet.Endpoint) bool {
	wait.For(context.Background(), servedWindow)
	return g.isAlive(e)
}

// isAlive reports whether the endpoint is known to be alive.
func (g *Guard) isAlive(e fleet.Endpoint) bool {
	terminated, err := g.checker.checkOnce(context.Background(), e)
	return err == nil && !terminated
}

// Grant grants one copy in each trial whose last crash has been evaluated, and revokes expired
// grants. It is called by the controller, which receives all crash reports.
func (g *Guard) Grant(now time.Time) {
	for content, t := range g.Blocklist.openTrials() {
		switch {
		case t.Stage == fleet.TrialRequested && now.Sub(g.CrashLog.LastReportedAt(content)) >= tieDelay:
			g.advanceTrial(content, t.Trial, fleet.Trial{Round: t.Round, Stage: fleet.TrialGranted, Host: t.Host})
		case t.Stage == fleet.TrialGranted && now.Sub(t.changedAt) > grantTTL:
			g.advanceTrial(content, t.Trial, t.nextRound())
		}
	}
}

// GrantLocally grants this host the copies that it asks for, each at a time derived from host,
// content and round within span after the last crash. It is called while the host is isolated.
// Other hosts may be isolated too, and read the result of this host's copy from the store before
// they run theirs.
func (g *Guard) GrantLocally(now time.Time, span time.Duration) {
	for content, t := range g.Blocklist.openTrials() {
		expired := now.Sub(t.changedAt) > grantTTL
		switch {
		case t.Host != g.cfg.Host && t.Stage != fleet.TrialWaiting && expired:
			g.advanceTrial(content, t.Trial, t.nextRound())
		case t.Host != g.cfg.Host || t.Stage != fleet.TrialRequested:
		case now.Sub(t.lastCrashAt) >= g.spreadDelay(t.Trial, content, span) && now.Sub(g.CrashLog.LastReportedAt(content)) >= tieDelay:
			g.advanceTrial(content, t.Trial, fleet.Trial{Round: t.Round, Stage: fleet.TrialGranted, Host: t.Host})
		}
	}
}

// spreadDelay returns a delay by which hosts and rounds are spread evenly over span.
func (g *Guard) spreadDelay(t fleet.Trial, content uint64, span time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = io.WriteString(h, g.cfg.Host+strconv.FormatUint(content, 16)+strconv.FormatInt(t.Round, 16)) // A hash never returns an error.
	return time.Duration(float64(span) * float64(h.Sum32()) / math.MaxUint32)
}

// UpdateTrials clears the suspects that this host has served, and releases unused grants.
func (g *Guard) UpdateTrials(now time.Time) {
	for content, t := range g.Blocklist.openTrials() {
		if t.part > 0 {
			g.answerIfSound(now, content, t)
			continue
		}
		g.clearIfServed(now, content, t)
		if t.Host == g.cfg.Host && now.Sub(t.changedAt) >= unusedGrantTimeout && !g.probes.has(content) {
			g.releaseGrant(content)
		}
	}
}
