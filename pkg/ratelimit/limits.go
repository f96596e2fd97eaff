// Package ratelimit keeps all hosts together to the request rates that endpoints state for
// themselves. It does no I/O and knows no clock but the times that it is given.
//
// The load pattern: an endpoint in need takes one to some tens of requests a second, far fewer
// than there are hosts that send to it. A host that has seen such an answer tells the others,
// and a few hosts, the same ones in each host's view, divide the rate among themselves. No
// sums pass between hosts: what an endpoint allows beyond its rate, a few requests, would be used
// up before a sum is known.
package ratelimit

import (
	"hash/fnv"
	"io"
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

// Limits are the rates that endpoints state. It is safe for concurrent use.
type Limits struct {
	mu         sync.Mutex
	byEndpoint map[fleet.EndpointID]*limit
	self       string
	hosts      []string
	// version counts the changes at this host, sum is the same wherever the same is known.
	version int64
	sum     uint64
	// Changed is called without the lock where a limit was learned from an answer to this
	// host, or has ended. It may be nil, and is set before first use.
	Changed func(fleet.EndpointLimit)
}

type limit struct {
	fleet.EndpointLimit
	bucket
	// learned is when this host learned what is known now.
	learned time.Time
}

// active tells whether the limit binds.
func (x *limit) active(now time.Time) bool {
	return x != nil && x.Stated && now.Sub(x.learned) < life
}

// New returns no limits, for a host that knows no other.
func New() *Limits {
	return &Limits{byEndpoint: map[fleet.EndpointID]*limit{}, hosts: []string{""}}
}

// SetHosts tells this host's name and those of all others.
func (l *Limits) SetHosts(self string, others []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self = self
	l.hosts = append([]string{self}, others...)
	for _, x := range l.byEndpoint {
		x.part = l.part(x)
	}
}

// Observe takes in what an endpoint states in the answer to a request that was sent at some
// time: a rate, or nil for none. That it states none counts only where it ran the request
// (ran), and where the request was sent after the limit was learned: an earlier answer may come
// late.
func (l *Limits) Observe(now time.Time, id fleet.EndpointID, rate *float64, sent time.Time, ran bool) {
	changed, ok := l.observe(now, id, rate, sent, ran)
	if ok && l.Changed != nil {
		l.Changed(changed)
	}
}

func (l *Limits) observe(now time.Time, id fleet.EndpointID, rate *float64, sent time.Time, ran bool) (fleet.EndpointLimit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := fleet.EndpointLimit{Endpoint: id}
	x := l.byEndpoint[id]
	if x != nil {
		next.Version = x.Version
	}
	if rate == nil {
		if x == nil || !x.Stated || !ran || !sent.After(x.learned) {
			return next, false
		}
	} else {
		next.Stated, next.Rate = true, *rate
		if x.active(now) && math.Abs(x.Rate-*rate) <= sameRate*x.Rate && now.Sub(x.learned) < refreshAfter {
			return next, false
		}
	}
	next.Version++
	l.set(now, next)
	return next, true
}

// Take takes in limits that another host tells, and returns those that are news.
func (l *Limits) Take(now time.Time, told []fleet.EndpointLimit) []fleet.EndpointLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var news []fleet.EndpointLimit
	for _, t := range told {
		if x := l.byEndpoint[t.Endpoint]; x == nil || t.NewerThan(x.EndpointLimit) {
			l.set(now, t)
			news = append(news, t)
		}
	}
	return news
}

// set replaces what is known of an endpoint. The lock is held.
func (l *Limits) set(now time.Time, n fleet.EndpointLimit) {
	x := l.byEndpoint[n.Endpoint]
	if x == nil {
		x = &limit{}
		l.byEndpoint[n.Endpoint] = x
	} else {
		l.sum ^= mix(x.EndpointLimit)
	}
	if !x.active(now) {
		x.bucket = newBucket(now)
	}
	x.EndpointLimit = n
	x.learned = now
	x.part = l.part(x)
	l.sum ^= mix(n)
	l.version++
}

// mix spreads a limit over all bits.
func mix(x fleet.EndpointLimit) uint64 {
	const odd = 0x9e3779b97f4a7c15
	h := fnv.New64a()
	_, _ = io.WriteString(h, string(x.Endpoint)) // A hash takes all bytes.
	return (h.Sum64() + uint64(x.Version)*odd) ^ math.Float64bits(x.Rate)*odd
}

// Next tells whether this host has to wait before it sends to an endpoint, and until when; a
// zero time is not known.
func (l *Limits) Next(now time.Time, id fleet.EndpointID) (until time.Time, wait bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.byEndpoint[id]
	if !x.active(now) {
		return time.Time{}, false
	}
	return x.next(now)
}

// Limited tells whether an endpoint states a rate.
func (l *Limits) Limited(now time.Time, id fleet.EndpointID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byEndpoint[id].active(now)
}

// Use counts a request to an endpoint and tells whether it may be sent.
func (l *Limits) Use(now time.Time, id fleet.EndpointID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.byEndpoint[id]
	return !x.active(now) || x.use(now)
}

// All returns what is known of all endpoints, also that one states a rate no more.
func (l *Limits) All() []fleet.EndpointLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []fleet.EndpointLimit
	for _, x := range l.byEndpoint {
		out = append(out, x.EndpointLimit)
	}
	return out
}

// Sum is the same at hosts that know the same, 0 where nothing is known.
func (l *Limits) Sum() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum
}

// Version counts the changes at this host.
func (l *Limits) Version() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

// Active returns how many endpoints state a rate.
func (l *Limits) Active(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, x := range l.byEndpoint {
		if x.active(now) {
			n++
		}
	}
	return n
}

// Retain forgets endpoints that are gone.
func (l *Limits) Retain(live map[fleet.EndpointID]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, x := range l.byEndpoint {
		if !live[id] {
			l.sum ^= mix(x.EndpointLimit)
			delete(l.byEndpoint, id)
		}
	}
}
