// Package signals keeps what endpoints say of themselves in their answers: how many requests a
// second they take from all hosts together, that they leave, and for how long they want nothing
// of this host. It does no I/O and knows no clock but the times that it is given.
//
// The load pattern of stated rates: an endpoint in need takes one to some tens of requests a second, far fewer
// than there are hosts that send to it. A host that has seen such an answer tells the others,
// and a few hosts, the same ones in each host's view, divide the rate among themselves. No
// sums pass between hosts: what an endpoint allows beyond its rate, a few requests, would be used
// up before a sum is known.
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
	// refreshAfter is how old the news of a limit has to be for a host to tell it anew that
	// still sees it stated, and life how long it holds where nobody does: an endpoint to which
	// nobody sends cannot show that its limit has ended.
	refreshAfter = 3 * time.Second
	life         = 10 * time.Second
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
	return x != nil && x.Limited && now.Sub(x.learned) < life
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
func (l *Table) SetHosts(self string, others []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self = self
	l.hosts = append([]string{self}, others...)
	for _, x := range l.byEndpoint {
		x.part = l.part(x)
	}
}

// Observe takes in what an endpoint says in the answer to a request that was sent at some time.
// That it states no rate counts only where it ran the request (ran), and where the request was
// sent after the rate was learned: an earlier answer may come late.
func (l *Table) Observe(now time.Time, id fleet.EndpointID, a Answer, sent time.Time, ran bool) {
	changed, ok := l.observe(now, id, a, sent, ran)
	if ok && l.Changed != nil {
		l.Changed(changed)
	}
}

func (l *Table) observe(now time.Time, id fleet.EndpointID, a Answer, sent time.Time, ran bool) (fleet.EndpointSignal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// An earlier, longer pause holds on.
	if until := now.Add(a.Pause); a.Pause > 0 && until.After(l.pausedUntil[id]) {
		l.pausedUntil[id] = until
	}
	next := fleet.EndpointSignal{Endpoint: id}
	x := l.byEndpoint[id]
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
	return next, l.set(now, next)
}

// states tells whether a rate is known and need not be told anew.
func (x *state) states(now time.Time, rate float64) bool {
	return x.limited(now) && math.Abs(x.Rate-rate) <= sameRate*x.Rate && now.Sub(x.learned) < refreshAfter
}

// Take takes in what another host tells, and returns what is news.
func (l *Table) Take(now time.Time, told []fleet.EndpointSignal) []fleet.EndpointSignal {
	l.mu.Lock()
	defer l.mu.Unlock()
	var news []fleet.EndpointSignal
	for _, t := range told {
		if x := l.byEndpoint[t.Endpoint]; x != nil {
			t = x.Merge(t)
		}
		if l.set(now, t) {
			news = append(news, t)
		}
	}
	return news
}

// set replaces what is known of an endpoint, and tells whether that is news. The lock is held.
func (l *Table) set(now time.Time, n fleet.EndpointSignal) bool {
	x := l.byEndpoint[n.Endpoint]
	switch {
	case x == nil && n == (fleet.EndpointSignal{Endpoint: n.Endpoint}):
		return false
	case x == nil:
		x = &state{}
		l.byEndpoint[n.Endpoint] = x
	case x.EndpointSignal == n:
		return false
	default:
		l.sum ^= mix(x.EndpointSignal)
	}
	limited := x.limited(now)
	if n.Version != x.Version || n.Rate != x.Rate {
		x.learned = now
	}
	x.EndpointSignal = n
	if x.part = l.part(x); !limited {
		x.bucket = newBucket(now, x.part, l.sentLately(now, n.Endpoint))
	}
	l.sum ^= mix(n)
	l.version++
	return true
}

// sentLately is how many requests this host has sent to an endpoint in the last debtTime. The
// lock is held.
func (l *Table) sentLately(now time.Time, id fleet.EndpointID) float64 {
	if r := l.sent[id]; r != nil {
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
func (l *Table) Next(now time.Time, id fleet.EndpointID) (until time.Time, wait bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.byEndpoint[id]; x.limited(now) {
		until, wait = x.next(now)
	}
	paused := l.pausedUntil[id]
	if now.Before(paused) && (!wait || !until.IsZero() && until.Before(paused)) {
		return paused, true
	}
	return until, wait
}

// InNeed tells whether an endpoint states a rate or has asked this host for a pause.
func (l *Table) InNeed(now time.Time, id fleet.EndpointID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byEndpoint[id].limited(now) || now.Before(l.pausedUntil[id])
}

// Use counts a request to an endpoint and tells whether it may be sent.
func (l *Table) Use(now time.Time, id fleet.EndpointID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.byEndpoint[id]
	if now.Before(l.pausedUntil[id]) || x.limited(now) && !x.use(now) {
		return false
	}
	r := l.sent[id]
	if r == nil {
		r = &recent{start: now}
		l.sent[id] = r
	}
	r.add(now)
	return true
}

// All returns what is known of all endpoints, also that one states no rate any more.
func (l *Table) All() []fleet.EndpointSignal {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []fleet.EndpointSignal
	for _, x := range l.byEndpoint {
		out = append(out, x.EndpointSignal)
	}
	return out
}

// Sum is the same at hosts that know the same, 0 where nothing is known.
func (l *Table) Sum() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum
}

// Version counts the changes at this host.
func (l *Table) Version() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

// LimitedCount returns how many endpoints state a rate.
func (l *Table) LimitedCount(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, x := range l.byEndpoint {
		if x.limited(now) {
			n++
		}
	}
	return n
}

// Leaving returns the endpoints that leave.
func (l *Table) Leaving() []fleet.EndpointID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []fleet.EndpointID
	for id, x := range l.byEndpoint {
		if x.Leaving {
			out = append(out, id)
		}
	}
	return out
}

// Pausing returns the endpoints that have asked this host for a pause.
func (l *Table) Pausing(now time.Time) []fleet.EndpointID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []fleet.EndpointID
	for id, until := range l.pausedUntil {
		if now.Before(until) {
			out = append(out, id)
		}
	}
	return out
}

// Retain forgets endpoints that are gone.
func (l *Table) Retain(live map[fleet.EndpointID]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, x := range l.byEndpoint {
		if !live[id] {
			l.sum ^= mix(x.EndpointSignal)
			delete(l.byEndpoint, id)
		}
	}
	retain(l.pausedUntil, live)
	retain(l.sent, live)
}

func retain[V any](m map[fleet.EndpointID]V, live map[fleet.EndpointID]bool) {
	maps.DeleteFunc(m, func(id fleet.EndpointID, _ V) bool { return !live[id] })
}
