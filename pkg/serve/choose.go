package serve

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/routing"
)

// overcommit is the part of an endpoint's places by which requests may
// exceed them: a place that comes free is taken without a round trip.
const overcommit = 0.25

// pick reserves a place. The shard is locked. Endpoints that failed lately, or
// failed this request, are asked only when no other has room: of two random
// choices both may fall on such a one.
func (d *Dispatcher) pick(now time.Time, s *shard, w *waiter) (fleet.Endpoint, bool) {
	var sound, suspect []option
	for _, e := range d.placement.Find(now, w.need).Ready {
		c := d.health.Condition(now, e.ID, w.need.Service, w.need.What())
		if c.Closed || c.Limited || w.avoid[e.ID] == Never {
			continue
		}
		o := option{e, candidate(e, c, s.service)}
		if c.Suspect || w.avoid[e.ID] == LastChoice {
			suspect = append(suspect, o)
		} else {
			sound = append(sound, o)
		}
	}
	key := w.request.Affinity
	e, ok := d.choose(sound, s.service, key)
	if !ok {
		e, ok = d.choose(suspect, s.service, key)
	}
	if !ok || !d.health.Signals.Use(now, e.ID) {
		return fleet.Endpoint{}, false
	}
	d.health.Begin(now, e.ID)
	s.useOf(w.need).inflight++
	return e, true
}

// option is an endpoint that may take a request.
type option struct {
	endpoint  fleet.Endpoint
	candidate routing.Candidate
}

func (d *Dispatcher) choose(options []option, service time.Duration, affinity string) (fleet.Endpoint, bool) {
	candidates := make([]routing.Candidate, len(options))
	for i, o := range options {
		candidates[i] = o.candidate
	}
	i := routing.Pick(candidates, routing.Choice{Zone: d.zone, Service: service, Affinity: affinity}, rand.IntN)
	if i < 0 {
		return fleet.Endpoint{}, false
	}
	return options[i].endpoint, true
}

// HasOther implements Queue.
func (d *Dispatcher) HasOther(r *Request, id fleet.EndpointID) bool {
	n := r.Need()
	now := d.now()
	for _, e := range d.placement.Find(now, n).Ready {
		c := d.health.Condition(now, e.ID, n.Service, n.What())
		if e.ID != id && !c.Closed && !c.Limited && !c.Suspect && c.Own < candidate(e, c, startService).Limit {
			return true
		}
	}
	return false
}

// freed tells whether all of some endpoints are limited, and when the first of them takes a
// request again, zero if that is not known.
func (d *Dispatcher) freed(now time.Time, n Need, ready []fleet.Endpoint) (at time.Time, limited bool) {
	for _, e := range ready {
		c := d.health.Condition(now, e.ID, n.Service, n.What())
		if !c.Limited {
			return time.Time{}, false
		}
		if !c.FreeAt.IsZero() && (at.IsZero() || c.FreeAt.Before(at)) {
			at = c.FreeAt
		}
	}
	return at, len(ready) > 0
}

// candidate bounds this host's requests by what the endpoint's last stated load
// leaves of its places. The statement fades with the service time.
func candidate(e fleet.Endpoint, c Condition, service time.Duration) routing.Candidate {
	others := c.Load.Running + c.Load.Waiting
	fresh := math.Exp(-float64(c.LoadAge) / float64(service))
	places := float64(e.Slots) * (1 + overcommit)
	return routing.Candidate{
		Replica: string(e.ID),
		Zone:    e.Zone,
		Own:     c.Own,
		Others:  others,
		Age:     c.LoadAge,
		Limit:   max(1, int(places-float64(others)*fresh)),
	}
}
