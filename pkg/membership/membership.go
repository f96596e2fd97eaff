// Package membership tracks endpoints from the platform's list, from health checks and from
// reports of other hosts. The list may lag and be inconsistent.
package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/record"
)

// LostAfter is how long an endpoint must be both unlisted and unreachable before it is
// removed. It tolerates a list that omits a live endpoint for a few polls.
const LostAfter = 5 * time.Second

// DrainingEndpoint identifies an incarnation of an endpoint that is draining.
type DrainingEndpoint struct {
	Endpoint    string             `cbor:"1,keyasint"`
	Incarnation record.Incarnation `cbor:"2,keyasint"`
}

// Tracker holds the known endpoints. It is not safe for concurrent use.
type Tracker struct {
	members  map[string]*member
	draining map[DrainingEndpoint]bool
	// hostListedAt is when each entry host was last listed, or when HostLost was first called
	// for it.
	hostListedAt map[string]time.Time
}

type member struct {
	host      external.ListedHost
	status    external.EngineStatus
	reachable bool
	listed    bool
	// lastSeen is when the endpoint was last listed or reachable.
	lastSeen time.Time
	// healthCheckedAt is the time of the last successful health check.
	healthCheckedAt time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{members: map[string]*member{}, draining: map[DrainingEndpoint]bool{}, hostListedAt: map[string]time.Time{}}
}

// ApplyList applies the platform's list. It returns the draining incarnations that were
// not marked as draining before.
func (t *Tracker) ApplyList(now time.Time, list []external.ListedHost) []DrainingEndpoint {
	for _, m := range t.members {
		m.listed = false
	}
	var newlyDraining []DrainingEndpoint
	for _, h := range list {
		if h.Kind != external.EndpointHost {
			t.hostListedAt[h.Name] = now
			continue
		}
		m := t.members[h.Name]
		if m == nil {
			m = &member{}
			t.members[h.Name] = m
		}
		m.host = h
		m.listed = true
		m.lastSeen = now
		draining := DrainingEndpoint{h.Name, h.Incarnation}
		if h.Draining && t.MarkDraining(draining) {
			newlyDraining = append(newlyDraining, draining)
		}
	}
	t.evictLost(now)
	return newlyDraining
}

// HostLost reports whether an entry host has been unlisted for longer than LostAfter.
func (t *Tracker) HostLost(now time.Time, name string) bool {
	listedAt, known := t.hostListedAt[name]
	if !known {
		t.hostListedAt[name] = now
		return false
	}
	return now.Sub(listedAt) > LostAfter
}

// AddKnown adds endpoints known from another source, so that they are health-checked. Otherwise a
// new pool owner would treat an endpoint and its replicas as lost if the list omits it for a
// moment.
func (t *Tracker) AddKnown(now time.Time, hosts []external.ListedHost) {
	for _, h := range hosts {
		if t.members[h.Name] == nil {
			t.members[h.Name] = &member{host: h, lastSeen: now}
		}
	}
}

// MarkDraining marks an incarnation as draining and reports whether that is new. The mark is
// never cleared for the same incarnation, so that an older or inconsistent list cannot route
// new requests to it.
func (t *Tracker) MarkDraining(d DrainingEndpoint) bool {
	if t.draining[d] {
		return false
	}
	t.draining[d] = true
	return true
}

// RecordHealthCheck records the result of an endpoint's health check.
func (t *Tracker) RecordHealthCheck(now time.Time, name string, status external.EngineStatus, err error) {
	m := t.members[name]
	if m == nil {
		return
	}
	m.reachable = err == nil
	if m.reachable {
		m.status = status
		m.lastSeen = now
		m.healthCheckedAt = now
	}
}

// evictLost removes lost endpoints, and the draining marks of incarnations that have been
// replaced.
func (t *Tracker) evictLost(now time.Time) {
	maps.DeleteFunc(t.members, func(_ string, m *member) bool {
		return !m.listed && !m.reachable && now.Sub(m.lastSeen) > LostAfter
	})
	maps.DeleteFunc(t.draining, func(d DrainingEndpoint, _ bool) bool {
		m := t.members[d.Endpoint]
		return m != nil && m.host.Incarnation != d.Incarnation && m.listed && m.status.Incarnation == m.host.Incarnation
	})
}

// Draining reports whether an endpoint must not get new requests.
func (t *Tracker) Draining(name string) bool {
	m := t.members[name]
	return m != nil && t.memberDraining(m)
}

// memberDraining reports whether the current incarnation of a member is draining. It prefers the
// incarnation that responds to health checks, since after a restart the list may still show the
// previous one.
func (t *Tracker) memberDraining(m *member) bool {
	if m.status.Incarnation != "" && m.status.Incarnation != m.host.Incarnation {
		return t.draining[DrainingEndpoint{m.host.Name, m.status.Incarnation}]
	}
	return t.draining[DrainingEndpoint{m.host.Name, m.host.Incarnation}]
}

// HealthCheckTargets returns the endpoints to health-check, ordered by name.
func (t *Tracker) HealthCheckTargets() []external.ListedHost {
	var hosts []external.ListedHost
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		hosts = append(hosts, t.members[name].host)
	}
	return hosts
}

// Status returns the last status of an endpoint, and false if the endpoint is unreachable.
func (t *Tracker) Status(name string) (external.EngineStatus, bool) {
	m := t.members[name]
	if m == nil || !m.reachable {
		return external.EngineStatus{}, false
	}
	return m.status, true
}

// Incarnation returns the current incarnation of a plain service's endpoint, or "" for other
// endpoints.
func (t *Tracker) Incarnation(name string) record.Incarnation {
	m := t.members[name]
	switch {
	case m == nil || m.host.Service == "":
		return ""
	case m.status.Incarnation != "":
		return m.status.Incarnation
	}
	return m.host.Incarnation
}

// ServiceEndpoints returns the endpoints of a plain service that may get new requests.
func (t *Tracker) ServiceEndpoints(name string) []external.ListedHost {
	var hosts []external.ListedHost
	for _, endpoint := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[endpoint]
		if m.host.Service == name && m.listed && !t.memberDraining(m) {
			hosts = append(hosts, m.host)
		}
	}
	return hosts
}

// PoolObservations returns the observations of a pool's endpoints for the pool's owner. A
// status from before since is omitted, because it may predate loads ordered by the previous
// owner. Such an endpoint is reported without an incarnation, which only shows that it is not
// lost.
func (t *Tracker) PoolObservations(name string, since time.Time) []pool.Observation {
	var list []pool.Observation
	for _, endpoint := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[endpoint]
		if m.host.Pool != name {
			continue
		}
		if m.healthCheckedAt.Before(since) {
			list = append(list, pool.Observation{
				EndpointRegistered: record.EndpointRegistered{Endpoint: endpoint},
				Draining:           t.memberDraining(m),
			})
			continue
		}
		o := pool.Observation{
			EndpointRegistered: record.EndpointRegistered{
				Endpoint:      endpoint,
				Incarnation:   m.status.Incarnation,
				Addr:          m.host.Addr,
				Zone:          m.host.Zone,
				MemoryMB:      m.status.MemoryMB,
				ChecksFencing: m.host.ChecksFencing,
			},
			Draining:  t.memberDraining(m),
			Reachable: m.reachable,
		}
		for _, r := range m.status.Replicas {
			o.Loaded = append(o.Loaded, r.ID)
		}
		list = append(list, o)
	}
	return list
}
