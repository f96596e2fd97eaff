// Package admission orders waiting requests and refuses those whose deadline cannot be met.
package admission

import (
	"time"

	"github.com/tealvane/tealvane/pkg/wfq"
)

// Waiter is a request that waits for a slot at a replica.
type Waiter struct {
	Customer string
	// Weight is the weight of the customer's contract; 0 means 1.
	Weight   float64
	Deadline time.Time
	// Result receives the result of the wait, at most once.
	Result chan Result
	item   *wfq.Item[*Waiter]
}

// Result is the result of a wait: a replica, or the reason of a refusal.
type Result struct {
	Replica    string
	Reason     Reason
	RetryAfter time.Duration
}

// EstimateInput is the input of Estimate.
type EstimateInput struct {
	// Slots is the total number of slots of the loaded replicas.
	Slots int
	// Ahead is the number of running and waiting requests that are served first.
	Ahead int
	// ServiceTime is the average service time of a request.
	ServiceTime time.Duration
	// Loading reports whether a load is in progress. LoadElapsed is its duration so far.
	Loading     bool
	LoadElapsed time.Duration
	// LoadTime is the usual duration of a load.
	LoadTime time.Duration
	// CanLoad reports whether a load can be started now: the pool has an owner and the log is
	// available.
	CanLoad bool
}

// Reason is the reason why a request cannot be served in time.
type Reason string

const (
	// ReasonNone means that the request can be served in time.
	ReasonNone Reason = ""
	// ReasonLoad means that the model cannot be loaded in time.
	ReasonLoad Reason = "load_too_slow"
	// ReasonQueue means that too many requests are ahead.
	ReasonQueue Reason = "queue_too_long"
	// ReasonNoDecision means that no load can be started now.
	ReasonNoDecision Reason = "loads_unavailable"
	// ReasonDeadline means that the deadline has passed.
	ReasonDeadline Reason = "deadline"
)

// overdueDivisor divides the elapsed time of a load that takes longer than usual to estimate
// its remaining time.
const overdueDivisor = 4

// Estimate returns the expected wait until a request is started. ok is false if no estimate is
// possible.
func Estimate(s EstimateInput) (wait time.Duration, ok bool) {
	if s.Slots == 0 && !s.Loading && !s.CanLoad {
		return 0, false
	}
	if s.Slots == 0 {
		return loadWait(s), true
	}
	if s.Ahead < s.Slots {
		return 0, true
	}
	rounds := s.Ahead / s.Slots
	return time.Duration(rounds) * s.ServiceTime, true
}

func loadWait(s EstimateInput) time.Duration {
	switch {
	case !s.Loading:
		return s.LoadTime
	case s.LoadElapsed < s.LoadTime:
		return s.LoadTime - s.LoadElapsed
	default:
		return s.LoadElapsed / overdueDivisor
	}
}

// Admit decides whether a new request with the given time left should wait. Otherwise it
// returns the reason and when to retry. It requires spare time in proportion to the estimated
// wait, and more for each rank, so that requests with a higher rank are refused first when
// queues grow.
func Admit(s EstimateInput, left time.Duration, rank int) (reason Reason, retryAfter time.Duration) {
	wait, _ := Estimate(s)
	return KeepWaiting(s, left-time.Duration(1+rank)*wait/spareDivisor)
}

// spareDivisor divides the estimated wait to get the spare time that Admit requires for rank
// 0.
const spareDivisor = 8

// KeepWaiting decides whether a waiting request with the given time left should continue to wait.
// Otherwise it returns the reason and when to retry.
func KeepWaiting(s EstimateInput, left time.Duration) (reason Reason, retryAfter time.Duration) {
	wait, ok := Estimate(s)
	switch {
	case left <= 0:
		return ReasonDeadline, max(wait, time.Second)
	case !ok:
		return ReasonNoDecision, noDecisionRetry
	case wait <= left:
		return ReasonNone, 0
	case s.Slots == 0:
		return ReasonLoad, wait
	default:
		return ReasonQueue, wait
	}
}

// noDecisionRetry is the retry time while the log or the owner of the pool is unavailable. A
// pool with an expired lease gets a new owner within this time.
const noDecisionRetry = 5 * time.Second
