package orders

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// conflictRetryDelay is the delay before an order is sent again that conflicted with
	// another one. Under contention it grows up to maxConflictRetryDelay.
	conflictRetryDelay    = 30 * time.Millisecond
	maxConflictRetryDelay = 250 * time.Millisecond
	// conflictDelayDivisor divides the time already waited to give the delay. The end of the
	// other order is thus noticed late by at most this fraction of the wait.
	conflictDelayDivisor = 4
	// conflictCheckInterval is how long an order conflicts before the endpoint's report is
	// requested, and requested again. The state in the report is then at least as recent as
	// the first conflict.
	conflictCheckInterval = reportLag
)

// conflictTimes holds the times at which an order has conflicted and was checked.
type conflictTimes struct {
	// first is the time of the first conflict, nextCheck when the endpoint's report is
	// requested next.
	first, nextCheck time.Time
	// checked is set once a report was requested because of a conflict.
	checked bool
}

// record records a conflict.
func (c *conflictTimes) record(now time.Time) {
	if c.first.IsZero() {
		c.first, c.nextCheck = now, now.Add(conflictCheckInterval)
	}
}

// growingRetryDelay returns the delay before an order is sent again that has conflicted for the
// time waited and whose next check is due after untilCheck. Orders that conflict for long wait
// for requests that run on a model that is being unloaded.
func growingRetryDelay(waited, untilCheck time.Duration) time.Duration {
	delay := min(waited/conflictDelayDivisor, maxConflictRetryDelay, untilCheck)
	return max(delay, conflictRetryDelay)
}

// handleConflict waits for another order to end. After some time it requests the endpoint's
// report to decide whether the order may be sent again.
func (c *Controller) handleConflict(ctx context.Context, t *endpointTracker, e fleet.Endpoint, s *outgoingOrder) orderState {
	now := c.Now()
	s.conflicts.record(now)
	if !now.Before(s.conflicts.nextCheck) {
		state := c.checkOrder(ctx, t, e, s)
		s.conflicts.checked = true
		s.conflicts.nextCheck = now.Add(conflictCheckInterval)
		if state != pending {
			return state
		}
	}
	if !wait.For(ctx, c.conflictDelay(e.Service, s)) {
		return abandoned
	}
	return pending
}

// conflictDelay returns the delay before an order that has conflicted is sent again.
func (c *Controller) conflictDelay(service string, s *outgoingOrder) time.Duration {
	if c.Contention == nil || !c.Contention(service) {
		return conflictRetryDelay
	}
	now := c.Now()
	return growingRetryDelay(now.Sub(s.conflicts.first), s.conflicts.nextCheck.Sub(now))
}
