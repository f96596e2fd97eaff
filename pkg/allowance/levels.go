package allowance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// leastTold is the part of its allowance up to which a host does not tell what an account
	// asks of it: together 1,000 hosts then know of all but a tenth.
	leastTold = 0.0001
	// paybackTime is within what time what was let through too much is taken off again.
	paybackTime = 1500 * time.Millisecond
	// leastPart is the part of its allowance that an account has while that is so.
	leastPart = 0.4
	// steadyShare is the part of the tolerance that may be used all the time: callers that an
	// account has beyond its rate are served as far as that goes.
	steadyShare = 0.35
	// heardShare is the part of what may be let through at once that hosts in touch let through
	// before an account has to pay it back. Hosts that are cut off as it begins to ask for
	// more let through the rest, and nobody hears of that.
	heardShare = 0.15
	// nearShare is the part of that from which on an account is near its limit. One large
	// request does not reach it where the allowance is large.
	nearShare = 0.6
	// farShare is the same from which on it is no longer: an account that asks for a little more
	// than it may would come and go.
	farShare = 0.95
	// mostExcess bounds what is taken off, in seconds of the allowance.
	mostExcess = 4.0
	// sameShare is by what part a share has to change to be told anew.
	sameShare = 0.05
	// RelayLife is how long the last report of a host counts at a relay: a host that asks
	// another one instead is not counted twice for long.
	RelayLife = 900 * time.Millisecond
	// ControllerLife is how long it counts at the controller: a host that is cut off goes on to
	// let requests through, and others must not be given its part.
	ControllerLife = forgottenAfter
	// maxLevels bounds the accounts in one list, some 30 bytes each; those farthest beyond
	// their limits come first.
	maxLevels = 256
)

// Sums adds up what hosts tell of accounts: what is usual by the newest report of each, and what
// was let through once. It is not safe for concurrent use.
type Sums struct {
	hosts map[string]hostUse
	// let is what was let through since the last sum, by account.
	let map[string]float64
}

type hostUse struct {
	at   time.Time
	life time.Duration
	uses []fleet.AccountUse
}

// NewSums returns sums of no host.
func NewSums() *Sums { return &Sums{hosts: map[string]hostUse{}, let: map[string]float64{}} }

// Take takes in a host's report, which holds those of the hosts behind it too. It counts for
// some time, at most ControllerLife.
func (s *Sums) Take(now time.Time, host string, uses []fleet.AccountUse, life time.Duration) {
	s.hosts[host] = hostUse{at: now, life: life, uses: uses}
	s.AddLet(uses)
}

// AddLet adds what was let through, also what could not be passed on.
func (s *Sums) AddLet(uses []fleet.AccountUse) {
	for _, u := range uses {
		s.let[u.Account] += u.Let
	}
}

// Sum adds to a host's own uses what the others have told within a time, at most ControllerLife.
func (s *Sums) Sum(now time.Time, own []fleet.AccountUse, life time.Duration) []fleet.AccountUse {
	byAccount := map[string]fleet.AccountUse{}
	add := func(uses []fleet.AccountUse, heard bool) {
		for _, u := range uses {
			sum := byAccount[u.Account]
			sum.Account = u.Account
			if heard {
				sum.Usual += u.Usual
				sum.Served += u.Served
			} else {
				sum.Unheard += frozenSpare * u.Served
			}
			byAccount[u.Account] = sum
		}
	}
	add(own, true)
	for host, h := range s.hosts {
		switch age := now.Sub(h.at); {
		case age > h.life:
			delete(s.hosts, host)
		case age <= life:
			add(h.uses, age <= RelayLife)
		}
	}
	s.AddLet(own)
	for account, let := range s.let {
		u := byAccount[account]
		u.Account, u.Let = account, let
		byAccount[account] = u
	}
	clear(s.let)
	return slices.Collect(maps.Values(byAccount))
}

