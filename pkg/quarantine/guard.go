// Package quarantine detects requests that crash the endpoints which run them (queries of death)
// and keeps them away from further endpoints.
//
// A client resends such a request at any host and under new attempt IDs, and each crash interrupts
// a whole batch of other requests. A few such requests a second keep all replicas of a busy model
// down. Each host observes only some of the crashes, and other requests were running at each of
// them.
//
// A request that was running at several crashes becomes suspect and is put on trial: one copy at a
// time runs over all hosts, as granted by the controller. The request is cleared when an endpoint
// survives a copy, and blocked when enough crashes are attributed to it.
package quarantine

import (
	"context"
	"log/slog"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Config holds the dependencies of a Guard.
type Config struct {
	// Host is the incarnation of this host, as other hosts know it.
	Host string
	// Terminated reports whether this incarnation of the endpoint has terminated. An error
	// means that this is unknown.
	Terminated func(ctx context.Context, e fleet.Endpoint) (bool, error)
	// ShutdownAnnounced reports whether the endpoint has announced its shutdown.
	ShutdownAnnounced func(id fleet.EndpointID) bool
	// OnCrash is called with new crashes detected by this host, all at one endpoint.
	OnCrash func([]fleet.CrashReport)
	// OnTrialChange is called when this host has advanced a trial and other hosts must be notified.
	OnTrialChange func()
	Now           func() time.Time
	Log           *slog.Logger
}

// Guard keeps requests that crash endpoints away from them, on one host. It implements serve.Guard.
type Guard struct {
	CrashLog  *CrashLog
	Blocklist *Blocklist
	cfg       Config
	checker   *checker
	probes    *probes
	responses *recentResponses
	begun     *begunParts
	// decidesForAllSince is since when this host decides for all hosts, decidedForAllAt when it last did. They
	// are used by a single goroutine.
	decidesForAllSince, decidedForAllAt time.Time
}

// NewGuard returns a guard that blocks nothing.
func NewGuard(cfg Config) *Guard {
	g := &Guard{CrashLog: NewCrashLog(), Blocklist: NewBlocklist(), cfg: cfg, probes: newProbes(), responses: newRecentResponses(), begun: newBegunParts()}
	g.checker = newChecker(cfg, g.addDetected)
	return g
}

// RecordBroken implements serve.Guard.
func (g *Guard) RecordBroken(e fleet.Endpoint, f fleet.Fingerprint, id fleet.CopyID, suspected bool) {
	g.checker.RecordBroken(e, f, id, suspected)
}

// RecordUnbegun implements serve.Guard.
func (g *Guard) RecordUnbegun(e fleet.Endpoint, p fleet.Prompt) { g.checker.RecordUnbegun(e, p) }

// RecordUnreachable implements serve.Guard.
func (g *Guard) RecordUnreachable(e fleet.Endpoint) { g.checker.RecordUnreachable(e) }

// RecordServed implements serve.Guard.
func (g *Guard) RecordServed(e fleet.Endpoint, f fleet.Fingerprint, sentAt time.Time) {
	now := g.cfg.Now()
	for _, harmless := range g.checker.runs.RecordServed(now, e.ID, f) {
		g.CrashLog.Clear(harmless)
	}
	g.responses.add(now, f.Content, response{endpoint: e, sentAt: sentAt, completedAt: now})
}

// Suspected implements serve.Guard.
func (g *Guard) Suspected(f fleet.Fingerprint) bool { return g.Blocklist.Suspected(f) }

// Blocked implements serve.Guard.
func (g *Guard) Blocked(f fleet.Fingerprint) bool { return g.Blocklist.Blocked(f) }

// addDetected records crashes that this host has detected itself.
func (g *Guard) addDetected(crashes []fleet.CrashReport) {
	if g.CrashLog.Add(g.cfg.Now(), crashes) {
		g.cfg.OnCrash(crashes)
	}
}

// Merge merges blocks and trials received from other hosts and returns those that are new.
func (g *Guard) Merge(now time.Time, blocks []fleet.Block) []fleet.Block {
	added := g.Blocklist.Add(now, blocks)
	for _, b := range added {
		switch {
		case b.Suspect:
			g.applyTrial(b.Request.Content)
		case b.PromptPart > 0:
			g.CrashLog.RecordBlockedPart(now, b.Request.Content)
		}
	}
	return added
}

// applyTrial applies a new stage of a trial to the crash log.
func (g *Guard) applyTrial(content uint64) {
	t, ok := g.Blocklist.trialOf(content)
	switch {
	case !ok || !t.cleared():
	case t.part > 0:
		g.CrashLog.RecordBegun(content, t.begunAt)
	default:
		g.CrashLog.ClearContent(content)
	}
}

// Decide blocks the requests that cause crashes and starts trials of suspect ones. It reports
// whether there are any new blocks or trials.
func (g *Guard) Decide(now time.Time) bool { return g.apply(now, g.CrashLog.Decide(now)) }

// apply applies verdicts and reports whether there are any new blocks or trials.
func (g *Guard) apply(now time.Time, verdicts []Verdict) bool {
	changed := false
	for _, v := range verdicts {
		if v.PromptPart > 0 {
			changed = g.applyPart(now, v) || changed
			continue
		}
		if v.Suspect {
			changed = g.startTrial(now, v) || changed
			continue
		}
		if g.Blocklist.Has(v.Request) {
			continue
		}
		changed = true
		g.Blocklist.Add(now, []fleet.Block{{Request: v.Request, Since: now.Unix()}})
		g.log("request is blocked: endpoints crashed while running it", v)
	}
	return changed
}

// startTrial starts a trial of a suspect request, or a new round if an earlier trial has cleared
// it.
func (g *Guard) startTrial(now time.Time, v Verdict) bool {
	content := v.Request.Content
	t, known := g.Blocklist.trialOf(content)
	if known && !t.cleared() {
		return false
	}
	b := fleet.Block{Request: v.Request, Since: now.Unix(), Suspect: true}
	if known {
		b.Trial = t.nextRound()
	}
	b.Trial.LastCrashAgo = now.Sub(v.LastCrash).Milliseconds()
	if len(g.Merge(now, []fleet.Block{b})) == 0 {
		return false
	}
	g.log("request is suspect and on trial: endpoints crashed while running it", v)
	return true
}

func (g *Guard) log(msg string, v Verdict) {
	g.cfg.Log.Warn(msg, "content", fleet.Hex(v.Request.Content), "caller", fleet.Hex(v.Request.Caller), "endpoints", v.Endpoints)
}

// CrashesToPersist returns the crashes to persist, by content: those of contents that ran at enough
// crashes which no other content explains, and of contents whose trial has been open for long.
func (g *Guard) CrashesToPersist(now time.Time, minCrashes int, openFor time.Duration) map[uint64][]fleet.CrashReport {
	return g.CrashLog.Attributed(now, func(content uint64, crashes int) bool {
		t, ok := g.Blocklist.trialOf(content)
		return crashes >= minCrashes || ok && !t.cleared() && now.Sub(t.lastCrashAt) >= openFor
	})
}

// Prune removes expired state.
func (g *Guard) Prune(now time.Time) {
	g.checker.runs.Prune(now)
	g.CrashLog.Expire(now)
	g.Blocklist.Expire(now)
}
