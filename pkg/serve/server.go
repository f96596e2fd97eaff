package serve

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/retry"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

const (
	// maxRejections is how many endpoints may reject a request before it is refused. Each
	// rejection counts against the retry budget shared by all clients.
	maxRejections = 4
	// minRetryTime is the least remaining time for which a request is sent again.
	minRetryTime = 100 * time.Millisecond
	// bufferedBodyBytes is the size up to which the body of a non-streaming response is read
	// before its head is forwarded. A response that breaks off earlier can be retried.
	bufferedBodyBytes = 64 << 10
	// The first-byte timeout of a retryable request is the larger of firstByteObjectives
	// objectives and firstByteServiceTimes average service times. Some endpoints hang on part of
	// their requests and answer others.
	firstByteObjectives   = 2.5
	firstByteServiceTimes = 6
	// minFirstByteTimeout keeps requests with a short objective from being abandoned while
	// they wait in the queue of an endpoint.
	minFirstByteTimeout = 600 * time.Millisecond
	// checkRunAfter is the time without a first byte after which the endpoint is queried for
	// the state of a retryable request, a few times the lag of that state. It doubles with each
	// query. checkRunTimeout limits one query.
	checkRunAfter   = time.Second
	checkRunTimeout = 700 * time.Millisecond
	// maxGapFactor is the number of the route's MaxGap intervals without a byte after which a
	// stream is resumed elsewhere. Clients disconnect after eight.
	maxGapFactor = 3
)

// Result is the outcome of a request, for logs and metrics.
type Result struct {
	Request *Request
	// Status is the status of the endpoint's response, or 0 if this host refused the request.
	Status   int
	Refusal  *Refusal
	Endpoint fleet.EndpointID
	// EndpointVersion is the software version of the endpoint.
	EndpointVersion string
	// Sent counts attempts that reached an endpoint, Runs those that may have run the request.
	Sent int
	Runs int
	// Full counts the endpoints that rejected it for lack of slots.
	Full int
	// NoSlot counts the brittle endpoints of which no host had a slot for it.
	NoSlot int
	// Waited is the time until the request was first sent, FirstByte the time until the head
	// of the response was sent to the client.
	Waited    time.Duration
	FirstByte time.Duration
	Total     time.Duration
	// Resumed counts how often a stream was resumed at another endpoint.
	Resumed int
	// Via is the name of the host by way of which the last response came, or "" if it came directly.
	Via string
	// Framing is how the end of the last response's body was marked, or "" without a response.
	Framing Framing
	// Complete reports whether the complete response was sent to the client. Unconfirmed reports that all
	// of a response was sent that ended with its connection, so that nobody knows whether it is complete.
	Complete    bool
	Unconfirmed bool
	// StreamVersion is where the knowledge of a resumed stream's software version comes from, zero for other
	// requests.
	StreamVersion StreamVersion
	// BlockedPart is the digest of the prompt part for which the request was refused, or 0.
	BlockedPart uint64
	// Note describes the last failure at an endpoint.
	Note string
}

// retryBudgetInterval is the interval at which the retry budget is checked for a request that
// waits for a retry.
const retryBudgetInterval = 100 * time.Millisecond

// Server serves requests. It is safe for concurrent use.
type Server struct {
	Backend Backend
	Queue   Queue
	Health  *Health
	Budget  *retry.Budget
	Now     func() time.Time
	// Guard, AccountLimiter and Versions may be nil.
	Guard          Guard
	AccountLimiter AccountLimiter
	Versions       StreamVersions
	// Tracer creates a span for each wait in the queue and each attempt.
	Tracer trace.Tracer
}

