package fleet

import "time"

// maxContactGap is the longest time between two answers of the store within which it counts as
// available throughout. A host whose list is no longer confirmed starts to read it within this time,
// and then reads it more often.
const maxContactGap = 1500 * time.Millisecond

// storeContact tracks since when the store has answered a host without interruption, either directly
// or as confirmed by the hosts that it learns from.
type storeContact struct {
	// since is the first and last the newest answer of the current contact; since is zero after a
	// failed read of this host.
	since, last time.Time
	// ownRead is the last successful read of this host since its last failed one.
	ownRead time.Time
}

// recordAnswer records that the store answered a read at a time.
func (c *storeContact) recordAnswer(at time.Time) {
	if at.Before(c.last) {
		return
	}
	if c.since.IsZero() || at.Sub(c.last) > maxContactGap {
		c.since = at
	}
	c.last = at
}

// recordOwnRead records the result of a read of this host.
func (c *storeContact) recordOwnRead(now time.Time, answered bool) {
	if !answered {
		*c = storeContact{last: now}
		return
	}
	c.recordAnswer(now)
	c.ownRead = now
}

// spans reports whether the store has answered this host's own reads before a time and was available
// for expiryGrace until then. An entry that had expired while the store was unavailable to all hosts
// and endpoints has then returned. A host that has read nothing itself may have missed the outage.
func (c *storeContact) spans(at time.Time) bool {
	return !c.since.IsZero() && at.Sub(c.since) >= expiryGrace &&
		!c.ownRead.IsZero() && at.Sub(c.ownRead) <= maxContactGap
}

// ObserveOutageEnd records the end of a store outage that another host has seen. A host that reads the
// store rarely may have missed it. It has no effect if the store has answered this host's own reads
// meanwhile: the outage concerned only other hosts, and a removed entry is gone.
func (d *Directory) ObserveOutageEnd(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.contact.spans(at) {
		d.setStoreRestored(at)
	}
}
