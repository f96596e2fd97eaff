// Package signals keeps what endpoints say of themselves in their answers: how many requests a
// second they take from all hosts together, that they leave, and for how long they want nothing
// of this host. It does no I/O and knows no clock but the times that it is given.
//
// The load pattern of stated rates: an endpoint in need takes one to some tens of requests a
// second, about as many as there are hosts that send to it, or far fewer. A host that has seen
// such an answer tells the others, and a few hosts, the same ones in each host's view, divide the
// rate among themselves. No sums pass between hosts: the few requests that an endpoint allows
// beyond its rate would be used up before a sum is known.
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
	// refreshAfter is how old the news of a rate has to be for a host that still sees it stated
	// to tell it anew, and rateLife how long a rate holds where nobody sees it: an endpoint to
	// which nobody sends cannot show that it states none any more.
	refreshAfter = 3 * time.Second
	rateLife     = 10 * time.Second
	// sameRate is by what part a stated rate has to change to be told anew.
	sameRate = 0.05
)

// Answer is what one answer says of its endpoint.
type Answer struct {
	// Rate is how many requests a second the endpoint takes from all hosts together, nil if
	// it states none.
	Rate *float64
	// Leaving endpoints end soon.
	Leaving bool
	// Pause is for how long the endpoint wants no requests of this host, 0 for no pause.
	Pause time.Duration
}

// Table is what is known of all endpoints. It is safe for concurrent use.
type Table struct {
	mu         sync.Mutex
	byEndpoint map[fleet.EndpointID]*state
	// pausedUntil is until when endpoints want no requests of this host.
	pausedUntil map[fleet.EndpointID]time.Time
	// sent counts this host's requests to each endpoint.
	sent  map[fleet.EndpointID]*recent
	self  string
	hosts []string
	// version counts the changes at this host, sum is the same wherever the same is known.
	version int64
	sum     uint64
	// Changed is called without the lock where an answer to this host has told something new
	// that concerns all hosts. It may be nil, and is set before first use.
	Changed func(fleet.EndpointSignal)
}

// state is what is known of one endpoint.
type state struct {
	fleet.EndpointSignal
	bucket
	// learned is when this host learned of the rate that is known now.
	learned time.Time
}

// limited tells whether a stated rate binds.
func (x *state) limited(now time.Time) bool {
	return x != nil && x.Limited && now.Sub(x.learned) < rateLife
}

// New returns an empty table, for a host that knows no other.
func New() *Table {
	return &Table{
		byEndpoint:  map[fleet.EndpointID]*state{},
		pausedUntil: map[fleet.EndpointID]time.Time{},
		sent:        map[fleet.EndpointID]*recent{},
		hosts:       []string{""},
	}
}

// SetHosts tells this host's name and those of all others.
func (t *Table) SetHosts(self string, others []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = self
	t.hosts = append([]string{self}, others...)
	for _, x := range t.byEndpoint {
		x.part = t.part(x)
	}
}

// Observe takes in what an endpoint says in the answer to a request that was sent at some time.
// That it states no rate counts only where it ran the request (ran), and where the request was
// sent after the rate was learned: an earlier answer may come late.
func (t *Table) Observe(now time.Time, id fleet.EndpointID, a Answer, sent time.Time, ran bool) {
	changed, ok := t.observe(now, id, a, sent, ran)
	if ok && t.Changed != nil {
		t.Changed(changed)
	}
}

func (t *Table) observe(now time.Time, id fleet.EndpointID, a Answer, sent time.Time, ran bool) (fleet.EndpointSignal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// An earlier, longer pause holds on.
	if until := now.Add(a.Pause); a.Pause > 0 && until.After(t.pausedUntil[id]) {
		t.pausedUntil[id] = until
	}
	next := fleet.EndpointSignal{Endpoint: id}
	x := t.byEndpoint[id]
	if x != nil {
		next = x.EndpointSignal
	}
	next.Leaving = next.Leaving || a.Leaving
	switch {
	case a.Rate != nil && !x.states(now, *a.Rate):
		next.Limited, next.Rate = true, *a.Rate
		next.Version++
	case a.Rate == nil && x != nil && x.Limited && ran && sent.After(x.learned):
		next.Limited, next.Rate = false, 0
		next.Version++
	}
	return next, t.set(now, next)
}

// states tells whether a rate is known and need not be told anew.
func (x *state) states(now time.Time, rate float64) bool {
	return x.limited(now) && math.Abs(x.Rate-rate) <= sameRate*x.Rate && now.Sub(x.learned) < refreshAfter
}

