package fleet

import (
	"slices"
	"sync"
	"time"
)

// lapseGrace is how long after the store's return an entry that vanished while
// it was away may still come back; the platform promises about two seconds.
const lapseGrace = 2 * time.Second

// goneFor is how long an endpoint that is gone is remembered, so that a late copy
// of its entry does not bring it back: hosts that cannot read the store pass copies
// on that are some seconds old.
const goneFor = time.Minute

// noOffset is below every offset.
const noOffset = -1

// Directory is the list of endpoints as one host has learned it.
// It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	entries map[EndpointID]*entry
	// current is the newest incarnation known under each name.
	current map[string]EndpointID
	// changed names the entries that have changed since takeChanges.
	changed map[EndpointID]bool
	// missing counts the entries that may still come back.
	missing int
	// read is the offset up to which the list has been followed.
	read int64
	// material is the offset of the newest entry that changed which endpoints
	// take requests; heartbeats do not.
	material int64
	// storeBack is when the store was last seen to return, storeAway whether it
	// is away now.
	storeBack time.Time
	storeAway bool
	// forgotten is the offset up to which entries of unknown endpoints are those of
	// endpoints that were dropped.
	forgotten int64
}

type entry struct {
	Endpoint
	offset int64
	// material is the offset of the entry that last changed whether the endpoint takes
	// requests.
	material int64
	// changed is when the entry was last taken in.
	changed time.Time
	// missing is when the entry vanished while the store was away, else zero.
	missing time.Time
	gone    bool
	// goneAt is when the endpoint was first found gone.
	goneAt time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{entries: map[EndpointID]*entry{}, current: map[string]EndpointID{}, changed: map[EndpointID]bool{}, forgotten: noOffset}
}

// Offset is the offset from which the list has to be read on.
func (d *Directory) Offset() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.read
}

// StoreState takes in whether the store answers this host.
func (d *Directory) StoreState(now time.Time, answers bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeAway && answers {
		d.storeBack = now
	}
	d.storeAway = !answers
}

// Confirmed takes in that another host has just read the list and told what changed. The
// store is not away then, even if it does not answer this host: entries that lapsed end
// when they have not come back. A host that waited for a read of its own, which it makes
// once a minute while it is told, sent requests to an endpoint that had left.
func (d *Directory) Confirmed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeAway = false
}

// Apply takes in one entry of the list. An older one than is known has no effect.
func (d *Directory) Apply(now time.Time, offset int64, e Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.read = max(d.read, offset+1)
	d.apply(now, offset, e)
}

func (d *Directory) apply(now time.Time, offset int64, e Endpoint) {
	if e.Unreadable || e.ID.Born() < d.current[e.ID.Name()].Born() && e.ID.Born() == 0 {
		d.hide(now, offset, e.ID.Name())
		return
	}
	old := d.entries[e.ID]
	if old != nil && old.offset >= offset || old == nil && offset <= d.forgotten {
		return
	}
	if !d.succeed(e.ID) {
		return
	}
	// An incarnation that has announced its leaving never takes requests again. A
	// late copy of an older heartbeat would otherwise route requests to it.
	if old != nil && old.Draining {
		e.Draining = true
	}
	d.put(now, offset, old, e)
}

// succeed makes an incarnation the current one of its name and ends the one before. It
// fails for an incarnation that has ended already: a write that the store carries out
// late would bring back what that one held, and requests would be sent for it.
func (d *Directory) succeed(id EndpointID) bool {
	name := id.Name()
	before, known := d.current[name]
	if known && id.Born() < before.Born() {
		return false
	}
	if known && before != id && !d.entries[before].gone {
		d.end(d.entries[before])
	}
	d.current[name] = id
	return true
}

// hide takes in an entry that is not understood, or that lacks the start which its
// endpoint has stated. Whoever wrote it, it names no endpoint to use: the endpoint gets
// no new requests until it writes again. It is not gone, and what it holds stays known,
// so that requests which run there end, and its next heartbeat brings it back whole.
func (d *Directory) hide(now time.Time, offset int64, name string) {
	old := d.entries[d.current[name]]
	if old == nil || old.gone || old.offset >= offset {
		return
	}
	e := old.Endpoint
	e.Unreadable = true
	d.put(now, offset, old, e)
}

// put replaces an entry by a newer one; old is nil if there was none.
func (d *Directory) put(now time.Time, offset int64, old *entry, e Endpoint) {
	material := offset
	if old != nil && !old.gone && old.TakesRequests() == e.TakesRequests() && old.missing.IsZero() {
		material = old.material
	}
	d.material = max(d.material, material)
	if old != nil && !old.missing.IsZero() {
		d.missing--
	}
	d.entries[e.ID] = &entry{Endpoint: e, offset: offset, material: material, changed: now}
	d.changed[e.ID] = true
}

// Remove takes in that the entry of an endpoint was deleted, whatever its incarnation.
func (d *Directory) Remove(now time.Time, offset int64, id EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.read = max(d.read, offset+1)
	if e := d.entries[d.current[id.Name()]]; e != nil && e.offset < offset {
		e.offset = offset
		e.material = offset
		d.material = max(d.material, offset)
		d.vanish(now, e)
	}
}

