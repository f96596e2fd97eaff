// Package membership keeps what is known of endpoints from the platform's
// list, which lags and contradicts itself, from probes and from other hosts.
package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/record"
)

// LostAfter is how long an endpoint must be both unlisted and unreachable
// before its capacity is written off. It covers a list that drops a live host
// for a few polls.
const LostAfter = 5 * time.Second

// Leave states that one run of an endpoint is leaving.
type Leave struct {
	Endpoint    string             `cbor:"1,keyasint"`
	Incarnation record.Incarnation `cbor:"2,keyasint"`
}

// Tracker is the aggregate of known endpoints. It is not safe for concurrent use.
type Tracker struct {
	members map[string]*member
	leaving map[Leave]bool
	// entryListed is when each entry host was last listed, or first asked for.
	entryListed map[string]time.Time
}

type member struct {
	host      external.ListedHost
	status    external.EngineStatus
	reachable bool
	listed    bool
	// lastSign is when the endpoint was last listed or reachable.
	lastSign time.Time
	// probedAt is when the endpoint last answered a probe.
	probedAt time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{members: map[string]*member{}, leaving: map[Leave]bool{}, entryListed: map[string]time.Time{}}
}

// Listed takes in the platform's list. It returns the runs that it newly
// shows as leaving, to be told to the other hosts.
func (t *Tracker) Listed(now time.Time, list []external.ListedHost) []Leave {
	for _, m := range t.members {
		m.listed = false
	}
	var news []Leave
	for _, h := range list {
		if h.Kind != external.EndpointHost {
			t.entryListed[h.Name] = now
			continue
		}
		m := t.members[h.Name]
		if m == nil {
			m = &member{}
			t.members[h.Name] = m
		}
		m.host = h
		m.listed = true
		m.lastSign = now
		leave := Leave{h.Name, h.Incarnation}
		if h.Leaving && t.MarkLeaving(leave) {
			news = append(news, leave)
		}
	}
	t.dropLost(now)
	return news
}

// EntryGone tells whether an entry host has not been listed for long.
func (t *Tracker) EntryGone(now time.Time, name string) bool {
	last, known := t.entryListed[name]
	if !known {
		t.entryListed[name] = now
		return false
	}
	return now.Sub(last) > LostAfter
}

// Know adds endpoints that are known from elsewhere, so that they are probed.
// A new owner's list may leave out an endpoint for a moment; without a probe
// it would be taken for lost, with all its replicas.
func (t *Tracker) Know(now time.Time, hosts []external.ListedHost) {
	for _, h := range hosts {
		if t.members[h.Name] == nil {
			t.members[h.Name] = &member{host: h, lastSign: now}
		}
	}
}

// MarkLeaving notes that a run is leaving and tells whether that is news. It
// is never taken back for the same run: a list that contradicts itself, or a
// slower host's older list, would otherwise send new work to the endpoint.
func (t *Tracker) MarkLeaving(l Leave) bool {
	if t.leaving[l] {
		return false
	}
	t.leaving[l] = true
	return true
}

// Probed takes in the answer of an endpoint's status call.
func (t *Tracker) Probed(now time.Time, name string, status external.EngineStatus, err error) {
	m := t.members[name]
	if m == nil {
		return
	}
	m.reachable = err == nil
	if m.reachable {
		m.status = status
		m.lastSign = now
		m.probedAt = now
	}
}

func (t *Tracker) dropLost(now time.Time) {
	maps.DeleteFunc(t.members, func(_ string, m *member) bool {
		return !m.listed && !m.reachable && now.Sub(m.lastSign) > LostAfter
	})
	maps.DeleteFunc(t.leaving, func(l Leave, _ bool) bool {
		m := t.members[l.Endpoint]
		return m != nil && m.host.Incarnation != l.Incarnation && m.listed && m.status.Incarnation == m.host.Incarnation
	})
}

// Leaving tells whether an endpoint gets no new work.
func (t *Tracker) Leaving(name string) bool {
	m := t.members[name]
	return m != nil && t.memberLeaving(m)
}

// memberLeaving looks at the run that the list names and at the one that
// answers probes: after a restart the list may still show the former.
func (t *Tracker) memberLeaving(m *member) bool {
	if m.status.Incarnation != "" && m.status.Incarnation != m.host.Incarnation {
		return t.leaving[Leave{m.host.Name, m.status.Incarnation}]
	}
	return t.leaving[Leave{m.host.Name, m.host.Incarnation}]
}

// Targets returns the endpoints to probe with their addresses, in order.
func (t *Tracker) Targets() []external.ListedHost {
	var hosts []external.ListedHost
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		hosts = append(hosts, t.members[name].host)
	}
	return hosts
}

// Status returns the last known status of an endpoint.
func (t *Tracker) Status(name string) (external.EngineStatus, bool) {
	m := t.members[name]
	if m == nil || !m.reachable {
		return external.EngineStatus{}, false
	}
	return m.status, true
}

// Incarnation returns which run of a plain service is at work under a name, empty for others.
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

// Service returns the endpoints of a plain service that may get new work.
func (t *Tracker) Service(name string) []external.ListedHost {
	var hosts []external.ListedHost
	for _, endpoint := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[endpoint]
		if m.host.Service == name && m.listed && !t.memberLeaving(m) {
			hosts = append(hosts, m.host)
		}
	}
	return hosts
}

// Pool returns what an owner needs to know of its pool's endpoints. What they
// answered before since is not told: it may be older than what a former owner
// has loaded. An endpoint that has not answered since has no incarnation; that
// it is in the list says that it is not lost.
func (t *Tracker) Pool(name string, since time.Time) []pool.Observation {
	var list []pool.Observation
	for _, endpoint := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[endpoint]
		if m.host.Pool != name {
			continue
		}
		if m.probedAt.Before(since) {
			list = append(list, pool.Observation{
				EndpointSeen: record.EndpointSeen{Endpoint: endpoint},
				Leaving:      t.memberLeaving(m),
			})
			continue
		}
		o := pool.Observation{
			EndpointSeen: record.EndpointSeen{
				Endpoint:      endpoint,
				Incarnation:   m.status.Incarnation,
				Addr:          m.host.Addr,
				Zone:          m.host.Zone,
				MemoryMB:      m.status.MemoryMB,
				ChecksFencing: m.host.ChecksFencing,
			},
			Leaving:   t.memberLeaving(m),
			Reachable: m.reachable,
		}
		for _, r := range m.status.Replicas {
			o.Loaded = append(o.Loaded, r.ID)
		}
		list = append(list, o)
	}
	return list
}
