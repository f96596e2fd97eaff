package serve

import (
	"time"

	"github.com/tealvane/tealvane/pkg/admission"
	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// returnFactor is the factor by which the admitted share of returning requests is raised.
	returnFactor = 3
	// returnRateWeight is the weight of one request in the moving average of the share of requests
	// that are returns.
	returnRateWeight = 0.05
	// shortageTime is the time after which a refused request may return per share that is refused.
	// The backlog alone says little, since the level keeps it short.
	shortageTime = 2 * time.Second
	// urgencySteps is the number of route priorities that return at different times.
	urgencySteps = 3
	// medianTimeLeft is the time left of a request that returns in the middle of its priority.
	medianTimeLeft = 5 * time.Second
	// spreadStart is the share of the largest Retry-After over whose rest requests are spread if
	// room is expected later.
	spreadStart = 0.75
)

// returnPosition returns a number from 0 to below 1 for the order in which refused requests should
// return: by urgency, then by the time left. Equal requests are spread by their ID.
func returnPosition(r *Request, left time.Duration) float64 {
	step := float64(min(max(r.Route.Priority, 0), urgencySteps-1))
	byTime := float64(max(left, 0)) / float64(max(left, 0)+medianTimeLeft)
	return (step + (byTime+admission.Fraction("return "+r.ID))/2) / urgencySteps
}

// spreadRetryAfter returns the Retry-After of a request that is refused under contention while room
// is expected after the given time.
func spreadRetryAfter(r *Request, now time.Time, room time.Duration) time.Duration {
	left := r.Deadline.Sub(now)
	longest := max(minRetryAfter, min(maxRetryAfter, time.Duration(float64(left)*retryAfterShare)))
	start := min(max(room, minRetryAfter), max(minRetryAfter, time.Duration(spreadStart*float64(longest))))
	end := min(2*start, longest)
	if room > start {
		end = longest
	}
	after := start + time.Duration(float64(end-start)*returnPosition(r, left))
	// The header has a resolution of one millisecond.
	return max(minRetryAfter, after.Truncate(time.Millisecond))
}

// roomIn returns the time after which room for requests like r is expected.
func (d *Dispatcher) roomIn(now time.Time, r *Request, location Location) time.Duration {
	if !location.ReadyAt.IsZero() {
		return location.ReadyAt.Sub(now)
	}
	if level, known := d.Levels.Find(now, r.Service, r.Model); known {
		refused := 1 - float64(level.Share(r.Route.Priority, r.Account))/fleet.FullShare
		return max(milliseconds(level.Wait), time.Duration(refused*float64(shortageTime)))
	}
	return d.backlog(now, r.Need(), location)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// RecordRefusal implements ContentionQueue.
func (d *Dispatcher) RecordRefusal(r *Request, after time.Duration) {
	if d.contention(r.Service) {
		d.returns.Add(r.Fingerprint, d.now().Add(after))
	}
}

// recordRefusal records a refusal for lack of room, so that the request is preferred when it
// returns.
func (x *exchange) recordRefusal(r Refusal) {
	q, ok := x.server.Queue.(ContentionQueue)
	if !ok || !r.NotRun || r.RetryAfter <= 0 {
		return
	}
	switch r.Cause {
	case CauseContention, CauseBudget, CauseNoRoom, CauseNotLoaded:
		q.RecordRefusal(x.request, r.RetryAfter)
	}
}

// admittedShares returns the shares of new and of returning requests that are admitted, in units of
// 1/fleet.FullShare, if share is admitted of all, and above of a more urgent priority. The share of
// new requests is lower, so that all together make up for share. The more returns there are, the
// lower both are, by the same factor for each priority.
func admittedShares(share, above int, returnRate float64) (fresh, returning int) {
	if share >= fleet.FullShare {
		return fleet.FullShare, fleet.FullShare
	}
	factor := 1 / (1 + (returnFactor-1)*returnRate)
	if above < fleet.FullShare {
		above = int(factor * float64(above))
	}
	fresh = int(factor * float64(share))
	return fresh, min(returnFactor*fresh, above)
}
