package serve

import "time"

const (
	// maxHoldShare is the share of the client's timeout after which a request that no endpoint
	// can serve is refused, so that the client has time left to retry. A slot that becomes free
	// before is used, so that the wait is not lost.
	maxHoldShare = 0.55
	// minRetryAfter and maxRetryAfter bound the Retry-After sent to clients.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// retryAfterShare is the largest Retry-After that clients accept, as a share of their
	// remaining time.
	retryAfterShare = 1.0 / 3
	// typicalLoadTime is the usual time from the decision to load a model until it serves
	// requests.
	typicalLoadTime = 800 * time.Millisecond
	// configRolloutTime is the usual time until a new configuration is in force on all hosts. Large
	// deployments allow 3 s; it only determines when clients retry.
	configRolloutTime = 2 * time.Second
	// noPathRetryAfter is when the client of a request that no host can send to endpoints may return.
	// Links are checked at least this often.
	noPathRetryAfter = time.Second
	// probeTime is the usual time until a suspected request is cleared.
	probeTime = 2 * time.Second
	// refusalMargin is how long before its client disconnects a request is refused at the
	// latest. It covers one retransmission of the refusal, which takes 200 ms.
	refusalMargin = 250 * time.Millisecond
	// minRunTime is the time to the first byte at an idle endpoint.
	minRunTime = 60 * time.Millisecond
)

// DemandRank returns the time by which the request is ranked in the demand, and whether the
// request can still meet its objective if its model is loaded now. If it can, the time is its
// objective. Otherwise it is the last time at which a load can start and still finish before
// the request is refused.
func DemandRank(r *Request, now time.Time) (due time.Time, onTime bool) {
	if objective := r.ObjectiveTime(); objective.Sub(now) >= typicalLoadTime {
		return objective, true
	}
	return holdUntil(r).Add(-typicalLoadTime), false
}

// holdUntil returns the time until which a request waits while no load of its model is in
// progress. It considers when the client disconnects without a first byte, which may be well
// before its deadline: such a client was neither served nor told when to retry.
func holdUntil(r *Request) time.Time {
	until := r.Arrived.Add(time.Duration(float64(r.Deadline.Sub(r.Arrived)) * maxHoldShare))
	if latest := r.StartDeadline().Add(-refusalMargin); latest.Before(until) {
		return latest
	}
	return until
}

// resumeUntil returns the time until which a request whose response has begun waits to go on at another
// endpoint: the client waits as long for the next part of a response as for the first.
func resumeUntil(r *Request, now time.Time) time.Time {
	until := r.Deadline
	if !r.FirstByteDeadline.IsZero() {
		until = now.Add(r.FirstByteDeadline.Sub(r.Arrived) - refusalMargin)
	}
	if !r.DeadlineIsStartOnly && r.Deadline.Before(until) {
		return r.Deadline
	}
	return until
}

// HoldInput is the input of Hold.
type HoldInput struct {
	Now time.Time
	// Ready reports whether an endpoint can serve the request now.
	Ready bool
	// Unreachable reports that endpoints hold the model, but no connection to them could be made just now.
	Unreachable bool
	// ReadyAt is when the next endpoint finishes loading the model, or zero if none is
	// loading it. If Limited is set, it is also when an endpoint accepts requests again, if
	// that is earlier.
	ReadyAt time.Time
	// ColdReadyAt is the earliest time at which a model without a replica can be ready, or zero.
	ColdReadyAt time.Time
	// HasEndpoints reports whether the service has any live endpoint.
	HasEndpoints bool
	// Limited reports that all endpoints with the model loaded are rate limited for this host
	// or asked for a pause.
	Limited bool
	// LoadsAdapter reports that an endpoint can load the adapter in a short time.
	LoadsAdapter bool
	// LoadsModel reports that no endpoint of the required software version has the model, but one can load it from a
	// copy of its own.
	LoadsModel bool
	// NotConfigured reports that no configuration names the model or adapter.
	NotConfigured bool
	// Contention is set if the service of the request is scheduled for contention.
	Contention *ContentionInput
}

// Hold decides whether a request waits. It returns the time until which it may wait, and the
// Retry-After for its client if it is refused.
func Hold(r *Request, s HoldInput) (until time.Time, retryAfter time.Duration, hold bool) {
	if s.NotConfigured {
		// The model will not be loaded unless a new configuration names it.
		s.ReadyAt = s.Now.Add(configRolloutTime)
		return s.Now, RetryAfter(r.Deadline.Sub(s.Now), s), false
	}
	if !s.Ready && s.ReadyAt.IsZero() && s.ColdReadyAt.After(r.StartDeadline().Add(-minRunTime)) {
		// The model cannot be loaded from the weight store in time.
		s.ReadyAt = s.ColdReadyAt
		return s.Now, RetryAfter(r.Deadline.Sub(s.Now), s), false
	}
	if s.Ready && s.Contention != nil {
		return holdContended(r, s)
	}
	until = holdUntil(r)
	if !s.ReadyAt.IsZero() && s.ReadyAt.After(until) && s.ReadyAt.Before(r.StartDeadline().Add(-minRunTime)) {
		// The load in progress finishes in time for this request.
		until = s.ReadyAt.Add(minRunTime)
	}
	remaining := r.Deadline.Sub(s.Now)
	if s.Now.Before(until) {
		return until, 0, true
	}
	return until, RetryAfter(remaining, s), false
}

// RetryAfter returns the Retry-After for a client with the given time remaining.
func RetryAfter(remaining time.Duration, s HoldInput) time.Duration {
	after := minRetryAfter
	if !s.ReadyAt.IsZero() {
		after = max(after, s.ReadyAt.Sub(s.Now))
	}
	return min(after, maxRetryAfter, max(minRetryAfter, time.Duration(float64(remaining)*retryAfterShare)))
}
