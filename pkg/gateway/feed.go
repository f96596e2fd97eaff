package gateway

import (
	"sync"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// feed is what a host has read from the store, as it stands there, so that it
// can pass it on to other hosts. It is safe for concurrent use.
type feed struct {
	mu        sync.Mutex
	config    fleet.Entry
	endpoints map[string]fleet.Entry
	// hosts are the entries of hosts up to the offset hostsNext.
	hosts     map[string]fleet.Entry
	hostsNext int64
}

func newFeed() *feed {
	return &feed{endpoints: map[string]fleet.Entry{}, hosts: map[string]fleet.Entry{}}
}

// takeHosts keeps entries of hosts that are complete up to an offset.
func (f *feed) takeHosts(b fleet.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range b.Entries {
		if old, ok := f.hosts[e.Key]; !ok || old.Offset < e.Offset {
			f.hosts[e.Key] = e
		}
	}
	f.hostsNext = max(f.hostsNext, b.Next)
}

// hostsKnown is the offset up to which the entries of hosts are known.
func (f *feed) hostsKnown() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hostsNext
}

// hostsFrom returns the entries of hosts from an offset on, the newest of each.
func (f *feed) hostsFrom(from int64) fleet.Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := fleet.Batch{Next: f.hostsNext}
	for _, e := range f.hosts {
		if e.Offset >= from {
			b.Entries = append(b.Entries, e)
		}
	}
	return b
}

// drop forgets the entries of endpoints that are gone for long.
func (f *feed) drop(ids []fleet.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		delete(f.endpoints, id.Name())
	}
}

// entries returns the newest entries of endpoints.
func (f *feed) entries(ids []fleet.EndpointID) []fleet.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []fleet.Entry
	for _, id := range ids {
		if e, ok := f.endpoints[id.Name()]; ok {
			out = append(out, e)
		}
	}
	return out
}
