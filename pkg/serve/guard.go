package serve

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Guard keeps requests that crash endpoints from reaching further endpoints. A suspected
// request, whose runs ended with a crash of their endpoint, runs one copy at a time.
// Implementations are safe for concurrent use. Only Enter and Probe.Await block.
type Guard interface {
	// Blocked reports whether the request must not be sent to any endpoint.
	Blocked(f fleet.Fingerprint) bool
	// BlockedPart returns a part of the prompt with which no request must be sent to any endpoint.
	BlockedPart(p fleet.Prompt) (part uint64, ok bool)
	// RecordBroken records that a run of a request at an endpoint ended without a complete
	// response. suspected reports whether no other cause than a crash of the endpoint is known.
	RecordBroken(e fleet.Endpoint, f fleet.Fingerprint, id fleet.CopyID, suspected bool)
	// BlockEndsIn returns the time until no block applies any more to a request with this fingerprint and prompt.
	BlockEndsIn(f fleet.Fingerprint, p fleet.Prompt) time.Duration
	// WatchBlocks calls blocked when such a request becomes blocked, unless stop is called before.
	WatchBlocks(f fleet.Fingerprint, p fleet.Prompt, blocked func()) (stop func())
	// RecordUnbegun records that a run at an endpoint broke off before its response had begun: no event of a
	// stream was read, or not all of another response. It is called before RecordBroken.
	RecordUnbegun(e fleet.Endpoint, p fleet.Prompt)
	// RecordBegun records that the first event of a successful stream was read, or all of another successful
	// response.
	RecordBegun(p fleet.Prompt)
	// RecordUnreachable records that no connection to the endpoint could be made.
	RecordUnreachable(e fleet.Endpoint)
	// RecordServed records that the endpoint completed the response to a request that was sent at
	// began.
	RecordServed(e fleet.Endpoint, f fleet.Fingerprint, began time.Time)
	// Suspected reports whether the request is suspected of crashing endpoints. Such a request
	// runs one copy at a time and is never sent to a second endpoint.
	Suspected(f fleet.Fingerprint) bool
	// Enter blocks until the request may wait for a slot, and reports whether it may. For a
	// suspected request, only one copy per host may proceed, as a probe.
	Enter(ctx context.Context, f fleet.Fingerprint, until time.Time) (Probe, bool)
}

// Probe is the one copy of a suspected request at this host that may run.
type Probe interface {
	// Await blocks until this host may run the probe and reports whether it may.
	Await(ctx context.Context) bool
	// Done ends the probe. e is the endpoint to which it was last sent.
	Done(e fleet.Endpoint, outcome ProbeOutcome)
}

// ProbeOutcome is the result of a probe.
type ProbeOutcome int

const (
	// ProbeNotRun means that the request certainly has not run.
	ProbeNotRun ProbeOutcome = iota
	// ProbeInterrupted means that the request may have run and has no complete response.
	ProbeInterrupted
	// ProbeServed means that the response is complete, or ended with its connection as a complete one does.
	ProbeServed
)

// guarded reports whether the guard can identify repeats of the request.
func (x *exchange) guarded() bool {
	return x.server.Guard != nil && x.request.Fingerprint.Content != 0
}

// refuseIfBlocked refuses the request if the guard blocks it, and reports whether it did. The
// client is told to return when the block ends.
func (x *exchange) refuseIfBlocked(ctx context.Context) bool {
	if !x.guarded() {
		return false
	}
	part, blocked := x.server.Guard.BlockedPart(x.request.Prompt)
	x.result.BlockedPart = part
	if !blocked && !x.server.Guard.Blocked(x.request.Fingerprint) {
		return false
	}
	endsIn := x.server.Guard.BlockEndsIn(x.request.Fingerprint, x.request.Prompt)
	x.finish(ctx, Refusal{Cause: CauseCrashes, NotRun: true, RetryAfter: max(endsIn, minRetryAfter)})
	return true
}

// recordBroken reports a run without a complete response to the guard.
func (x *exchange) recordBroken(e fleet.Endpoint, suspected bool) {
	if x.guarded() {
		if !x.begun {
			x.server.Guard.RecordUnbegun(e, x.request.Prompt)
		}
		x.server.Guard.RecordBroken(e, x.request.Fingerprint, fleet.NewCopyID(x.request.ID), suspected)
	}
}

// recordBegun reports to the guard, once for each attempt, that the response has begun.
func (x *exchange) recordBegun(status int) {
	if x.begun || status >= 300 {
		return
	}
	x.begun = true
	if x.guarded() {
		x.server.Guard.RecordBegun(x.request.Prompt)
	}
}

// recordUnreachable reports to the guard that no connection could be made.
func (x *exchange) recordUnreachable(e fleet.Endpoint) {
	if x.server.Guard != nil {
		x.server.Guard.RecordUnreachable(e)
	}
}

// recordServed reports a run with a complete response to the guard.
func (x *exchange) recordServed(e fleet.Endpoint, began time.Time) {
	if x.guarded() {
		x.server.Guard.RecordServed(e, x.request.Fingerprint, began)
	}
}

// suspected reports whether the request must not be sent to a second endpoint.
func (x *exchange) suspected() bool {
	return x.guarded() && x.server.Guard.Suspected(x.request.Fingerprint)
}

// cancelWhenBlocked returns a context that is done when the guard blocks the request. stop must be called.
func (x *exchange) cancelWhenBlocked(ctx context.Context) (_ context.Context, stop func()) {
	if !x.guarded() {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	stopWatch := x.server.Guard.WatchBlocks(x.request.Fingerprint, x.request.Prompt, cancel)
	return ctx, func() {
		stopWatch()
		cancel()
	}
}

// acquireSlot waits for a slot at an endpoint and, for a suspected request, until this host
// may run its probe. It may return a slot for a request that was blocked in the meantime, so
// the caller must check for that.
func (x *exchange) acquireSlot(ctx context.Context) (fleet.Endpoint, *Refusal) {
	ctx, stop := x.cancelWhenBlocked(ctx)
	defer stop()
	for {
		if !x.enter(ctx) {
			return fleet.Endpoint{}, x.refuseSuspected()
		}
		e, refusal := x.acquire(ctx)
		if refusal != nil {
			return e, refusal
		}
		if x.probe == nil && x.suspected() && !x.server.Guard.Blocked(x.request.Fingerprint) {
			// The request became suspected while it waited for the slot.
			x.server.Queue.Release(x.request, e.ID, SlotResult{NotRun: true})
			continue
		}
		if x.probe != nil && !x.probe.Await(ctx) {
			x.server.Queue.Release(x.request, e.ID, SlotResult{NotRun: true})
			return fleet.Endpoint{}, x.refuseSuspected()
		}
		return e, nil
	}
}

// enter blocks until the guard allows the request to wait for a slot, and reports whether it
// does.
func (x *exchange) enter(ctx context.Context) bool {
	if !x.guarded() {
		return true
	}
	p, ok := x.server.Guard.Enter(ctx, x.request.Fingerprint, holdUntil(x.request))
	x.probe = p
	return ok
}

// endProbe ends the probe of the request, if it has one.
func (x *exchange) endProbe(e fleet.Endpoint, outcome ProbeOutcome) {
	if x.probe != nil {
		x.probe.Done(e, outcome)
		x.probe = nil
	}
}

// refuseSuspected returns the refusal of a suspected request that may not run now. The client
// may retry when the probe of another copy has likely ended.
func (x *exchange) refuseSuspected() *Refusal {
	return &Refusal{Cause: CauseOnTrial, NotRun: true, RetryAfter: probeTime}
}
