package quarantine

import (
	"maps"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// brokenWindow is how long before a detected crash a run may have broken off because of it. If
	// its client disconnected just before the crash, the crash is detected only when the next
	// request is refused a connection.
	brokenWindow = time.Second
	// servedWindow is how long before a crash the cause may have been answered completely: the
	// response may be complete before the endpoint crashes.
	servedWindow = 300 * time.Millisecond
	// survivalTime is how long after its response a request is cleared if the endpoint still serves
	// others.
	survivalTime = time.Second
	// exitDelay is how long before the endpoint was found alive a run must have broken off to be
	// harmless, since a crashing process takes a moment to exit.
	exitDelay = 200 * time.Millisecond
	// runRetention is how long runs may still break off after a crash was detected, about the
	// longest timeout of a request.
	runRetention = 10 * time.Second
)

// RecentRuns holds this host's recent runs by endpoint, until it is known whether the endpoint has
// crashed. It is safe for concurrent use.
type RecentRuns struct {
	mu        sync.Mutex
	endpoints map[fleet.EndpointID]*endpointRuns
}

// endpointRuns holds the recent runs at one endpoint.
type endpointRuns struct {
	// brokenAt holds when the run of each copy broke off.
	brokenAt map[requestCopy]time.Time
	// unbegun holds, by the digests of a prompt part and a caller, the last run with that part that broke off
	// before its response had begun.
	unbegun map[fleet.Fingerprint]unbegunRun
	// servedAt holds when each request was first answered, until it is cleared.
	servedAt map[fleet.Fingerprint]time.Time
	// lastRunAt is when a run last ended.
	lastRunAt time.Time
	// crashedAt is when the endpoint crashed, zero while it may be alive.
	crashedAt time.Time
}

// unbegunRun is a run that broke off before its response had begun. position is that of the prompt part, counted
// as in fleet.CrashReport.
type unbegunRun struct {
	brokenAt time.Time
	position int
}

// requestCopy identifies one copy of a request.
type requestCopy struct {
	request fleet.Fingerprint
	id      fleet.CopyID
}

// NewRecentRuns returns an empty set of runs.
func NewRecentRuns() *RecentRuns { return &RecentRuns{endpoints: map[fleet.EndpointID]*endpointRuns{}} }

// RecordBroken records a run that broke off. It returns a crash report if the endpoint is
// known to have crashed.
func (r *RecentRuns) RecordBroken(now time.Time, id fleet.EndpointID, f fleet.Fingerprint, c fleet.CopyID) []fleet.CrashReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.forEndpoint(id)
	runs.lastRunAt = now
	if runs.crashedAt.IsZero() {
		runs.brokenAt[requestCopy{f, c}] = now
		return nil
	}
	return []fleet.CrashReport{newCrash(now, id, requestCopy{f, c}, runs.crashedAt)}
}

// RecordUnbegun records that a run with the given prompt parts broke off before its response had begun. It
// returns crash reports if the endpoint is known to have crashed.
func (r *RecentRuns) RecordUnbegun(now time.Time, id fleet.EndpointID, p fleet.Prompt) []fleet.CrashReport {
	if len(p.Parts) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.forEndpoint(id)
	var out []fleet.CrashReport
	for i, part := range p.Parts {
		f := fleet.Fingerprint{Content: part, Caller: p.Caller}
		run := unbegunRun{brokenAt: now, position: len(p.Parts) - i}
		if runs.crashedAt.IsZero() {
			runs.unbegun[f] = run
			continue
		}
		out = append(out, newPartCrash(now, id, f, run, runs.crashedAt))
	}
	return out
}

// forEndpoint returns the runs at an endpoint, which it creates if there are none. It must be
// called with r.mu held.
func (r *RecentRuns) forEndpoint(id fleet.EndpointID) *endpointRuns {
	runs := r.endpoints[id]
	if runs == nil {
		runs = &endpointRuns{brokenAt: map[requestCopy]time.Time{}, unbegun: map[fleet.Fingerprint]unbegunRun{}, servedAt: map[fleet.Fingerprint]time.Time{}}
		r.endpoints[id] = runs
	}
	return runs
}

