package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/tealvane/tealvane/pkg/allowance"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
)

const (
	// usesPeriod is the pause between two reports of what accounts ask, and levelPeriod that
	// between two looks of the controller at them. A jump is told at once, risePause after the
	// last one at the earliest.
	usesPeriod  = 200 * time.Millisecond
	levelPeriod = 100 * time.Millisecond
	risePause   = 40 * time.Millisecond
)

// accounts keeps client accounts within what they may ask of all hosts. It implements
// serve.Allowances and is safe for concurrent use.
type accounts struct {
	local *allowance.Local
	now   func() time.Time
	// want asks for a report at once.
	want func()
	// versions counts what this host was told.
	versions atomic.Int64

	mu     sync.Mutex
	sums   *allowance.Sums
	levels *allowance.Levels
	// reported and leveled are when this host last told what it sees, and last decided.
	reported, leveled time.Time
	// near holds the accounts of which the log was told; only levelAccounts uses it.
	near map[string]bool
	// rising is set until a jump was told, risen is when one was told last.
	rising bool
	risen  time.Time
}

// newAccounts returns accounts without use.
func newAccounts(t allowance.Tolerance, want func(), now func() time.Time) *accounts {
	a := &accounts{now: now, want: want, sums: allowance.NewSums(), levels: allowance.NewLevels(t)}
	a.local = allowance.NewLocal(a.rise)
	return a
}

// Allow implements serve.Allowances.
func (a *accounts) Allow(r *serve.Request) (ok bool, after time.Duration) {
	return a.local.Allow(a.now(), r.Account, r.Allowance, r.Cost)
}

// Refund implements serve.Allowances.
func (a *accounts) Refund(r *serve.Request) { a.local.Refund(a.now(), r.Account, r.Cost) }

// rise lets the jump of an account's rate be told at once.
func (a *accounts) rise() {
	a.mu.Lock()
	now := a.now()
	due := !a.rising && now.Sub(a.risen) >= risePause
	a.rising = a.rising || due
	a.mu.Unlock()
	if due {
		a.want()
	}
}

// report returns what is asked of this host and of those that ask it, nil if that was told
// a moment ago, and whether there is a jump.
func (a *accounts) report(now time.Time) (uses []fleet.AccountUse, rising bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.rising && now.Sub(a.reported) < usesPeriod {
		return nil, false
	}
	rising = a.rising
	if rising {
		a.risen = now
	}
	a.rising, a.reported = false, now
	return a.sums.Sum(now, a.local.Uses(now), allowance.RelayLife), rising
}

// unreported takes back a report that may not have been taken in. If it was, what was let
// through counts twice, which is on the safe side.
func (a *accounts) unreported(uses []fleet.AccountUse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sums.AddLet(uses)
}

// take takes in what another host tells.
func (a *accounts) take(now time.Time, p fleet.Pull) {
	a.mu.Lock()
	defer a.mu.Unlock()
	life := allowance.ControllerLife
	if p.Brief {
		life = allowance.RelayLife
	}
	a.sums.Take(now, p.Demand.Host, p.Accounts, life)
}

// hear takes in which accounts are near their limits and tells whether that is news.
func (a *accounts) hear(now, asOf time.Time, levels fleet.AccountLevels) bool {
	if !a.local.Hear(now, asOf, levels) {
		return false
	}
	a.versions.Add(1)
	return true
}

// version counts what this host was told.
func (a *accounts) version() int64 { return a.versions.Load() }

// decide decides which accounts are near their limits. It tells whether all have to hear of it.
func (a *accounts) decide(now time.Time, token int64, c *fleet.Config) bool {
	a.mu.Lock()
	if !a.rising && now.Sub(a.leveled) < levelPeriod {
		a.mu.Unlock()
		return false
	}
	a.rising, a.leveled = false, now
	levels := a.levels.Decide(now, token, c.Accounts.All(), a.sums.Sum(now, a.local.Uses(now), allowance.ControllerLife))
	a.mu.Unlock()
	return a.hear(now, now, levels)
}

// takeAccounts takes in what the question of another host tells of accounts.
func (g *Gateway) takeAccounts(now time.Time, p fleet.Pull) {
	if p.Accounts == nil {
		return
	}
	g.accounts.take(now, p)
	if p.Rising {
		g.accounts.rise()
	}
}

// levelAccounts decides which accounts are near their limits, where this host is the controller.
func (g *Gateway) levelAccounts(now time.Time) {
	g.accounts.local.SetHosts(g.mesh.hosts())
	token, c := g.election.Held(), g.config.Load()
	if token == 0 || c == nil || c.Accounts == nil {
		return
	}
	if g.accounts.decide(now, token, c) {
		g.children.wake()
		g.logNear()
	}
}

// logNear writes a line for each account that comes near its limit, or is no longer.
func (g *Gateway) logNear() {
	near := map[string]bool{}
	for _, l := range g.accounts.local.Told().Levels {
		near[l.Account] = true
		if !g.accounts.near[l.Account] {
			g.log.Info("account is near its allowance: each host keeps to its part", "account", l.Account)
		}
	}
	for name := range g.accounts.near {
		if !near[name] {
			g.log.Info("account is far from its allowance again", "account", name)
		}
	}
	g.accounts.near = near
}
