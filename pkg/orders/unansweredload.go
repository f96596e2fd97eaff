package orders

import (
	"maps"
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
	takes    usage
	// former is set once the endpoint has restarted since, although its ID is the same.
	former bool
}

// unansweredLoads holds the load orders that are in flight or got no response, by endpoint name. It
// is safe for concurrent use.
//
// A delayed load order may arrive after the endpoint has restarted under its name and reset
// its order sequence. Once the new incarnation has accepted as many orders as the load
// expects, it executes the load in addition to what it already holds and exceeds its
// capacity. The controller therefore reserves capacity for the load at a new incarnation
// until its sequence has passed that of the load. Within one incarnation an order with the
// same expected sequence excludes the load.
type unansweredLoads struct {
	mu     sync.Mutex
	byName map[string][]*unansweredLoad
}

// add records a load order that is about to be sent. It returns nil for other orders.
func (s *unansweredLoads) add(now time.Time, to fleet.EndpointID, o Order, takes usage) *unansweredLoad {
	if !o.Load {
		return nil
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
	x := &unansweredLoad{to: to, sent: now, expected: o.Expected, takes: takes}
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

// reserved returns the most capacity that loads sent to former incarnations may still take, before the controller
// learns of them, at an endpoint that has accepted sequence orders. Loads that expect consecutive sequences may follow
// one another; of those that expect the same one, one is executed.
func (s *unansweredLoads) reserved(now time.Time, at fleet.EndpointID, sequence int64) usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.byName[at.Name()]
	if len(sent) == 0 {
		return usage{}
	}
	byExpected := map[int64]usage{}
	for _, x := range sent {
		if (x.to != at || x.former) && x.expected >= sequence && now.Sub(x.sent) < unansweredLoadTTL {
			byExpected[x.expected] = byExpected[x.expected].max(x.takes)
		}
	}
	var most, consecutive usage
	last := int64(-1)
	for _, expected := range slices.Sorted(maps.Keys(byExpected)) {
		if expected != last+1 {
			consecutive = usage{}
		}
		consecutive = consecutive.plus(byExpected[expected])
		most = most.max(consecutive)
		last = expected
	}
	return most
}

// holdLoads delays loads at endpoints that have restarted under their name shortly before or after this host began to
// send orders: loads that a former controller has given up may still be executed there, and are not known here.
func (c *Controller) holdLoads(trackers []*endpointTracker) {
	if c.token == firstToken {
		return
	}
	for _, t := range trackers {
		t.mu.Lock()
		if t.restartedAt.After(c.ordersSince.Add(-unansweredLoadTTL - listLag)) {
			t.loadsFrom = c.ordersSince.Add(unansweredLoadTTL)
		}
		t.mu.Unlock()
	}
}
