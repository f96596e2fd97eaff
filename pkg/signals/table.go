// Package signals keeps what endpoints signal in their responses: how many requests per second they
// accept from all hosts together, that they are shutting down, and that they accept no requests
// from this host for some time. It does no I/O and has no clock of its own.
//
// An overloaded endpoint advertises a rate of up to some tens of requests per second, for all hosts
// that send to it. A host that receives such a response notifies the others, and a few hosts, which
// all hosts choose alike, share the rate. No usage is exchanged between hosts: the small excess
// that an endpoint tolerates would be used up before a sum is known.
package signals

import (
	"hash/fnv"
	"io"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// refreshAfter is the age from which on a host that still observes a rate sends it to the
	// others again. rateTTL is how long a rate is valid without that: an endpoint that receives no
	// requests cannot signal that its limit has ended.
	refreshAfter = 3 * time.Second
	rateTTL      = 10 * time.Second
	// minRateChange is the relative change from which on a new rate is sent to the others.
	minRateChange = 0.05
)

// Response holds the signals in one response of an endpoint.
type Response struct {
	// Rate is the number of requests per second that the endpoint accepts from all hosts together,
	// nil if it advertises none.
	Rate *float64
	// Draining is set if the endpoint is shutting down.
	Draining bool
	// RetryAfter is how long the endpoint accepts no requests from this host, 0 for no backoff.
	RetryAfter time.Duration
	// Brittle is whether the endpoint crashes if it has to reject many requests.
	Brittle Brittleness
}

// Table holds the signals of all endpoints. It is safe for concurrent use.
type Table struct {
	mu         sync.Mutex
	byEndpoint map[fleet.EndpointID]*endpointState
	// backoffUntil is when the backoff for each endpoint ends.
	backoffUntil map[fleet.EndpointID]time.Time
	// requests counts this host's recent requests to each endpoint.
	requests map[fleet.EndpointID]*requestCounter
	self     string
	hosts    []string
	// version is incremented on each local change. checksum is an order-independent hash of all
	// signals, which hosts compare.
	version  int64
	checksum uint64
	// Changed is called without the lock when a response to this host has changed a signal that
	// concerns all hosts. It may be nil, and must be set before first use.
	Changed func(fleet.EndpointSignal)
}

// endpointState holds the signals of one endpoint and the bucket for its rate.
type endpointState struct {
	fleet.EndpointSignal
	bucket
	// learnedAt is when this host learned of the current rate.
	learnedAt time.Time
}

// limited reports whether an advertised rate is in force.
func (x *endpointState) limited(now time.Time) bool {
	return x != nil && x.Limited && now.Sub(x.learnedAt) < rateTTL
}

// New returns an empty table for a host that knows no others.
func New() *Table {
	return &Table{
		byEndpoint:   map[fleet.EndpointID]*endpointState{},
		backoffUntil: map[fleet.EndpointID]time.Time{},
		requests:     map[fleet.EndpointID]*requestCounter{},
		hosts:        []string{""},
	}
}

// SetHosts sets the name of this host and those of all others.
func (t *Table) SetHosts(self string, others []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = self
	t.hosts = append([]string{self}, others...)
	for _, x := range t.byEndpoint {
		x.share = t.share(x)
	}
}

// Observe applies the signals in the response to a request that was sent at the time sent. A
// response without a rate ends the limit only if the endpoint ran the request (ran) and the request
// was sent after the rate was learned, since responses may arrive late.
func (t *Table) Observe(now time.Time, id fleet.EndpointID, resp Response, sent time.Time, ran bool) {
	changed, ok := t.observe(now, id, resp, sent, ran)
	if ok && t.Changed != nil {
		t.Changed(changed)
	}
}

func (t *Table) observe(now time.Time, id fleet.EndpointID, resp Response, sent time.Time, ran bool) (fleet.EndpointSignal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A later backoff does not shorten an earlier one.
	if until := now.Add(resp.RetryAfter); resp.RetryAfter > 0 && until.After(t.backoffUntil[id]) {
		t.backoffUntil[id] = until
	}
	next := fleet.EndpointSignal{Endpoint: id}
	x := t.byEndpoint[id]
	if x != nil {
		next = x.EndpointSignal
	}
	next.Draining = next.Draining || resp.Draining
	switch {
	case resp.Rate != nil && !x.isCurrent(now, *resp.Rate):
		next.Limited, next.Rate = true, *resp.Rate
		next.Version++
	case resp.Rate == nil && x != nil && x.Limited && ran && sent.After(x.learnedAt):
		next.Limited, next.Rate = false, 0
		next.Version++
	}
	return next, t.store(now, next)
}

// isCurrent reports whether the rate is known and recent, so that it need not be sent again.
func (x *endpointState) isCurrent(now time.Time, rate float64) bool {
	return x.limited(now) && math.Abs(x.Rate-rate) <= minRateChange*x.Rate && now.Sub(x.learnedAt) < refreshAfter
}

