// Package ratelimit knows the request rates that endpoints state for themselves. It does no
// I/O and knows no clock but the times that it is given.
package ratelimit

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Limits are the rates that endpoints state. It is safe for concurrent use.
type Limits struct {
	mu         sync.Mutex
	byEndpoint map[fleet.EndpointID]*limit
	// Changed is called without the lock where a limit was learned from an answer to this
	// host, or has ended. It may be nil, and is set before first use.
	Changed func(fleet.EndpointLimit)
}

type limit struct {
	fleet.EndpointLimit
	// learned is when this host learned what is known now.
	learned time.Time
}

// New returns no limits.
func New() *Limits { return &Limits{byEndpoint: map[fleet.EndpointID]*limit{}} }

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
	x := l.byEndpoint[id]
	switch {
	case rate == nil && (x == nil || !x.Stated || !ran || !sent.After(x.learned)):
		return fleet.EndpointLimit{}, false
	case rate != nil && x != nil && x.Stated && x.Rate == *rate:
		return fleet.EndpointLimit{}, false
	case x == nil:
		x = &limit{EndpointLimit: fleet.EndpointLimit{Endpoint: id}}
		l.byEndpoint[id] = x
	}
	x.learned = now
	x.Version++
	x.Stated, x.Rate = rate != nil, 0
	if rate != nil {
		x.Rate = *rate
	}
	return x.EndpointLimit, true
}

// Stated returns how many endpoints state a rate.
func (l *Limits) Stated() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, x := range l.byEndpoint {
		if x.Stated {
			n++
		}
	}
	return n
}

// Retain forgets endpoints that are gone.
func (l *Limits) Retain(live map[fleet.EndpointID]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.byEndpoint {
		if !live[id] {
			delete(l.byEndpoint, id)
		}
	}
}
