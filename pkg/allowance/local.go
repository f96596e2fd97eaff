// Package allowance keeps client accounts within what they may ask of all hosts together. It
// does no I/O and knows no clock but the times that it is given.
//
// The load pattern: callers of one account sit at a few hosts, unevenly, and now and then send
// many times their usual. An even part for each host would refuse most of what such an account
// may ask. Here hosts tell what they see with the reports that they send anyway, and the
// controller tells all of them which accounts come near their limit (Levels). Of these each
// host lets through its part of the account's usual rate, and what was let through too much
// before that was known is taken off again. Of all others it lets through more than is usual
// there, as far as it takes to learn of a jump (Local).
package allowance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// momentMemory and usualMemory are the time constants of moving rates. The first shows a
	// jump that other hosts have to hear of; the second keeps the parts of hosts steady where
	// an account sends a few requests a second to each.
	momentMemory = 400 * time.Millisecond
	usualMemory  = 3 * time.Second
	// openSpare is how many times the usual rate a host lets through of an account that is far
	// from its limit, and openKept for how long it keeps what is not asked of that: enough for
	// what comes unevenly. Until others know of a jump it cannot go far beyond the limit.
	openSpare = 1.8
	openKept  = 2 * time.Second
	// newSpare is how many times the whole allowance a host lets through of an account that it
	// has not seen for long enough to know what is usual.
	newSpare = 4
	// largePart is the part of what may be kept from which a request is let through that costs
	// more.
	largePart = 0.5
	// frozenAfter is how long a host that hears nothing goes on as told. After that it may be
	// cut off while an account begins to ask for too much, and keeps to its usual rate.
	frozenAfter = 700 * time.Millisecond
	// frozenSpare is how much more than usual it lets through then: no account asks the same
	// in each second.
	frozenSpare = 1.2
	// forgottenAfter is how long it does so. Others divide among themselves what it does not
	// report, so that it has to fall back to an even part.
	forgottenAfter = 8 * time.Second
	// freshShare is how many even parts a host has that was never told anything, and freshKept
	// for how long it has them at once: callers sit unevenly, and after a loss of power of all
	// hosts some seconds pass until one is told.
	freshShare = 1.2
	freshKept  = time.Second
	// spareShare is the part of an allowance that is divided evenly, so that callers who come
	// to a host where none of their account were before are not all refused.
	spareShare = 0.05
	// keptFor is for how long a host keeps what it may let through and does not: requests come
	// unevenly, a few a second.
	keptFor = 1200 * time.Millisecond
	// owedFor bounds what a host has let through too much, for a request that is larger than
	// its part of seconds. The controller counts it in any case.
	owedFor = 1500 * time.Millisecond
	// owedAlone is the same for a host that hears nothing: nobody else counts what it lets
	// through, and its part of a second may be far less than one request.
	owedAlone = 30 * time.Second
	// minAfter and maxAfter bound what refused callers are told. Clients do not obey more.
	minAfter = 300 * time.Millisecond
	maxAfter = 4 * time.Second
	// idleFor is after how long without a request a host forgets an account.
	idleFor = 30 * time.Second
	// risePart is by what part of its allowance the rate of an account has to rise at one host
	// to be told at once.
	risePart = 0.03
)

// Local is one host's view of all accounts. It is safe for concurrent use.
type Local struct {
	mu       sync.Mutex
	hosts    int
	accounts map[string]*use
	told     fleet.AccountLevels
	shares   map[string]float64
	// heard is when this host was last told which accounts are near their limits.
	heard time.Time
	// rising is called without the lock where an account's rate jumps.
	rising func()
}

// use is what one account asks of this host.
type use struct {
	allowance fleet.Allowance
	// first is when the account was first seen here.
	first time.Time
	// asked and usual are moving rates as of at; usualLet is the part of usual that was let
	// through.
	asked, usual, usualLet float64
	at                     time.Time
	// let is what was let through since the last report.
	let float64
	// confirmed is the usual rate when this host was last told of shares; the sum that they
	// follow from holds about that.
	confirmed float64
	// reported is the rate that was told last.
	reported float64
	// bucket is what may be let through at once, below zero what was too much.
	bucket float64
}

// NewLocal returns a view without accounts. rising is called when other hosts should hear of
// a rate at once.
func NewLocal(rising func()) *Local {
	return &Local{hosts: 1, accounts: map[string]*use{}, rising: rising}
}

// SetHosts tells among how many hosts even parts are divided.
func (l *Local) SetHosts(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = max(1, n)
}

// fade moves the rates on to a time.
func (u *use) fade(now time.Time) {
	dt := now.Sub(u.at).Seconds()
	if dt <= 0 {
		return
	}
	u.asked *= math.Exp(-dt / momentMemory.Seconds())
	u.usual *= math.Exp(-dt / usualMemory.Seconds())
	u.usualLet *= math.Exp(-dt / usualMemory.Seconds())
	u.at = now
}

// Allow counts a request and tells whether it is let through, or else when its caller may
// come back.
func (l *Local) Allow(now time.Time, account string, a fleet.Allowance, cost float64) (ok bool, after time.Duration) {
	if !a.Limited() {
		return true, 0
	}
	ok, after, rises := l.allow(now, account, a, cost)
	if rises {
		l.rising()
	}
	return ok, after
}

