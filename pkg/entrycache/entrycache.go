// Package entrycache holds the raw entries that a host has read from the store, so that it can pass them
// on to other hosts.
package entrycache

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Cache holds entries as stored. It is safe for concurrent use.
type Cache struct {
	mu        sync.Mutex
	config    fleet.Entry
	endpoints map[string]fleet.Entry
	// endpointBytes is the size of all endpoints' entries.
	endpointBytes int
	// hosts holds the host entries up to the offset hostsNext.
	hosts     map[string]fleet.Entry
	hostsNext fleet.Position
}

// New returns an empty cache.
func New() *Cache {
	return &Cache{endpoints: map[string]fleet.Entry{}, hosts: map[string]fleet.Entry{}}
}

// AddHosts adds host entries that are complete up to the batch's next offset.
func (c *Cache) AddHosts(b fleet.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range b.Entries {
		if old, ok := c.hosts[e.Key]; !ok || old.Offset < e.Offset {
			c.hosts[e.Key] = e
		}
	}
	c.hostsNext = max(c.hostsNext, b.Next)
}

// WithConfig calls f with the entry of the configuration in force, which f may replace. Calls do not overlap.
func (c *Cache) WithConfig(f func(config *fleet.Entry)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.config)
}

// ConfigOffset returns the position of the configuration in force.
func (c *Cache) ConfigOffset() fleet.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Offset
}

// ConfigBytes returns the size of the configuration in force in bytes.
func (c *Cache) ConfigBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.config.Value)
}

// HostsOffset returns the offset up to which host entries are known.
func (c *Cache) HostsOffset() fleet.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hostsNext
}

// MaxHosts bounds the host entries that HostsFrom returns, so that they fit the time of a message on a
// slow link.
const MaxHosts = 300

// HostsFrom returns the newest entry of each host that changed at or after an offset. more reports
// whether some were left out for the next call.
func (c *Cache) HostsFrom(from fleet.Position) (b fleet.Batch, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b.Next = c.hostsNext
	for _, e := range c.hosts {
		if e.Offset >= from {
			b.Entries = append(b.Entries, e)
		}
	}
	if len(b.Entries) <= MaxHosts {
		return b, false
	}
	slices.SortFunc(b.Entries, func(x, y fleet.Entry) int { return cmp.Compare(x.Offset, y.Offset) })
	b.Entries = b.Entries[:MaxHosts]
	b.Next = min(b.Next, b.Entries[MaxHosts-1].Offset+1)
	return b, true
}

// Endpoint returns the list entry with a key.
func (c *Cache) Endpoint(key string) (fleet.Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.endpoints[key]
	return e, ok
}

// AddEndpoint adds a list entry unless a newer one of its key is known.
func (c *Cache) AddEndpoint(e fleet.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.endpoints[e.Key]; !ok || old.Offset < e.Offset {
		c.endpointBytes += len(e.Value) - len(old.Value)
		c.endpoints[e.Key] = e
	}
}

// ListBytes returns the size of the list of endpoints in bytes.
func (c *Cache) ListBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpointBytes
}

// EndpointEntryBytes returns the mean size of an endpoint's entry in bytes.
func (c *Cache) EndpointEntryBytes() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.endpointBytes) / float64(max(1, len(c.endpoints)))
}

// ReplaceEndpoints replaces the list entries by those of a complete listing that ends before the
// position next, unless newer ones are known. Entries that it lacks are kept as removals, for the hosts
// that learn of changes from this one.
func (c *Cache) ReplaceEndpoints(listed map[string]fleet.Entry, next fleet.Position) {
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

// Evict removes the entries of endpoints.
func (c *Cache) Evict(ids []fleet.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.endpointBytes -= len(c.endpoints[id.Name()].Value)
		delete(c.endpoints, id.Name())
	}
}

// AllEndpoints returns the entries of all endpoints.
func (c *Cache) AllEndpoints() []fleet.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.endpoints))
}

// EndpointEntries returns the newest entries of endpoints.
func (c *Cache) EndpointEntries(ids []fleet.EndpointID) []fleet.Entry {
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
