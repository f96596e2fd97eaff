package gateway

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// news is which answer of another host was taken in last, so that the next question asks
// for what has changed since. It is safe for concurrent use.
type news struct {
	mu      sync.Mutex
	source  string
	token   int64
	version int64
	// toldTo is whom this host told its needs last, and toldAt when.
	toldTo string
	toldAt time.Time
	// answered is when a host last answered that hears the controller itself, first when
	// one did so first.
	answered time.Time
	first    time.Time
}

// newsLife is how long an answer shows that this host is told what happens: four times
// the longest pause between two.
const newsLife = time.Second

// recent tells whether this host is told what happens.
func (s *news) recent(now time.Time) bool { return s.silence(now) < newsLife }

// silence is for how long this host has not been told what happens.
func (s *news) silence(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.answered)
}

// note takes in that a host has answered.
func (s *news) note(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = now
	if s.first.IsZero() {
		s.first = now
	}
}

// toldLately tells whether a host was told all needs a moment ago; if not, it is taken to
// be told them now.
func (s *news) toldLately(now time.Time, addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.toldTo == addr && now.Sub(s.toldAt) < samePause {
		return true
	}
	s.toldTo, s.toldAt = addr, now
	return false
}

func (s *news) known() (source string, token, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source, s.token, s.version
}

// fresh tells whether an answer says more than what was taken in. Two questions may be
// under way, and the older answer would put back what the newer one has told.
func (s *news) fresh(n fleet.Notice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Source == s.source && n.Token == s.token && n.Version < s.version {
		return false
	}
	if n.Source != s.source && !n.Full {
		return false // It tells what has changed since an answer of another host.
	}
	s.source, s.token, s.version = n.Source, n.Token, n.Version
	return true
}
