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
	x.result.Endpoint = e.ID
	response, err := s.Backend.Send(ctx, x.request, Send{
		Endpoint:  e,
		Deadline:  x.request.ClientDeadline,
		LastEvent: x.lastEvent,
		Urgency:   Urgency(x.request, start),
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
		}
		s.Queue.Release(x.request, e.ID, SlotResult{Failed: true, NotRun: true, Unreachable: unreachable})
		return attemptNotRun
	}
	x.result.Sent++
	var unusable *UnusableError
	if errors.As(err, &unusable) {
		s.Health.Signals.Observe(s.Now(), e.ID, unusable.Signals, start, false)
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
		s.Health.RecordConnectionFailure(now, e.ID)
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
	x.recordBroken(e, failed && !errors.Is(context.Cause(ctx), errAttemptAbandoned))
	s.Queue.Release(x.request, e.ID, SlotResult{Failed: failed})
}

// handleResponse forwards a response, or keeps a failed one as the fallback if another
// endpoint may succeed.
func (x *exchange) handleResponse(ctx context.Context, e fleet.Endpoint, response *Response, w *stallWatcher, start time.Time) attemptResult {
	s := x.server
	s.Health.RecordResult(e.ID, x.request.Service, response.Failed())
	if response.Failed() && (x.headSent || x.mayRunAgain(ctx)) {
		s.Queue.Release(x.request, e.ID, SlotResult{Failed: true})
		if x.headSent {
			_ = response.Body.Close() // The head of another response was sent already.
			return attemptFailed
		}
		x.dropFallback()
		x.fallback = response
		return attemptFailed
	}
	x.dropFallback()
	err := x.forward(response, w, e.ID)
	_ = response.Body.Close() // The body was read completely or is discarded.
	if err == nil {
		x.result.Complete = true
		x.result.Status = response.Status
		x.recordServed(e, start)
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

// sendFallback forwards the fallback response, which reports a server error.
func (x *exchange) sendFallback(response *Response) {
	x.result.Status = response.Status
	if err := x.forward(response, nil, x.result.Endpoint); err != nil {
		x.result.Note = err.Error()
		x.abortOrFail()
		return
	}
	x.result.Complete = true
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
