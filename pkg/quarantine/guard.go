package quarantine

import (
	"context"
	"log/slog"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Config is what a guard needs of its host.
type Config struct {
	// Ended tells whether an incarnation of an endpoint has ended; an error says that this
	// is not known.
	Ended func(ctx context.Context, e fleet.Endpoint) (bool, error)
	// Announced tells whether an endpoint has said that it leaves.
	Announced func(id fleet.EndpointID) bool
	// Crashed is told of crashes at one endpoint that were found here.
	Crashed func([]fleet.Crash)
	Now     func() time.Time
	Log     *slog.Logger
}

// Guard keeps requests that crash endpoints from them, at one host. It implements
// serve.Guard.
type Guard struct {
	Ledger  *Ledger
	Blocks  *Blocks
	cfg     Config
	checker *checker
}

// NewGuard returns a guard that blocks nothing.
func NewGuard(cfg Config) *Guard {
	g := &Guard{Ledger: NewLedger(), Blocks: NewBlocks(), cfg: cfg}
	g.checker = newChecker(cfg, g.found)
	return g
}

// Broke implements serve.Guard.
func (g *Guard) Broke(e fleet.Endpoint, f fleet.Fingerprint, suspected bool) {
	g.checker.Broke(e, f, suspected)
}

// Refused implements serve.Guard.
func (g *Guard) Refused(e fleet.Endpoint) { g.checker.Refused(e) }

// Served implements serve.Guard.
func (g *Guard) Served(e fleet.Endpoint, f fleet.Fingerprint) {
	for _, harmless := range g.checker.runs.Served(g.cfg.Now(), e.ID, f) {
		g.Ledger.Clear(harmless)
	}
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

// Decide blocks the requests that are to blame for the ends of endpoints, and names suspects.
// It tells whether there are any new ones.
func (g *Guard) Decide(now time.Time) bool {
	blocked := false
	for _, v := range g.Ledger.Decide(now) {
		if g.Blocks.Has(v.Request, v.Suspect) {
			continue
		}
		blocked = true
		g.Blocks.Add(now, []fleet.Block{{Request: v.Request, Since: now.Unix(), Suspect: v.Suspect}})
		msg := "request is blocked: endpoints have ended under it"
		if v.Suspect {
			msg = "request is suspect: endpoints have ended under it"
		}
		g.cfg.Log.Warn(msg, "content", fleet.Hex(v.Request.Content), "caller", fleet.Hex(v.Request.Caller), "endpoints", v.Endpoints)
	}
	return blocked
}

// Prune forgets what is old.
func (g *Guard) Prune(now time.Time) {
	g.checker.runs.Prune(now)
	g.Ledger.Expire(now)
	g.Blocks.Expire(now)
}