// serviceOf is the service of an endpoint, empty if it is not known.
func (d *Directory) serviceOf(id EndpointID) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.entries[id]; e != nil {
		return e.Service
	}
	return ""
}

// Material is the offset of the newest entry that changed which endpoints take
// requests.
func (d *Directory) Material() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.material
}

// MaterialSince returns the endpoints that came, announced their leaving or went
// after an offset.
func (d *Directory) MaterialSince(offset int64) []EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []EndpointID
	for id, e := range d.entries {
		if e.material > offset {
			out = append(out, id)
		}
	}
	return out
}

// StoreBack takes in that the store was away until a time. A host that reads it
// seldom may not have noticed.
func (d *Directory) StoreBack(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.storeBack) {
		d.storeBack = at
	}
}

// StoreBackAgo is how long ago the store was found to be back, 0 if entries that
// lapsed while it was away cannot come back any more.
func (d *Directory) StoreBackAgo(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	ago := now.Sub(d.storeBack)
	if d.storeBack.IsZero() || ago > lapseGrace {
		return 0
	}
	return ago
}

// vanish marks an endpoint whose entry is gone. While the store was away all
// entries lapse, also those of endpoints that serve: they stay in use until
// lapseGrace after its return. Taking them as gone at once would refuse every
// request for that time.
func (d *Directory) vanish(now time.Time, e *entry) {
	if e.gone {
		return
	}
	if !d.storeBack.IsZero() && now.Sub(d.storeBack) < lapseGrace && !e.Draining {
		if e.missing.IsZero() {
			e.missing = now
			d.missing++
		}
		return
	}
	d.end(e)
}

// end marks an endpoint as gone.
func (d *Directory) end(e *entry) {
	if !e.missing.IsZero() {
		d.missing--
		e.missing = time.Time{}
	}
	e.gone = true
	d.changed[e.ID] = true
}

// expire ends the endpoints whose entries have not come back.
func (d *Directory) expire(now time.Time) {
	if d.missing == 0 || d.storeAway || now.Sub(d.storeBack) < lapseGrace {
		return
	}
	for _, e := range d.entries {
		if !e.missing.IsZero() {
			d.end(e)
		}
	}
}

// change is what has become of an endpoint.
type change struct {
	endpoint Endpoint
	gone     bool
}

// takeChanges returns what has changed since the last call.
func (d *Directory) takeChanges(now time.Time) []change {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
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

// Replace takes in a complete listing that was read up to offset next. An
// older listing than what has been followed removes nothing.
func (d *Directory) Replace(now time.Time, next int64, list map[int64]Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present := make(map[string]bool, len(list))
	for offset, e := range list {
		present[e.ID.Name()] = true
		d.apply(now, offset, e)
	}
	if next < d.read {
		return
	}
	d.read = next
	for id, e := range d.entries {
		if !present[id.Name()] && e.offset < next {
			d.vanish(now, e)
		}
	}
}

// View is an endpoint with the age of what is known of it.
type View struct {
	Endpoint
	// Offset of the entry in the list; a greater one is newer.
	Offset int64
	// Changed is when this host took the entry in.
	Changed time.Time
}

// Live returns the endpoints that may be used or are draining, by ID. Those
// whose entry has vanished for good are dropped.
func (d *Directory) Live(now time.Time) []View {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	list := make([]View, 0, len(d.entries))
	for _, e := range d.entries {
		if e.gone {
			continue
		}
		list = append(list, View{Endpoint: e.Endpoint, Offset: e.offset, Changed: e.changed})
	}
	slices.SortFunc(list, func(a, b View) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// Leave takes in that an endpoint has said in an answer that it leaves. Its entry may not say so
// for long: while the store is away nothing is written there.
func (d *Directory) Leave(id EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.entries[id]; e != nil && !e.Draining {
		e.Draining = true
		d.changed[id] = true
	}
}

// Announced tells whether an endpoint has said that it leaves, or was taken off the list.
func (d *Directory) Announced(id EndpointID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	return e != nil && (e.Draining || e.gone)
}

// Gone tells whether an endpoint is known to have ended.
func (d *Directory) Gone(id EndpointID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	return e != nil && e.gone
}

// Prune drops the endpoints that have been gone for long. Otherwise each one that
// is replaced would take about a kilobyte for the life of the process. Endpoints
// that live have newer entries than those dropped: they write one each second. It
// returns what was dropped, but for former incarnations of endpoints that are kept.
func (d *Directory) Prune(now time.Time) []EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var dropped []EndpointID
	for id, e := range d.entries {
		switch {
		case !e.gone:
		case e.goneAt.IsZero():
			e.goneAt = now
		case now.Sub(e.goneAt) >= goneFor:
			delete(d.entries, id)
			d.forgotten = max(d.forgotten, e.offset)
			if d.current[id.Name()] == id {
				delete(d.current, id.Name())
				dropped = append(dropped, id)
			}
		}
	}
	return dropped
}

// Known is the number of endpoints that are remembered, gone ones too.
func (d *Directory) Known() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}

// Forget marks an endpoint as gone by what this host has seen itself, such as
// another incarnation at its address.
func (d *Directory) Forget(id EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.entries[id]; e != nil {
		d.end(e)
	}
}
