package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Directory is a host's copy of the endpoint list. It is safe for concurrent use.
type Directory struct {
	// HeartbeatInterval is about how often an endpoint writes its entry; 0 means
	// defaultHeartbeatInterval. It must be set before use.
	HeartbeatInterval time.Duration

	mu      sync.Mutex
	entries map[EndpointID]*entry
	// current maps each endpoint name to its newest known incarnation.
	current map[string]EndpointID
	// former holds, by name, the entries of former incarnations since the newest one of the current.
	former map[string]formerEntries
	// changed holds the endpoints that have changed since the last call of takeChanges.
	changed map[EndpointID]bool
	// missing counts the entries that have disappeared and may still return.
	missing int
	// nextOffset is the offset of the next unread entry of the list.
	nextOffset Position
	// routingOffset is the offset of the newest entry that changed which endpoints take
	// requests. Plain heartbeats do not advance it.
	routingOffset Position
	// storeRestoredAt is the end of the last known store outage. storeUnavailable is set
	// during an outage.
	storeRestoredAt  time.Time
	storeUnavailable bool
	// answeredAt is when the store last answered a read of this host, or of the host that sends it changes.
	answeredAt time.Time
	// contact tracks since when the store has been available to this host.
	contact storeContact
	// prunedOffset is the newest offset of a pruned endpoint. Entries of unknown endpoints up
	// to this offset are ignored.
	prunedOffset Position
}

type entry struct {
	Endpoint
	offset Position
	// routingOffset is the offset of the entry that last changed whether the endpoint takes
	// requests.
	routingOffset Position
	// changed is when this host received the entry.
	changed time.Time
	// missing is when the entry disappeared after a store outage; zero if it is present.
	missing time.Time
	gone    bool
	// goneAt is when Prune first found the endpoint gone.
	goneAt time.Time
	// restartedAt is when this host first read of the incarnation, zero if it knew no former one.
	restartedAt time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{entries: map[EndpointID]*entry{}, current: map[string]EndpointID{}, former: map[string]formerEntries{}, changed: map[EndpointID]bool{}, prunedOffset: NoPosition}
}

// Offset returns the offset of the next unread entry of the list.
func (d *Directory) Offset() Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nextOffset
}

// SetStoreAvailable records whether the store responds to this host.
func (d *Directory) SetStoreAvailable(now time.Time, responding bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeUnavailable && responding && d.mayHaveExpired(now.Sub(d.answeredAt)) {
		d.storeRestoredAt = now
	}
	d.storeUnavailable = !responding
	if responding {
		d.answeredAt = now
	}
	d.contact.recordOwnRead(now, responding)
}

// MarkStoreAvailable records that another host has read the list at a recent time and sent its
// changes. The store is therefore available even if it does not respond to this host, and missing
// entries expire on time.
func (d *Directory) MarkStoreAvailable(readAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeUnavailable = false
	if readAt.After(d.answeredAt) {
		d.answeredAt = readAt
	}
	d.contact.recordAnswer(readAt)
}

// Apply applies one entry of the list. Entries older than the known one are ignored.
func (d *Directory) Apply(now time.Time, offset Position, e Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextOffset = max(d.nextOffset, offset+1)
	d.apply(now, offset, e)
}

// ApplyAhead is like Apply for an entry that this host knows before it knows all earlier ones.
func (d *Directory) ApplyAhead(now time.Time, offset Position, e Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(now, offset, e)
}

// Advance records that the list is complete up to a position.
func (d *Directory) Advance(next Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextOffset = max(d.nextOffset, next)
}

