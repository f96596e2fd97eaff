// Package allowance limits the rate of client accounts over all hosts together. It does no I/O and
// has no clock of its own.
//
// The callers of an account connect to a few hosts, unevenly, and at times send many times their
// usual rate. Equal shares per host would refuse most of what such an account may use. Therefore
// hosts report the usage they observe, and the controller publishes which accounts are near their
// limits (Levels). For each of these, a host admits a share in proportion to the usual rate there,
// less what was admitted in excess before. For all other accounts it admits somewhat more than the
// usual rate, enough until the controller learns of a sudden rise (Limiter).
package allowance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// fastTimeConstant and slowTimeConstant are the time constants of the moving averages of rates.
	// The first detects a sudden rise that has to be reported at once; the second keeps the shares
	// of hosts stable for accounts with a few requests a second.
	fastTimeConstant = 400 * time.Millisecond
	slowTimeConstant = 3 * time.Second
	// farFactor is the multiple of its usual rate that a host admits for an account that is far
	// from its limit. farAccrual is the time for which unused parts of that accumulate.
	farFactor  = 1.8
	farAccrual = 2 * time.Second
	// newFactor is the multiple of the whole allowance that a host admits for an account until its
	// usual rate is known.
	newFactor = 4
	// largeRequestFraction is the fraction of the bucket's capacity that suffices to admit a
	// request of higher cost.
	largeRequestFraction = 0.5
	// staleAfter is how long after the last update a host continues as before. After that it may
	// be partitioned and admits only a little more than the usual rate.
	staleAfter = 700 * time.Millisecond
	// staleFactor is the multiple of the usual rate that such a host admits.
	staleFactor = 1.2
	// expiredAfter is how long after the last update a host falls back to an equal share. From
	// then on its share is divided among the other hosts.
	expiredAfter = 8 * time.Second
	// initialFactor is the multiple of an equal share that a host admits before its first update.
	// initialAccrual is the time for which unused parts of it accumulate.
	initialFactor  = 1.2
	initialAccrual = time.Second
	// equalFraction is the fraction of an allowance that is divided equally, so that a host without
	// usual callers of the account does not refuse all of them.
	equalFraction = 0.05
	// shareAccrual is the time for which unused parts of a share accumulate.
	shareAccrual = 1200 * time.Millisecond
	// debtTime bounds the debt of a bucket after requests that cost more than its share of a
	// second, as time at the rate of the bucket.
	debtTime = 1500 * time.Millisecond
	// staleDebtTime is the same for a host that receives no updates. It is longer, since nobody
	// else counts what this host admits.
	staleDebtTime = 30 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay of refused requests.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// idleTimeout is how long an account is kept without requests.
	idleTimeout = 30 * time.Second
	// minRise is the fraction of its allowance by which the rate of an account has to rise at one
	// host to be reported at once.
	minRise = 0.03
)

// Limiter is the rate limiter of one host for all accounts. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	hosts    int
	accounts map[string]*usage
	levels   fleet.AccountLevels
	shares   map[string]float64
	// updatedAt is the time as of which this host last received levels.
	updatedAt time.Time
	// onRise is called without the lock when the rate of an account rises suddenly.
	onRise func()
}

// usage is the usage of one account at this host.
type usage struct {
	allowance fleet.Allowance
	// firstSeen is when the account was first seen here.
	firstSeen time.Time
	// fastRate and usualRate are moving averages of the rate as of at; admittedRate is the admitted
	// part of usualRate.
	fastRate, usualRate, admittedRate float64
	at                                time.Time
	// admitted is the amount admitted since the last report.
	admitted float64
	// confirmedRate is the usual rate when this host last received levels, to which the shares
	// relate.
	confirmedRate float64
	// reportedRate is the rate in the last report.
	reportedRate float64
	// tokens is the amount that may be admitted at once, below zero a debt.
	tokens float64
}

// NewLimiter returns a limiter without accounts. onRise is called when a rate should be reported at
// once.
func NewLimiter(onRise func()) *Limiter {
	return &Limiter{hosts: 1, accounts: map[string]*usage{}, onRise: onRise}
}

// SetHosts sets the number of hosts for equal shares.
func (l *Limiter) SetHosts(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = max(1, n)
}

// decay decays the moving averages up to now.
func (u *usage) decay(now time.Time) {
	dt := now.Sub(u.at).Seconds()
	if dt <= 0 {
		return
	}
	u.fastRate *= math.Exp(-dt / fastTimeConstant.Seconds())
	u.usualRate *= math.Exp(-dt / slowTimeConstant.Seconds())
	u.admittedRate *= math.Exp(-dt / slowTimeConstant.Seconds())
	u.at = now
}

// Allow counts a request and reports whether it is admitted. If not, it returns when to retry.
func (l *Limiter) Allow(now time.Time, account string, a fleet.Allowance, cost float64) (ok bool, after time.Duration) {
	if !a.Limited() {
		return true, 0
	}
	ok, after, rise := l.allow(now, account, a, cost)
	if rise {
		l.onRise()
	}
	return ok, after
}

