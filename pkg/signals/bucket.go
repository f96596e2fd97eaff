package signals

import (
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// spareHosts and hostsPerRate tell how many hosts at most divide a rate: spareHosts, and
	// hostsPerRate for each request a second.
	spareHosts   = 4
	hostsPerRate = 2
	// leastRate is the rate in requests a second that hosts use of an endpoint which states
	// less: without any request they would not learn that its limit has ended.
	leastRate = 0.1
	// burstTime is for how long a host keeps its part of a rate that it does not use, where
	// that is more than one request.
	burstTime = 250 * time.Millisecond
	// debtTime is over what time before a host learns of a rate its requests count: the endpoint
	// has got them, and its span may begin before it first states the rate. debtMost bounds what
	// they keep from it, in seconds of the host's part.
	debtTime = time.Second
	debtMost = 3 * time.Second
	// startSpread is how many requests around none a host may send at once when it learns of a
	// limit, so that hosts which learn of it together do not send together.
	startSpread = 0.5
)

// bucket is one host's part of a rate.
type bucket struct {
	// part is in requests a second; tokens are what may be sent at once, as of at.
	part   float64
	tokens float64
	at     time.Time
}

// newBucket returns the bucket of a host that has sent some requests in the last debtTime.
func newBucket(now time.Time, part, sent float64) bucket {
	debt := min(max(0, sent-part*debtTime.Seconds()), part*debtMost.Seconds())
	return bucket{part: part, tokens: startSpread*(2*rand.Float64()-1) - debt, at: now}
}

// recent counts requests over about the last debtTime.
type recent struct {
	// start is when the count now began; before is that of the time before it.
	start       time.Time
	now, before float64
}

func (r *recent) roll(now time.Time) {
	switch age := now.Sub(r.start); {
	case age >= 2*debtTime:
		*r = recent{start: now}
	case age >= debtTime:
		*r = recent{start: r.start.Add(debtTime), before: r.now}
	}
}

func (r *recent) add(now time.Time) {
	r.roll(now)
	r.now++
}

// count takes the time before for even.
func (r *recent) count(now time.Time) float64 {
	r.roll(now)
	return r.now + r.before*(1-float64(now.Sub(r.start))/float64(debtTime))
}

// most is how many requests may be sent at once.
func (b *bucket) most() float64 { return max(1, b.part*burstTime.Seconds()) }

func (b *bucket) fill(now time.Time) {
	if dt := now.Sub(b.at).Seconds(); dt > 0 {
		b.tokens = min(b.most(), b.tokens+b.part*dt)
		b.at = now
	}
}

// use takes a request off and tells whether there was one.
func (b *bucket) use(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// next tells whether there is no request to take off, and until when.
func (b *bucket) next(now time.Time) (until time.Time, wait bool) {
	b.fill(now)
	switch {
	case b.tokens >= 1:
		return time.Time{}, false
	case b.part <= 0:
		return time.Time{}, true
	}
	return now.Add(time.Duration((1 - b.tokens) / b.part * float64(time.Second))), true
}

// part is this host's part of a stated rate. A host with a part sends at most one request, or
// burstTime of its part, beyond part x span in any span. With no more than
// spareHosts + hostsPerRate x rate hosts all of them together stay within
// spareHosts + (hostsPerRate + span) x rate: for the span of four seconds in which endpoints
// count, within one and a half times the rate and five requests.
func (t *Table) part(x *state) float64 {
	rate := max(x.Rate, leastRate)
	places := int(spareHosts + hostsPerRate*rate)
	if len(t.hosts) <= places {
		return rate / float64(len(t.hosts))
	}
	own, before := draw(t.self, x.Endpoint), 0
	for _, h := range t.hosts {
		if draw(h, x.Endpoint) > own {
			before++
		}
	}
	if before >= places {
		return 0
	}
	return rate / float64(places)
}

// draw ranks a host for an endpoint, the same in each host's view.
func draw(host string, id fleet.EndpointID) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, host+"/"+string(id)) // A hash takes all bytes.
	return h.Sum64()
}
