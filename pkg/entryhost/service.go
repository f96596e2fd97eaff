package entryhost

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/record"
)

// serviceCall is one call of a plain service.
type serviceCall struct {
	customer  string
	service   contract.Model
	rank      int
	requestID string
	key       *record.Key
	digest    uint64
	deadline  time.Time
	body      json.RawMessage
}

// callService calls a plain service and returns its answer. A call that is not
// idempotent is sent at most once, and goes on when its caller has gone, so
// that a repeat finds the answer.
func (h *Host) callService(ctx context.Context, c serviceCall) (json.RawMessage, *Refusal) {
	run := &serviceRun{host: h, call: c}
	for range maxAttempts {
		s, refusal := h.queue(c.service).acquire(ctx, c.customer, c.service, c.rank, c.deadline)
		if refusal != nil {
			return nil, run.refuse(refusal)
		}
		if s == nil {
			continue
		}
		if outcome, refusal := run.claim(ctx); outcome != nil || refusal != nil {
			s.release(false)
			return outcome, refusal
		}
		body, refusal, again := run.send(ctx, s)
		if !again {
			return body, refusal
		}
		h.metrics.retried(c.service.Name, "service")
	}
	return nil, run.refuse(notRun("endpoints_failed", minRetryAfter, "%d endpoints did not take the call", maxAttempts))
}

type serviceRun struct {
	host    *Host
	call    serviceCall
	claimed bool
	sent    bool
}

func (r *serviceRun) claim(ctx context.Context) (json.RawMessage, *Refusal) {
	if r.call.key == nil || r.claimed {
		return nil, nil
	}
	outcome, refusal := r.host.claim(ctx, *r.call.key, r.call.digest, r.call.deadline)
	if refusal != nil {
		return nil, refusal
	}
	if outcome == nil {
		r.claimed = true
		return nil, nil
	}
	var body json.RawMessage
	if refusal := recorded(*outcome, &body); refusal != nil {
		return nil, refusal
	}
	return body, nil
}

// send calls one endpoint; again tells whether another one may be tried.
func (r *serviceRun) send(ctx context.Context, s *slot) (body json.RawMessage, refusal *Refusal, again bool) {
	if r.call.key != nil {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, span := r.host.tracer.Start(ctx, "endpoint")
	defer span.End()
	answer, err := r.host.engine.Call(ctx, s.target.Addr, external.ServiceCall{
		RequestID: r.call.requestID,
		Service:   r.call.service.Name,
		Body:      r.call.body,
	})
	s.release(err != nil)
	if err == nil {
		r.settle(answer.Body)
		return answer.Body, nil, false
	}
	span.RecordError(err)
	if errors.Is(err, external.ErrRejected) {
		return nil, nil, true
	}
	r.sent = true
	if r.call.service.NonIdempotent || ctx.Err() != nil {
		return nil, r.refuse(outcomeUnknown("the service did not answer: %v", err)), false
	}
	return nil, nil, true
}

func (r *serviceRun) refuse(refusal *Refusal) *Refusal {
	r.settle(nil)
	if r.sent {
		unknown := outcomeUnknown("an endpoint failed while it ran the call, and then: %s", refusal.Message)
		unknown.RetryAfter = refusal.RetryAfter
		return unknown
	}
	return refusal
}

func (r *serviceRun) settle(body json.RawMessage) {
	if !r.claimed {
		return
	}
	r.claimed = false
	switch {
	case body != nil:
		r.host.ledger.Finish(record.KeyOutcome{Key: *r.call.key, Status: http.StatusOK, Body: body})
	case r.sent:
		r.host.ledger.Finish(record.KeyOutcome{Key: *r.call.key, Status: http.StatusBadGateway})
	default:
		r.host.ledger.Release(*r.call.key)
	}
}
