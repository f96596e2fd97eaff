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
	// turnTime is how long a copy waits for its turn with a place at an endpoint, some
	// times as long as a question to the controller and its answer take.
	turnTime = 1500 * time.Millisecond
	// endShows is how long after a copy broke off the end of its endpoint has been seen here,
	// and told: the turn is not given back before, so that the next one waits for the verdict.
	endShows = time.Second
	// unusedTurn is how long a host keeps a turn for which it has no copy any more.
	unusedTurn = 200 * time.Millisecond
)

// probes are the suspects of which a copy has gone ahead of the others at this host. It is
// safe for concurrent use.
type probes struct {
	mu        sync.Mutex
	byContent map[uint64]*probe
}

func newProbes() *probes { return &probes{byContent: map[uint64]*probe{}} }

// begin returns a probe of a content unless there is one.
func (p *probes) begin(g *Guard, f fleet.Fingerprint) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byContent[f.Content] != nil {
		return nil
	}
	x := &probe{guard: g, request: f}
	p.byContent[f.Content] = x
	return x
}

func (p *probes) end(content uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byContent, content)
}

// has tells whether there is a probe of a content.
func (p *probes) has(content uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byContent[content] != nil
}

// Enter implements serve.Guard.
func (g *Guard) Enter(ctx context.Context, f fleet.Fingerprint, until time.Time) (serve.Probe, bool) {
	for {
		changes := g.Blocks.Changes()
		if !g.Suspected(f) || g.Blocked(f) {
			return nil, true
		}
		if p := g.probes.begin(g, f); p != nil {
			return p, true
		}
		if !g.await(ctx, changes, until) {
			return nil, false
		}
	}
}

// await waits for a change and tells whether one came in time.
func (g *Guard) await(ctx context.Context, changes <-chan struct{}, until time.Time) bool {
	return !wait.Or(ctx, until.Sub(g.cfg.Now()), changes) && ctx.Err() == nil
}

// probe is the copy of a suspect that goes ahead at this host. It implements serve.Probe.
type probe struct {
	guard   *Guard
	request fleet.Fingerprint
	// turn is the trial as it was when this copy got its turn.
	turn fleet.Trial
}

// Await implements serve.Probe.
func (p *probe) Await(ctx context.Context) bool {
	g := p.guard
	until := g.cfg.Now().Add(turnTime)
	for {
		changes := g.Blocks.Changes()
		t, ok := g.Blocks.trialOf(p.request.Content)
		switch {
		case g.Blocked(p.request):
			return false
		case !ok || t.cleared():
			return true
		case t.Stage == fleet.TrialGranted && t.Host == g.cfg.Host:
			p.turn = t.Trial
			return true
		case t.Stage == fleet.TrialHeld:
			g.move(p.request.Content, t.Trial, fleet.Trial{Round: t.Round, Stage: fleet.TrialAsked, Host: g.cfg.Host})
		}
		if !g.await(ctx, changes, until) {
			return false
		}
	}
}

// Done implements serve.Probe.
func (p *probe) Done(e fleet.Endpoint, outcome serve.ProbeOutcome) {
	if p.turn.Stage != fleet.TrialGranted || outcome == serve.ProbeNotRun {
		p.over()
		return
	}
	go func() {
		defer p.over()
		if outcome == serve.ProbeServed && p.guard.survives(e) {
			p.guard.clear(p.request.Content)
			return
		}
		wait.For(context.Background(), endShows)
	}()
}

// over lets the next copy go ahead, at this host or another one.
func (p *probe) over() {
	content := p.request.Content
	p.guard.probes.end(content)
	p.guard.yield(content)
	p.guard.Blocks.Wake()
}

// move moves a trial on if it is still as it was.
func (g *Guard) move(content uint64, from, to fleet.Trial) {
	if !g.Blocks.move(g.cfg.Now(), content, from, to) {
		return
	}
	g.cfg.Log.Info("trial of a suspect request", "content", fleet.Hex(content), "round", to.Round, "stage", to.Stage.String(), "host", to.Host)
	g.moved(content)
	g.cfg.Moved()
}

// yield gives up the turn that this host has or asks for.
func (g *Guard) yield(content uint64) {
	t, ok := g.Blocks.trialOf(content)
	if ok && !t.cleared() && t.Host == g.cfg.Host && t.Stage != fleet.TrialHeld {
		g.move(content, t.Trial, t.next())
	}
}

// clear ends a trial: a copy was answered, and its endpoint lives on.
func (g *Guard) clear(content uint64) {
	for {
		t, ok := g.Blocks.trialOf(content)
		if !ok || t.cleared() {
			return
		}
		g.move(content, t.Trial, fleet.Trial{Round: t.Round, Stage: fleet.TrialCleared, Host: t.Host})
	}
}

// survives tells whether an endpoint lives on a while after an answer: the answer may be
// shorter than the harm takes.
func (g *Guard) survives(e fleet.Endpoint) bool {
	wait.For(context.Background(), servedFor)
	return g.lives(e)
}

// lives tells whether an endpoint is certain to be alive.
func (g *Guard) lives(e fleet.Endpoint) bool {
	ended, err := g.checker.askOnce(context.Background(), e)
	return err == nil && !ended
}

// Grant gives the turns of all trials. The controller does so, which hears of all ends: no copy
// runs before the last one's end has been judged.
func (g *Guard) Grant(now time.Time) {
	for content, t := range g.Blocks.openTrials() {
		switch {
		case t.Stage == fleet.TrialAsked && now.Sub(g.Ledger.LastHeard(content)) >= tieTime:
			g.move(content, t.Trial, fleet.Trial{Round: t.Round, Stage: fleet.TrialGranted, Host: t.Host})
		case t.Stage == fleet.TrialGranted && now.Sub(t.moved) > grantLife:
			g.move(content, t.Trial, t.next())
		}
	}
}

// GrantOwn gives this host the turns that it asks for, at a time of its own within a span. A
// host that hears nobody does so: others may be cut off too, and learn from the store what
// becomes of its copy before they send theirs.
func (g *Guard) GrantOwn(now time.Time, span time.Duration) {
	for content, t := range g.Blocks.openTrials() {
		late := now.Sub(t.moved) > grantLife
		switch {
		case t.Host != g.cfg.Host && t.Stage != fleet.TrialHeld && late:
			g.move(content, t.Trial, t.next())
		case t.Host != g.cfg.Host || t.Stage != fleet.TrialAsked:
		case now.Sub(t.ended) >= g.ownTurn(t.Trial, content, span) && now.Sub(g.Ledger.LastHeard(content)) >= tieTime:
			g.move(content, t.Trial, fleet.Trial{Round: t.Round, Stage: fleet.TrialGranted, Host: t.Host})
		}
	}
}

// ownTurn is how long after the last end this host runs a copy on its own, spread evenly over
// a span by host and round.
func (g *Guard) ownTurn(t fleet.Trial, content uint64, span time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = io.WriteString(h, g.cfg.Host+strconv.FormatUint(content, 16)+strconv.FormatInt(t.Round, 16)) // A hash takes all bytes.
	return time.Duration(float64(span) * float64(h.Sum32()) / math.MaxUint32)
}

// Tend does what the trials ask of this host: it clears those of which it has served a copy,
// and gives back turns for which it has none any more.
func (g *Guard) Tend(now time.Time) {
	for content, t := range g.Blocks.openTrials() {
		g.clearServed(now, content, t)
		if t.Host == g.cfg.Host && now.Sub(t.moved) >= unusedTurn && !g.probes.has(content) {
			g.yield(content)
		}
	}
}
