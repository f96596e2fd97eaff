package fleet

import (
	"iter"
	"slices"
	"sort"
)

// changeLog lists endpoints by the version of their last change, so that the changes since a version
// are found without looking at all endpoints.
type changeLog struct {
	newest map[EndpointID]int64
	// entries is ordered by version. An entry is outdated unless it has the newest version of its
	// endpoint.
	entries []changeEntry
}

type changeEntry struct {
	version int64
	id      EndpointID
}

// minCompactEntries is the number of entries below which outdated ones are kept.
const minCompactEntries = 64

func newChangeLog() changeLog { return changeLog{newest: map[EndpointID]int64{}} }

// record records a change of an endpoint. Versions must increase.
func (c *changeLog) record(id EndpointID, version int64) {
	c.newest[id] = version
	c.entries = append(c.entries, changeEntry{version, id})
	if len(c.entries) > 2*len(c.newest)+minCompactEntries {
		c.entries = slices.DeleteFunc(c.entries, func(e changeEntry) bool { return c.newest[e.id] != e.version })
	}
}

// since returns the endpoints whose last change is newer than a version, and the versions of these
// changes, oldest first.
func (c *changeLog) since(version int64) iter.Seq2[EndpointID, int64] {
	return func(yield func(EndpointID, int64) bool) {
		first := sort.Search(len(c.entries), func(i int) bool { return c.entries[i].version > version })
		for _, e := range c.entries[first:] {
			if c.newest[e.id] == e.version && !yield(e.id, e.version) {
				return
			}
		}
	}
}
