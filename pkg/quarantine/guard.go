package quarantine

import (
	"context"
	"log/slog"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Config is what a guard needs of its host.
type Config struct {
	// Host is the incarnation of the host, as other hosts know it.
	Host string
	// Ended tells whether an incarnation of an endpoint has ended; an error says that this
	// is not known.
	Ended func(ctx context.Context, e fleet.Endpoint) (bool, error)
	// Announced tells whether an endpoint has said that it leaves.
	Announced func(id fleet.EndpointID) bool
	// Crashed is told of crashes at one endpoint that were found here.
	Crashed func([]fleet.Crash)
	// Moved is told that a trial has moved on at this host, which the others have to hear.
	Moved func()
	Now   func() time.Time
	Log   *slog.Logger
}

// Guard keeps requests that crash endpoints from them, at one host. It implements
// serve.Guard.
type Guard struct {
	Ledger  *Ledger
	Blocks  *Blocks
	cfg     Config
	checker *checker
	probes  *probes
	lately  *lately
}

// NewGuard returns a guard that blocks nothing.
func NewGuard(cfg Config) *Guard {
	g := &Guard{Ledger: NewLedger(), Blocks: NewBlocks(), cfg: cfg, probes: newProbes(), lately: newLately()}
	g.checker = newChecker(cfg, g.found)
	return g
}

// Broke implements serve.Guard.
func (g *Guard) Broke(e fleet.Endpoint, f fleet.Fingerprint, id fleet.CopyID, suspected bool) {
	g.checker.Broke(e, f, id, suspected)
}

// Refused implements serve.Guard.
func (g *Guard) Refused(e fleet.Endpoint) { g.checker.Refused(e) }

// Served implements serve.Guard.
func (g *Guard) Served(e fleet.Endpoint, f fleet.Fingerprint, began time.Time) {
	now := g.cfg.Now()
	for _, harmless := range g.checker.runs.Served(now, e.ID, f) {
		g.Ledger.Clear(harmless)
	}
	g.lately.note(now, f.Content, answered{endpoint: e, began: began, at: now})
}

// Suspected implements serve.Guard.
func (g *Guard) Suspected(f fleet.Fingerprint) bool { return g.Blocks.Suspected(f) }

// Blocked implements serve.Guard.
func (g *Guard) Blocked(f fleet.Fingerprint) bool { return g.Blocks.Blocked(f) }

// found takes in crashes that this host has seen itself.
func (g *Guard) found(crashes []fleet.Crash) {
	if g.Ledger.Add(g.cfg.Now(), crashes) {
		g.cfg.Crashed(crashes)
	}
}

// Take takes in blocks and trials that other hosts tell, and returns those that are new.
func (g *Guard) Take(now time.Time, blocks []fleet.Block) []fleet.Block {
	added := g.Blocks.Add(now, blocks)
	for _, b := range added {
		if b.Suspect {
			g.moved(b.Request.Content)
		}
	}
	return added
}

// moved does what a new stage of a trial asks of this host.
func (g *Guard) moved(content uint64) {
	if t, ok := g.Blocks.trialOf(content); ok && t.cleared() {
		g.Ledger.ClearContent(content)
	}
}

// Decide blocks the requests that are to blame for the ends of endpoints, and puts suspects on
// trial. It tells whether there are any new ones.
func (g *Guard) Decide(now time.Time) bool {
	news := false
	for _, v := range g.Ledger.Decide(now) {
		if v.Suspect {
			news = g.putOnTrial(now, v) || news
			continue
		}
		if g.Blocks.Has(v.Request) {
			continue
		}
		news = true
		g.Blocks.Add(now, []fleet.Block{{Request: v.Request, Since: now.Unix()}})
		g.log("request is blocked: endpoints have ended under it", v)
	}
	return news
}

// putOnTrial begins the trial of a suspect, anew if it was cleared of earlier ends.
func (g *Guard) putOnTrial(now time.Time, v Verdict) bool {
	content := v.Request.Content
	t, known := g.Blocks.trialOf(content)
	if known && !t.cleared() {
		return false
	}
	b := fleet.Block{Request: v.Request, Since: now.Unix(), Suspect: true}
	if known {
		b.Trial = t.next()
	}
	b.Trial.EndedAgo = now.Sub(v.Ended).Milliseconds()
	if len(g.Take(now, []fleet.Block{b})) == 0 {
		return false
	}
	g.log("request is suspect: endpoints have ended under it", v)
	return true
}

func (g *Guard) log(msg string, v Verdict) {
	g.cfg.Log.Warn(msg, "content", fleet.Hex(v.Request.Content), "caller", fleet.Hex(v.Request.Caller), "endpoints", v.Endpoints)
}

// Unexplained returns what the store has to keep of the ends that nothing else explains, by
// content: those under which so many endpoints have ended, and what has been on trial for long.
func (g *Guard) Unexplained(now time.Time, least int, long time.Duration) map[uint64][]fleet.Crash {
	return g.Ledger.Unexplained(now, func(content uint64, ends int) bool {
		t, ok := g.Blocks.trialOf(content)
		return ends >= least || ok && !t.cleared() && now.Sub(t.ended) >= long
	})
}

// Prune forgets what is old.
func (g *Guard) Prune(now time.Time) {
	g.checker.runs.Prune(now)
	g.Ledger.Expire(now)
	g.Blocks.Expire(now)
}
