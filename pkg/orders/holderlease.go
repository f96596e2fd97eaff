package orders

import (
	"sync"
	"time"
)

const (
	// leaseMargin is subtracted from leases granted by other hosts. It covers orderTimeout
	// and a retransmission.
	leaseMargin = orderTimeout + retransmissionTime
	// storeLeaseDivisor is the ratio of the lease to the time for which a read of the store
	// counts.
	storeLeaseDivisor = 2
	// claimsWaitShare is the wait of a read of the claims in percent of that time. The rest is for its answer.
	claimsWaitShare = 60
)

// HolderLease decides whether the holder of a claim may send orders to endpoints that do
// not check fencing tokens. It may while one of these conditions ensures that no other host
// does:
//
//   - it has read the claims within storeLeaseTime, or another host that knew no newer claim
//     has; or
//   - every known host has acknowledged a recent notice of the holder. A host sends orders
//     under a claim of its own only one lease after it last heard from the former holder,
//     so each acknowledgment grants the holder a lease. Unknown hosts have granted none, so
//     a message from one suspends this rule. Where the leases of a host had a gap, the claims have
//     to be read after it.
//
// Acknowledgments let a holder that cannot reach the store continue to send orders. Without them no
// model was loaded for 7 s while the store did not answer the holder and no other host claimed.
// HolderLease is safe for concurrent use.
type HolderLease struct {
	lease time.Duration

	mu    sync.Mutex
	token int64
	// granted is when each host last granted a lease, at the earliest. resumed is when a host granted one
	// again, after a gap in which it may have claimed and then have forgotten it by a restart.
	granted, resumed map[string]time.Time
	// claimsRead is when the store last confirmed to any host that the claim is the newest.
	claimsRead time.Time
	// storeRead is when another host that knew no newer claim last read the store.
	storeRead time.Time
	// unknownHostAt is when an unknown host last sent a message.
	unknownHostAt time.Time
}

// NewHolderLease returns a HolderLease without grants.
func NewHolderLease(lease time.Duration) *HolderLease {
	return &HolderLease{lease: lease, granted: map[string]time.Time{}, resumed: map[string]time.Time{}}
}

// NoticeResponse is another host's response to a notice.
type NoticeResponse struct {
	Host string
	// Sent is when the notice was sent, which is before the other host received it.
	Sent time.Time
	// Token is the token of the newest claim that the responding host knows.
	Token int64
	// StoreAge is the time since that host last read the claims.
	StoreAge time.Duration
}

// RecordAck records another host's response to a notice of the holder of a token. claimsRead is when this host
// last read the claims.
func (l *HolderLease) RecordAck(token int64, claimsRead time.Time, resp NoticeResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset(token)
	if resp.Token != token {
		return
	}
	if read := resp.Sent.Add(-resp.StoreAge); read.After(l.storeRead) {
		l.storeRead = read
	}
	l.claimsRead = later(l.claimsRead, later(claimsRead, l.storeRead))
	granted := l.granted[resp.Host]
	if !resp.Sent.After(granted) {
		return
	}
	if resp.Sent.Sub(granted) > l.lease-leaseMargin && resp.Sent.Sub(l.claimsRead) > storeLeaseTime(l.lease) {
		l.resumed[resp.Host] = resp.Sent
	}
	l.granted[resp.Host] = resp.Sent
}

// RecordUnknownHost records a message from a host that is not known.
func (l *HolderLease) RecordUnknownHost(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unknownHostAt = now
}

// reset drops what was granted for a former claim.
func (l *HolderLease) reset(token int64) {
	if l.token == token {
		return
	}
	l.token = token
	l.storeRead, l.claimsRead = time.Time{}, time.Time{}
	clear(l.granted)
	clear(l.resumed)
}

// storeLeaseTime returns how long a read of the store allows a holder to send orders.
func storeLeaseTime(lease time.Duration) time.Duration { return lease / storeLeaseDivisor }

// ClaimsReadInterval returns how long a read of the claims may wait for new ones where endpoints do not
// check fencing tokens. Its answer is due within storeLeaseTime.
func ClaimsReadInterval(lease time.Duration) time.Duration {
	return storeLeaseTime(lease) * claimsWaitShare / 100
}

// HandoffDelay returns how long after a newer claim orders may still arrive from a former holder
// that does not know of it.
func HandoffDelay(lease time.Duration) time.Duration { return storeLeaseTime(lease) + orderTimeout }

// Valid reports whether the holder of a token may send orders. storeAge is the time since
// this host last read the claims. hosts are all other known hosts.
func (l *HolderLease) Valid(now time.Time, token int64, storeAge time.Duration, hosts []string) bool {
	if storeAge < storeLeaseTime(l.lease) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token != token {
		return false
	}
	return now.Sub(l.storeRead) < storeLeaseTime(l.lease) || l.grantedByAll(now, later(l.claimsRead, now.Add(-storeAge)), hosts)
}

func (l *HolderLease) grantedByAll(now, claimsRead time.Time, hosts []string) bool {
	if len(hosts) == 0 || now.Sub(l.unknownHostAt) < l.lease {
		return false
	}
	for _, h := range hosts {
		if now.Sub(l.granted[h]) > l.lease-leaseMargin || l.resumed[h].After(claimsRead) {
			return false
		}
	}
	return true
}
