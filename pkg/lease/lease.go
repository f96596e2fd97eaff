// Package lease decides when a host tries to claim a pool. Which of several claims is valid is
// determined by their order in the log.
package lease

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

// Watcher tracks, by the local clock, when the heartbeat of each session last advanced. It
// is not safe for concurrent use.
type Watcher struct {
	ttl          time.Duration
	lastObserved time.Time
	heartbeats   map[record.HostRef]heartbeat
}

type heartbeat struct {
	renewed record.Offset
	at      time.Time
	leaving bool
}

// NewWatcher returns a watcher whose sessions expire if they are not renewed for ttl.
func NewWatcher(ttl time.Duration) *Watcher {
	return &Watcher{ttl: ttl, heartbeats: map[record.HostRef]heartbeat{}}
}

// Observe records the sessions of the replicated state. fresh reports whether the log was
// readable since the last call. If it was not, the time since the last call does not count
// towards the expiry of any session, because no host could renew its session. Otherwise all
// owners would expire after an outage of the log.
func (w *Watcher) Observe(now time.Time, sessions []state.Session, fresh bool) {
	outage := time.Duration(0)
	if !fresh && !w.lastObserved.IsZero() {
		outage = now.Sub(w.lastObserved)
	}
	w.lastObserved = now
	heartbeats := make(map[record.HostRef]heartbeat, len(sessions))
	for _, s := range sessions {
		h, known := w.heartbeats[s.HostRef]
		h.at = h.at.Add(outage)
		if !known || h.renewed != s.Renewed {
			h = heartbeat{renewed: s.Renewed, at: now}
		}
		h.leaving = s.Leaving
		heartbeats[s.HostRef] = h
	}
	w.heartbeats = heartbeats
}

// Live reports whether a session is open and has not expired.
func (w *Watcher) Live(now time.Time, ref record.HostRef) bool {
	h, ok := w.heartbeats[ref]
	return ok && now.Sub(h.at) <= w.ttl
}

// Candidates returns the sessions that may claim a pool: those that are live and not
// leaving. Two hosts that leave at the same time must not pass a pool back and forth.
func (w *Watcher) Candidates(now time.Time) []record.HostRef {
	var live []record.HostRef
	for ref, h := range w.heartbeats {
		if w.Live(now, ref) && !h.leaving {
			live = append(live, ref)
		}
	}
	return live
}

// Preferred returns the host that claims key first, by rendezvous hashing. All hosts
// compute the same result without communication, and the keys of a failed host are spread
// over the others. It returns false if there are no hosts.
func Preferred(key string, hosts []record.HostRef) (best record.HostRef, ok bool) {
	var bestScore uint64
	for _, h := range hosts {
		score := xxhash.Sum64String(key + "\x00" + h.Host + "\x00" + string(h.Incarnation))
		if !ok || score > bestScore || score == bestScore && h.Incarnation > best.Incarnation {
			best, bestScore, ok = h, score, true
		}
	}
	return best, ok
}

// ShouldClaim reports whether self should claim a pool now: its owner is not live and self
// is the preferred host.
func (w *Watcher) ShouldClaim(now time.Time, self record.HostRef, pool string, owner record.HostRef) bool {
	if w.Live(now, owner) {
		return false
	}
	best, ok := Preferred(pool, w.Candidates(now))
	return ok && best == self
}
