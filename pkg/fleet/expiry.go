package fleet

import "time"

// expiryGrace is how long after a store outage expired entries may be written again; the
// platform guarantees this bound.
const expiryGrace = 2 * time.Second

const (
	// defaultHeartbeatInterval is the heartbeat interval of endpoints where none is configured.
	defaultHeartbeatInterval = time.Second
	// expiryIntervals is the number of heartbeat intervals without a heartbeat after which the platform
	// removes an entry. lastHeartbeatIntervals bounds the time from the last heartbeat of a live
	// endpoint to the start of an outage.
	expiryIntervals        = 3
	lastHeartbeatIntervals = 1.5
)

// mayHaveExpired reports whether entries of live endpoints may expire in an outage of the store that
// lasts this long. A removal during a shorter one means that the endpoint has left.
func (d *Directory) mayHaveExpired(outage time.Duration) bool {
	return outage.Seconds() >= (expiryIntervals-lastHeartbeatIntervals)*d.heartbeatInterval().Seconds()
}

func (d *Directory) heartbeatInterval() time.Duration {
	if d.HeartbeatInterval == 0 {
		return defaultHeartbeatInterval
	}
	return d.HeartbeatInterval
}

// tombstoneTTL is how long a removed endpoint is remembered, so that a delayed copy of its
// entry does not restore it. Hosts without access to the store receive copies that are some
// seconds old.
const tombstoneTTL = time.Minute

// SetStoreRestored records that the store was restored from an older copy, which may lack entries.
func (d *Directory) SetStoreRestored(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setStoreRestored(at)
}

// setStoreRestored must be called with d.mu held.
func (d *Directory) setStoreRestored(at time.Time) {
	if at.After(d.storeRestoredAt) {
		d.storeRestoredAt = at
	}
}

// StoreRestoredAgo returns the time since the last store outage ended, or 0 if expired entries can
// no longer return.
func (d *Directory) StoreRestoredAgo(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	ago := now.Sub(d.storeRestoredAt)
	if d.storeRestoredAt.IsZero() || ago > expiryGrace {
		return 0
	}
	return ago
}

// handleRemoval marks an endpoint as gone after its entry was removed. During a store outage
// the entries of all endpoints expire, including those of healthy ones. Such endpoints stay in
// use until expiryGrace after the outage, since marking them as gone at once would reject all
// requests.
func (d *Directory) handleRemoval(now time.Time, e *entry) {
	if e.gone {
		return
	}
	if !d.storeRestoredAt.IsZero() && now.Sub(d.storeRestoredAt) < expiryGrace && !e.Draining {
		if e.missing.IsZero() {
			e.missing = now
			d.missing++
		}
		return
	}
	d.markGoneLocked(e)
}

func (d *Directory) markGoneLocked(e *entry) {
	if !e.missing.IsZero() {
		d.missing--
		e.missing = time.Time{}
	}
	e.gone = true
	d.changed[e.ID] = true
}

// expireMissing marks endpoints as gone if their entries have not returned after an outage.
func (d *Directory) expireMissing(now time.Time) {
	if d.missing == 0 || d.storeUnavailable || now.Sub(d.storeRestoredAt) < expiryGrace {
		return
	}
	for _, e := range d.entries {
		if !e.missing.IsZero() {
			d.markGoneLocked(e)
		}
	}
}

// Prune deletes endpoints that have been gone for tombstoneTTL, to bound memory. Live
// endpoints write heartbeats and so have newer offsets than pruned ones. Prune returns the
// pruned endpoints, except previous incarnations of endpoints that are kept.
func (d *Directory) Prune(now time.Time) []EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var pruned []EndpointID
	for id, e := range d.entries {
		switch {
		case !e.gone:
		case e.goneAt.IsZero():
			e.goneAt = now
		case now.Sub(e.goneAt) >= tombstoneTTL:
			delete(d.entries, id)
			d.prunedOffset = max(d.prunedOffset, e.offset)
			if d.current[id.Name()] == id {
				delete(d.current, id.Name())
				delete(d.former, id.Name())
				pruned = append(pruned, id)
			}
		}
	}
	return pruned
}

// MarkGone marks an endpoint as gone because of what this host has observed itself, such as
// another incarnation at its address.
func (d *Directory) MarkGone(id EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.entries[id]; e != nil {
		d.markGoneLocked(e)
	}
}
