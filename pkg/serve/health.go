package serve

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/signals"
)

const (
	// suspectDuration is how long an endpoint is used only as a last resort after a failed
	// connection.
	suspectDuration = 1500 * time.Millisecond
	// unreachableCooldown is how long an endpoint gets no further requests after no connection to it could be
	// made. Requests wait for it or for another endpoint meanwhile.
	unreachableCooldown = 250 * time.Millisecond
	// noConnectionCooldown replaces unreachableCooldown where there was no connection for another reason, such as that
	// all are in use.
	noConnectionCooldown = 60 * time.Millisecond
	// replacedTTL is how long an endpoint gets no requests after another one has answered at its address. The list
	// drops a terminated endpoint within about this time.
	replacedTTL = 4 * time.Second
	// unreachableMemory is how long after a failed connection one request at a time tries the endpoint.
	unreachableMemory = 2 * time.Second
	// unreachableReportDuration is how long a failed connection is reported to the controller.
	unreachableReportDuration = 600 * time.Millisecond
	// overloadedCooldown is how long an endpoint gets no further requests for a model after it
	// rejected one for lack of slots.
	overloadedCooldown = 150 * time.Millisecond
	// notLoadedCooldown is how long an endpoint gets no further requests for a model that it
	// reported not to have loaded. It doubles with each rejection of a request.
	notLoadedCooldown = 60 * time.Millisecond
	// failureRateWeight is the weight of one result in the moving average of the failure rate.
	failureRateWeight = 0.08
	// failureRateMargin is how far the failure rate of an endpoint may exceed that of its
	// service before the endpoint is used only as a last resort.
	failureRateMargin = 0.3
)

// Health is the state of endpoints as observed by this host. It is safe for concurrent use.
type Health struct {
	// Signals holds the rate limits, pauses and shutdown notices that endpoints send with
	// their responses.
	Signals *signals.Table
	// Brittle holds the services whose endpoints are brittle.
	Brittle *signals.BrittleServices

	mu                 sync.Mutex
	endpoints          map[fleet.EndpointID]*endpointState
	serviceFailureRate map[string]float64
	// statesWorkTime holds the services whose endpoints state their work time.
	statesWorkTime map[string]bool
}

type endpointState struct {
	suspectUntil time.Time
	// unreachableAt is the time of the last failed connection, and noConnectionAt when there was last none for a
	// request for any reason. Both are zero once a connection was made. triedAt is when a request last tried.
	unreachableAt, noConnectionAt, triedAt time.Time
	// replacedAt is when another endpoint last answered at the address.
	replacedAt time.Time
	// closedUntil maps a model or adapter to the time until which the endpoint gets no
	// requests for it.
	closedUntil map[string]time.Time
	failureRate float64
	// rejectedAt is when the endpoint last rejected a request for lack of slots.
	rejectedAt time.Time
	// running counts requests in flight. lastByte is when the endpoint last sent a byte of any
	// response.
	running  int
	lastByte time.Time
	// service is that of the last request.
	service string
	load    fleet.Load
	loadAt  time.Time
}

func NewHealth() *Health {
	return &Health{
		Signals:            signals.New(),
		Brittle:            signals.NewBrittleServices(),
		endpoints:          map[fleet.EndpointID]*endpointState{},
		serviceFailureRate: map[string]float64{},
		statesWorkTime:     map[string]bool{},
	}
}

func (h *Health) state(id fleet.EndpointID) *endpointState {
	e := h.endpoints[id]
	if e == nil {
		e = &endpointState{closedUntil: map[string]time.Time{}}
		h.endpoints[id] = e
	}
	return e
}

// RecordConnectionFailure records a failed connection.
func (h *Health) RecordConnectionFailure(now time.Time, id fleet.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state(id).suspectUntil = now.Add(suspectDuration)
}

// RecordUnreachable records that no connection could be made.
func (h *Health) RecordUnreachable(now time.Time, id fleet.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state(id).unreachableAt = now
}

// unreachable reports whether a request should not try to connect to the endpoint now: an attempt has just failed, or
// another request has just begun one.
func (e *endpointState) unreachable(now time.Time) bool {
	failedAgo := now.Sub(e.unreachableAt)
	return now.Sub(e.replacedAt) < replacedTTL ||
		now.Sub(e.noConnectionAt) < noConnectionCooldown ||
		failedAgo < unreachableCooldown || failedAgo < unreachableMemory && now.Sub(e.triedAt) < unreachableCooldown
}

// recordNoConnection records that there was no connection for a request, although the endpoint may be reachable.
func (h *Health) recordNoConnection(now time.Time, id fleet.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state(id).noConnectionAt = now
}

// RecordReached records that a connection to an endpoint was made.
func (h *Health) RecordReached(id fleet.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.endpoints[id]; e != nil {
		e.unreachableAt, e.noConnectionAt = time.Time{}, time.Time{}
	}
}

// recordReplaced records that another endpoint has the address: this one has most likely terminated.
func (h *Health) recordReplaced(now time.Time, id fleet.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state(id).replacedAt = now
}

// AllUnreachable returns the endpoints to which a connection failed recently.
func (h *Health) AllUnreachable(now time.Time) []fleet.EndpointID {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []fleet.EndpointID
	for id, e := range h.endpoints {
		if now.Sub(e.unreachableAt) < unreachableReportDuration {
			out = append(out, id)
		}
	}
	return out
}

