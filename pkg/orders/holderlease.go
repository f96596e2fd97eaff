package orders

import (
	"sync"
	"time"
)

const (
	// leaseMargin is kept of a lease that other hosts have granted: an order takes
	// up to orderTimeout, and a lost packet of it a fifth of a second more.
	leaseMargin = orderTimeout + 250*time.Millisecond
	// storeParts divides the lease: an answer of the store counts for that part of it.
	storeParts = 2
)

// HolderLease tells whether the holder of a claim may give orders where endpoints do
// not check fencing tokens, so that nothing but the holder itself keeps two hosts
// from giving orders in turn. It may while it is certain that no other host does:
//
//   - it has read the store within half of the lease, or another host has and knew no
//     newer claim after that; or
//   - every known host has just heard it. A host gives orders by a claim of its own
//     only a whole lease after it has last heard the former holder, so that each
//     answer to a notice grants the holder a lease. Hosts that it does not know have
//     granted none; a message from one ends this.
//
// Without the second and third, a holder that the store does not answer gave no
// orders for as long as it was cut off, while all others heard it and none claimed:
// for 7 s no model was loaded. It is safe for concurrent use.
type HolderLease struct {
	lease time.Duration

	mu    sync.Mutex
	token int64
	// granted is when each host last heard the holder, at the earliest.
	granted map[string]time.Time
	// storeRead is when the store last answered another host that knew no newer claim.
	storeRead time.Time
	// unknownHost is when a host that is not known last sent something.
	unknownHost time.Time
}

// NewHolderLease returns the lease of a host that no other has heard.
func NewHolderLease(lease time.Duration) *HolderLease {
	return &HolderLease{lease: lease, granted: map[string]time.Time{}}
}

// NoticeAnswer is what another host answers to a notice.
type NoticeAnswer struct {
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
func (l *HolderLease) Heard(token int64, a NoticeAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(token)
	if a.Token != token {
		return
	}
	if a.Sent.After(l.granted[a.Host]) {
		l.granted[a.Host] = a.Sent
	}
	if read := a.Sent.Add(-a.StoreAge); read.After(l.storeRead) {
		l.storeRead = read
	}
}

// UnknownHost notes a message of a host that this one does not know.
func (l *HolderLease) UnknownHost(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unknownHost = now
}

// take forgets what was granted to a former claim.
func (l *HolderLease) take(token int64) {
	if l.token == token {
		return
	}
	l.token = token
	l.storeRead = time.Time{}
	clear(l.granted)
}

// storeLife is for how long an answer of the store lets a holder give orders.
func storeLife(lease time.Duration) time.Duration { return lease / storeParts }

// Settle is how long the orders of a holder that cannot know of a newer claim may
// still arrive after that claim.
func Settle(lease time.Duration) time.Duration { return storeLife(lease) + orderTimeout }

// May tells whether the holder of a token may give orders. storeAge is how long ago
// the store answered this host, hosts names all others that it knows.
func (l *HolderLease) May(now time.Time, token int64, storeAge time.Duration, hosts []string) bool {
	if storeAge < storeLife(l.lease) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token != token {
		return false
	}
	return now.Sub(l.storeRead) < storeLife(l.lease) || l.grantedByAll(now, hosts)
}

func (l *HolderLease) grantedByAll(now time.Time, hosts []string) bool {
	if len(hosts) == 0 || now.Sub(l.unknownHost) < l.lease {
		return false
	}
	for _, h := range hosts {
		if now.Sub(l.granted[h]) > l.lease-leaseMargin {
			return false
		}
	}
	return true
}
