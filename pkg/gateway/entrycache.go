package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// entryCache holds the raw entries that a host has read from the store, so that it can pass
// them on to other hosts. It is safe for concurrent use.
type entryCache struct {
	mu        sync.Mutex
	config    fleet.Entry
	endpoints map[string]fleet.Entry
	// endpointBytes is the size of all endpoints' entries.
	endpointBytes int
	// hosts holds the host entries up to the offset hostsNext.
	hosts     map[string]fleet.Entry
	hostsNext fleet.Position
}

func newEntryCache() *entryCache {
	return &entryCache{endpoints: map[string]fleet.Entry{}, hosts: map[string]fleet.Entry{}}
}

// addHosts adds host entries that are complete up to the batch's next offset.
func (c *entryCache) addHosts(b fleet.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range b.Entries {
		if old, ok := c.hosts[e.Key]; !ok || old.Offset < e.Offset {
			c.hosts[e.Key] = e
		}
	}
	c.hostsNext = max(c.hostsNext, b.Next)
}

// configOffset returns the position of the configuration in force.
func (c *entryCache) configOffset() fleet.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Offset
}

// configBytes returns the size of the configuration in force.
func (c *entryCache) configBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.config.Value)
}

// hostsOffset returns the offset up to which host entries are known.
func (c *entryCache) hostsOffset() fleet.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hostsNext
}

// maxHostsPerNotice bounds the host entries in one notice, so that it fits the time of a pull on a
// slow link.
const maxHostsPerNotice = 300

// hostsFrom returns the newest entry of each host that changed at or after an offset. more reports
// whether some were left out for the next call.
func (c *entryCache) hostsFrom(from fleet.Position) (b fleet.Batch, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b.Next = c.hostsNext
	for _, e := range c.hosts {
		if e.Offset >= from {
			b.Entries = append(b.Entries, e)
		}
	}
	if len(b.Entries) <= maxHostsPerNotice {
		return b, false
	}
	slices.SortFunc(b.Entries, func(x, y fleet.Entry) int { return cmp.Compare(x.Offset, y.Offset) })
	b.Entries = b.Entries[:maxHostsPerNotice]
	b.Next = min(b.Next, b.Entries[maxHostsPerNotice-1].Offset+1)
	return b, true
}

// endpoint returns the list entry with a key.
func (c *entryCache) endpoint(key string) (fleet.Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.endpoints[key]
	return e, ok
}

// addEndpoint adds a list entry unless a newer one of its key is known.
func (c *entryCache) addEndpoint(e fleet.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.endpoints[e.Key]; !ok || old.Offset < e.Offset {
		c.endpointBytes += len(e.Value) - len(old.Value)
		c.endpoints[e.Key] = e
	}
}

// listBytes returns the size of the list of endpoints.
func (c *entryCache) listBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpointBytes
}

// endpointEntryBytes returns the mean size of an endpoint's entry.
func (c *entryCache) endpointEntryBytes() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.endpointBytes) / float64(max(1, len(c.endpoints)))
}

// replaceEndpoints replaces the list entries by those of a complete listing that ends before the
// position next, unless newer ones are known. Entries that it lacks are kept as removals, for the hosts
// that learn of changes from this one.
func (c *entryCache) replaceEndpoints(listed map[string]fleet.Entry, next fleet.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, old := range c.endpoints {
		e, ok := listed[key]
		switch {
		case ok && e.Offset < old.Offset, !ok && old.Offset >= next:
			listed[key] = old
		case !ok:
			listed[key] = fleet.Entry{Key: key, Offset: next.Previous()}
		}
	}
	c.endpoints = listed
	c.endpointBytes = 0
	for _, e := range listed {
		c.endpointBytes += len(e.Value)
	}
}

// evict removes the entries of endpoints.
func (c *entryCache) evict(ids []fleet.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.endpointBytes -= len(c.endpoints[id.Name()].Value)
		delete(c.endpoints, id.Name())
	}
}

// allEndpoints returns the entries of all endpoints.
func (c *entryCache) allEndpoints() []fleet.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.endpoints))
}

// endpointEntries returns the newest entries of endpoints.
func (c *entryCache) endpointEntries(ids []fleet.EndpointID) []fleet.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []fleet.Entry
	for _, id := range ids {
		if e, ok := c.endpoints[id.Name()]; ok {
			out = append(out, e)
		}
	}
	return out
}
