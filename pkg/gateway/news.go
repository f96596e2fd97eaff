package gateway

import (
	"sync"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// news is which answer of another host was taken in last, so that the next question asks
// for what has changed since. It is safe for concurrent use.
type news struct {
	mu      sync.Mutex
	source  string
	token   int64
	version int64
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
