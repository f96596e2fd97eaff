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

// try sends the request to one endpoint.
func (x *exchange) try(ctx context.Context, e fleet.Endpoint) step {
	s := x.server
	start := s.Now()
	if x.result.Sent == 0 {
		x.result.Waited = start.Sub(x.request.Arrived)
	}
	ctx, span := s.Tracer.Start(ctx, "endpoint", trace.WithAttributes(attribute.String("endpoint", string(e.ID))))
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := x.watch(ctx, cancel, e)
	defer watch.stop()
	x.result.Endpoint = e.ID
	answer, err := s.Backend.Send(ctx, x.request, Send{
		Endpoint:  e,
		Remaining: x.request.ClientDeadline.Sub(start),
		LastEvent: x.lastEvent,
		Urgency:   Urgency(x.request, start),
	})
	var refusal *Refusal
	if errors.As(err, &refusal) {
		s.Queue.Release(x.request, e.ID, Use{})
		x.giveUp(ctx, *refusal)
		return finished
	}
	if errors.Is(err, ErrNotSent) {
		span.RecordError(err)
		x.result.Note = err.Error()
		s.Health.Suspect(s.Now(), e.ID)
		unreachable := errors.Is(err, ErrUnreachable)
		if unreachable {
			x.refused(e)
		}
		s.Queue.Release(x.request, e.ID, Use{Failed: true, Unreachable: unreachable})
		return notRun
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
		return failed
	}
	watch.progress()
	if answer.Load != nil {
		s.Health.Load(s.Now(), e.ID, *answer.Load)
	}
	if answer.Verdict != Elsewhere {
		s.Health.Signals.Observe(s.Now(), e.ID, answer.Signals, start, answer.Verdict == Answered)
	}
	if answer.Verdict != Answered {
		x.reject(e, answer)
		return notRun
	}
	x.result.Runs++
	s.Queue.Began(x.request, s.Now().Sub(start))
	return x.take(ctx, e, answer, watch, start)
}

// reject notes why an endpoint did not run the request.
func (x *exchange) reject(e fleet.Endpoint, a *Answer) {
	s := x.server
	now := s.Now()
	what := x.request.Need().What()
	_ = a.Body.Close() // Nothing of it is used.
	switch a.Verdict {
	case Full:
		s.Health.Full(now, e.ID, what)
		x.result.Note = "endpoint is full"
		if p := a.Signals.Pause; p > 0 {
			x.result.Note = fmt.Sprintf("endpoint rejects and asks for a pause of %v", p)
		}
	case NotHeld:
		s.Health.NotHeld(now, e.ID, what, x.rejected)
		x.result.Note = "endpoint does not hold " + what
	case Elsewhere:
		s.Health.Suspect(now, e.ID)
		x.avoid[e.ID] = Never
		x.result.Note = "another endpoint has the address"
	}
	s.Queue.Release(x.request, e.ID, Use{Failed: true})
}

// fail notes a run without a complete answer.
func (x *exchange) fail(ctx context.Context, e fleet.Endpoint, err error) {
	s := x.server
	x.result.Note = err.Error()
	if cause := context.Cause(ctx); errors.Is(cause, errGivenUp) {
		x.result.Note = cause.Error()
	}
	// A client that has gone, or its deadline, is no fault of the endpoint, whatever
	// the error says that it leaves behind.
	failed := ctx.Err() == nil && !errors.Is(err, errClientWrite)
	if failed {
		s.Health.Result(e.ID, x.request.Service, true)
	}
	x.broke(e, failed && !errors.Is(context.Cause(ctx), errGivenUp))
	s.Queue.Release(x.request, e.ID, Use{Failed: failed})
}

// take passes on an answer, or keeps a failed one for which another endpoint
// may do better.
func (x *exchange) take(ctx context.Context, e fleet.Endpoint, a *Answer, w *watcher, start time.Time) step {
	s := x.server
	s.Health.Result(e.ID, x.request.Service, a.Failed())
	if a.Failed() && (x.begun || x.mayRunAgain(ctx)) {
		s.Queue.Release(x.request, e.ID, Use{Failed: true})
		if x.begun {
			_ = a.Body.Close() // The head of another answer went out already.
			return failed
		}
		x.dropKept()
		x.kept = a
		return failed
	}
	x.dropKept()
	err := x.forward(a, w, e.ID)
	_ = a.Body.Close() // The body was read to its end or is given up.
	if err == nil {
		x.result.Complete = true
		x.result.Status = a.Status
		x.served(e, start)
		s.Queue.Release(x.request, e.ID, Use{Took: s.Now().Sub(start)})
		return finished
	}
	x.fail(ctx, e, err)
	if errors.Is(err, errClientWrite) {
		x.result.Refusal = &Refusal{Cause: CauseClientGone}
		x.sink.Abort()
		return finished
	}
	return failed
}

// pass sends a failed answer that was kept.
func (x *exchange) pass(a *Answer) {
	x.result.Status = a.Status
	if err := x.forward(a, nil, x.result.Endpoint); err != nil {
		x.result.Note = err.Error()
		x.abortOrFail()
		return
	}
	x.result.Complete = true
}

func (x *exchange) abortOrFail() {
	r := Refusal{Cause: CauseBroken}
	x.result.Refusal = &r
	if x.begun {
		x.sink.Abort()
		return
	}
	x.sink.Refuse(r)
}

func (x *exchange) dropKept() {
	if x.kept != nil {
		_ = x.kept.Body.Close() // Its request has ended.
		x.kept = nil
	}
}
