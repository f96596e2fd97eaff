package orders

import (
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// unansweredLoadTTL is how long after it was sent an order without a response may still be
// executed.
const unansweredLoadTTL = 15 * time.Second

// unansweredLoad is a load order that is in flight or got no response.
type unansweredLoad struct {
	to       fleet.EndpointID
	sent     time.Time
	expected int64
	mb       float64
	// former is set once the endpoint has restarted since, although its ID is the same.
	former bool
}

// unansweredLoads holds the load orders that are in flight or got no response, by endpoint name. It
// is safe for concurrent use.
//
// A delayed load order may arrive after the endpoint has restarted under its name and reset
// its order sequence. Once the new incarnation has accepted as many orders as the load
// expects, it executes the load in addition to the models that it already holds and runs
// out of memory. The controller therefore reserves memory for the load at a new incarnation
// until its sequence has passed that of the load. Within one incarnation an order with the
// same expected sequence excludes the load.
type unansweredLoads struct {
	mu     sync.Mutex
	byName map[string][]*unansweredLoad
}

// add records a load order that is about to be sent. It returns nil for other orders.
func (s *unansweredLoads) add(now time.Time, to fleet.EndpointID, o Order, mb float64) *unansweredLoad {
	if !o.Load || o.Adapter != "" {
		return nil // Adapters are small and limited in number.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil {
		s.byName = map[string][]*unansweredLoad{}
	}
	for name, list := range s.byName {
		list = slices.DeleteFunc(list, func(x *unansweredLoad) bool { return now.Sub(x.sent) >= unansweredLoadTTL })
		if s.byName[name] = list; len(list) == 0 {
			delete(s.byName, name)
		}
	}
	x := &unansweredLoad{to: to, sent: now, expected: o.Expected, mb: mb}
	s.byName[to.Name()] = append(s.byName[to.Name()], x)
	return x
}

// remove forgets an order that got its response or was not sent. x may be nil.
func (s *unansweredLoads) remove(x *unansweredLoad) {
	if x == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := x.to.Name()
	s.byName[name] = slices.DeleteFunc(s.byName[name], func(y *unansweredLoad) bool { return x == y })
}

// recordRestart records that an endpoint may have restarted without a new ID.
func (s *unansweredLoads) recordRestart(id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.byName[id.Name()] {
		x.former = true
	}
}

// reservedMB returns the most memory that a load sent to a former incarnation may still
// take at an endpoint that has accepted sequence orders.
func (s *unansweredLoads) reservedMB(now time.Time, at fleet.EndpointID, sequence int64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0.0
	for _, x := range s.byName[at.Name()] {
		if (x.to != at || x.former) && x.expected >= sequence && now.Sub(x.sent) < unansweredLoadTTL {
			most = max(most, x.mb)
		}
	}
	return most
}

// reservedMB returns the memory that is reserved at an endpoint for loads sent to its former
// incarnations.
func (c *Controller) reservedMB(now time.Time, t *endpointTracker) float64 {
	t.mu.Lock()
	id, sequence := t.endpoint.ID, t.sequence
	t.mu.Unlock()
	return c.unansweredLoads.reservedMB(now, id, sequence)
}

// weightsMB returns the size of a model, or 0 if it is not configured.
func (c *Controller) weightsMB(service, model string) float64 {
	engine := c.engine(service)
	if engine == nil {
		return 0
	}
	return engine.Models[model].WeightsMB
}
