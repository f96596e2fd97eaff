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
	// minReportedFraction is the fraction of an account's allowance below which a host does not
	// report the account's usage.
	minReportedFraction = 0.0001
	// compensationTime is the time over which excess usage is compensated.
	compensationTime = 1500 * time.Millisecond
	// minFraction is the least fraction of its allowance that an account keeps while its excess is
	// compensated.
	minFraction = 0.4
	// steadyTolerance is the fraction of the tolerance that an account may use permanently.
	steadyTolerance = 0.35
	// reachableFraction is the fraction of burst and slack that reachable hosts may admit before an
	// account has to compensate. The rest is for hosts that are partitioned, whose usage is not
	// reported.
	reachableFraction = 0.15
	// nearUnused is the unused fraction of that headroom below which an account becomes near its
	// limit.
	nearUnused = 0.6
	// farUnused is the unused fraction of that headroom from which on an account is no longer near
	// its limit. It is larger than nearUnused to avoid flapping.
	farUnused = 0.95
	// maxExcess bounds the excess to compensate, in seconds of the allowance.
	maxExcess = 4.0
	// minShareChange is the relative change from which on a new share is published.
	minShareChange = 0.05
	// RelayTTL is how long a host's last report counts at a relay. It is short, so that a host
	// which moves to another relay is not counted twice for long.
	RelayTTL = 900 * time.Millisecond
	// ControllerTTL is how long a host's last report counts at the controller. A partitioned host
	// continues to admit requests, so its share is not given to others in that time.
	ControllerTTL = expiredAfter
	// maxLevels bounds the accounts in one list. Those with the lowest shares come first.
	maxLevels = 256
)

// Aggregator aggregates the usage reports of hosts: rates by the newest report of each host,
// and admitted amounts once. It is not safe for concurrent use.
type Aggregator struct {
	hosts map[string]hostReport
	// admitted is the amount admitted since the last sum, by account.
	admitted map[string]float64
}

// hostReport is the newest report of a host.
type hostReport struct {
	at    time.Time
	ttl   time.Duration
	usage []fleet.AccountUsage
}

// NewAggregator returns an empty aggregator.
func NewAggregator() *Aggregator {
	return &Aggregator{hosts: map[string]hostReport{}, admitted: map[string]float64{}}
}

// Add adds the report of a host, which includes those of the hosts behind it. Its rates count for
// the duration ttl, at most ControllerTTL.
func (s *Aggregator) Add(now time.Time, host string, usage []fleet.AccountUsage, ttl time.Duration) {
	s.hosts[host] = hostReport{at: now, ttl: ttl, usage: usage}
	s.AddAdmitted(usage)
}

// AddAdmitted adds the admitted amounts of a report, for example of one that could not be sent.
func (s *Aggregator) AddAdmitted(usage []fleet.AccountUsage) {
	for _, u := range usage {
		s.admitted[u.Account] += u.Admitted
	}
}

// Sum returns the usage of this host and of the hosts whose reports are not older than maxAge,
// which is at most ControllerTTL. The admitted amounts are returned once.
func (s *Aggregator) Sum(now time.Time, own []fleet.AccountUsage, maxAge time.Duration) []fleet.AccountUsage {
	byAccount := map[string]fleet.AccountUsage{}
	add := func(usage []fleet.AccountUsage, reachable bool) {
		for _, u := range usage {
			sum := byAccount[u.Account]
			sum.Account = u.Account
			if reachable {
				sum.RequestedRate += u.RequestedRate
				sum.AdmittedRate += u.AdmittedRate
			} else {
				sum.UnreportedRate += staleFactor * u.AdmittedRate
			}
			byAccount[u.Account] = sum
		}
	}
	add(own, true)
	for host, h := range s.hosts {
		switch age := now.Sub(h.at); {
		case age > h.ttl:
			delete(s.hosts, host)
		case age <= maxAge:
			add(h.usage, age <= RelayTTL)
		}
	}
	s.AddAdmitted(own)
	for account, admitted := range s.admitted {
		u := byAccount[account]
		u.Account, u.Admitted = account, admitted
		byAccount[account] = u
	}
	clear(s.admitted)
	return slices.Collect(maps.Values(byAccount))
}

