package relay

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// FullDemandInterval is how long the last full demand stays valid, unless requests wait for
// a missing model. Full reports are large, and relays pull many times a second.
const FullDemandInterval = 100 * time.Millisecond

// NoticeTracker tracks the last notice that was applied, so that the next pull requests only
// newer changes. It is safe for concurrent use.
type NoticeTracker struct {
	mu      sync.Mutex
	source  string
	token   int64
	version int64
	// demandSentTo is the host that last received this host's full demand, demandSentAt when.
	demandSentTo string
	demandSentAt time.Time
	// lastResponseAt is when an upstream host with recent contact to the controller last
	// responded, firstResponseAt when one first did.
	lastResponseAt  time.Time
	firstResponseAt time.Time
	// informedUpTo is the time up to which responses have told this host what the controller knew.
	informedUpTo time.Time
}

// NoticeTTL is how long after a response this host counts as up to date. It is a multiple of
// the longest interval between two responses.
const NoticeTTL = time.Second

// Recent reports whether this host currently receives updates.
func (t *NoticeTracker) Recent(now time.Time) bool { return t.Age(now) < NoticeTTL }

// Age returns the time since this host last received an update.
func (t *NoticeTracker) Age(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.lastResponseAt)
}

// ViewAge returns the maximum age of what responses have told this host.
func (t *NoticeTracker) ViewAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.informedUpTo)
}

// RecordView records that a response to a pull that was sent at a time has been applied. It may have waited since then, if this
// host was suspended, and the upstream host had heard of the controller heartbeatAge before.
func (t *NoticeTracker) RecordView(sent time.Time, heartbeatAge time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if upTo := sent.Add(-heartbeatAge); upTo.After(t.informedUpTo) {
		t.informedUpTo = upTo
	}
}

// FirstResponse returns when an upstream host first responded, or the zero time.
func (t *NoticeTracker) FirstResponse() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.firstResponseAt
}

// RecordResponse records that an upstream host has responded.
func (t *NoticeTracker) RecordResponse(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastResponseAt = now
	if t.firstResponseAt.IsZero() {
		t.firstResponseAt = now
	}
}

// DemandSentRecently reports whether the host at addr received the full demand within
// FullDemandInterval. If not, it records that the demand is sent now.
func (t *NoticeTracker) DemandSentRecently(now time.Time, addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.demandSentTo == addr && now.Sub(t.demandSentAt) < FullDemandInterval {
		return true
	}
	t.demandSentTo, t.demandSentAt = addr, now
	return false
}

// Position returns the source, the token and the version of the last notice applied.
func (t *NoticeTracker) Position() (source string, token, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.source, t.token, t.version
}

// Accept reports whether a notice is newer than the last one applied, and records it if so. Two
// pulls may be in flight, and an older response must not overwrite a newer one.
func (t *NoticeTracker) Accept(n fleet.Notice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n.Source == t.source && n.Token == t.token && n.Version < t.version {
		return false
	}
	if n.Source != t.source && !n.Full {
		return false // It holds changes relative to a response of another host.
	}
	t.source, t.token, t.version = n.Source, n.Token, n.Version
	return true
}
