package serve

import (
	"context"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Guard keeps requests that crash endpoints from them. Implementations are safe for concurrent
// use and return at once.
type Guard interface {
	// Blocked tells whether a request must not reach any endpoint.
	Blocked(f fleet.Fingerprint) bool
	// Broke notes that a run at an endpoint broke off. The end of the endpoint is
	// suspected where nothing else explains it.
	Broke(e fleet.Endpoint, f fleet.Fingerprint, suspected bool)
	// Refused notes that no connection could be made to an endpoint.
	Refused(e fleet.Endpoint)
	// Served notes that an endpoint has answered a request to the end.
	Served(e fleet.Endpoint, f fleet.Fingerprint)
	// Suspected tells whether a request must not be sent to a second endpoint.
	Suspected(f fleet.Fingerprint) bool
}

// guarded tells whether a guard knows the request when it comes again.
func (x *exchange) guarded() bool {
	return x.server.Guard != nil && x.request.Fingerprint.Content != 0
}

// blocked tells whether the request must not reach any endpoint, and ends it if so. What it
// ends with is a promise unless it has run: nobody will run it. It tells clients to come
// back as late as they obey, since nothing will have changed.
func (x *exchange) blocked(ctx context.Context) bool {
	if !x.guarded() || !x.server.Guard.Blocked(x.request.Fingerprint) {
		return false
	}
	x.giveUp(ctx, Refusal{Cause: CauseCrashes, NotRun: true, RetryAfter: maxRetryAfter})
	return true
}

// broke tells the guard of a run without a complete answer.
func (x *exchange) broke(e fleet.Endpoint, suspected bool) {
	if x.guarded() {
		x.server.Guard.Broke(e, x.request.Fingerprint, suspected)
	}
}

// refused tells the guard that no connection could be made.
func (x *exchange) refused(e fleet.Endpoint) {
	if x.server.Guard != nil {
		x.server.Guard.Refused(e)
	}
}

// served tells the guard of a run with a complete answer.
func (x *exchange) served(e fleet.Endpoint) {
	if x.guarded() {
		x.server.Guard.Served(e, x.request.Fingerprint)
	}
}

// suspected tells whether the request must not be sent to a second endpoint.
func (x *exchange) suspected() bool {
	return x.guarded() && x.server.Guard.Suspected(x.request.Fingerprint)
}
