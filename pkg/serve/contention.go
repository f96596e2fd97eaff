package serve

import (
	"context"
	"time"
)

// maxBudgetWait bounds the wait for the retry budget of a rejected request of a service that is
// scheduled for contention. Its endpoints are full, so a longer wait would only shorten the time
// that the client has left to retry. The last check may be later by 1.25 of retryBudgetInterval.
const maxBudgetWait = 170 * time.Millisecond

// ContentionQueue is a Queue that schedules some services for contention.
type ContentionQueue interface {
	Queue
	// AdmitNew returns a refusal if a request that has just arrived is not among the share of
	// requests that is admitted. Arrivals must have been recorded.
	AdmitNew(r *Request) *Refusal
	// RoomAfter reports whether the service of a request is scheduled for contention. If it is, it
	// returns the Retry-After with which the request is refused now.
	RoomAfter(r *Request) (after time.Duration, contended bool)
	// RecordRefusal records that the client of a refused request was told to return after a time.
	RecordRefusal(r *Request, after time.Duration)
}

// refuseContended refuses a request that is not among the admitted share, and reports whether it
// did so. The request then does not wait, and counts as demand by its arrival only. A stream that goes on at its software
// version is always admitted: it is served before the requests whose number the share limits.
func (x *exchange) refuseContended(ctx context.Context) bool {
	q, ok := x.server.Queue.(ContentionQueue)
	if !ok || x.requiredVersion().Set {
		return false
	}
	refusal := q.AdmitNew(x.request)
	if refusal == nil {
		return false
	}
	x.finish(ctx, *refusal)
	return true
}

// budgetWaitEnd returns the time until which a rejected request waits for the retry budget.
func (x *exchange) budgetWaitEnd() time.Time {
	until := holdUntil(x.request)
	if _, contended := x.roomAfter(); !contended {
		return until
	}
	if limit := x.server.Now().Add(maxBudgetWait); limit.Before(until) {
		return limit
	}
	return until
}

// retryAfter returns the Retry-After of a request that endpoints rejected.
func (x *exchange) retryAfter() time.Duration {
	after, contended := x.roomAfter()
	if !contended {
		return minRetryAfter
	}
	return after
}

func (x *exchange) roomAfter() (after time.Duration, contended bool) {
	q, ok := x.server.Queue.(ContentionQueue)
	if !ok {
		return 0, false
	}
	return q.RoomAfter(x.request)
}

// RoomAfter implements ContentionQueue.
func (d *Dispatcher) RoomAfter(r *Request) (after time.Duration, contended bool) {
	if !d.contention(r.Service) {
		return 0, false
	}
	now := d.now()
	location := d.placement.Find(now, r.Need())
	return spreadRetryAfter(r, now, d.roomIn(now, r, location)), true
}

// backlog returns the time after which the first ready endpoint has served the requests that it
// last reported to have running or waiting.
func (d *Dispatcher) backlog(now time.Time, n Need, location Location) time.Duration {
	service := d.ServiceTime(n.Service)
	least := maxRetryAfter
	for _, e := range location.Ready {
		c := d.health.Condition(now, e.ID, n.Service, n.QualifiedName())
		load := float64(max(c.OwnRequests, c.Load.Running+c.Load.Waiting)) / float64(max(1, e.Slots))
		least = min(least, time.Duration(load*float64(service)))
	}
	return least
}
