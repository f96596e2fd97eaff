package orders

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// atFullSpeed is how much longer than stated a load from the weight store may take
	// that counts as done at full speed: the lag of reports, and a busy endpoint.
	atFullSpeed = 1.15
	// fromCopy is the part of the stated time below which a load came from a copy.
	fromCopy = 0.5
	// patienceAfterSlow is how many loads are done at full speed after a slow one before
	// one more is tried: the store may have been slow for a while only.
	patienceAfterSlow = 16
	// maxStoreLoads bounds what is tried. More at once would take endpoints away from
	// swaps that their copies allow.
	maxStoreLoads = 8
	// loadTooLong is after how many times the stated time a load counts as lost.
	loadTooLong = 8
)

// storeLoad is a load from the weight store.
type storeLoad struct {
	began, ended time.Time
	stated       time.Duration
}

// storeLoads learns how many loads the weight store does at full speed, which nothing
// states. Beyond that number loads take longer in proportion, so that nothing is gained by
// more, and the first of them ends as late as the last. Where one load was done at
// full speed and four were begun at once, each took 53 s in place of 13 s, and no request
// lived to see its model.
//
// One is begun at first. As often as loads were done at full speed beside the most that
// are allowed, one more is allowed; a load that took longer tells how many there are. It
// is safe for concurrent use.
type storeLoads struct {
	mu    sync.Mutex
	limit int
	// patience is how many more loads have to be done at full speed before one more is
	// allowed.
	patience int
	active   []*storeLoad
	// past are loads that have ended and ran beside one that is active.
	past []*storeLoad
}

// allowed is how many loads may run at once.
func (s *storeLoads) allowed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, s.limit)
}

// assume takes over what a former controller has learned.
func (s *storeLoads) assume(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = max(s.limit, min(limit, maxStoreLoads))
}

// underWay is how many loads run.
func (s *storeLoads) underWay(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = slices.DeleteFunc(s.active, func(l *storeLoad) bool { return now.Sub(l.began) > loadTooLong*l.stated })
	return len(s.active)
}

func (s *storeLoads) begin(now time.Time, m fleet.Model) *storeLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &storeLoad{began: now, stated: m.StoreLoad}
	s.active = append(s.active, l)
	return l
}

// abandon takes in that a load was not accepted, or that its end is not known.
func (s *storeLoads) abandon(l *storeLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(l)
}

// done takes in that a load has ended, and learns from it.
func (s *storeLoads) done(now time.Time, l *storeLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.active, l) {
		return // It is no load from the weight store.
	}
	l.ended = now
	took := now.Sub(l.began)
	beside := s.meanBeside(l)
	s.learn(took.Seconds()/l.stated.Seconds(), beside)
	s.past = append(s.past, l)
	s.remove(l)
	s.past = slices.DeleteFunc(s.past, func(p *storeLoad) bool {
		return !slices.ContainsFunc(s.active, func(a *storeLoad) bool { return a.began.Before(p.ended) })
	})
}

// learn takes in how many times longer than stated a load took, and how many ran beside.
func (s *storeLoads) learn(slowdown, beside float64) {
	limit := max(1, s.limit)
	switch {
	case slowdown < fromCopy:
		return
	case slowdown > atFullSpeed:
		s.limit = max(1, int(math.Round(beside/slowdown)))
		s.patience = patienceAfterSlow
		return
	case beside < float64(limit)-0.5:
		return // It says nothing of as many as are allowed.
	}
	if s.patience--; s.patience <= 0 {
		s.limit = min(maxStoreLoads, limit+1)
	}
}

// meanBeside is how many loads ran on the average while one did, itself included.
func (s *storeLoads) meanBeside(l *storeLoad) float64 {
	sum := time.Duration(0)
	for _, o := range append(slices.Clone(s.active), s.past...) {
		from, to := later(o.began, l.began), l.ended
		if !o.ended.IsZero() && o.ended.Before(to) {
			to = o.ended
		}
		sum += max(0, to.Sub(from))
	}
	return sum.Seconds() / l.ended.Sub(l.began).Seconds()
}

func (s *storeLoads) remove(l *storeLoad) {
	s.active = slices.DeleteFunc(s.active, func(o *storeLoad) bool { return o == l })
}
