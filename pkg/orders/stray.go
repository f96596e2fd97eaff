package orders

import (
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// strayLife is how long an order without an answer may still be carried out. Orders that
// were held up have come up to 12 s late; the rest is a margin for a longer path.
const strayLife = 15 * time.Second

// stray is a load that was sent without an answer.
type stray struct {
	to       fleet.EndpointID
	sent     time.Time
	expected int64
	mb       float64
}

// strays are the loads that were sent without an answer, by the name of their endpoint.
// It is safe for concurrent use.
//
// The failure: a load is held up on its way, and the endpoint starts again under its name
// meanwhile, with its count of orders anew. As soon as the new incarnation has accepted
// as many orders as the load expects, the load is carried out, beside models of which its
// author knew nothing, and the endpoint crashes for want of memory. So a new incarnation
// keeps room for such a load until its count has passed it. Within one incarnation no
// room is needed: an order with the same expected count goes before the load or after it.
type strays struct {
	mu     sync.Mutex
	byName map[string][]stray
}

// note takes in a load without an answer.
func (s *strays) note(now time.Time, to fleet.EndpointID, o Order, mb float64) {
	if !o.Load || o.Adapter != "" {
		return // Adapters are small, and are bounded by their number.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil {
		s.byName = map[string][]stray{}
	}
	for name, list := range s.byName {
		list = slices.DeleteFunc(list, func(x stray) bool { return now.Sub(x.sent) >= strayLife })
		if s.byName[name] = list; len(list) == 0 {
			delete(s.byName, name)
		}
	}
	s.byName[to.Name()] = append(s.byName[to.Name()], stray{to: to, sent: now, expected: o.Expected, mb: mb})
}

// room is the most memory that a load for a former incarnation may still take at an
// endpoint that has accepted a number of orders.
func (s *strays) room(now time.Time, at fleet.EndpointID, sequence int64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0.0
	for _, x := range s.byName[at.Name()] {
		if x.to != at && x.expected >= sequence && now.Sub(x.sent) < strayLife {
			most = max(most, x.mb)
		}
	}
	return most
}

// strayRoom is the memory that an endpoint keeps free for loads sent to its former
// incarnations.
func (g *Controller) strayRoom(now time.Time, t *track) float64 {
	t.mu.Lock()
	id, sequence := t.endpoint.ID, t.sequence
	t.mu.Unlock()
	return g.strays.room(now, id, sequence)
}

// weightsMB is the size of a model, 0 if no configuration names it.
func (g *Controller) weightsMB(service, model string) float64 {
	cfg := g.Config()
	if cfg == nil || cfg.Services[service].Engine == nil {
		return 0
	}
	return cfg.Services[service].Engine.Models[model].WeightsMB
}