func (d *Directory) apply(now time.Time, offset Position, e Endpoint) {
	if e.Unreadable || d.lacksStart(e.ID) && !d.returns(now, offset, e.ID) {
		d.markUnreadable(now, offset, e.ID.Name())
		return
	}
	old := d.entries[e.ID]
	if old != nil && old.offset >= offset || old == nil && offset <= d.prunedOffset {
		return
	}
	// The older copy of a restored store may hold the entry of an endpoint that has left since.
	if old != nil && old.gone && offset.MayPrecede(old.offset) {
		return
	}
	former, known := d.current[e.ID.Name()]
	if !d.supersede(now, offset, e.ID) {
		return
	}
	// Draining is final for an incarnation: a delayed copy of an older heartbeat must not
	// route requests to it again.
	if old != nil && old.Draining {
		e.Draining = true
	}
	d.put(now, offset, old, e)
	if known && former != e.ID && old == nil {
		d.entries[e.ID].restartedAt = now
	}
}

// lacksStart reports whether an entry lacks the start time that the endpoint has stated before.
func (d *Directory) lacksStart(id EndpointID) bool {
	return id.StartMillis() == 0 && d.current[id.Name()].StartMillis() > 0
}

// supersede makes an incarnation the current one of its name and marks the previous one as
// gone. It returns false for an incarnation older than the current one: the store may apply a
// delayed write of a previous incarnation. If only the older one goes on writing entries, the other one
// was an odd entry of another writer.
func (d *Directory) supersede(now time.Time, offset Position, id EndpointID) bool {
	name := id.Name()
	previous, known := d.current[name]
	if known && id.StartMillis() < previous.StartMillis() && !d.returns(now, offset, id) {
		return false
	}
	delete(d.former, name)
	if known && previous != id && !d.entries[previous].gone {
		d.markGoneLocked(d.entries[previous])
	}
	d.current[name] = id
	return true
}

// markUnreadable handles an entry that cannot be decoded, or that lacks the start time which
// the endpoint has stated before. The endpoint takes no new requests until its next valid
// entry. It is not gone: running requests continue and its models stay known.
func (d *Directory) markUnreadable(now time.Time, offset Position, name string) {
	old := d.entries[d.current[name]]
	if old == nil || old.gone || old.offset >= offset {
		return
	}
	e := old.Endpoint
	e.Unreadable = true
	d.put(now, offset, old, e)
}

// put replaces an entry by a newer one; old is nil if there was none.
func (d *Directory) put(now time.Time, offset Position, old *entry, e Endpoint) {
	routingOffset := offset
	if old != nil && !old.gone && old.TakesRequests() == e.TakesRequests() && old.missing.IsZero() {
		routingOffset = old.routingOffset
	}
	d.routingOffset = max(d.routingOffset, routingOffset)
	if old != nil && !old.missing.IsZero() {
		d.missing--
	}
	n := &entry{Endpoint: e, offset: offset, routingOffset: routingOffset, changed: now}
	if old != nil {
		n.restartedAt = old.restartedAt
	}
	d.entries[e.ID] = n
	d.changed[e.ID] = true
}

// Remove applies the deletion of an endpoint's entry, for any incarnation.
func (d *Directory) Remove(now time.Time, offset Position, id EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextOffset = max(d.nextOffset, offset+1)
	d.removeByID(now, offset, id)
}

// RemoveAhead is like Remove for an entry that this host knows before it knows all earlier ones.
func (d *Directory) RemoveAhead(now time.Time, offset Position, id EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeByID(now, offset, id)
}

func (d *Directory) removeByID(now time.Time, offset Position, id EndpointID) {
	if e := d.entries[d.current[id.Name()]]; e != nil && e.offset < offset {
		d.remove(now, offset, e)
	}
}

// remove applies the removal of an entry. It must be called with d.mu held.
func (d *Directory) remove(now time.Time, offset Position, e *entry) {
	e.offset = offset
	e.routingOffset = offset
	d.routingOffset = max(d.routingOffset, offset)
	delete(d.former, e.ID.Name())
	d.handleRemoval(now, e)
}

// serviceOf returns the service of an endpoint, or "" if the endpoint is unknown.
func (d *Directory) serviceOf(id EndpointID) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.entries[id]; e != nil {
		return e.Service
	}
	return ""
}

