package occupancy

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// viewInterval is the least interval between two views of the controller.
	viewInterval = 100 * time.Millisecond
	// warmupTime is how long a new controller collects reports before its first view: the longest
	// time that a report takes through a relay. Hosts use the view of the former controller
	// meanwhile.
	warmupTime = 500 * time.Millisecond
	// speedTimeConstant is the time constant of the moving average of run times.
	speedTimeConstant = 3 * time.Second
	// minCompletions is the number of requests in that average from which it is used. Run times
	// vary by a factor of about three between requests.
	minCompletions = 8
	// minPercent and maxPercent bound the published run time.
	minPercent = 25
	maxPercent = 800
	// usualMargin is how far the run time of an endpoint without requests may be from the usual one
	// for the endpoint to be left out.
	usualMargin = 10
)

// Publisher builds the controller's view from the sums of all reports. It is safe for concurrent
// use.
type Publisher struct {
	sums *Sums

	mu sync.Mutex
	// since is when this host became the controller, zero if it is not.
	since time.Time
	// seq and lastAt are the sequence number and the time of the last view.
	seq    int64
	lastAt time.Time
	// speeds holds a moving sum of the completed requests of each endpoint.
	speeds map[fleet.EndpointHash]tally
}

// NewPublisher returns a publisher of the given sums.
func NewPublisher(s *Sums) *Publisher { return &Publisher{sums: s} }

// Stop must be called when this host is not the controller. The publisher starts empty afterwards.
func (p *Publisher) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.since, p.speeds = time.Time{}, nil
}

// View returns the next view of the controller with the given fencing token. It reports false if
// there is none yet.
func (p *Publisher) View(now time.Time, token int64) (o fleet.Occupancy, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.since.IsZero() {
		p.since = now
		p.speeds = map[fleet.EndpointHash]tally{}
	}
	if now.Sub(p.since) < warmupTime || now.Sub(p.lastAt) < viewInterval {
		return fleet.Occupancy{}, false
	}
	t := p.sums.take(now, nil)
	if t == nil {
		return fleet.Occupancy{}, false
	}
	p.learn(t.completed, now.Sub(p.lastAt))
	p.lastAt = now
	p.seq++
	return fleet.Occupancy{Token: token, Seq: p.seq, AgeMillis: t.age.Milliseconds(), Endpoints: p.endpoints(t.inFlight), Waiting: mostWaiting(t.waiting)}, true
}

// maxWaiting bounds the models in a view.
const maxWaiting = 32

// mostWaiting returns the models with the most waiting requests.
func mostWaiting(waiting map[fleet.NeedHash]int) []fleet.NeedWaiting {
	var out []fleet.NeedWaiting
	for need, n := range waiting {
		out = append(out, fleet.NeedWaiting{Need: need, Requests: n})
	}
	slices.SortFunc(out, func(a, b fleet.NeedWaiting) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Need, b.Need))
	})
	return out[:min(len(out), maxWaiting)]
}

// learn adds completed requests to the moving sums.
func (p *Publisher) learn(completed map[fleet.EndpointHash]tally, elapsed time.Duration) {
	weight := math.Exp(-elapsed.Seconds() / speedTimeConstant.Seconds())
	for h, t := range p.speeds {
		t = tally{t.completed * weight, t.runMillis * weight, t.expectedMillis * weight}
		p.speeds[h] = t
		if t.completed < 1 {
			delete(p.speeds, h)
		}
	}
	for h, t := range completed {
		p.speeds[h] = p.speeds[h].plus(t)
	}
}

func (p *Publisher) endpoints(inFlight map[fleet.EndpointHash]int) []fleet.EndpointOccupancy {
	var out []fleet.EndpointOccupancy
	for h, n := range inFlight {
		out = append(out, fleet.EndpointOccupancy{Endpoint: h, InFlight: n, RunTimePercent: p.speeds[h].percent()})
	}
	for h, t := range p.speeds {
		_, listed := inFlight[h]
		if n := t.percent(); !listed && max(n-UsualPercent, UsualPercent-n) > usualMargin {
			out = append(out, fleet.EndpointOccupancy{Endpoint: h, RunTimePercent: n})
		}
	}
	slices.SortFunc(out, func(a, b fleet.EndpointOccupancy) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// percent returns the run time relative to the expected one.
func (t tally) percent() int {
	if t.completed < minCompletions || t.expectedMillis <= 0 {
		return UsualPercent
	}
	return int(min(max(minPercent, UsualPercent*t.runMillis/t.expectedMillis), maxPercent))
}
