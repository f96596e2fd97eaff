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
	// usageInterval is the minimum interval between two usage reports to the controller,
	// levelInterval that between two evaluations by the controller. A rise in an account's rate
	// is reported at once, at most every minRiseInterval.
	usageInterval   = 200 * time.Millisecond
	levelInterval   = 100 * time.Millisecond
	minRiseInterval = 40 * time.Millisecond
)

// accounts enforces the rate limits of client accounts across all hosts. It implements
// serve.AccountLimiter and is safe for concurrent use.
type accounts struct {
	limiter *allowance.Limiter
	now     func() time.Time
	// requestReport triggers a demand report.
	requestReport func()
	// levelsVersion is incremented each time new account levels are applied.
	levelsVersion atomic.Int64

	mu         sync.Mutex
	aggregator *allowance.Aggregator
	levels     *allowance.Levels
	// usageReportedAt is when usage was last reported, levelsDecidedAt when levels were last
	// decided.
	usageReportedAt, levelsDecidedAt time.Time
	// logged holds the accounts last logged as near their limit; only updateAccountLevels uses
	// it.
	logged map[string]bool
	// pendingRise is set until a rise has been reported; riseReportedAt is when one was last
	// reported.
	pendingRise    bool
	riseReportedAt time.Time
}

func newAccounts(t allowance.Tolerance, requestReport func(), now func() time.Time) *accounts {
	a := &accounts{now: now, requestReport: requestReport, aggregator: allowance.NewAggregator(), levels: allowance.NewLevels(t)}
	a.limiter = allowance.NewLimiter(a.reportRise)
	return a
}

// Allow implements serve.AccountLimiter.
func (a *accounts) Allow(r *serve.Request) (ok bool, after time.Duration) {
	return a.limiter.Allow(a.now(), r.Account, r.Allowance, r.Cost)
}

// Refund implements serve.AccountLimiter.
func (a *accounts) Refund(r *serve.Request) { a.limiter.Refund(a.now(), r.Account, r.Cost) }

// reportRise triggers an immediate report of a rise in an account's rate.
func (a *accounts) reportRise() {
	a.mu.Lock()
	now := a.now()
	due := !a.pendingRise && now.Sub(a.riseReportedAt) >= minRiseInterval
	a.pendingRise = a.pendingRise || due
	a.mu.Unlock()
	if due {
		a.requestReport()
	}
}

// usageReport returns the usage of this host and its children, and whether it contains a rise.
// It returns nil if usage was reported less than usageInterval ago.
func (a *accounts) usageReport(now time.Time) (usage []fleet.AccountUsage, rising bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.pendingRise && now.Sub(a.usageReportedAt) < usageInterval {
		return nil, false
	}
	rising = a.pendingRise
	if rising {
		a.riseReportedAt = now
	}
	a.pendingRise, a.usageReportedAt = false, now
	return a.aggregator.Sum(now, a.limiter.Usage(now), allowance.RelayTTL), rising
}

// restoreUsage adds back the usage of a report that the upstream host may not have received. If
// it was received, that usage is counted twice, which only makes the limit stricter.
func (a *accounts) restoreUsage(usage []fleet.AccountUsage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aggregator.AddAdmitted(usage)
}

// mergeUsage records the usage reported by another host.
func (a *accounts) mergeUsage(now time.Time, p fleet.Pull) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ttl := allowance.ControllerTTL
	if p.ViaFallback {
		ttl = allowance.RelayTTL
	}
	a.aggregator.Add(now, p.Demand.Host, p.Accounts, ttl)
}

// applyLevels stores which accounts are near their limits and reports whether that is new.
func (a *accounts) applyLevels(now, asOf time.Time, levels fleet.AccountLevels) bool {
	if !a.limiter.ApplyLevels(now, asOf, levels) {
		return false
	}
	a.levelsVersion.Add(1)
	return true
}

// version returns the number of level changes applied so far.
func (a *accounts) version() int64 { return a.levelsVersion.Load() }

// decideLevels decides which accounts are near their limits and reports whether other hosts
// must be notified.
func (a *accounts) decideLevels(now time.Time, token int64, c *fleet.Config) bool {
	a.mu.Lock()
	if !a.pendingRise && now.Sub(a.levelsDecidedAt) < levelInterval {
		a.mu.Unlock()
		return false
	}
	a.pendingRise, a.levelsDecidedAt = false, now
	levels := a.levels.Decide(now, token, c.Accounts.All(), a.aggregator.Sum(now, a.limiter.Usage(now), allowance.ControllerTTL))
	a.mu.Unlock()
	return a.applyLevels(now, now, levels)
}

// mergeAccountUsage records the account usage in a pull from another host.
func (g *Gateway) mergeAccountUsage(now time.Time, p fleet.Pull) {
	if p.Accounts == nil {
		return
	}
	g.accounts.mergeUsage(now, p)
	if p.Rising {
		g.accounts.reportRise()
	}
}

// updateAccountLevels decides which accounts are near their limits if this host is the
// controller.
func (g *Gateway) updateAccountLevels(now time.Time) {
	g.accounts.limiter.SetHosts(g.sharingHosts())
	token, c := g.election.HeldToken(), g.config.Load()
	if token == 0 || c == nil || c.Accounts == nil {
		return
	}
	if g.accounts.decideLevels(now, token, c) {
		g.children.wake()
		g.logAccountLevels()
	}
}

// logAccountLevels logs each account that has come near its limit or has moved away from it.
func (g *Gateway) logAccountLevels() {
	near := map[string]bool{}
	for _, l := range g.accounts.limiter.Levels().Levels {
		near[l.Account] = true
		if !g.accounts.logged[l.Account] {
			g.log.Info("account is near its allowance; each host enforces its share", "account", l.Account)
		}
	}
	for name := range g.accounts.logged {
		if !near[name] {
			g.log.Info("account is no longer near its allowance", "account", name)
		}
	}
	g.accounts.logged = near
}
