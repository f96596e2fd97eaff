// Package quarantine finds requests that crash the endpoints which run them (queries of
// death), and keeps them from further endpoints.
//
// The load pattern: one request ends each endpoint that begins to run it. Its client sends it
// again and again, at any host, under new attempt IDs. Each end breaks off up to a
// whole batch of other requests, and a few such requests a second keep all replicas of a busy
// model down. No host sees more than a part of the ends, and beside the request that
// is to blame others have run at each of them.
package quarantine

import (
	"maps"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// brokenFor is how long before the end of an endpoint shows a run may have broken off
	// there because of it: its client may have left just before the end, and the end
	// shows when the next request finds that nobody listens.
	brokenFor = time.Second
	// servedFor is how long before the end of an endpoint a request may have been answered
	// to the end there and still be the cause: the answer may be shorter than the harm takes,
	// which was 10 to 190 ms from the start of a run in those seen.
	servedFor = 300 * time.Millisecond
	// survivedFor is how long after an answer an endpoint must still answer others to show that
	// the request did no harm: some times as long as harm took.
	survivedFor = time.Second
	// livedFor is how long before an endpoint was found alive a run must have broken off to
	// have done no harm: a process takes a moment to end.
	livedFor = 200 * time.Millisecond
	// endedFor is how long runs may break off after the end of their endpoint has shown: about
	// the longest time that a request is given.
	endedFor = 10 * time.Second
)

// Runs are this host's runs that have just ended, by endpoint, until it shows whether the
// endpoint has ended too. It is safe for concurrent use.
type Runs struct {
	mu        sync.Mutex
	endpoints map[fleet.EndpointID]*endedRuns
}

// endedRuns are the runs at one endpoint.
type endedRuns struct {
	// broken is when the run of each copy of a request broke off.
	broken map[copyOf]time.Time
	// served is when the last run of each request ended with its whole answer.
	served map[fleet.Fingerprint]time.Time
	// last is when the last run of any request ended.
	last time.Time
	// ended is when the endpoint ended, zero while it may live.
	ended time.Time
}

// copyOf is one of the copies of a request.
type copyOf struct {
	request fleet.Fingerprint
	id      fleet.CopyID
}

// NewRuns returns no runs.
func NewRuns() *Runs { return &Runs{endpoints: map[fleet.EndpointID]*endedRuns{}} }

// Broke notes a run that broke off. It returns a crash if the endpoint is known to have ended.
func (r *Runs) Broke(now time.Time, id fleet.EndpointID, f fleet.Fingerprint, c fleet.CopyID) []fleet.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.of(id)
	b.last = now
	if b.ended.IsZero() {
		b.broken[copyOf{f, c}] = now
		return nil
	}
	return []fleet.Crash{crash(now, id, copyOf{f, c}, b.ended)}
}

// of returns the runs at an endpoint. The runs are locked.
func (r *Runs) of(id fleet.EndpointID) *endedRuns {
	b := r.endpoints[id]
	if b == nil {
		b = &endedRuns{broken: map[copyOf]time.Time{}, served: map[fleet.Fingerprint]time.Time{}}
		r.endpoints[id] = b
	}
	return b
}

// Served notes a run with a whole answer. It returns the requests which that shows to do no
// harm: the endpoint has answered them a while ago and goes on to answer others.
func (r *Runs) Served(now time.Time, id fleet.EndpointID, f fleet.Fingerprint) []fleet.Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.of(id)
	b.last = now
	var harmless []fleet.Fingerprint
	for other, at := range b.served {
		if now.Sub(at) >= survivedFor {
			harmless = append(harmless, other)
			delete(b.served, other)
		}
	}
	if _, ok := b.served[f]; !ok {
		b.served[f] = now
	}
	return harmless
}

// Ended takes in that an endpoint has ended at a time, and returns which requests ran there.
func (r *Runs) Ended(now, at time.Time, id fleet.EndpointID) []fleet.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.endpoints[id]
	if b == nil || !b.ended.IsZero() {
		return nil
	}
	b.ended = at
	b.last = now
	var out []fleet.Crash
	for c, broke := range b.broken {
		if at.Sub(broke) <= brokenFor {
			out = append(out, crash(now, id, c, at))
		}
	}
	for f, served := range b.served {
		if at.Sub(served) <= servedFor {
			out = append(out, crash(now, id, copyOf{request: f}, at))
		}
	}
	clear(b.broken)
	clear(b.served)
	return out
}

// Lives takes in that an endpoint was found alive: what broke off there before did no harm.
func (r *Runs) Lives(now time.Time, id fleet.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.endpoints[id]
	if b == nil {
		return
	}
	maps.DeleteFunc(b.broken, func(_ copyOf, broke time.Time) bool { return now.Sub(broke) > livedFor })
}

// EndedLately tells whether a run has ended at an endpoint so lately that it may be to blame
// if nobody listens there any more.
func (r *Runs) EndedLately(now time.Time, id fleet.EndpointID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.endpoints[id]
	return b != nil && b.ended.IsZero() && now.Sub(b.last) <= brokenFor
}

// Prune forgets endpoints at which no run has ended lately.
func (r *Runs) Prune(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, b := range r.endpoints {
		if now.Sub(b.last) > endedFor {
			delete(r.endpoints, id)
		}
	}
}

func crash(now time.Time, id fleet.EndpointID, c copyOf, at time.Time) fleet.Crash {
	return fleet.Crash{Request: c.request, Endpoint: id, Ago: now.Sub(at).Milliseconds(), Copy: c.id}
}