// Take takes in what another host tells, and returns what is news.
func (t *Table) Take(now time.Time, told []fleet.EndpointSignal) []fleet.EndpointSignal {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []fleet.EndpointSignal
	for _, s := range told {
		if x := t.byEndpoint[s.Endpoint]; x != nil {
			s = x.Merge(s)
		}
		if t.set(now, s) {
			news = append(news, s)
		}
	}
	return news
}

// set replaces what is known of an endpoint, and tells whether that is news. The lock is held.
func (t *Table) set(now time.Time, n fleet.EndpointSignal) bool {
	x := t.byEndpoint[n.Endpoint]
	switch {
	case x == nil && n == (fleet.EndpointSignal{Endpoint: n.Endpoint}):
		return false
	case x == nil:
		x = &state{}
		t.byEndpoint[n.Endpoint] = x
	case x.EndpointSignal == n:
		return false
	default:
		t.sum ^= mix(x.EndpointSignal)
	}
	limited := x.limited(now)
	if n.Version != x.Version || n.Rate != x.Rate {
		x.learned = now
	}
	x.EndpointSignal = n
	if x.part = t.part(x); !limited {
		x.bucket = newBucket(now, x.part, t.sentLately(now, n.Endpoint))
	}
	t.sum ^= mix(n)
	t.version++
	return true
}

// sentLately is how many requests this host has sent to an endpoint in the last debtTime. The
// lock is held.
func (t *Table) sentLately(now time.Time, id fleet.EndpointID) float64 {
	if r := t.sent[id]; r != nil {
		return r.count(now)
	}
	return 0
}

// mix spreads a signal over all bits.
func mix(x fleet.EndpointSignal) uint64 {
	const odd = 0x9e3779b97f4a7c15
	h := fnv.New64a()
	_, _ = io.WriteString(h, string(x.Endpoint)) // A hash takes all bytes.
	sum := (h.Sum64() + uint64(x.Version)*odd) ^ math.Float64bits(x.Rate)*odd
	if x.Leaving {
		sum = ^sum * odd
	}
	return sum
}

// Next tells whether this host has to wait before it sends to an endpoint, and until when; a
// zero time is not known.
func (t *Table) Next(now time.Time, id fleet.EndpointID) (until time.Time, wait bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.byEndpoint[id]; x.limited(now) {
		until, wait = x.next(now)
	}
	paused := t.pausedUntil[id]
	if now.Before(paused) && (!wait || !until.IsZero() && until.Before(paused)) {
		return paused, true
	}
	return until, wait
}

// InNeed tells whether an endpoint states a rate or has asked this host for a pause.
func (t *Table) InNeed(now time.Time, id fleet.EndpointID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byEndpoint[id].limited(now) || now.Before(t.pausedUntil[id])
}

// Use counts a request to an endpoint and tells whether it may be sent.
func (t *Table) Use(now time.Time, id fleet.EndpointID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.byEndpoint[id]
	if now.Before(t.pausedUntil[id]) || x.limited(now) && !x.use(now) {
		return false
	}
	r := t.sent[id]
	if r == nil {
		r = &recent{start: now}
		t.sent[id] = r
	}
	r.add(now)
	return true
}

// All returns what is known of all endpoints, also that one states no rate any more.
func (t *Table) All() []fleet.EndpointSignal {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fleet.EndpointSignal
	for _, x := range t.byEndpoint {
		out = append(out, x.EndpointSignal)
	}
	return out
}

// Sum is the same at hosts that know the same, 0 where nothing is known.
func (t *Table) Sum() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sum
}

// Version counts the changes at this host.
func (t *Table) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// LimitedCount returns how many endpoints state a rate.
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

// Leaving returns the endpoints that leave.
func (t *Table) Leaving() []fleet.EndpointID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fleet.EndpointID
	for id, x := range t.byEndpoint {
		if x.Leaving {
			out = append(out, id)
		}
	}
	return out
}

// Pausing returns the endpoints that have asked this host for a pause.
func (t *Table) Pausing(now time.Time) []fleet.EndpointID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fleet.EndpointID
	for id, until := range t.pausedUntil {
		if now.Before(until) {
			out = append(out, id)
		}
	}
	return out
}

// Retain forgets endpoints that are gone.
func (t *Table) Retain(live map[fleet.EndpointID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, x := range t.byEndpoint {
		if !live[id] {
			t.sum ^= mix(x.EndpointSignal)
			delete(t.byEndpoint, id)
		}
	}
	retain(t.pausedUntil, live)
	retain(t.sent, live)
}

func retain[V any](m map[fleet.EndpointID]V, live map[fleet.EndpointID]bool) {
	maps.DeleteFunc(m, func(id fleet.EndpointID, _ V) bool { return !live[id] })
}