// Levels decides which accounts are near their limits, from the usage of all hosts. It is not safe
// for concurrent use.
type Levels struct {
	tolerance Tolerance
	last      fleet.AccountLevels
	// excess is the amount admitted beyond the rate, by account. Below zero it is what may still be
	// admitted at once.
	excess map[string]float64
	// near holds the accounts that are near their limits.
	near map[string]bool
	// at is when Decide was last called.
	at time.Time
}

// Tolerance is how much all hosts together may exceed an allowance within Window: by the fraction
// Excess of it plus Slack units. It covers the delay until hosts learn of each other's usage.
type Tolerance struct {
	Excess float64
	Slack  float64
	Window time.Duration
}

// steadyRate returns the rate that may be admitted permanently, which includes a part of the
// tolerance.
func (t Tolerance) steadyRate(a fleet.Allowance) float64 {
	rate := a.Rate * (1 + steadyTolerance*t.Excess)
	if t.Window > 0 {
		rate += steadyTolerance * t.Slack / t.Window.Seconds()
	}
	return rate
}

// NewLevels returns a Levels without accounts.
func NewLevels(t Tolerance) *Levels {
	return &Levels{tolerance: t, excess: map[string]float64{}, near: map[string]bool{}}
}

// Decide returns the levels for the current usage of all hosts, or the last ones if they are still
// about right. A change of token resets all state.
func (l *Levels) Decide(now time.Time, token int64, accounts map[string]fleet.Account, usage []fleet.AccountUsage) fleet.AccountLevels {
	if token != l.last.Token {
		*l = *NewLevels(l.tolerance) // The state of another controller lease is stale.
		l.last.Token, l.at = token, now
	}
	dt := now.Sub(l.at).Seconds()
	l.at = now
	byAccount := make(map[string]fleet.AccountUsage, len(usage))
	for _, u := range usage {
		byAccount[u.Account] = u
	}
	var near []fleet.AccountLevel
	for name, a := range accounts {
		if !a.Allowance.Limited() {
			continue
		}
		if share, ok := l.share(a.Allowance, name, byAccount[name], dt); ok {
			near = append(near, fleet.AccountLevel{Account: name, Share: share})
		}
	}
	slices.SortFunc(near, func(a, b fleet.AccountLevel) int {
		return cmp.Or(cmp.Compare(a.Share, b.Share), cmp.Compare(a.Account, b.Account))
	})
	near = near[:min(len(near), maxLevels)]
	if l.last.Seq == 0 || !aboutEqual(near, l.last.Levels) {
		l.last = fleet.AccountLevels{Token: token, Seq: l.last.Seq + 1, Levels: near}
	}
	return l.last
}

// share returns the multiple of its usual rate that an account may use, and whether it has to be
// published.
func (l *Levels) share(a fleet.Allowance, name string, u fleet.AccountUsage, dt float64) (float64, bool) {
	rate := l.tolerance.steadyRate(a)
	headroom := reachableFraction * (a.Burst + l.tolerance.Slack)
	excess, known := l.excess[name]
	if !known {
		excess = -headroom
	}
	// Estimated usage of partitioned hosts counts in addition to what they report later, so that
	// the shares of other hosts do not depend on whether they do.
	excess += u.Admitted + u.UnreportedRate*dt - rate*dt
	excess = min(max(excess, -headroom), maxExcess*rate)
	l.excess[name] = excess
	threshold := nearUnused
	if l.near[name] {
		threshold = farUnused
	}
	l.near[name] = excess > -threshold*headroom
	if !l.near[name] || u.RequestedRate <= 0 {
		return 0, false
	}
	budget := max(minFraction*rate, rate-excess/compensationTime.Seconds())
	return max(budget-u.UnreportedRate, minFraction*budget) / u.RequestedRate, true
}

// aboutEqual reports whether the levels are about equal.
func aboutEqual(a, b []fleet.AccountLevel) bool {
	if len(a) != len(b) {
		return false
	}
	before := make(map[string]float64, len(b))
	for _, x := range b {
		before[x.Account] = x.Share
	}
	return !slices.ContainsFunc(a, func(x fleet.AccountLevel) bool {
		old, ok := before[x.Account]
		return !ok || math.Abs(x.Share-old) > minShareChange*old
	})
}
