package serve

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// attempt sends the request to one endpoint.
func (x *exchange) attempt(ctx context.Context, e fleet.Endpoint) attemptResult {
	s := x.server
	start := s.Now()
	if x.result.Sent == 0 {
		x.result.Waited = start.Sub(x.request.Arrived)
	}
	ctx, span := s.Tracer.Start(ctx, "endpoint", trace.WithAttributes(attribute.String("endpoint", string(e.ID))))
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watcher := x.watchForStall(ctx, cancel, e)
	defer watcher.stop()
	x.result.Endpoint, x.result.EndpointVersion = e.ID, e.Version
	x.begun = false
	response, err := s.Backend.Send(ctx, x.request, Send{
		Endpoint:  e,
		Deadline:  x.request.ClientDeadline,
		LastEvent: x.lastEvent,
		Urgency:   x.urgency(start),
	})
	var refusal *Refusal
	if errors.As(err, &refusal) {
		s.Queue.Release(x.request, e.ID, SlotResult{NotRun: true})
		x.finish(ctx, *refusal)
		return attemptDone
	}
	if errors.Is(err, ErrNotSent) {
		span.RecordError(err)
		x.result.Note = err.Error()
		var noSlot *NoSlotError
		if errors.As(err, &noSlot) {
			x.noSlot(e, noSlot.RetryIn)
			return attemptNoSlot
		}
		if errors.Is(err, ErrNoPath) {
			x.avoid[e.ID] = LastResort
			x.noPath++
			s.Queue.Release(x.request, e.ID, SlotResult{Failed: true, NotRun: true})
			return attemptNotRun
		}
		s.Health.RecordConnectionFailure(s.Now(), e.ID)
		unreachable := errors.Is(err, ErrUnreachable)
		if unreachable {
			x.recordUnreachable(e)
		} else {
			s.Health.recordNoConnection(s.Now(), e.ID)
		}
		s.Queue.Release(x.request, e.ID, SlotResult{Failed: true, NotRun: true, Unreachable: unreachable})
		return attemptNotSent
	}
	x.result.Sent++
	x.notSentSince = time.Time{}
	s.Health.RecordReached(e.ID)
	var unusable *UnusableError
	if errors.As(err, &unusable) {
		s.Health.Signals.Observe(s.Now(), e.ID, unusable.Signals, start, false)
		s.Health.Brittle.Observe(s.Now(), e.Service, unusable.Signals.Brittle, start)
	}
	if err != nil {
		span.RecordError(err)
		x.result.Runs++
		x.fail(ctx, e, err)
		return attemptFailed
	}
	watcher.progress()
	x.result.Via = response.Via
	x.result.Framing = response.Framing
	if response.Load != nil {
		s.Health.RecordLoad(s.Now(), e.ID, x.request.Service, *response.Load)
	}
	if response.Class != WrongEndpoint {
		s.Health.Signals.Observe(s.Now(), e.ID, response.Signals, start, response.Class == Completed)
		s.Health.Brittle.Observe(s.Now(), e.Service, response.Signals.Brittle, start)
	}
	if response.Class != Completed {
		x.reject(e, response)
		return attemptNotRun
	}
	x.result.Runs++
	s.Queue.RecordFirstByte(x.request, s.Now().Sub(start))
	return x.handleResponse(ctx, e, response, watcher, start)
}

// reject records why an endpoint did not run the request.
func (x *exchange) reject(e fleet.Endpoint, response *Response) {
	s := x.server
	now := s.Now()
	name := x.request.Need().QualifiedName()
	_ = response.Body.Close() // The body is not used.
	switch response.Class {
	case Overloaded:
		s.Health.RecordOverload(now, e.ID, name)
		x.result.Full++
		x.result.Note = "endpoint is full"
		if p := response.Signals.RetryAfter; p > 0 {
			x.result.Note = fmt.Sprintf("endpoint rejects and asks for a pause of %v", p)
		}
	case NotLoaded:
		s.Health.RecordNotLoaded(now, e.ID, name, x.rejected)
		x.result.Note = "endpoint does not hold " + name
	case WrongEndpoint:
		s.Health.recordReplaced(now, e.ID)
		x.avoid[e.ID] = Exclude
		x.result.Note = "another endpoint has the address"
	}
	s.Queue.Release(x.request, e.ID, SlotResult{Failed: true, Rejected: response.Class == Overloaded, NotRun: true})
}

