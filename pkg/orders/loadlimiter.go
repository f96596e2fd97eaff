package orders

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// slowdownTolerance is the ratio of actual to expected load time up to which a load
	// counts as run at full speed. It covers the lag of reports and a busy endpoint.
	slowdownTolerance = 1.15
	// cachedCopyRatio is the ratio of actual to expected load time below which the load
	// used a cached copy instead of the weight store.
	cachedCopyRatio = 0.5
	// loadsPerProbe is the number of loads at full speed after a slow one before the limit
	// is raised again: the weight store may have been slow only for a while.
	loadsPerProbe = 16
	// maxStoreLoads is the highest limit, so that loads do not keep endpoints from swaps of
	// cached copies.
	maxStoreLoads = 8
	// loadTimeoutFactor is the multiple of the expected time after which a load counts as
	// lost.
	loadTimeoutFactor = 8
)

// storeLoad is a load from the weight store.
type storeLoad struct {
	started, ended time.Time
	expected       time.Duration
}

// loadLimiter is an adaptive limit for concurrent loads from the weight store. Loads beyond
// the store's capacity slow each other down in proportion, so they all finish late: where the
// store ran one load at full speed, four at once took 53 s instead of 13 s, and no request was
// still waiting then.
//
// The limit starts at one. It is raised by one after enough loads ran at full speed while
// the limit was reached. A load that took longer sets it to the capacity that its slowdown
// implies. loadLimiter is safe for concurrent use.
type loadLimiter struct {
	mu    sync.Mutex
	limit int
	// loadsToProbe is the number of loads at full speed left before the limit is raised.
	loadsToProbe int
	active       []*storeLoad
	// finished holds the loads that have ended and overlapped with an active one.
	finished []*storeLoad
}

// allowed returns the number of loads that may run at once.
func (s *loadLimiter) allowed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, s.limit)
}

// restore raises the limit to the one that a former controller has learned.
func (s *loadLimiter) restore(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = max(s.limit, min(limit, maxStoreLoads))
}

// inProgress returns the number of loads in progress.
func (s *loadLimiter) inProgress(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = slices.DeleteFunc(s.active, func(l *storeLoad) bool { return now.Sub(l.started) > loadTimeoutFactor*l.expected })
	return len(s.active)
}

func (s *loadLimiter) begin(now time.Time, m fleet.Model) *storeLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &storeLoad{started: now, expected: m.StoreLoad}
	s.active = append(s.active, l)
	return l
}

// abandon removes a load that was not accepted or whose end is not known.
func (s *loadLimiter) abandon(l *storeLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(l)
}

// finish records the end of a load and adjusts the limit.
func (s *loadLimiter) finish(now time.Time, l *storeLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.active, l) {
		return // not a load from the weight store, or timed out
	}
	l.ended = now
	elapsed := now.Sub(l.started)
	concurrency := s.meanConcurrency(l)
	s.adjust(elapsed.Seconds()/l.expected.Seconds(), concurrency)
	s.finished = append(s.finished, l)
	s.remove(l)
	s.finished = slices.DeleteFunc(s.finished, func(p *storeLoad) bool {
		return !slices.ContainsFunc(s.active, func(a *storeLoad) bool { return a.started.Before(p.ended) })
	})
}

// adjust updates the limit after a load. slowdown is the ratio of actual to expected time,
// concurrency the average number of loads that ran at the same time.
func (s *loadLimiter) adjust(slowdown, concurrency float64) {
	limit := max(1, s.limit)
	switch {
	case slowdown < cachedCopyRatio:
		return
	case slowdown > slowdownTolerance:
		s.limit = max(1, int(math.Round(concurrency/slowdown)))
		s.loadsToProbe = loadsPerProbe
		return
	case concurrency < float64(limit)-0.5:
		return // the limit was not reached
	}
	if s.loadsToProbe--; s.loadsToProbe <= 0 {
		s.limit = min(maxStoreLoads, limit+1)
	}
}

// meanConcurrency returns the average number of loads that ran during l, including l.
func (s *loadLimiter) meanConcurrency(l *storeLoad) float64 {
	sum := time.Duration(0)
	for _, o := range append(slices.Clone(s.active), s.finished...) {
		from, to := later(o.started, l.started), l.ended
		if !o.ended.IsZero() && o.ended.Before(to) {
			to = o.ended
		}
		sum += max(0, to.Sub(from))
	}
	return sum.Seconds() / l.ended.Sub(l.started).Seconds()
}

func (s *loadLimiter) remove(l *storeLoad) {
	s.active = slices.DeleteFunc(s.active, func(o *storeLoad) bool { return o == l })
}