func (l *Limiter) allow(now time.Time, account string, a fleet.Allowance, cost float64) (ok bool, after time.Duration, rise bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.accounts[account]
	isNew := u == nil
	if isNew {
		u = &usage{at: now, firstSeen: now}
		l.accounts[account] = u
	}
	u.allowance = a
	limit := l.limit(now, account, u)
	if isNew && !limit.near {
		u.tokens = limit.capacity
	}
	u.fill(now, limit)
	u.decay(now)
	u.fastRate += cost / fastTimeConstant.Seconds()
	u.usualRate += cost / slowTimeConstant.Seconds()
	rise = u.fastRate-u.reportedRate > minRise*a.Rate
	if deficit := limit.deficit(u.tokens, cost); deficit > 0 {
		return false, retryAfter(deficit, limit.rate), rise
	}
	u.admitted += cost
	u.admittedRate += cost / slowTimeConstant.Seconds()
	u.tokens -= limit.charge(cost)
	return true, 0, rise
}

// limit is what a host may admit of one account.
type limit struct {
	// rate is per second. Unused parts of it accumulate up to capacity. Debt is limited to maxDebt,
	// which is zero if the account is far from its limit.
	rate, capacity, maxDebt float64
	// near is set if the account is near its limit.
	near bool
}

func newLimit(rate float64, accrual, debt time.Duration) limit {
	return limit{rate: rate, capacity: rate * accrual.Seconds(), maxDebt: rate * debt.Seconds()}
}

// charge returns what a request takes off the bucket. Without debt that is at most what the request
// needs to be admitted; the usual rate counts its full cost.
func (l limit) charge(cost float64) float64 {
	if l.maxDebt == 0 {
		return min(cost, largeRequestFraction*l.capacity)
	}
	return cost
}

// deficit returns what the bucket lacks to admit a request, 0 if nothing. A request that costs more
// than the capacity allows needs only a part of it.
func (l limit) deficit(tokens, cost float64) float64 {
	return max(0, min(cost, largeRequestFraction*l.capacity)-tokens)
}

// fill refills the bucket for the time since it was last updated.
func (u *usage) fill(now time.Time, l limit) {
	u.tokens += l.rate * max(0, now.Sub(u.at).Seconds())
	u.tokens = min(max(u.tokens, -l.maxDebt), l.capacity)
}

// limit returns what this host may admit of the account now.
func (l *Limiter) limit(now time.Time, account string, u *usage) limit {
	equal := u.allowance.Rate / float64(l.hosts)
	age := now.Sub(l.updatedAt)
	share, near := l.shares[account]
	switch {
	case l.updatedAt.IsZero():
		return newLimit(initialFactor*equal, initialAccrual, staleDebtTime)
	case age >= expiredAfter:
		return newLimit(equal, shareAccrual, staleDebtTime)
	case near:
		lim := newLimit((1-equalFraction)*share*u.confirmedRate+equalFraction*equal, shareAccrual, debtTime)
		lim.near = true
		return lim
	case age >= staleAfter:
		return newLimit(max(equal, staleFactor*u.servedRate()), shareAccrual, staleDebtTime)
	case now.Sub(u.firstSeen) < slowTimeConstant:
		return newLimit(newFactor*u.allowance.Rate, farAccrual, 0)
	}
	return newLimit(max(equal, farFactor*u.servedRate()), farAccrual, 0)
}

// servedRate returns the usual rate that was admitted. Refused requests do not raise it.
func (u *usage) servedRate() float64 { return min(u.confirmedRate, u.admittedRate) }

// retryAfter returns when to retry, with random jitter so that callers do not return together.
func retryAfter(deficit, rate float64) time.Duration {
	after := minRetryAfter
	if rate > 0 {
		after = max(after, min(maxRetryAfter, time.Duration(deficit/rate*float64(time.Second))))
	}
	return min(maxRetryAfter, after+rand.N(after))
}

// Refund returns the cost of a request that was admitted but has not run.
func (l *Limiter) Refund(now time.Time, account string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.accounts[account]
	if u == nil {
		return
	}
	u.decay(now)
	u.tokens += cost
	u.admitted -= cost
	u.admittedRate = max(0, u.admittedRate-cost/slowTimeConstant.Seconds())
}

// Usage returns the usage of accounts at this host to be reported. Admitted amounts are returned
// once.
func (l *Limiter) Usage(now time.Time) []fleet.AccountUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []fleet.AccountUsage
	for account, u := range l.accounts {
		if now.Sub(u.at) > idleTimeout {
			delete(l.accounts, account)
			continue
		}
		u.fill(now, l.limit(now, account, u))
		u.decay(now)
		u.reportedRate = u.fastRate
		if u.usualRate < minReportedFraction*u.allowance.Rate && u.admitted <= 0 {
			continue
		}
		out = append(out, fleet.AccountUsage{Account: account, RequestedRate: u.usualRate, AdmittedRate: u.admittedRate, Admitted: u.admitted})
		u.admitted = 0
	}
	return out
}

// Levels returns the last levels that this host received.
func (l *Limiter) Levels() fleet.AccountLevels {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.levels
}

// ApplyLevels applies the levels as of the time asOf, and reports whether they are newer
// than the known ones.
func (l *Limiter) ApplyLevels(now, asOf time.Time, levels fleet.AccountLevels) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.levels.NewerThan(levels) {
		return false
	}
	if l.updatedAt.IsZero() && now.Sub(asOf) >= staleAfter {
		return false // The sender has received no recent update itself.
	}
	if asOf.After(l.updatedAt) {
		l.updatedAt = asOf
	}
	for _, u := range l.accounts {
		u.confirmedRate = u.usualRate
	}
	if !levels.NewerThan(l.levels) {
		return false
	}
	l.levels = levels
	l.shares = make(map[string]float64, len(levels.Levels))
	for _, x := range levels.Levels {
		l.shares[x.Account] = x.Share
	}
	return true
}