// fail records a run without a complete response.
func (x *exchange) fail(ctx context.Context, e fleet.Endpoint, err error) {
	s := x.server
	x.result.Note = err.Error()
	if cause := context.Cause(ctx); errors.Is(cause, errAttemptAbandoned) {
		x.result.Note = cause.Error()
	}
	// A disconnected client or an expired deadline is not a failure of the endpoint.
	failed := ctx.Err() == nil && !errors.Is(err, errClientWrite)
	if failed {
		s.Health.RecordResult(e.ID, x.request.Service, true)
	}
	if s.rejectionsExplain(e, err) {
		x.result.Note += "; the endpoint has just rejected requests for lack of room"
	} else {
		x.recordBroken(e, failed && !errors.Is(context.Cause(ctx), errAttemptAbandoned))
	}
	s.Queue.Release(x.request, e.ID, SlotResult{Failed: failed})
}

// handleResponse forwards a response, or keeps a failed one as the fallback if another
// endpoint may succeed.
func (x *exchange) handleResponse(ctx context.Context, e fleet.Endpoint, response *Response, w *stallWatcher, start time.Time) attemptResult {
	s := x.server
	s.Health.RecordResult(e.ID, x.request.Service, response.Failed())
	if x.headSent && !response.continuesStream() || response.Failed() && x.mayRunAgain(ctx) {
		s.Queue.Release(x.request, e.ID, SlotResult{Failed: true})
		if x.headSent {
			_ = response.Body.Close() // The head of another response was sent already.
			x.result.Note = "run for the rest of a stream got another response"
			return attemptFailed
		}
		x.dropFallback()
		x.fallback = response
		return attemptFailed
	}
	x.dropFallback()
	err := x.forward(response, w, e)
	_ = response.Body.Close() // The body was read completely or is discarded.
	if err == nil {
		if response.Framing != FramingConnection {
			x.recordBegun(response.Status)
		}
		if x.end(response) {
			x.recordServed(e, start)
		} else {
			x.recordBroken(e, false) // The endpoint may have crashed.
		}
		s.Queue.Release(x.request, e.ID, SlotResult{Duration: s.Now().Sub(start)})
		return attemptDone
	}
	x.fail(ctx, e, err)
	if errors.Is(err, errClientWrite) {
		x.result.Refusal = &Refusal{Cause: CauseClientGone}
		x.sink.Abort()
		return attemptDone
	}
	return attemptFailed
}

// end ends the response to the client after the body was forwarded, and reports whether it is complete. A body
// that ended with its connection may be cut short. It is not run again, since it may also be complete: the
// client gets the same end, or a broken response if the framing of its head states where a complete one ends.
func (x *exchange) end(response *Response) (complete bool) {
	x.result.Status = response.Status
	if response.Framing != FramingConnection {
		x.result.Complete = true
		return true
	}
	x.result.Unconfirmed = true
	if x.headFraming != FramingConnection {
		x.sink.Abort()
	}
	return false
}

// sendFallback forwards the fallback response, which reports a server error.
func (x *exchange) sendFallback(response *Response) {
	if err := x.forward(response, nil, fleet.Endpoint{ID: x.result.Endpoint}); err != nil {
		x.result.Status = response.Status
		x.result.Note = err.Error()
		x.abortOrFail()
		return
	}
	x.end(response)
}

func (x *exchange) abortOrFail() {
	r := Refusal{Cause: CauseBroken}
	x.result.Refusal = &r
	if x.headSent {
		x.sink.Abort()
		return
	}
	x.sink.Refuse(r)
}

func (x *exchange) dropFallback() {
	if x.fallback != nil {
		_ = x.fallback.Body.Close() // The body is discarded.
		x.fallback = nil
	}
}
