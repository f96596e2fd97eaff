// Package links tracks whether this host's own connections to endpoints work. A failed connection
// says as much about the host's links as about the endpoint, so a host that fails to connect samples
// other endpoints before it concludes anything. The package does no I/O.
package links

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// SampleSize is the number of endpoints in a sample.
	SampleSize = 3
	// sampleInterval is the shortest interval between two samples.
	sampleInterval = 500 * time.Millisecond
	// minGoodSamples is the number of samples in a row that have to reach most endpoints before a
	// host that has lost its links trusts them again, unless one reaches all.
	minGoodSamples = 2
	// firstCheckDelay is the delay between a failed connection and the next attempt. It doubles with
	// each further failure up to maxCheckDelay.
	firstCheckDelay = 250 * time.Millisecond
	maxCheckDelay   = 2 * time.Second
	// maxChecks is the number of links that are checked at once, so that a host whose links return
	// does not connect to all endpoints in one moment.
	maxChecks = 4
	// failureTTL is how long a failed connection is taken for the state of the link.
	failureTTL = time.Second
	// crashedTTL is how long an endpoint counts as crashed after other hosts could not reach it either. It is about
	// the time after which the list drops it.
	crashedTTL = 3 * time.Second
)

// State is the state of the link to an endpoint.
type State int

const (
	// Up means that no failure is known.
	Up State = iota
	// Suspect means that the host seems to have lost its links and has not connected to this endpoint
	// since.
	Suspect
	// Down means that the last attempt to connect has failed.
	Down
)

// Table holds the states of the links of one host. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	links map[fleet.EndpointID]*link
	// lost is set while most sampled endpoints cannot be reached.
	lost      bool
	sampledAt time.Time
	// goodSamples counts the samples in a row that reached most endpoints while lost was set.
	goodSamples int
}

// link is the state of one link that has failed, or that works although the others seem lost.
type link struct {
	down     bool
	failures int
	failedAt time.Time
	// checkAt is when the link is checked next, checking whether a check is in progress.
	checkAt  time.Time
	checking bool
	// crashedAt is when other hosts last said that they cannot reach the endpoint either, or zero.
	crashedAt time.Time
}

// NewTable returns a table of links that work.
func NewTable() *Table { return &Table{links: map[fleet.EndpointID]*link{}} }

// State returns the state of the link to an endpoint.
func (t *Table) State(id fleet.EndpointID) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	switch {
	case l != nil && l.down:
		return Down
	case l == nil && t.lost:
		return Suspect
	default:
		return Up
	}
}

// FailedRecently reports whether the last attempt to connect to an endpoint has failed and another one would
// most likely fail too, since it is recent or the host has lost its links.
func (t *Table) FailedRecently(now time.Time, id fleet.EndpointID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	return l != nil && l.down && (t.lost || now.Sub(l.failedAt) < failureTTL)
}

// RecordCrashed records endpoints that other hosts cannot reach either. That says nothing about this host's links.
func (t *Table) RecordCrashed(now time.Time, ids []fleet.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if l := t.links[id]; l != nil && l.down {
			l.crashedAt = now
		}
	}
}

// Crashed reports whether an endpoint could not be reached a moment ago, neither by this host nor by others.
func (t *Table) Crashed(now time.Time, id fleet.EndpointID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	return l != nil && l.down && !l.crashedAt.IsZero() && now.Sub(l.crashedAt) < crashedTTL
}

// Lost reports whether this host seems to have lost its links to most endpoints.
func (t *Table) Lost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// DownCount returns the number of links that are down.
func (t *Table) DownCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, l := range t.links {
		if l.down {
			n++
		}
	}
	return n
}

// RecordConnected records a connection to an endpoint.
func (t *Table) RecordConnected(id fleet.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost {
		t.links[id] = &link{}
		return
	}
	delete(t.links, id)
}

// RecordFailed records an attempt to connect that failed or takes too long, or a connection that was
// lost without a word of the endpoint. It reports whether the caller should take a sample now, which it should
// not for a link that was down before.
func (t *Table) RecordFailed(now time.Time, id fleet.EndpointID) (sampleDue bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	if l == nil {
		l = &link{}
		t.links[id] = l
	}
	known := l.down
	l.down = true
	l.failedAt = now
	l.checkAt = now.Add(min(maxCheckDelay, firstCheckDelay<<min(l.failures, 8)))
	l.failures++
	return !known && t.takeSample(now)
}

// RecordSlow records that connecting to an endpoint takes long. That alone says nothing about the link, but
// counts as a failure while the links seem lost. It reports whether the caller should take a sample now.
func (t *Table) RecordSlow(now time.Time, id fleet.EndpointID) (sampleDue bool) {
	if t.Lost() {
		return t.RecordFailed(now, id)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.takeSample(now)
}

// takeSample reports whether a sample is due and starts its interval. It must be called with mu held.
func (t *Table) takeSample(now time.Time) bool {
	if now.Sub(t.sampledAt) < sampleInterval {
		return false
	}
	t.sampledAt = now
	return true
}

// ResampleDue reports whether the caller should take a sample now because the links seem lost.
func (t *Table) ResampleDue(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost && t.takeSample(now)
}

// Sample returns up to size random endpoints other than failed.
func Sample(endpoints []fleet.Endpoint, failed fleet.EndpointID, size int) []fleet.Endpoint {
	out := make([]fleet.Endpoint, 0, size)
	for _, i := range rand.Perm(len(endpoints)) {
		if len(out) == size {
			break
		}
		if e := endpoints[i]; e.ID != failed {
			out = append(out, e)
		}
	}
	return out
}

// RecordSample records how many of the sampled endpoints could be reached, including the one whose
// failure led to the sample. It reports whether that changes what Lost returns. Lost links work
// again after one sample that reached all endpoints or two in a row that reached most.
func (t *Table) RecordSample(now time.Time, reached, failed int) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := seemLost(reached, failed)
	if lost == t.lost {
		t.goodSamples = 0
		return false
	}
	if t.goodSamples++; t.lost && failed > 0 && t.goodSamples < minGoodSamples {
		return false
	}
	t.goodSamples = 0
	t.lost = lost
	for id, l := range t.links {
		if !lost && !l.down {
			delete(t.links, id)
			continue
		}
		l.checkAt = now.Add(rand.N(sampleInterval))
	}
	return true
}

// seemLost reports whether a sample with these results means that the links are lost.
func seemLost(reached, failed int) bool { return failed > reached && reached+failed > 1 }

// ChecksDue returns the endpoints whose links to check now. While the links seem lost,
// samples are taken instead.
func (t *Table) ChecksDue(now time.Time, endpoints []fleet.Endpoint) []fleet.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost || len(t.links) == 0 {
		return nil
	}
	checking := 0
	for _, l := range t.links {
		if l.checking {
			checking++
		}
	}
	var out []fleet.Endpoint
	for _, e := range endpoints {
		l := t.links[e.ID]
		if checking >= maxChecks {
			break
		}
		if l == nil || !l.down || l.checking || now.Before(l.checkAt) {
			continue
		}
		l.checking = true
		checking++
		out = append(out, e)
	}
	return out
}

// EndCheck records that a check of the link to an endpoint has ended.
func (t *Table) EndCheck(id fleet.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[id]; l != nil {
		l.checking = false
	}
}

// Retain removes the links to all endpoints that are not in live.
func (t *Table) Retain(live map[fleet.EndpointID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.links {
		if !live[id] {
			delete(t.links, id)
		}
	}
}
