package serve

import "time"

const (
	// holdShare is the part of a client's time after which a request that no
	// endpoint can take is refused. A client is told in time to come back, and
	// what it waited is not lost if a place comes free before.
	holdShare = 0.55
	// minRetryAfter and maxRetryAfter bound what a client is told. Clients obey
	// up to a third of the time that they have left.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// retryAfterShare is the part of the remaining time that clients still obey.
	retryAfterShare = 1.0 / 3
	// wakeTime is about how long a model takes from a decision until it serves.
	wakeTime = 800 * time.Millisecond
	// configTime is within what time a new configuration is in force everywhere on the
	// smaller deployments; larger ones state 3 s. It only tells a client when to come back.
	configTime = 2 * time.Second
	// trialTime is about how long a request stays on trial that harms nobody.
	trialTime = 2 * time.Second
	// leaveMargin is how long before its client leaves a request is refused at the
	// latest: the refusal has to reach the client, also over a link that has lost a
	// packet of it (200 ms until it is sent again).
	leaveMargin = 250 * time.Millisecond
	// minRun is the least time in which an answer can be made: the prompt and
	// the first token of an idle endpoint.
	minRun = 60 * time.Millisecond
)

// Due is when waiting begins to cost a request, and whether the request can still
// begin in time if its model is loaded now. One that can is due at its aim. One
// that cannot is late already, and loses more only when it has to be refused.
func Due(r *Request, now time.Time) (due time.Time, inTime bool) {
	if aim := r.Aim(); aim.Sub(now) >= wakeTime {
		return aim, true
	}
	return giveUp(r).Add(-wakeTime), false
}

// giveUp is until when a request is held without a load under way. It looks at
// when the client leaves without a first part, not at its deadline alone: a client
// with 15 s that leaves after 3.2 s was held until it had gone, and was neither
// served nor told to come back.
func giveUp(r *Request) time.Time {
	until := r.Arrived.Add(time.Duration(float64(r.Deadline.Sub(r.Arrived)) * holdShare))
	if latest := r.BeginBy().Add(-leaveMargin); latest.Before(until) {
		return latest
	}
	return until
}

// Situation is what the decision to hold a request depends on.
type Situation struct {
	Now time.Time
	// Ready tells whether any endpoint holds what the request needs.
	Ready bool
	// ComingAt is when an endpoint will hold it, zero if none is loading.
	ComingAt time.Time
	// FarUntil is when a model without a copy at any endpoint can serve at best.
	FarUntil time.Time
	// Known tells whether the service has any live endpoint at all.
	Known bool
	// Limited tells that all endpoints which hold what the request needs state request rates
	// that are used up at this host, or have asked it for a pause; ComingAt is then also when
	// one takes a request again.
	Limited bool
	// Unnamed needs are for a model or adapter that no configuration names.
	Unnamed bool
}

// Hold decides whether a request waits. It returns until when, or when the
// client may come back if waiting is hopeless.
func Hold(r *Request, s Situation) (until time.Time, retryAfter time.Duration, hold bool) {
	if s.Unnamed {
		// Nobody will load it. Held for half of its client's time, and again when the
		// client had come back, the request would only have been refused later. A new
		// configuration may name it soon.
		s.ComingAt = s.Now.Add(configTime)
		return s.Now, RetryAfter(r.Deadline.Sub(s.Now), s), false
	}
	if !s.Ready && s.ComingAt.IsZero() && s.FarUntil.After(r.BeginBy().Add(-minRun)) {
		// The model has to come from the weight store and cannot be there in time.
		// A client that is told so at once can come back or go elsewhere.
		s.ComingAt = s.FarUntil
		return s.Now, RetryAfter(r.Deadline.Sub(s.Now), s), false
	}
	until = giveUp(r)
	if !s.ComingAt.IsZero() && s.ComingAt.After(until) && s.ComingAt.Before(r.BeginBy().Add(-minRun)) {
		// The load will end in time: what the client waits is not in vain.
		until = s.ComingAt.Add(minRun)
	}
	remaining := r.Deadline.Sub(s.Now)
	if s.Now.Before(until) {
		return until, 0, true
	}
	return until, RetryAfter(remaining, s), false
}

// RetryAfter returns when a client that has the given time left may come back.
func RetryAfter(remaining time.Duration, s Situation) time.Duration {
	after := minRetryAfter
	if !s.ComingAt.IsZero() {
		after = max(after, s.ComingAt.Sub(s.Now))
	}
	return min(after, maxRetryAfter, max(minRetryAfter, time.Duration(float64(remaining)*retryAfterShare)))
}
