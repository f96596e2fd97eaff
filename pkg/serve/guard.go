package serve

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Guard keeps requests that crash endpoints from them. Implementations are safe for concurrent
// use; only Enter and Probe.Await wait.
type Guard interface {
	// Blocked tells whether a request must not reach any endpoint.
	Blocked(f fleet.Fingerprint) bool
	// Broke notes that the run of a copy at an endpoint broke off. The end of the endpoint is
	// suspected where nothing else explains it.
	Broke(e fleet.Endpoint, f fleet.Fingerprint, id fleet.CopyID, suspected bool)
	// Refused notes that no connection could be made to an endpoint.
	Refused(e fleet.Endpoint)
	// Served notes that an endpoint has answered a request to the end that was sent there when
	// it began.
	Served(e fleet.Endpoint, f fleet.Fingerprint, began time.Time)
	// Suspected tells whether a request is on trial: it runs one copy at a time, and none is
	// sent to a second endpoint.
	Suspected(f fleet.Fingerprint) bool
	// Enter waits until a request may look for a place at an endpoint, and tells whether it
	// may. Of one on trial a single copy at this host may, as a probe.
	Enter(ctx context.Context, f fleet.Fingerprint, until time.Time) (Probe, bool)
}

// Probe is the copy of a request on trial that goes ahead of the others at its host.
type Probe interface {
	// Await waits for the turn of this host and tells whether the copy may run.
	Await(ctx context.Context) bool
	// Done ends the probe. The endpoint is the one that the copy was sent to last.
	Done(e fleet.Endpoint, outcome ProbeOutcome)
}

// ProbeOutcome is what became of a probe.
type ProbeOutcome int

// The outcomes.
const (
	// ProbeNotRun probes have certainly not run.
	ProbeNotRun ProbeOutcome = iota
	// ProbeBroken probes may have run and have no complete answer.
	ProbeBroken
	// ProbeServed probes were answered to the end.
	ProbeServed
)

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
		x.server.Guard.Broke(e, x.request.Fingerprint, fleet.NewCopyID(x.request.ID), suspected)
	}
}

// refused tells the guard that no connection could be made.
func (x *exchange) refused(e fleet.Endpoint) {
	if x.server.Guard != nil {
		x.server.Guard.Refused(e)
	}
}

// served tells the guard of a run with a complete answer.
func (x *exchange) served(e fleet.Endpoint, began time.Time) {
	if x.guarded() {
		x.server.Guard.Served(e, x.request.Fingerprint, began)
	}
}

// suspected tells whether the request must not be sent to a second endpoint.
func (x *exchange) suspected() bool {
	return x.guarded() && x.server.Guard.Suspected(x.request.Fingerprint)
}

// place waits for a place at an endpoint, and for the turn of a request on trial. One that
// was blocked meanwhile gets a place too; its caller looks for that in any case.
func (x *exchange) place(ctx context.Context) (fleet.Endpoint, *Refusal) {
	for {
		if !x.enter(ctx) {
			return fleet.Endpoint{}, x.onTrial()
		}
		e, refusal := x.acquire(ctx)
		if refusal != nil {
			return e, refusal
		}
		if x.probe == nil && x.suspected() && !x.server.Guard.Blocked(x.request.Fingerprint) {
			// It was put on trial while it waited for the place.
			x.server.Queue.Release(x.request, e.ID, Use{})
			continue
		}
		if x.probe != nil && !x.probe.Await(ctx) {
			x.server.Queue.Release(x.request, e.ID, Use{})
			return fleet.Endpoint{}, x.onTrial()
		}
		return e, nil
	}
}

// enter waits until a request on trial may look for a place.
func (x *exchange) enter(ctx context.Context) bool {
	if !x.guarded() {
		return true
	}
	p, ok := x.server.Guard.Enter(ctx, x.request.Fingerprint, giveUp(x.request))
	x.probe = p
	return ok
}

// leave ends the probe that the request was.
func (x *exchange) leave(e fleet.Endpoint, outcome ProbeOutcome) {
	if x.probe != nil {
		x.probe.Done(e, outcome)
		x.probe = nil
	}
}

// onTrial refuses a request that may not run now. It tells its client to come back when
// the trial is likely to be over.
func (x *exchange) onTrial() *Refusal {
	return &Refusal{Cause: CauseOnTrial, NotRun: true, RetryAfter: trialTime}
}
