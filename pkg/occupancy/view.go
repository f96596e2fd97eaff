package occupancy

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"sync/atomic"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// View is a published view as received by one host.
type View struct {
	host      string
	ambiguous *atomic.Pointer[map[fleet.EndpointHash]bool]
	// at is the mean time of the numbers of requests.
	at        time.Time
	published fleet.Occupancy
	endpoints map[fleet.EndpointHash]observed
	hosts     int
	waiting   map[fleet.NeedHash]int
	// all and own are the requests of all hosts and of this one at all endpoints.
	all, own int
}

// observed is the state of an endpoint at the time of a view.
type observed struct {
	// all and own are the requests of all hosts and of this one.
	all, own int
	percent  int
}

// Age returns the age of the numbers in the view.
func (v *View) Age(now time.Time) time.Duration { return max(0, now.Sub(v.at)) }

// Version identifies a view.
type Version struct{ Token, Seq int64 }

// Version returns the version of the view.
func (v *View) Version() Version { return Version{v.published.Token, v.published.Seq} }

// Len returns the number of endpoints in the view.
func (v *View) Len() int { return len(v.endpoints) }

// Published returns the view as published, with its present age.
func (v *View) Published(now time.Time) fleet.Occupancy {
	o := v.published
	o.AgeMillis = v.Age(now).Milliseconds()
	return o
}

// Find returns what is known of an endpoint, or false if the host has to use its own view.
func (v *View) Find(now time.Time, id fleet.EndpointID) (Estimate, bool) {
	h := id.Hash()
	if a := v.ambiguous.Load(); a != nil && (*a)[h] {
		return Estimate{}, false
	}
	e, listed := v.endpoints[h]
	if !listed {
		if v.published.Truncated {
			return Estimate{}, false
		}
		e = observed{percent: UsualPercent}
	}
	return Estimate{
		All:            e.all,
		Own:            e.own,
		RunTimePercent: e.percent,
		Age:            v.Age(now),
		Draw:           v.draw(h),
	}, true
}

// Competition is how many hosts compete for the slots of the endpoints that can serve a request.
type Competition struct {
	// Share is this host's share of free slots.
	Share float64
	// Active is the share of hosts that have a request within the lifetime of the view.
	Active float64
}

// viewLifetime is the time for which a view is the newest one, relative to its age.
const viewLifetime = 0.25

// Competition returns the competition for endpoints that have inFlight requests of all hosts, and
// for whose model requests wait. service is the mean service time.
//
// As many requests are expected to arrive within the lifetime of the view as end. If these are fewer
// than the hosts, most hosts leave their share unused, and it is divided among fewer.
func (v *View) Competition(now time.Time, need fleet.NeedHash, inFlight int, service time.Duration) Competition {
	ended := float64(inFlight) * viewLifetime * float64(v.Age(now)) / float64(max(service, time.Millisecond))
	active := min(1, (ended+float64(v.waiting[need]))/float64(v.hosts))
	return Competition{Share: v.share(max(1, active*float64(v.hosts))), Active: active}
}

// share returns this host's share of free slots among a number of active hosts: the mean of an equal
// share and of its share of all requests, which follows the load balancer, but at least the equal
// share, so that an idle host can start. The shares add up to somewhat more than 1, since some are
// not used.
func (v *View) share(hosts float64) float64 {
	equal := 1 / hosts
	if v.all == 0 {
		return equal
	}
	return max(equal, (equal+min(1, float64(v.own)/float64(v.all)))/2)
}

// draw returns a number from 0 to 1 that is the same for all requests of this host at an endpoint
// under one view, and independent of those of other hosts.
func (v *View) draw(endpoint fleet.EndpointHash) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(v.host)) // Write of a hash never fails.
	b := binary.BigEndian.AppendUint32(nil, uint32(endpoint))
	b = binary.BigEndian.AppendUint64(b, uint64(v.published.Seq))
	_, _ = h.Write(b)
	return float64(mix(h.Sum64())>>11) / (1 << 53)
}

// mix spreads the bits of a hash whose inputs differ in few bits (finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Estimate is what a view says about an endpoint.
type Estimate struct {
	// All and Own are the requests of all hosts and of this host at the time of the view.
	All, Own int
	// RunTimePercent is how long requests take at the endpoint, 100 as the mean of their models.
	RunTimePercent int
	// Age is the age of the numbers.
	Age time.Duration
	// Draw is a number from 0 to 1 that decides about a fraction of a slot.
	Draw float64
}

// Others returns the estimated number of other hosts' requests now. Requests of the view end within
// about the service time.
func (e Estimate) Others(service time.Duration) float64 {
	return float64(e.All-e.Own) * Decay(e.Age, service)
}

// Decay returns the weight of a number of requests of some age: the share that has not ended, if the
// time constant is the mean run time.
func Decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(max(timeConstant, time.Millisecond)))
}

const (
	// openShare is the share of free slots from which an endpoint is open to any host.
	openShare = 0.5
	// spareShare is the share of an endpoint's slots by which requests may exceed them if they have
	// time to wait in its queue. Endpoints queue a quarter of their slots; the other half of that
	// is left for the requests that hosts send at the same time.
	spareShare = 0.125
)

// Limit returns the greatest number of requests that this host may have at an endpoint: those that it
// has, and its share of the free slots. If requests exceed the slots, each host gives up its part of
// the excess. maySpare reports whether the request has time to wait in the endpoint's queue.
//
// Requests of the view end within about the service time. Of the slots that have become free since, a
// host is expected to use those of its own requests again if it is active; the others are free.
func (e Estimate) Limit(slots int, maySpare bool, c Competition, service time.Duration) int {
	places := float64(slots)
	if maySpare {
		places += spareShare * places
	}
	running := Decay(e.Age, service)
	kept := running + (1-running)*c.Active
	all, own := float64(e.All)*kept, float64(e.Own)*kept
	if all > places {
		return int(own*places/all + e.Draw)
	}
	return int(own + c.Share*(places-all) + e.Draw)
}

// Open reports whether so many of some slots are free that a request of any host is accepted.
func Open(inFlight, slots int) bool {
	return float64(slots-inFlight) >= openShare*float64(slots)
}
