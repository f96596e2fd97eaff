package entryhost

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/record"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

const (
	// maxAttempts bounds the endpoints that one request is tried at.
	maxAttempts = 4
	// cancelTimeout bounds the call that cancels a stream at an engine.
	cancelTimeout = time.Second
)

// call is one request of a caller for a model.
type call struct {
	customer  string
	model     contract.Model
	rank      int
	requestID string
	key       *record.Key
	digest    uint64
	deadline  time.Time
	prompt    string
	maxTokens int
	temp      float64
}

func newRequestID() string { return uuid.Must(uuid.NewV7()).String() }

// answer is the answer to one call as it comes. It moves on to another
// replica when a stream breaks and the contract allows it.
type answer struct {
	host    *Host
	ctx     context.Context
	call    call
	slot    *slot
	stream  external.TokenStream
	span    trace.Span
	next    int
	tries   int
	started time.Time
	cold    bool
	// sent tells whether an endpoint may have run the request.
	sent bool
	// finished tells whether the end marker was seen.
	finished bool
	// claimed tells whether this answer holds the call's idempotency key.
	claimed bool
	text    []byte
	// replayed is the number of tokens of a recorded answer.
	replayed int
}

// start begins an answer; it returns when an endpoint has accepted the call.
func (h *Host) start(ctx context.Context, c call) (*answer, *Refusal) {
	a := &answer{host: h, ctx: ctx, call: c, started: h.now()}
	a.cold = len(h.targets(c.model.Kind, c.model.Pool, c.model.Name)) == 0
	if refusal := a.open(); refusal != nil {
		return nil, refusal
	}
	return a, nil
}

// open gets a place at a replica and starts the stream there. A call that was
// certainly not run is tried elsewhere; one that may have run only if it is
// idempotent.
func (a *answer) open() *Refusal {
	for a.tries < maxAttempts {
		a.tries++
		s, refusal := a.acquire()
		if refusal != nil {
			return a.refuse(refusal)
		}
		if s == nil {
			continue
		}
		recorded, refusal := a.claim()
		if refusal != nil {
			s.release(false)
			return refusal
		}
		if recorded != nil {
			s.release(false)
			a.stream = recorded
			a.replayed = recorded.count
			return nil
		}
		stream, err := a.generate(s)
		if err == nil {
			a.slot, a.stream = s, stream
			return nil
		}
		s.release(true)
		if !errors.Is(err, external.ErrRejected) {
			a.sent = true
			if a.call.model.NonIdempotent {
				return a.refuse(outcomeUnknown("the endpoint did not answer: %v", err))
			}
		}
		a.host.metrics.retried(a.call.model.Name, "start")
	}
	return a.refuse(notRun("endpoints_failed", minRetryAfter, "%d endpoints did not take the request", maxAttempts))
}

// claim takes the idempotency key before the call is sent. It returns the
// recorded answer when the call was run before.
func (a *answer) claim() (*replay, *Refusal) {
	if a.call.key == nil || a.claimed {
		return nil, nil
	}
	outcome, refusal := a.host.claim(a.ctx, *a.call.key, a.call.digest, a.call.deadline)
	if refusal != nil {
		return nil, refusal
	}
	if outcome != nil {
		return replayStream(a.call.requestID, *outcome)
	}
	a.claimed = true
	return nil, nil
}

// refuse keeps "not run" true: it may not be said once an endpoint may have
// run the call.
func (a *answer) refuse(r *Refusal) *Refusal {
	a.settle(nil)
	if a.sent && a.next == 0 {
		unknown := outcomeUnknown("an endpoint failed while it ran the request, and then: %s", r.Message)
		unknown.RetryAfter = r.RetryAfter
		return unknown
	}
	return r
}

func (a *answer) acquire() (*slot, *Refusal) {
	ctx, span := a.host.tracer.Start(a.ctx, "queue", trace.WithAttributes(attribute.String("model", a.call.model.Name)))
	defer span.End()
	deadline := a.call.deadline
	if a.next > 0 {
		// A part of the answer was passed on in time; the rest may take longer.
		deadline = a.host.now().Add(a.call.model.LoadEstimate + time.Second)
	}
	return a.host.queue(a.call.model).acquire(ctx, a.call.customer, a.call.model, a.call.rank, deadline)
}

func (a *answer) generate(s *slot) (external.TokenStream, error) {
	ctx, span := a.host.tracer.Start(a.ctx, "endpoint", trace.WithAttributes(attribute.String("endpoint", s.target.Endpoint)))
	stream, err := a.host.engine.Generate(ctx, s.target.Addr, external.GenerateRequest{
		RequestID:   a.call.requestID,
		Replica:     s.target.Replica,
		Model:       a.call.model.Name,
		Prompt:      a.call.prompt,
		MaxTokens:   a.call.maxTokens,
		Temperature: a.call.temp,
		ResumeFrom:  a.next,
	})
	if err != nil {
		span.RecordError(err)
		span.End()
		return nil, err
	}
	a.span = span
	return stream, nil
}

// Next returns the next token. After an error nothing may be shown as the
// end of the answer.
func (a *answer) Next() (external.Token, *Refusal) {
	for {
		token, err := a.stream.Next()
		if err == nil {
			a.sent = true
			if a.next == 0 && a.slot != nil {
				a.host.metrics.answered(a.call.model.Name, a.cold, a.host.now().Sub(a.started))
			}
			a.next++
			a.keep(token)
			if token.Done {
				a.finished = true
				a.settle(&token)
				a.close(false)
			}
			return token, nil
		}
		a.sent = true
		// A caller who has gone is no fault of the replica.
		a.close(a.ctx.Err() == nil)
		if a.ctx.Err() != nil {
			return external.Token{}, outcomeUnknown("the caller has gone")
		}
		if a.call.model.NonIdempotent || a.tries >= maxAttempts {
			return external.Token{}, a.broken(err)
		}
		a.host.metrics.retried(a.call.model.Name, "resume")
		if refusal := a.open(); refusal != nil {
			return external.Token{}, a.broken(refusal)
		}
	}
}

func (a *answer) broken(err error) *Refusal {
	a.settle(nil)
	if a.next > 0 {
		return brokenStream(err)
	}
	return outcomeUnknown("the endpoint did not answer: %v", err)
}

// close ends the stream at the endpoint. An unfinished one is cancelled, so
// that the engine does not go on for nobody.
func (a *answer) close(failed bool) {
	if a.stream == nil {
		return
	}
	_ = a.stream.Close()
	a.stream = nil
	if a.slot == nil {
		return
	}
	a.span.End()
	if !a.finished {
		go a.cancel(a.slot.target.Addr)
	}
	a.slot.release(failed)
}

func (a *answer) cancel(addr string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), cancelTimeout)
	defer cancel()
	_ = a.host.engine.Cancel(ctx, addr, a.call.requestID)
}

// Close gives up the rest of the answer. It does nothing after the end.
func (a *answer) Close() { a.close(false) }

// collect reads the whole answer.
func (a *answer) collect() (text string, tokens int, reason string, refusal *Refusal) {
	defer a.Close()
	var all []byte
	for {
		token, refusal := a.Next()
		if refusal != nil {
			// Nothing was passed on, so there is no broken stream to speak of.
			return "", 0, "", outcomeUnknown("%s", refusal.Message)
		}
		if token.Done {
			return string(all), max(a.replayed, a.next-1), token.Reason, nil
		}
		all = append(all, token.Text...)
	}
}