// Merge merges signals from another host and returns those that changed.
func (t *Table) Merge(now time.Time, signals []fleet.EndpointSignal) []fleet.EndpointSignal {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []fleet.EndpointSignal
	for _, s := range signals {
		if x := t.byEndpoint[s.Endpoint]; x != nil {
			s = x.Merge(s)
		}
		if t.store(now, s) {
			changed = append(changed, s)
		}
	}
	return changed
}

// store replaces the signals of an endpoint and reports whether they changed. It must be called
// with t.mu held.
func (t *Table) store(now time.Time, signal fleet.EndpointSignal) bool {
	x := t.byEndpoint[signal.Endpoint]
	switch {
	case x == nil && signal == (fleet.EndpointSignal{Endpoint: signal.Endpoint}):
		return false
	case x == nil:
		x = &endpointState{}
		t.byEndpoint[signal.Endpoint] = x
	case x.EndpointSignal == signal:
		return false
	default:
		t.checksum ^= hashSignal(x.EndpointSignal)
	}
	limited := x.limited(now)
	if signal.Version != x.Version || signal.Rate != x.Rate {
		x.learnedAt = now
	}
	x.EndpointSignal = signal
	if x.share = t.share(x); !limited {
		x.bucket = newBucket(now, x.share, t.recentRequests(now, signal.Endpoint))
	}
	t.checksum ^= hashSignal(signal)
	t.version++
	return true
}

// recentRequests returns how many requests this host has sent to the endpoint in the last
// debtWindow. It must be called with t.mu held.
func (t *Table) recentRequests(now time.Time, id fleet.EndpointID) float64 {
	if r := t.requests[id]; r != nil {
		return r.count(now)
	}
	return 0
}

// hashSignal returns a hash of the signals for the checksum.
func hashSignal(x fleet.EndpointSignal) uint64 {
	const odd = 0x9e3779b97f4a7c15
	h := fnv.New64a()
	_, _ = io.WriteString(h, string(x.Endpoint)) // A hash never returns an error.
	hash := (h.Sum64() + uint64(x.Version)*odd) ^ math.Float64bits(x.Rate)*odd
	if x.Draining {
		hash = ^hash * odd
	}
	return hash
}

// Next reports whether this host has to wait before it sends to the endpoint, and until when; a
// zero time means that this is unknown.
func (t *Table) Next(now time.Time, id fleet.EndpointID) (until time.Time, wait bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.byEndpoint[id]; x.limited(now) {
		until, wait = x.nextAvailable(now)
	}
	backoffEnd := t.backoffUntil[id]
	if now.Before(backoffEnd) && (!wait || !until.IsZero() && until.Before(backoffEnd)) {
		return backoffEnd, true
	}
	return until, wait
}

// Throttled reports whether the endpoint advertises a rate or has asked this host to back off.
func (t *Table) Throttled(now time.Time, id fleet.EndpointID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byEndpoint[id].limited(now) || now.Before(t.backoffUntil[id])
}

// TryAcquire reports whether a request may be sent to the endpoint now, and counts it if so.
func (t *Table) TryAcquire(now time.Time, id fleet.EndpointID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.byEndpoint[id]
	if now.Before(t.backoffUntil[id]) || x.limited(now) && !x.take(now) {
		return false
	}
	r := t.requests[id]
	if r == nil {
		r = &requestCounter{start: now}
		t.requests[id] = r
	}
	r.add(now)
	return true
}

// All returns the signals of all endpoints, including those of limits that have ended.
func (t *Table) All() []fleet.EndpointSignal {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fleet.EndpointSignal
	for _, x := range t.byEndpoint {
		out = append(out, x.EndpointSignal)
	}
	return out
}

// Checksum returns a checksum of all signals, 0 if there are none. It is equal at hosts that
// hold the same signals.
func (t *Table) Checksum() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checksum
}

// Version returns the number of changes at this host.
func (t *Table) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// LimitedCount returns how many endpoints have a limit in force.
func (t *Table) LimitedCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, x := range t.byEndpoint {
		if x.limited(now) {
			n++
		}
	}
	return n
}

// Draining returns the endpoints that are shutting down.
func (t *Table) Draining() []fleet.EndpointID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fleet.EndpointID
	for id, x := range t.byEndpoint {
		if x.Draining {
			out = append(out, id)
		}
	}
	return out
}

// BackoffRequested returns the endpoints that have asked this host to back off.
func (t *Table) BackoffRequested(now time.Time) []fleet.EndpointID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fleet.EndpointID
	for id, until := range t.backoffUntil {
		if now.Before(until) {
			out = append(out, id)
		}
	}
	return out
}

// Retain removes all endpoints that are not in live.
func (t *Table) Retain(live map[fleet.EndpointID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, x := range t.byEndpoint {
		if !live[id] {
			t.checksum ^= hashSignal(x.EndpointSignal)
			delete(t.byEndpoint, id)
		}
	}
	retain(t.backoffUntil, live)
	retain(t.requests, live)
}

func retain[V any](m map[fleet.EndpointID]V, live map[fleet.EndpointID]bool) {
	maps.DeleteFunc(m, func(id fleet.EndpointID, _ V) bool { return !live[id] })
}
