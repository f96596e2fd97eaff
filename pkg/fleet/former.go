package fleet

import "time"

const (
	// returnEntries is the number of entries of a former incarnation, without one of its successor in
	// between, after which the successor is taken for an odd entry of another writer.
	returnEntries = 3
	// returnIntervals is the number of heartbeat intervals over which they must arrive, so that a few
	// delayed writes are not enough.
	returnIntervals = 1.5
)

// formerEntries counts the entries of a former incarnation since the last one of its successor.
type formerEntries struct {
	id    EndpointID
	count int
	// offset is that of the newest entry, first when the first one arrived.
	offset Position
	first  time.Time
}

// returns records an entry of an incarnation that is older than the current one, and reports whether it
// is that incarnation which is running. The store may apply a delayed write after the endpoint has started
// again, but only an endpoint that runs writes heartbeats.
func (d *Directory) returns(now time.Time, offset Position, id EndpointID) bool {
	name := id.Name()
	if current := d.entries[d.current[name]]; current != nil && offset <= current.offset {
		return false
	}
	f := d.former[name]
	if f.id != id {
		f = formerEntries{id: id, first: now, offset: NoPosition}
	}
	if offset > f.offset {
		f.count++
		f.offset = offset
	}
	d.former[name] = f
	return f.count >= returnEntries && now.Sub(f.first).Seconds() >= returnIntervals*d.heartbeatInterval().Seconds()
}