// RecordServed records a complete response. It returns the requests that this clears: those
// answered at least survivalTime ago by the same endpoint.
func (r *RecentRuns) RecordServed(now time.Time, id fleet.EndpointID, f fleet.Fingerprint) []fleet.Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.forEndpoint(id)
	runs.lastRunAt = now
	var cleared []fleet.Fingerprint
	for other, at := range runs.servedAt {
		if now.Sub(at) >= survivalTime {
			cleared = append(cleared, other)
			delete(runs.servedAt, other)
		}
	}
	if _, ok := runs.servedAt[f]; !ok {
		runs.servedAt[f] = now
	}
	return cleared
}

// RecordCrash records that the endpoint crashed at the given time, and returns a report for
// each request that may have been running there.
func (r *RecentRuns) RecordCrash(now, at time.Time, id fleet.EndpointID) []fleet.CrashReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.endpoints[id]
	if runs == nil || !runs.crashedAt.IsZero() {
		return nil
	}
	runs.crashedAt = at
	runs.lastRunAt = now
	var out []fleet.CrashReport
	for c, brokenAt := range runs.brokenAt {
		if at.Sub(brokenAt) <= brokenWindow {
			out = append(out, newCrash(now, id, c, at))
		}
	}
	for f, run := range runs.unbegun {
		if at.Sub(run.brokenAt) <= brokenWindow {
			out = append(out, newPartCrash(now, id, f, run, at))
		}
	}
	for f, servedAt := range runs.servedAt {
		if at.Sub(servedAt) <= servedWindow {
			out = append(out, newCrash(now, id, requestCopy{request: f}, at))
		}
	}
	clear(runs.brokenAt)
	clear(runs.unbegun)
	clear(runs.servedAt)
	return out
}

// RecordAlive records that the endpoint was found alive and discards the runs that broke off
// before.
func (r *RecentRuns) RecordAlive(now time.Time, id fleet.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.endpoints[id]
	if runs == nil {
		return
	}
	runs.deleteOlder(now, exitDelay)
}

// RanRecently reports whether a run at the endpoint ended recently enough to be the cause if the
// endpoint now refuses connections.
func (r *RecentRuns) RanRecently(now time.Time, id fleet.EndpointID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.endpoints[id]
	return runs != nil && runs.crashedAt.IsZero() && now.Sub(runs.lastRunAt) <= brokenWindow
}

// Prune removes endpoints without recent runs, and runs that are too old to be blamed for a crash.
func (r *RecentRuns) Prune(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, runs := range r.endpoints {
		if now.Sub(runs.lastRunAt) > runRetention {
			delete(r.endpoints, id)
			continue
		}
		runs.deleteOlder(now, runRetention)
	}
}

// deleteOlder deletes the runs that broke off longer than maxAge ago.
func (e *endpointRuns) deleteOlder(now time.Time, maxAge time.Duration) {
	maps.DeleteFunc(e.brokenAt, func(_ requestCopy, brokenAt time.Time) bool { return now.Sub(brokenAt) > maxAge })
	maps.DeleteFunc(e.unbegun, func(_ fleet.Fingerprint, run unbegunRun) bool { return now.Sub(run.brokenAt) > maxAge })
}

func newPartCrash(now time.Time, id fleet.EndpointID, f fleet.Fingerprint, run unbegunRun, at time.Time) fleet.CrashReport {
	return fleet.CrashReport{Request: f, Endpoint: id, Ago: now.Sub(at).Milliseconds(), PromptPart: run.position}
}

func newCrash(now time.Time, id fleet.EndpointID, c requestCopy, at time.Time) fleet.CrashReport {
	return fleet.CrashReport{Request: c.request, Endpoint: id, Ago: now.Sub(at).Milliseconds(), CopyID: c.id}
}
