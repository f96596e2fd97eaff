package serve

import (
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/occupancy"
	"github.com/tealvane/tealvane/pkg/routing"
)

// spareTimeShare is the share of the service time that a request must have left until its objective
// to wait in the queue of an endpoint without a free slot. A quarter of the slots, by which requests
// may exceed them, becomes free in about a quarter of the service time; the rest is for the start of
// the response.
const spareTimeShare = 0.5

// slotDemand determines whether a request can get a slot at an endpoint.
type slotDemand struct {
	need     Need
	maySpare bool
}

// minViewWeight is the share of the requests in a view that must still run for the view to be used.
// Requests of a plain service end several times faster than a view reaches a host.
const minViewWeight = 0.1

// sharedView returns the shared view of the occupancy, or nil if there is none that is recent in
// relation to the mean service time, or the service is not scheduled for contention.
func (d *Dispatcher) sharedView(now time.Time, service string, serviceTime time.Duration) *occupancy.View {
	if d.Occupancy == nil || !d.contention(service) {
		return nil
	}
	v := d.Occupancy.Current(now)
	if v == nil || occupancy.Decay(v.Age(now), serviceTime) < minViewWeight {
		return nil
	}
	return v
}

// maySpare reports whether a request may wait in the queue of an endpoint without missing its
// objective.
func maySpare(now time.Time, service time.Duration, r *Request) bool {
	return r.ObjectiveTime().Sub(now) >= time.Duration(spareTimeShare*float64(service))
}

// selection is what decides about the endpoint of a request.
type selection struct {
	now  time.Time
	need Need
	// view is the shared view of the occupancy, or nil.
	view *occupancy.View
	// service is the mean service time.
	service time.Duration
	// maySpare reports whether the request may wait in the queue of an endpoint.
	maySpare bool
}

// option returns an endpoint with what decides about it. What the shared view knows of the endpoint
// replaces the endpoint's own report.
func (s selection) option(e fleet.Endpoint, c EndpointCondition) option {
	o := option{endpoint: e, candidate: candidate(e, c, s.service)}
	if s.view == nil {
		return o
	}
	o.candidate.Completion = routing.Completion{
		OtherRequests:  float64(o.candidate.OtherRequests) * occupancy.Decay(c.LoadAge, s.service),
		Slots:          e.Slots,
		RunTimePercent: runTimePercent(occupancy.UsualPercent, c),
		SuccessRate:    successRate(c),
	}
	estimate, ok := s.view.Find(s.now, e.ID)
	if !ok {
		return o
	}
	o.candidate.Completion.OtherRequests = estimate.Others(s.service)
	o.candidate.Completion.RunTimePercent = runTimePercent(estimate.RunTimePercent, c)
	o.shared, o.estimate = true, estimate
	return o
}

// setLimits sets the limits of the options that the shared view decides about.
func (s selection) setLimits(options []option) {
	if s.view == nil {
		return
	}
	inFlight := 0
	for _, o := range options {
		inFlight += o.estimate.All
	}
	c := s.view.Competition(s.now, fleet.NewNeedHash(s.need.Service, s.need.Model, s.need.Adapter), inFlight, s.service)
	for i := range options {
		if o := &options[i]; o.shared {
			o.candidate.Limit = o.estimate.Limit(o.endpoint.Slots, false, c, s.service)
			o.fallbackLimit = o.estimate.Limit(o.endpoint.Slots, s.maySpare, c, s.service)
		}
	}
}

// suspect reports whether an endpoint is used only as a last resort. With the shared view, an
// endpoint that fails more often than others gets fewer requests instead.
func (s selection) suspect(c EndpointCondition) bool {
	return c.Suspect && (s.view == nil || !c.Failing)
}

// workTimeTTL is how long a work time that an endpoint has stated is used. Work times change several
// times a second.
const workTimeTTL = 300 * time.Millisecond

// runTimePercent returns how long requests take at an endpoint: the work time that it has just
// stated, which gives way to the learned one with its age.
func runTimePercent(learned int, c EndpointCondition) float64 {
	if !c.Load.WorkTimeStated || c.LoadAge >= workTimeTTL {
		return float64(learned)
	}
	weight := 1 - float64(c.LoadAge)/float64(workTimeTTL)
	return float64(learned) + weight*float64(c.Load.WorkTimePercent-learned)
}

// successRate returns the share of requests that succeed at an endpoint relative to its service.
func successRate(c EndpointCondition) float64 {
	if c.FailureRate <= c.ServiceFailureRate {
		return 1
	}
	return (1 - c.FailureRate) / (1 - c.ServiceFailureRate)
}

// chooseWithFallback chooses an endpoint below its limit, or else one below its fallback limit.
func chooseWithFallback(options []option, how routing.Options) (fleet.Endpoint, bool) {
	if e, ok := choose(options, how); ok {
		return e, true
	}
	return choose(fallbackOptions(options), how)
}

// fallbackOptions returns the options that take more requests if no endpoint is below its limit:
// those in whose queue the request may wait, and those that are open.
//
// Endpoints are open only while all of them together are. Otherwise more requests wait for them than
// they have slots, and each host takes its share.
func fallbackOptions(options []option) []option {
	inFlight, slots := 0, 0
	for _, o := range options {
		inFlight += o.estimate.All
		slots += o.endpoint.Slots
	}
	allOpen := occupancy.Open(inFlight, slots)
	var out []option
	for _, o := range options {
		limit := o.fallbackLimit
		if allOpen && occupancy.Open(o.estimate.All, o.endpoint.Slots) {
			limit = max(1, limit)
		}
		if o.shared && limit > o.candidate.Limit {
			o.candidate.Limit = limit
			out = append(out, o)
		}
	}
	return out
}

// recordCompletion reports the run time of a successful run to the other hosts.
func (d *Dispatcher) recordCompletion(r *Request, id fleet.EndpointID, result SlotResult) {
	if d.Occupancy != nil && result.Duration > 0 && d.contention(r.Service) {
		d.Occupancy.Completed(id, r.Service+"/"+r.Need().QualifiedName(), result.Duration)
	}
}
