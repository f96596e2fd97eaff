// Package lease decides when a host tries to take a pool. It decides only
// when somebody tries: who is right is settled by the order of the log.
package lease

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

// Watcher notes, by the local clock, when the heartbeat of each session was
// last seen to advance. It is not safe for concurrent use.
type Watcher struct {
	ttl   time.Duration
	last  time.Time
	marks map[record.HostRef]mark
}

type mark struct {
	renewed record.Offset
	at      time.Time
	leaving bool
}

// NewWatcher returns a watcher for which a session lapses when it was not
// renewed for ttl.
func NewWatcher(ttl time.Duration) *Watcher {
	return &Watcher{ttl: ttl, marks: map[record.HostRef]mark{}}
}

// Observe takes in the sessions of the fold. fresh tells whether the log was
// readable since the last call. While it is not, nobody can renew; time that
// passes then counts for no session, or all owners would lapse at its return.
func (w *Watcher) Observe(now time.Time, sessions []state.Session, fresh bool) {
	pause := time.Duration(0)
	if !fresh && !w.last.IsZero() {
		pause = now.Sub(w.last)
	}
	w.last = now
	marks := make(map[record.HostRef]mark, len(sessions))
	for _, s := range sessions {
		m, known := w.marks[s.HostRef]
		m.at = m.at.Add(pause)
		if !known || m.renewed != s.Renewed {
			m = mark{renewed: s.Renewed, at: now}
		}
		m.leaving = s.Leaving
		marks[s.HostRef] = m
	}
	w.marks = marks
}

// Live tells whether a session is open and not lapsed.
func (w *Watcher) Live(now time.Time, ref record.HostRef) bool {
	m, ok := w.marks[ref]
	return ok && now.Sub(m.at) <= w.ttl
}

// Candidates returns the sessions that may take a pool: neither lapsed nor
// leaving. Two hosts that leave at once would otherwise pass a pool to and fro.
func (w *Watcher) Candidates(now time.Time) []record.HostRef {
	var live []record.HostRef
	for ref, m := range w.marks {
		if w.Live(now, ref) && !m.leaving {
			live = append(live, ref)
		}
	}
	return live
}

// Preferred returns the host that takes key first, by rendezvous hashing:
// every host computes the same without a message, and the keys of a lost host
// spread over all others. ok is false without hosts.
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

// ShouldClaim tells whether self should claim a pool now: its owner is no
// longer live and self is the preferred host.
func (w *Watcher) ShouldClaim(now time.Time, self record.HostRef, pool string, owner record.HostRef) bool {
	if w.Live(now, owner) {
		return false
	}
	best, ok := Preferred(pool, w.Candidates(now))
	return ok && best == self
}