// RecordOverload records that an endpoint rejected a request for the named model or adapter. Other
// models of the endpoint are not affected: endpoints reject in the same way while they load or
// unload a model.
func (h *Health) RecordOverload(now time.Time, id fleet.EndpointID, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.state(id)
	e.closedUntil[name] = now.Add(overloadedCooldown)
	e.rejectedAt = now
}

// RecordNotLoaded records that an endpoint does not have a model or adapter loaded. n is the
// number of earlier rejections of the same request.
func (h *Health) RecordNotLoaded(now time.Time, id fleet.EndpointID, name string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state(id).closedUntil[name] = now.Add(notLoadedCooldown << n)
}

// RecordResult records whether a run failed.
func (h *Health) RecordResult(id fleet.EndpointID, service string, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	result := 0.0
	if failed {
		result = 1
	}
	e := h.state(id)
	e.failureRate += (result - e.failureRate) * failureRateWeight
	h.serviceFailureRate[service] += (result - h.serviceFailureRate[service]) * failureRateWeight
}

// RecordByte records that an endpoint has sent bytes of a response.
func (h *Health) RecordByte(now time.Time, id fleet.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state(id).lastByte = now
}

// RecordLoad records the load that an endpoint of a service reported.
func (h *Health) RecordLoad(now time.Time, id fleet.EndpointID, service string, l fleet.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.WorkTimeStated {
		h.statesWorkTime[service] = true
	}
	e := h.state(id)
	e.load = l
	e.loadAt = now
}

// StatesWorkTime reports whether an endpoint of the service has stated its work time.
func (h *Health) StatesWorkTime(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.statesWorkTime[service]
}

// Begin counts a request as running at an endpoint of a service.
func (h *Health) Begin(now time.Time, id fleet.EndpointID, service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.state(id)
	if e.running == 0 {
		e.lastByte = now
	}
	e.running++
	e.triedAt = now
	e.service = service
}

// End counts a running request of an endpoint as ended.
func (h *Health) End(id fleet.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state(id).running--
}

// recordFreed records that the connection of a request may be free now.
func (h *Health) recordFreed(id fleet.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state(id).noConnectionAt = time.Time{}
}

// InFlight returns the number of running requests of each endpoint of the services that include
// accepts. Endpoints without running requests are left out.
func (h *Health) InFlight(include func(service string) bool) map[fleet.EndpointID]int {
	h.mu.Lock()
	running, services := map[fleet.EndpointID]int{}, map[fleet.EndpointID]string{}
	for id, e := range h.endpoints {
		if e.running > 0 {
			running[id], services[id] = e.running, e.service
		}
	}
	h.mu.Unlock()
	included := map[string]bool{}
	for id, service := range services {
		ok, known := included[service]
		if !known {
			ok = include(service)
			included[service] = ok
		}
		if !ok {
			delete(running, id)
		}
	}
	return running
}

// StallTime returns for how long an endpoint with running requests has sent no byte. It returns 0
// for an endpoint without running requests.
func (h *Health) StallTime(now time.Time, id fleet.EndpointID) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.endpoints[id]
	if e == nil || e.running == 0 {
		return 0
	}
	return now.Sub(e.lastByte)
}

// EndpointCondition is the state of an endpoint for one model or adapter, as used by routing.
type EndpointCondition struct {
	OwnRequests int
	Load        fleet.Load
	LoadAge     time.Duration
	Suspect     bool
	// Failing reports that Suspect is set only since the endpoint fails more often than its service.
	// FailureRate and ServiceFailureRate are the moving averages of both.
	Failing                         bool
	FailureRate, ServiceFailureRate float64
	// Closed reports that the endpoint must not get requests for the model or adapter now, Unreachable that it is
	// closed because no connection to it could be made.
	Closed, Unreachable bool
	// Limited reports that this host has used up its part of the endpoint's request rate, or
	// that the endpoint asked for a pause. LimitedUntil is when the endpoint accepts requests
	// again, or zero if that is not known.
	Limited      bool
	LimitedUntil time.Time
}

// Condition returns the state of an endpoint for the named model or adapter.
func (h *Health) Condition(now time.Time, id fleet.EndpointID, service, name string) EndpointCondition {
	h.mu.Lock()
	defer h.mu.Unlock()
	limitedUntil, limited := h.Signals.Next(now, id)
	e := h.endpoints[id]
	if e == nil {
		return EndpointCondition{LoadAge: time.Hour, Limited: limited, LimitedUntil: limitedUntil}
	}
	suspect := now.Before(e.suspectUntil) || e.running > 0 && now.Sub(e.lastByte) > stalledAfter
	failing := e.failureRate > h.serviceFailureRate[service]+failureRateMargin
	unreachable := e.unreachable(now)
	return EndpointCondition{
		Limited:      limited,
		LimitedUntil: limitedUntil,
		OwnRequests:  e.running,
		Load:         e.load,
		LoadAge:      now.Sub(e.loadAt),
		Suspect:      suspect || failing,
		Failing:      failing && !suspect,
		Closed:       unreachable || now.Before(e.closedUntil[name]),
		Unreachable:  unreachable,

		FailureRate:        e.failureRate,
		ServiceFailureRate: h.serviceFailureRate[service],
	}
}

// Prune removes the state of endpoints that are not in live and have no running requests.
func (h *Health) Prune(live map[fleet.EndpointID]bool) {
	h.Signals.Retain(live)
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, e := range h.endpoints {
		if !live[id] && e.running == 0 {
			delete(h.endpoints, id)
		}
	}
}
