package slotshare

import (
	"maps"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// downHost is a host that does not respond, or is suspected of it.
type downHost struct {
	// since is when this host found out; it is zero while the other host is only suspected.
	since time.Time
	// probed is when it was last probed.
	probed time.Time
}

// RecordDown records that a host does not respond, or that this host shuts down: the next hosts in the order of an
// endpoint own its slots.
func (t *Table) RecordDown(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.down[host]
	if d == nil {
		d = &downHost{}
		t.down[host] = d
	}
	if d.since.IsZero() {
		d.since = t.now()
	}
	d.probed = t.now()
}

// RecordUp records that a host responds.
func (t *Table) RecordUp(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.down, host)
}

// suspectOwners causes the owners of an endpoint to be probed, because another host has found them down. It must be
// called with mu held.
func (t *Table) suspectOwners(e fleet.Endpoint, l Limit) {
	shares, _ := t.shares(e, l)
	for _, s := range shares {
		if t.down[s.Host] == nil && s.Host != t.self {
			t.down[s.Host] = &downHost{}
		}
	}
}

// ProbesDue returns the hosts to probe now: those that are down, and those that are suspected of it. The result is
// recorded by RecordUp or RecordDown. While no service is limited, all hosts count as up.
func (t *Table) ProbesDue(limited bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !limited {
		maps.DeleteFunc(t.down, func(h string, _ *downHost) bool { return h != t.self })
		return nil
	}
	now := t.now()
	var out []string
	for h, d := range t.down {
		if h != t.self && now.Sub(d.probed) >= probeInterval {
			d.probed = now
			out = append(out, h)
		}
	}
	return out
}
