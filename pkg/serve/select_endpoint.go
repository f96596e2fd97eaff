package serve

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/occupancy"
	"github.com/tealvane/tealvane/pkg/routing"
)

// slotOvercommit is the share of an endpoint's slots by which requests may exceed them, so
// that a freed slot is filled without a round trip.
const slotOvercommit = 0.25

// pick reserves a slot at an endpoint. It must be called with s.mu held. Endpoints that failed
// recently, or that failed this request, are used only if no other endpoint has a free slot.
func (d *Dispatcher) pick(now time.Time, s *shard, w *waiter) (fleet.Endpoint, bool) {
	ready := d.placement.Find(now, w.need).Ready
	healthy, suspect := make([]option, 0, len(ready)), []option(nil)
	sel := selection{now: now, need: w.need, view: d.sharedView(now, w.need.Service, s.serviceTime), service: s.serviceTime, maySpare: maySpare(now, s.serviceTime, w.request)}
	for _, e := range ready {
		c := d.health.Condition(now, e.ID, w.need.Service, w.need.QualifiedName())
		if c.Closed || c.Limited || w.avoid[e.ID] == Exclude {
			continue
		}
		o := sel.option(e, c)
		if sel.suspect(c) || w.avoid[e.ID] == LastResort {
			suspect = append(suspect, o)
		} else {
			healthy = append(healthy, o)
		}
	}
	sel.setLimits(healthy)
	sel.setLimits(suspect)
	if d.limitedToSlots(w.need.Service) {
		limitToSlots(healthy)
		limitToSlots(suspect)
		healthy = d.optionsWithSlots(healthy, w.request)
		suspect = d.optionsWithSlots(suspect, w.request)
	}
	how := routing.Options{
		Zone:         d.zone,
		ServiceTime:  s.serviceTime,
		Affinity:     w.request.Affinity,
		ByCompletion: sel.view != nil,
		SavedTime:    min(s.readTime.of(w.request.SharedTokens), s.serviceTime),
	}
	e, ok := chooseWithFallback(healthy, how)
	if !ok {
		e, ok = chooseWithFallback(suspect, how)
	}
	if !ok || !d.health.Signals.TryAcquire(now, e.ID) {
		return fleet.Endpoint{}, false
	}
	d.health.Begin(now, e.ID, w.need.Service)
	s.statsOf(w.need).inflight++
	return e, true
}

// option is an endpoint that may serve a request.
type option struct {
	endpoint  fleet.Endpoint
	candidate routing.Candidate
	// shared reports whether the shared view decides. estimate is then what it says, and
	// fallbackLimit replaces the candidate's limit if no endpoint is below its own.
	shared        bool
	estimate      occupancy.Estimate
	fallbackLimit int
}

func choose(options []option, how routing.Options) (fleet.Endpoint, bool) {
	candidates := make([]routing.Candidate, len(options))
	for i, o := range options {
		candidates[i] = o.candidate
	}
	i := routing.Pick(candidates, how, rand.IntN)
	if i < 0 {
		return fleet.Endpoint{}, false
	}
	return options[i].endpoint, true
}

// HasAlternative implements Queue.
func (d *Dispatcher) HasAlternative(n Need, id fleet.EndpointID) bool {
	now := d.now()
	sel := selection{now: now, need: n, view: d.sharedView(now, n.Service, initialServiceTime), service: initialServiceTime}
	var options []option
	for _, e := range d.placement.Find(now, n).Ready {
		c := d.health.Condition(now, e.ID, n.Service, n.QualifiedName())
		if e.ID != id && !c.Closed && !c.Limited && !sel.suspect(c) {
			options = append(options, sel.option(e, c))
		}
	}
	sel.setLimits(options)
	if d.limitedToSlots(n.Service) {
		limitToSlots(options)
	}
	return slices.ContainsFunc(append(options, fallbackOptions(options)...), func(o option) bool {
		return o.candidate.OwnRequests < o.candidate.Limit
	})
}

// allUnreachable reports whether there are ready endpoints and no connection to any of them could be made just now.
func (d *Dispatcher) allUnreachable(now time.Time, n Need, ready []fleet.Endpoint) bool {
	return len(ready) > 0 && !slices.ContainsFunc(ready, func(e fleet.Endpoint) bool {
		return !d.health.Condition(now, e.ID, n.Service, n.QualifiedName()).Unreachable
	})
}

// limitedUntil reports whether all the given endpoints are rate limited, and returns when the
// first of them accepts requests again, or the zero time if that is not known.
func (d *Dispatcher) limitedUntil(now time.Time, n Need, ready []fleet.Endpoint) (at time.Time, limited bool) {
	for _, e := range ready {
		c := d.health.Condition(now, e.ID, n.Service, n.QualifiedName())
		if !c.Limited {
			return time.Time{}, false
		}
		if !c.LimitedUntil.IsZero() && (at.IsZero() || c.LimitedUntil.Before(at)) {
			at = c.LimitedUntil
		}
	}
	return at, len(ready) > 0
}

// candidate limits this host's requests to the slots that other hosts leave free according to
// the endpoint's last load report. The weight of the report decays with its age relative to
// the service time.
func candidate(e fleet.Endpoint, c EndpointCondition, service time.Duration) routing.Candidate {
	others := c.Load.Running + c.Load.Waiting
	weight := math.Exp(-float64(c.LoadAge) / float64(service))
	slots := float64(e.Slots) * (1 + slotOvercommit)
	return routing.Candidate{
		Replica:       string(e.ID),
		Zone:          e.Zone,
		OwnRequests:   c.OwnRequests,
		OtherRequests: others,
		ReportAge:     c.LoadAge,
		Limit:         max(1, int(slots-float64(others)*weight)),
	}
}