// RoutingOffset returns the offset of the newest entry that changed which endpoints take requests.
func (d *Directory) RoutingOffset() Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routingOffset
}

// RoutingChangesSince returns the endpoints that were added, started draining or were removed after
// an offset.
func (d *Directory) RoutingChangesSince(offset Position) []EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []EndpointID
	for id, e := range d.entries {
		if e.routingOffset > offset {
			out = append(out, id)
		}
	}
	return out
}

// change is a changed endpoint.
type change struct {
	endpoint Endpoint
	gone     bool
}

// takeChanges returns and clears the changes since the last call.
func (d *Directory) takeChanges(now time.Time) []change {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireMissing(now)
	var out []change
	for id := range d.changed {
		c := change{endpoint: Endpoint{ID: id}, gone: true}
		if e := d.entries[id]; e != nil {
			c = change{e.Endpoint, e.gone}
		}
		out = append(out, c)
	}
	clear(d.changed)
	return out
}

// Replace applies a complete listing that ends before the offset next. A listing older than
// the entries already read removes nothing.
func (d *Directory) Replace(now time.Time, next Position, entries map[Position]Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for offset, e := range entries {
		listed[e.ID.Name()] = true
		d.apply(now, offset, e)
	}
	if next < d.nextOffset {
		return
	}
	d.nextOffset = next
	for id, e := range d.entries {
		if listed[id.Name()] || e.offset >= next {
			continue
		}
		// In a new era a host may have read the entry of an endpoint that is gone here.
		if known := e.gone || !e.missing.IsZero(); !known || e.offset.Era() != next.Era() {
			d.remove(now, next.Previous(), e)
		}
	}
}

// View is an endpoint with the offset and age of its entry.
type View struct {
	Endpoint
	// Offset is the offset of the entry in the list; a greater offset is newer.
	Offset Position
	// ReceivedAt is when this host received the entry.
	ReceivedAt time.Time
	// RestartedAt is when this host first read of this incarnation, zero if it knew no former one of that name.
	RestartedAt time.Time
}

// Live returns the endpoints that are not gone, including draining ones, ordered by ID.
func (d *Directory) Live(now time.Time) []View {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireMissing(now)
	live := make([]*entry, 0, len(d.entries))
	for _, e := range d.entries {
		if !e.gone {
			live = append(live, e)
		}
	}
	slices.SortFunc(live, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	views := make([]View, len(live))
	for i, e := range live {
		views[i] = View{Endpoint: e.Endpoint, Offset: e.offset, ReceivedAt: e.changed, RestartedAt: e.restartedAt}
	}
	return views
}

// InUse returns an endpoint if it is live and takes requests.
func (d *Directory) InUse(now time.Time, id EndpointID) (Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireMissing(now)
	e := d.entries[id]
	if e == nil || e.gone || !e.TakesRequests() {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// LiveIDs returns the IDs of the endpoints that are not gone, including draining ones.
func (d *Directory) LiveIDs(now time.Time) map[EndpointID]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireMissing(now)
	ids := make(map[EndpointID]bool, len(d.entries))
	for id, e := range d.entries {
		if !e.gone {
			ids[id] = true
		}
	}
	return ids
}

// MarkDraining marks an endpoint as draining after it has announced this in a response. During a
// store outage its entry may not show it.
func (d *Directory) MarkDraining(id EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.entries[id]; e != nil && !e.Draining {
		e.Draining = true
		d.changed[id] = true
	}
}

// DrainingOrGone reports whether an endpoint is draining or was removed from the list.
func (d *Directory) DrainingOrGone(id EndpointID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	return e != nil && (e.Draining || e.gone)
}

// Gone reports whether an endpoint is known to have terminated.
func (d *Directory) Gone(id EndpointID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	return e != nil && e.gone
}

// Len returns the number of endpoints in memory, including gone ones.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}