// Levels decides which accounts are near their limits, from what all hosts tell. It is not
// safe for concurrent use.
type Levels struct {
	tolerance Tolerance
	last      fleet.AccountLevels
	// excess is what was let through of each account beyond its rate, below zero what it
	// may still ask at once.
	excess map[string]float64
	// near holds the accounts that are.
	near map[string]bool
	at   time.Time
}

// Tolerance is by how much all hosts together may exceed an allowance in any span of Window:
// the part Over of it, and Slack units. It covers how late hosts learn of one another.
type Tolerance struct {
	Over   float64
	Slack  float64
	Window time.Duration
}

// steady is the rate that may be let through all the time, with a part of the tolerance.
func (t Tolerance) steady(a fleet.Allowance) float64 {
	rate := a.Rate * (1 + steadyShare*t.Over)
	if t.Window > 0 {
		rate += steadyShare * t.Slack / t.Window.Seconds()
	}
	return rate
}

// NewLevels returns levels without any account.
func NewLevels(t Tolerance) *Levels {
	return &Levels{tolerance: t, excess: map[string]float64{}, near: map[string]bool{}}
}

// Decide returns the levels for what all hosts ask now; those of the last time if they still
// fit.
func (l *Levels) Decide(now time.Time, token int64, accounts map[string]fleet.Account, uses []fleet.AccountUse) fleet.AccountLevels {
	if token != l.last.Token {
		*l = *NewLevels(l.tolerance) // What was decided under another claim is out of date.
		l.last.Token, l.at = token, now
	}
	dt := now.Sub(l.at).Seconds()
	l.at = now
	asked := make(map[string]fleet.AccountUse, len(uses))
	for _, u := range uses {
		asked[u.Account] = u
	}
	var near []fleet.AccountLevel
	for name, a := range accounts {
		if !a.Allowance.Limited() {
			continue
		}
		if share, ok := l.share(a.Allowance, name, asked[name], dt); ok {
			near = append(near, fleet.AccountLevel{Account: name, Share: share})
		}
	}
	slices.SortFunc(near, func(a, b fleet.AccountLevel) int {
		return cmp.Or(cmp.Compare(a.Share, b.Share), cmp.Compare(a.Account, b.Account))
	})
	near = near[:min(len(near), maxLevels)]
	if l.last.Seq == 0 || !same(near, l.last.Levels) {
		l.last = fleet.AccountLevels{Token: token, Seq: l.last.Seq + 1, Levels: near}
	}
	return l.last
}

// share is the part of its usual rate that an account may ask, and whether it has to be told.
func (l *Levels) share(a fleet.Allowance, name string, u fleet.AccountUse, dt float64) (float64, bool) {
	rate := l.tolerance.steady(a)
	spare := heardShare * (a.Burst + l.tolerance.Slack)
	excess, known := l.excess[name]
	if !known {
		excess = -spare
	}
	// What hosts that are not heard tell later counts twice: what others are given meanwhile
	// must not depend on whether they do.
	excess += u.Let + u.Unheard*dt - rate*dt
	excess = min(max(excess, -spare), mostExcess*rate)
	l.excess[name] = excess
	limit := nearShare
	if l.near[name] {
		limit = farShare
	}
	l.near[name] = excess > -limit*spare
	if !l.near[name] || u.Usual <= 0 {
		return 0, false
	}
	may := max(leastPart*rate, rate-excess/paybackTime.Seconds())
	return max(may-u.Unheard, leastPart*may) / u.Usual, true
}

// same tells whether levels are about what was told last.
func same(a, b []fleet.AccountLevel) bool {
	if len(a) != len(b) {
		return false
	}
	before := make(map[string]float64, len(b))
	for _, x := range b {
		before[x.Account] = x.Share
	}
	return !slices.ContainsFunc(a, func(x fleet.AccountLevel) bool {
		old, ok := before[x.Account]
		return !ok || math.Abs(x.Share-old) > sameShare*old
	})
}
