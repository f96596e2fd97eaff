package signals

import (
	"math/rand/v2"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// baseSharingHosts and sharingHostsPerRate bound the number of hosts that share a rate: the
	// first plus the second for each request per second.
	baseSharingHosts    = 4
	sharingHostsPerRate = 2
	// minRate is the rate in requests per second that hosts use for an endpoint that advertises
	// less. Without any request they would not learn that its limit has ended.
	minRate = 0.1
	// burstWindow is the time for which unused requests accumulate, if that is more than one
	// request.
	burstWindow = 250 * time.Millisecond
	// debtWindow is the time before a host learns of a rate in which its requests count against it:
	// the endpoint's window may have begun before the rate was advertised. maxDebt bounds this
	// debt, in seconds of the host's share.
	debtWindow = time.Second
	maxDebt    = 3 * time.Second
	// startJitter is the jitter, in requests, of the initial tokens, so that hosts that learn of a
	// limit together do not send together.
	startJitter = 0.5
)

// bucket is the token bucket for one host's share of a rate.
type bucket struct {
	// share is the host's share in requests per second; tokens is the number of requests that may
	// be sent at once, as of at.
	share  float64
	tokens float64
	at     time.Time
}

// newBucket returns the bucket of a host that has sent the given number of requests in the last
// debtWindow.
func newBucket(now time.Time, share, sent float64) bucket {
	debt := min(max(0, sent-share*debtWindow.Seconds()), share*maxDebt.Seconds())
	return bucket{share: share, tokens: startJitter*(2*rand.Float64()-1) - debt, at: now}
}

// requestCounter estimates the number of requests in the last debtWindow with two fixed windows.
type requestCounter struct {
	// start is the start of the current window. current is the count in it, previous the count in
	// the previous one.
	start             time.Time
	current, previous float64
}

func (r *requestCounter) rotate(now time.Time) {
	switch age := now.Sub(r.start); {
	case age >= 2*debtWindow:
		*r = requestCounter{start: now}
	case age >= debtWindow:
		*r = requestCounter{start: r.start.Add(debtWindow), previous: r.current}
	}
}

func (r *requestCounter) add(now time.Time) {
	r.rotate(now)
	r.current++
}

// count assumes that the requests of the previous window were spread evenly.
func (r *requestCounter) count(now time.Time) float64 {
	r.rotate(now)
	return r.current + r.previous*(1-float64(now.Sub(r.start))/float64(debtWindow))
}

// capacity returns the capacity of the bucket.
func (b *bucket) capacity() float64 { return max(1, b.share*burstWindow.Seconds()) }

func (b *bucket) fill(now time.Time) {
	if dt := now.Sub(b.at).Seconds(); dt > 0 {
		b.tokens = min(b.capacity(), b.tokens+b.share*dt)
		b.at = now
	}
}

// take takes one token and reports whether there was one.
func (b *bucket) take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// nextAvailable reports whether a request has to wait for a token, and until when; a zero time
// means that this is unknown.
func (b *bucket) nextAvailable(now time.Time) (until time.Time, wait bool) {
	b.fill(now)
	switch {
	case b.tokens >= 1:
		return time.Time{}, false
	case b.share <= 0:
		return time.Time{}, true
	}
	return now.Add(time.Duration((1 - b.tokens) / b.share * float64(time.Second))), true
}

// share returns this host's share of an advertised rate. In any span a host with a share sends
// at most share x span requests and one more, or burstWindow of its share. With at most
// baseSharingHosts + sharingHostsPerRate x rate such hosts, all of them together send at most
// baseSharingHosts + (sharingHostsPerRate + span) x rate. For the window of four seconds in which
// endpoints count, that is within one and a half times the rate and five requests.
func (t *Table) share(x *endpointState) float64 {
	rate := max(x.Rate, minRate)
	sharing := int(baseSharingHosts + sharingHostsPerRate*rate)
	if len(t.hosts) <= sharing {
		return rate / float64(len(t.hosts))
	}
	ownRank, higher := fleet.HostRank(t.self, x.Endpoint), 0
	for _, h := range t.hosts {
		if fleet.HostRank(h, x.Endpoint) > ownRank {
			higher++
		}
	}
	if higher >= sharing {
		return 0
	}
	return rate / float64(sharing)
}
