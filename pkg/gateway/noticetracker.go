package gateway

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// noticeTracker tracks the last notice that was applied, so that the next pull requests only
// newer changes. It is safe for concurrent use.
type noticeTracker struct {
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

// noticeTTL is how long after a response this host counts as up to date. It is a multiple of
// the longest interval between two responses.
const noticeTTL = time.Second

// recent reports whether this host currently receives updates.
func (t *noticeTracker) recent(now time.Time) bool { return t.age(now) < noticeTTL }

// age returns the time since this host last received an update.
func (t *noticeTracker) age(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.lastResponseAt)
}

// viewAge returns the maximum age of what responses have told this host.
func (t *noticeTracker) viewAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.informedUpTo)
}

// recordView records that a response to a pull that was sent at a time has been applied. It may have waited since then, if this
// host was suspended, and the upstream host had heard of the controller heartbeatAge before.
func (t *noticeTracker) recordView(sent time.Time, heartbeatAge time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if upTo := sent.Add(-heartbeatAge); upTo.After(t.informedUpTo) {
		t.informedUpTo = upTo
	}
}

// recordResponse records that an upstream host has responded.
func (t *noticeTracker) recordResponse(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastResponseAt = now
	if t.firstResponseAt.IsZero() {
		t.firstResponseAt = now
	}
}

// demandSentRecently reports whether the host at addr received the full demand within
// fullDemandInterval. If not, it records that the demand is sent now.
func (t *noticeTracker) demandSentRecently(now time.Time, addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.demandSentTo == addr && now.Sub(t.demandSentAt) < fullDemandInterval {
		return true
	}
	t.demandSentTo, t.demandSentAt = addr, now
	return false
}

// position returns the source, the token and the version of the last notice applied.
func (t *noticeTracker) position() (source string, token, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.source, t.token, t.version
}

// accept reports whether a notice is newer than the last one applied, and records it if so. Two
// pulls may be in flight, and an older response must not overwrite a newer one.
func (t *noticeTracker) accept(n fleet.Notice) bool {
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