// Serve runs a request and sends the response to the sink. ctx must be canceled when the
// client disconnects.
func (s *Server) Serve(ctx context.Context, r *Request, sink Sink) Result {
	now := s.Now()
	s.Budget.RecordRequest(now, r.Service)
	if !r.DeadlineIsStartOnly {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	x := &exchange{
		server:    s,
		request:   r,
		sink:      sink,
		avoid:     Avoidance{},
		lastEvent: r.LastEvent,
		result:    Result{Request: r},
	}
	defer x.dropFallback()
	// A blocked request must not count as demand for its model.
	if !x.refuseIfBlocked(ctx) && x.requireVersion(ctx) && x.chargeAccount(ctx) {
		s.Queue.RecordArrival(r)
		if !x.refuseContended(ctx) {
			x.run(ctx)
		}
		x.refund()
	}
	x.result.Total = s.Now().Sub(r.Arrived)
	return x.result
}

// exchange is the state of one request while it is served.
type exchange struct {
	server   *Server
	request  *Request
	sink     Sink
	avoid    Avoidance
	rejected int
	// noPath counts the attempts for which no host had links to endpoints.
	noPath int
	// headSent reports whether the head of a response was sent to the client, and headFraming the framing
	// that this head has.
	headSent    bool
	headFraming Framing
	lastEvent   string
	// sentRaw is set once the response is sent as it arrives, so that no other run can continue it.
	sentRaw bool
	// version is the software version that began the stream, nil while it is not known. eventSent reports
	// whether an event was sent to the client.
	version   atomic.Pointer[fleet.VersionRequirement]
	eventSent bool
	// begun reports whether the response of the current attempt has begun: an event of a stream was read, or
	// all of another response.
	begun bool
	// notSentSince is when the rest of a begun response was first not sent since a run broke off, or zero.
	notSentSince time.Time
	// retryReserved is set if an abandoned attempt has already taken the retry that follows
	// it.
	retryReserved atomic.Bool
	// probe is set while the request runs as the probe of a suspected request.
	probe Probe
	// fallback is a failed response that is forwarded if no other endpoint succeeds.
	fallback *Response
	result   Result
}

// attemptResult is the result of one attempt.
type attemptResult int

const (
	// attemptDone means that the final response was sent.
	attemptDone attemptResult = iota
	// attemptNotRun means that the endpoint did not run the request.
	attemptNotRun
	// attemptNoSlot means that the request was not sent because the endpoint is brittle and no host has a slot.
	attemptNoSlot
	// attemptNotSent means that the request was not sent, because there was no connection for it.
	attemptNotSent
	// attemptFailed means that the request may have run without a complete response.
	attemptFailed
)

func (x *exchange) run(ctx context.Context) {
	for {
		if x.refuseIfBlocked(ctx) {
			return
		}
		if x.result.Sent > 0 && !x.takeRetry() && !x.awaitRetry(ctx) {
			x.finish(ctx, Refusal{Cause: CauseBudget, NotRun: true, RetryAfter: x.retryAfter()})
			return
		}
		e, refusal := x.acquireSlot(ctx)
		// The guard may have blocked the request while it waited.
		if refusal == nil && x.refuseIfBlocked(ctx) {
			x.server.Queue.Release(x.request, e.ID, SlotResult{NotRun: true})
			x.endProbe(e, ProbeNotRun)
			return
		}
		if refusal != nil {
			x.endProbe(e, ProbeNotRun)
			x.refuse(ctx, *refusal)
			return
		}
		result := x.attempt(ctx, e)
		x.endProbe(e, x.probeOutcome(result))
		switch result {
		case attemptDone:
			return
		case attemptNoSlot:
			x.keepRetry()
		case attemptNotSent:
			x.keepRetry()
			if now := x.server.Now(); !now.Before(x.notSentUntil(now)) {
				x.finish(ctx, Refusal{Cause: CauseUnreachable, NotRun: true, RetryAfter: minRetryAfter})
				return
			}
		case attemptNotRun:
			x.rejected++
			if x.rejected >= maxRejections {
				x.finish(ctx, x.rejectedRefusal())
				return
			}
		case attemptFailed:
			x.avoid[e.ID] = LastResort
			if !x.mayRunAgain(ctx) {
				x.finish(ctx, Refusal{Cause: CauseBroken, Detail: errors.New(x.result.Note)})
				return
			}
		}
	}
}

// keepRetry keeps the retry that was taken for an attempt which was not sent.
func (x *exchange) keepRetry() {
	if x.result.Sent > 0 {
		x.retryReserved.Store(true)
	}
}

// notSentUntil returns until when a request may try to connect, as long as it would wait for a slot.
func (x *exchange) notSentUntil(now time.Time) time.Time {
	switch {
	case !x.headSent && x.requiredVersion().Set:
		return x.request.StartDeadline().Add(-refusalMargin)
	case !x.headSent:
		return holdUntil(x.request)
	}
	if x.notSentSince.IsZero() {
		x.notSentSince = now
	}
	return resumeUntil(x.request, x.notSentSince)
}

// rejectedRefusal returns the refusal of a request that too many endpoints have rejected.
func (x *exchange) rejectedRefusal() Refusal {
	if x.noPath < x.rejected {
		return Refusal{Cause: CauseNoRoom, NotRun: true, RetryAfter: x.retryAfter()}
	}
	now := x.server.Now()
	after := RetryAfter(x.request.Deadline.Sub(now), HoldInput{Now: now, ReadyAt: now.Add(noPathRetryAfter)})
	return Refusal{Cause: CauseNoPath, NotRun: true, RetryAfter: after}
}

// refuse ends the request with a refusal, or as blocked if it was blocked while it waited.
func (x *exchange) refuse(ctx context.Context, r Refusal) {
	if !x.refuseIfBlocked(ctx) {
		x.finish(ctx, r)
	}
}

// probeOutcome returns the outcome of a probe for the result of its attempt.
func (x *exchange) probeOutcome(r attemptResult) ProbeOutcome {
	switch {
	case r == attemptNotRun, r == attemptNoSlot, r == attemptNotSent:
		return ProbeNotRun
	case r == attemptDone && (x.result.Complete || x.result.Unconfirmed):
		return ProbeServed
	}
	return ProbeInterrupted
}

// takeRetry takes a retry from the shared budget unless one is reserved, and reports whether
// the request may be retried.
func (x *exchange) takeRetry() bool {
	return x.retryReserved.Swap(false) || x.server.Budget.Take(x.server.Now(), x.request.Service)
}

// awaitRetry blocks until the budget allows a retry of a request that has not run, and reports
// whether it does. It returns false at once if the request may have run or has a fallback
// response.
func (x *exchange) awaitRetry(ctx context.Context) bool {
	if x.result.Runs > 0 || x.fallback != nil {
		return false
	}
	until := x.budgetWaitEnd()
	for x.server.Now().Before(until) && !x.tooLate() {
		if !wait.For(ctx, wait.Jitter(retryBudgetInterval)) {
			return false
		}
		if x.takeRetry() {
			return true
		}
	}
	return false
}

// tooLate reports whether the host shuts down before the request could end.
func (x *exchange) tooLate() bool {
	latest := x.server.Queue.LatestStart(x.request)
	return !latest.IsZero() && !x.server.Now().Before(latest)
}

// reserveRetry reserves the retry that follows an attempt before the attempt is abandoned, and
// reports whether the budget allows it. Without a retry, the attempt must continue.
func (x *exchange) reserveRetry() bool {
	if !x.server.Budget.TakeSpare(x.server.Now(), x.request.Service) {
		return false
	}
	x.retryReserved.Store(true)
	return true
}

func (x *exchange) acquire(ctx context.Context) (fleet.Endpoint, *Refusal) {
	ctx, span := x.server.Tracer.Start(ctx, "queue", trace.WithAttributes(attribute.String("model", x.request.Model)))
	defer span.End()
	if x.fallback != nil {
		// The wait is short while a fallback response is available.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, minRetryTime)
		defer cancel()
	}
	for {
		e, refusal := x.server.Queue.Acquire(ctx, x.request, PriorAttempts{Version: x.requiredVersion(), Avoid: x.avoid, ResponseStarted: x.headSent})
		if refusal != nil || !x.joinedSince(e) {
			return e, refusal
		}
		x.server.Queue.Release(x.request, e.ID, SlotResult{NotRun: true})
	}
}

// mayRunAgain reports whether the request may be sent again after it may have run.
func (x *exchange) mayRunAgain(ctx context.Context) bool {
	return x.request.Route.Retryable() && !(x.headSent && x.sentRaw) &&
		x.result.Runs < x.request.Route.Attempts &&
		!x.suspected() &&
		ctx.Err() == nil &&
		(x.headSent && x.request.DeadlineIsStartOnly || x.request.Deadline.Sub(x.server.Now()) > minRetryTime)
}

// finish sends the final response of a request that no endpoint completed.
func (x *exchange) finish(ctx context.Context, r Refusal) {
	switch {
	case x.headSent:
		r = x.finalRefusal(ctx, r)
		x.sink.Abort()
	case x.fallback != nil:
		x.sendFallback(x.fallback)
		return
	default:
		r = x.finalRefusal(ctx, r)
		x.recordRefusal(r)
		x.sink.Refuse(r)
	}
	x.result.Refusal = &r
}

// finalRefusal adjusts a refusal to the state of the request. NotRun is kept only if no
// endpoint can have run the request. A done context determines the cause.
func (x *exchange) finalRefusal(ctx context.Context, r Refusal) Refusal {
	r.NotRun = r.NotRun && x.result.Runs == 0
	switch ctx.Err() {
	case context.DeadlineExceeded:
		r.Cause = CauseDeadline
	case context.Canceled:
		r.Cause = CauseClientGone
	}
	return r
}
