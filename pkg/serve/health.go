package serve

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/signals"
)

const (
	// suspectFor is how long an endpoint that failed a connection is used only
	// as a last choice: about one heartbeat.
	suspectFor = 1500 * time.Millisecond
	// unreachableFor is for how long a failed connection is told to the controller: a
	// few reports.
	unreachableFor = 600 * time.Millisecond
	// fullFor is how long an endpoint that refused for want of places is left
	// alone: a few times the time in which a place comes free.
	fullFor = 150 * time.Millisecond
	// notHeldFor is how long an endpoint is left alone that did not hold a model
	// which it was believed to hold.
	notHeldFor = 60 * time.Millisecond
	// failureWeight is the weight of one result in the moving share of failures.
	failureWeight = 0.08
	// failureLimit is the share of failed requests above which an endpoint is
	// used only as a last choice, beyond the share of all endpoints of the
	// service together.
	failureLimit = 0.3
)

// Health is what a host has seen of endpoints. It is safe for concurrent use.
type Health struct {
	// Signals are what endpoints say of themselves in their answers.
	Signals *signals.Table

	mu        sync.Mutex
	endpoints map[fleet.EndpointID]*condition
	services  map[string]float64
}

type condition struct {
	suspectUntil time.Time
	// unreachable is when the endpoint last could not be connected to.
	unreachable time.Time
	// closed is until when the endpoint is not asked for a model or adapter.
	closed   map[string]time.Time
	failures float64
	// running counts requests in flight, lastByte is when any answer's byte came.
	running  int
	lastByte time.Time
	load     fleet.Load
	loadAt   time.Time
}

// NewHealth returns the state of a host that has seen nothing.
func NewHealth() *Health {
	return &Health{
		Signals:   signals.New(),
		endpoints: map[fleet.EndpointID]*condition{},
		services:  map[string]float64{},
	}
}

func (h *Health) of(id fleet.EndpointID) *condition {
	c := h.endpoints[id]
	if c == nil {
		c = &condition{closed: map[string]time.Time{}}
		h.endpoints[id] = c
	}
	return c
}

// Suspect notes a failed connection.
func (h *Health) Suspect(now time.Time, id fleet.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(id).suspectUntil = now.Add(suspectFor)
}

// Unreachable notes that no connection could be made.
func (h *Health) Unreachable(now time.Time, id fleet.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(id).unreachable = now
}

// AllUnreachable returns the endpoints that could not be connected to lately.
func (h *Health) AllUnreachable(now time.Time) []fleet.EndpointID {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []fleet.EndpointID
	for id, c := range h.endpoints {
		if now.Sub(c.unreachable) < unreachableFor {
			out = append(out, id)
		}
	}
	return out
}

// Full notes a refusal of what is named. An endpoint refuses in the same way
// for want of places and for a model that is being loaded or unloaded, so that
// other models stay open.
func (h *Health) Full(now time.Time, id fleet.EndpointID, what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(id).closed[what] = now.Add(fullFor)
}

// NotHeld notes that an endpoint does not hold a model or adapter, for the n-th
// time in one request.
func (h *Health) NotHeld(now time.Time, id fleet.EndpointID, what string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(id).closed[what] = now.Add(notHeldFor << n)
}

// Result notes whether a run succeeded.
func (h *Health) Result(id fleet.EndpointID, service string, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := 0.0
	if failed {
		x = 1
	}
	c := h.of(id)
	c.failures += (x - c.failures) * failureWeight
	h.services[service] += (x - h.services[service]) * failureWeight
}

// Byte notes that an endpoint has sent something.
func (h *Health) Byte(now time.Time, id fleet.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(id).lastByte = now
}

// Load notes the load that an endpoint has stated.
func (h *Health) Load(now time.Time, id fleet.EndpointID, l fleet.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.of(id)
	c.load = l
	c.loadAt = now
}

// Begin counts a request as running at an endpoint.
func (h *Health) Begin(now time.Time, id fleet.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.of(id)
	if c.running == 0 {
		c.lastByte = now
	}
	c.running++
}

// End counts a request as ended.
func (h *Health) End(id fleet.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(id).running--
}

// Silent returns for how long an endpoint with running requests has sent nothing.
func (h *Health) Silent(now time.Time, id fleet.EndpointID) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.endpoints[id]
	if c == nil || c.running == 0 {
		return 0
	}
	return now.Sub(c.lastByte)
}

// Condition is what routing needs to know of an endpoint.
type Condition struct {
	Own     int
	Load    fleet.Load
	LoadAge time.Duration
	Suspect bool
	// Closed endpoints are not asked now.
	Closed bool
	// Limited endpoints state a request rate of which this host has nothing left now, or have
	// asked it for a pause; FreeAt is when they take a request again, zero if that is not known.
	Limited bool
	FreeAt  time.Time
}

// Condition returns what is known of an endpoint that has to hold what is named.
func (h *Health) Condition(now time.Time, id fleet.EndpointID, service, what string) Condition {
	h.mu.Lock()
	defer h.mu.Unlock()
	freeAt, limited := h.Signals.Next(now, id)
	c := h.endpoints[id]
	if c == nil {
		return Condition{LoadAge: time.Hour, Limited: limited, FreeAt: freeAt}
	}
	return Condition{
		Limited: limited,
		FreeAt:  freeAt,
		Own:     c.running,
		Load:    c.load,
		LoadAge: now.Sub(c.loadAt),
		Suspect: now.Before(c.suspectUntil) || c.failures > h.services[service]+failureLimit || c.running > 0 && now.Sub(c.lastByte) > silentLimit,
		Closed:  now.Before(c.closed[what]),
	}
}

// Prune drops what is known of endpoints that are gone.
func (h *Health) Prune(live map[fleet.EndpointID]bool) {
	h.Signals.Retain(live)
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, c := range h.endpoints {
		if !live[id] && c.running == 0 {
			delete(h.endpoints, id)
		}
	}
}