func (l *Local) allow(now time.Time, account string, a fleet.Allowance, cost float64) (ok bool, after time.Duration, rises bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.accounts[account]
	fresh := u == nil
	if fresh {
		u = &use{at: now, first: now}
		l.accounts[account] = u
	}
	u.allowance = a
	limit := l.limit(now, account, u)
	if fresh && !limit.near {
		u.bucket = limit.kept
	}
	u.fill(now, limit)
	u.fade(now)
	u.asked += cost / momentMemory.Seconds()
	u.usual += cost / usualMemory.Seconds()
	rises = u.asked-u.reported > risePart*a.Rate
	if lack := limit.lack(u.bucket, cost); lack > 0 {
		return false, retryAfter(lack, limit.rate), rises
	}
	u.let += cost
	u.usualLet += cost / usualMemory.Seconds()
	u.bucket -= limit.charge(cost)
	return true, 0, rises
}

// limit is what a host may let through of one account.
type limit struct {
	// rate is per second; what was not used of it is kept up to kept, and what was let through
	// beyond it is owed up to owed: nothing where the account is far from its limit.
	rate, kept, owed float64
	// near tells that the account is near its allowance.
	near bool
}

func newLimit(rate float64, kept, owed time.Duration) limit {
	return limit{rate: rate, kept: rate * kept.Seconds(), owed: rate * owed.Seconds()}
}

// charge is what a request takes off a bucket: not more than it needs there where nothing is
// owed. What is usual counts all of it.
func (l limit) charge(cost float64) float64 {
	if l.owed == 0 {
		return min(cost, largePart*l.kept)
	}
	return cost
}

// lack is what a bucket lacks to let a request through. One that is larger than what is ever
// kept needs a part of that only.
func (l limit) lack(bucket, cost float64) float64 {
	return max(0, min(cost, largePart*l.kept)-bucket)
}

// fill adds to the bucket what may be let through since it was last looked at.
func (u *use) fill(now time.Time, l limit) {
	u.bucket += l.rate * max(0, now.Sub(u.at).Seconds())
	u.bucket = min(max(u.bucket, -l.owed), l.kept)
}

// limit is what this host may let through of an account now.
func (l *Local) limit(now time.Time, account string, u *use) limit {
	even := u.allowance.Rate / float64(l.hosts)
	silence := now.Sub(l.heard)
	share, near := l.shares[account]
	switch {
	case l.heard.IsZero():
		return newLimit(freshShare*even, freshKept, owedAlone)
	case silence >= forgottenAfter:
		return newLimit(even, keptFor, owedAlone)
	case near:
		part := newLimit((1-spareShare)*share*u.confirmed+spareShare*even, keptFor, owedFor)
		part.near = true
		return part
	case silence >= frozenAfter:
		return newLimit(max(even, frozenSpare*u.served()), keptFor, owedAlone)
	case now.Sub(u.first) < usualMemory:
		return newLimit(newSpare*u.allowance.Rate, openKept, 0)
	}
	return newLimit(max(even, openSpare*u.served()), openKept, 0)
}

// served is the rate that was usual here and was let through: after an account has asked for
// too much, the rest of that is no measure.
func (u *use) served() float64 { return min(u.confirmed, u.usualLet) }

// retryAfter is when there is room again, spread so that callers do not return together.
func retryAfter(lack, part float64) time.Duration {
	after := minAfter
	if part > 0 {
		after = max(after, min(maxAfter, time.Duration(lack/part*float64(time.Second))))
	}
	return min(maxAfter, after+rand.N(after))
}

// Refund takes back a request that was let through and has not run.
func (l *Local) Refund(now time.Time, account string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.accounts[account]
	if u == nil {
		return
	}
	u.fade(now)
	u.bucket += cost
	u.let -= cost
	u.usualLet = max(0, u.usualLet-cost/usualMemory.Seconds())
}

// Uses returns what the accounts ask of this host, to be told to others. What was let through
// is told once.
func (l *Local) Uses(now time.Time) []fleet.AccountUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []fleet.AccountUse
	for account, u := range l.accounts {
		if now.Sub(u.at) > idleFor {
			delete(l.accounts, account)
			continue
		}
		u.fill(now, l.limit(now, account, u))
		u.fade(now)
		u.reported = u.asked
		if u.usual < leastTold*u.allowance.Rate && u.let <= 0 {
			continue
		}
		out = append(out, fleet.AccountUse{Account: account, Usual: u.usual, Served: u.usualLet, Let: u.let})
		u.let = 0
	}
	return out
}

// Told returns what this host was told last.
func (l *Local) Told() fleet.AccountLevels {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.told
}

// Hear takes in which accounts are near their limits, as of some time. It tells whether that
// is newer than what was known.
func (l *Local) Hear(now, asOf time.Time, t fleet.AccountLevels) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told.NewerThan(t) {
		return false
	}
	if l.heard.IsZero() && now.Sub(asOf) >= frozenAfter {
		return false // The host that tells it has heard nothing lately itself.
	}
	if asOf.After(l.heard) {
		l.heard = asOf
	}
	for _, u := range l.accounts {
		u.confirmed = u.usual
	}
	if !t.NewerThan(l.told) {
		return false
	}
	l.told = t
	l.shares = make(map[string]float64, len(t.Levels))
	for _, x := range t.Levels {
		l.shares[x.Account] = x.Share
	}
	return true
}
