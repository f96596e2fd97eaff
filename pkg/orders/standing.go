package orders

import (
	"sync"
	"time"
)

const (
	// standingMargin is kept of a lease that other hosts have granted: an order takes
	// up to orderTimeout, and a lost packet of it a fifth of a second more.
	standingMargin = orderTimeout + 250*time.Millisecond
	// storeParts divides the lease: an answer of the store counts for that part of it.
	storeParts = 2
)

// Standing tells whether the holder of a claim may give orders where endpoints do
// not check fencing tokens, so that nothing but the holder itself keeps two hosts
// from giving orders in turn. It may while it is certain that no other host does:
//
//   - it has read the store within half of the lease, or another host has and knew no
//     newer claim after that; or
//   - every known host has just heard it. A host gives orders by a claim of its own
//     only a whole lease after it has last heard the former holder, so that each
//     answer to a notice grants the holder a lease. Hosts that it does not know have
//     granted none; a word from one ends this.
//
// Without the second and third, a holder that the store does not answer gave no
// orders for as long as it was cut off, while all others heard it and none claimed:
// for 7 s no model was loaded. It is safe for concurrent use.
type Standing struct {
	lease time.Duration

	mu    sync.Mutex
	token int64
	// granted is when each host last heard the holder, at the earliest.
	granted map[string]time.Time
	// vouched is when the store last answered another host that knew no newer claim.
	vouched time.Time
	// stranger is when a host that is not known last sent something.
	stranger time.Time
}

// NewStanding returns the standing of a host that no other has heard.
func NewStanding(lease time.Duration) *Standing {
	return &Standing{lease: lease, granted: map[string]time.Time{}}
}

// Word is what another host answers to a notice.
type Word struct {
	// Host is the answering host.
	Host string
	// Sent is when the notice was sent, before the other host can have heard it.
	Sent time.Time
	// Token is that of the newest claim known there.
	Token int64
	// StoreAge is how long ago the store answered that host.
	StoreAge time.Duration
}

// Heard takes in another host's answer to a notice of the holder of a token.
func (s *Standing) Heard(token int64, w Word) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.take(token)
	if w.Token != token {
		return
	}
	if w.Sent.After(s.granted[w.Host]) {
		s.granted[w.Host] = w.Sent
	}
	if read := w.Sent.Add(-w.StoreAge); read.After(s.vouched) {
		s.vouched = read
	}
}

// Stranger notes a message of a host that this one does not know.
func (s *Standing) Stranger(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stranger = now
}

// take forgets what was granted to a former claim.
func (s *Standing) take(token int64) {
	if s.token == token {
		return
	}
	s.token = token
	s.vouched = time.Time{}
	clear(s.granted)
}

// storeWord is for how long an answer of the store lets a holder give orders.
func storeWord(lease time.Duration) time.Duration { return lease / storeParts }

// Settle is how long the orders of a holder that cannot know of a newer claim may
// still arrive after that claim.
func Settle(lease time.Duration) time.Duration { return storeWord(lease) + orderTimeout }

// May tells whether the holder of a token may give orders. storeAge is how long ago
// the store answered this host, hosts names all others that it knows.
func (s *Standing) May(now time.Time, token int64, storeAge time.Duration, hosts []string) bool {
	if storeAge < storeWord(s.lease) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.token != token {
		return false
	}
	return now.Sub(s.vouched) < storeWord(s.lease) || s.grantedByAll(now, hosts)
}

func (s *Standing) grantedByAll(now time.Time, hosts []string) bool {
	if len(hosts) == 0 || now.Sub(s.stranger) < s.lease {
		return false
	}
	for _, h := range hosts {
		if now.Sub(s.granted[h]) > s.lease-standingMargin {
			return false
		}
	}
	return true
}
