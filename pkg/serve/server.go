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
	// maxRejected bounds how many endpoints may reject a request before it is
	// refused: each rejection counts against the retry budget of all clients.
	maxRejected = 4
	// minRepeat is the least time left for which a request is sent again.
	minRepeat = 100 * time.Millisecond
	// bufferedBody is the size up to which the body of a plain answer is read
	// before its head is passed on. An answer that breaks off before can then be
	// repeated or reported, instead of ending the client's connection.
	bufferedBody = 64 << 10
	// patienceObjectives is how many objectives a repeatable request waits for a
	// first byte from an endpoint that answers others, and patienceServices how
	// many usual service times: some endpoints hang on part of their requests.
	patienceObjectives = 2.5
	patienceServices   = 6
	// minPatience keeps short objectives from repeating requests that only queue.
	minPatience = 600 * time.Millisecond
	// askAfter is after how long without a first byte an endpoint is asked what has
	// become of a repeatable request, and again each time that has doubled: a few times
	// the lag of what it says. askTimeout bounds the question.
	askAfter   = time.Second
	askTimeout = 700 * time.Millisecond
	// gapPatience is how many longest pauses of a stream pass before it is
	// resumed elsewhere. Clients leave after eight.
	gapPatience = 3
)

// Result is what happened to a request, for logs and metrics.
type Result struct {
	Request *Request
	// Status is that of the endpoint's answer, 0 if this host answered itself.
	Status   int
	Refusal  *Refusal
	Endpoint fleet.EndpointID
	// Sent counts endpoints that got the request, Runs those that may have run it.
	Sent int
	Runs int
	// Waited is the time until the request was first sent, FirstByte until the
	// first byte of the answer went to the client.
	Waited    time.Duration
	FirstByte time.Duration
	Total     time.Duration
	// Resumed counts how often a stream went on at another endpoint.
	Resumed int
	// Complete tells whether the whole answer went out.
	Complete bool
	// Note is the last error of an endpoint.
	Note string
}

// retryPause is how long a request waits before it looks again whether a retry is
// allowed: a part of the slices in which the budget is counted.
const retryPause = 100 * time.Millisecond

// Server carries requests. It is safe for concurrent use.
type Server struct {
	Backend Backend
	Queue   Queue
	Health  *Health
	Budget  *retry.Budget
	Now     func() time.Time
	// Guard may be nil, and Allowances too.
	Guard      Guard
	Allowances Allowances
	// Tracer makes a span for each wait and each send.
	Tracer trace.Tracer
}

// Serve answers a request through the sink. ctx ends when the client has gone.
func (s *Server) Serve(ctx context.Context, r *Request, sink Sink) Result {
	now := s.Now()
	s.Budget.Request(now, r.Service)
	if !r.StartOnly {
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
	defer x.dropKept()
	// A blocked request asks for no place, and its model is not loaded for it.
	if !x.blocked(ctx) && x.allowed(ctx) {
		s.Queue.Arrive(r)
		x.run(ctx)
		x.refund()
	}
	x.result.Total = s.Now().Sub(r.Arrived)
	return x.result
}

// exchange is one request on its way.
type exchange struct {
	server   *Server
	request  *Request
	sink     Sink
	avoid    Avoidance
	rejected int
	// begun tells whether the head of an answer went to the client.
	begun     bool
	lastEvent string
	// retryTaken is set while a try that was given up has taken the retry after it.
	retryTaken atomic.Bool
	// probe is set while the request goes ahead of other copies of it.
	probe Probe
	// kept is a failed answer that is passed on if no other endpoint can do better.
	kept   *Answer
	result Result
}

// step is what a try has come to.
type step int

const (
	// finished requests have their final answer.
	finished step = iota
	// notRun requests were not run by the endpoint.
	notRun
	// failed requests may have run, and their answer is not complete.
	failed
)

func (x *exchange) run(ctx context.Context) {
	for {
		if x.blocked(ctx) {
			return
		}
		if x.result.Sent > 0 && !x.mayRetry() && !x.awaitRetry(ctx) {
			x.giveUp(ctx, Refusal{Cause: CauseBudget, NotRun: true, RetryAfter: minRetryAfter})
			return
		}
		e, refusal := x.place(ctx)
		// It may have waited for seconds, and endpoints have ended under it meanwhile.
		if refusal == nil && x.blocked(ctx) {
			x.server.Queue.Release(x.request, e.ID, Use{})
			x.leave(e, ProbeNotRun)
			return
		}
		if refusal != nil {
			x.leave(e, ProbeNotRun)
			x.refuse(ctx, *refusal)
			return
		}
		step := x.try(ctx, e)
		x.leave(e, x.probed(step))
		switch step {
		case finished:
			return
		case notRun:
			x.rejected++
			if x.rejected >= maxRejected {
				x.giveUp(ctx, Refusal{Cause: CauseNoRoom, NotRun: true, RetryAfter: minRetryAfter})
				return
			}
		case failed:
			x.avoid[e.ID] = LastChoice
			if !x.mayRunAgain(ctx) {
				x.giveUp(ctx, Refusal{Cause: CauseBroken, Detail: errors.New(x.result.Note)})
				return
			}
		}
	}
}

// refuse gives the request up, as a blocked one if it was blocked while it waited.
func (x *exchange) refuse(ctx context.Context, r Refusal) {
	if !x.blocked(ctx) {
		x.giveUp(ctx, r)
	}
}

// probed is what a try shows of a request on trial.
func (x *exchange) probed(s step) ProbeOutcome {
	switch {
	case s == notRun:
		return ProbeNotRun
	case s == finished && x.result.Complete:
		return ProbeServed
	}
	return ProbeBroken
}

// mayRetry takes a retry from the common budget, unless one was taken already.
func (x *exchange) mayRetry() bool {
	return x.retryTaken.Swap(false) || x.server.Budget.Take(x.server.Now(), x.request.Service)
}

// awaitRetry waits for the budget to allow a retry of a request that has not run. Refused
// at once, its client would come back as a new request and cost another arrival, or be refused
// with most of its time left. What another endpoint may have run, or has answered, does not wait.
func (x *exchange) awaitRetry(ctx context.Context) bool {
	if x.result.Runs > 0 || x.kept != nil {
		return false
	}
	until := giveUp(x.request)
	for x.server.Now().Before(until) {
		if !wait.For(ctx, wait.Jitter(retryPause)) {
			return false
		}
		if x.mayRetry() {
			return true
		}
	}
	return false
}

// takeRetry takes the retry that follows a try which is to be given up. Without one
// the try goes on: given up, its answer would end without another in its place, also one whose
// first event comes as its try is given up.
func (x *exchange) takeRetry() bool {
	if !x.server.Budget.TakeSpare(x.server.Now(), x.request.Service) {
		return false
	}
	x.retryTaken.Store(true)
	return true
}

func (x *exchange) acquire(ctx context.Context) (fleet.Endpoint, *Refusal) {
	ctx, span := x.server.Tracer.Start(ctx, "queue", trace.WithAttributes(attribute.String("model", x.request.Model)))
	defer span.End()
	if x.kept != nil {
		// A failed answer is at hand: it is passed on rather than kept waiting.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, minRepeat)
		defer cancel()
	}
	return x.server.Queue.Acquire(ctx, x.request, Tried{At: x.avoid, Begun: x.begun})
}

// mayRunAgain keeps to what the route allows: a request that may run at most
// once is never sent again after it may have run, also when its endpoint died.
func (x *exchange) mayRunAgain(ctx context.Context) bool {
	return x.request.Route.Repeatable() &&
		x.result.Runs < x.request.Route.Attempts &&
		!x.suspected() &&
		ctx.Err() == nil &&
		(x.begun && x.request.StartOnly || x.request.Deadline.Sub(x.server.Now()) > minRepeat)
}

// giveUp sends the final answer of a request that no endpoint answered.
func (x *exchange) giveUp(ctx context.Context, r Refusal) {
	switch {
	case x.begun:
		r = x.final(ctx, r)
		x.sink.Abort()
	case x.kept != nil:
		x.pass(x.kept)
		return
	default:
		r = x.final(ctx, r)
		x.sink.Refuse(r)
	}
	x.result.Refusal = &r
}

// final settles what a refusal may promise: not run only where no endpoint can
// have run the request, now or for another attempt of its client. The cause tells
// a client that has gone from a deadline.
func (x *exchange) final(ctx context.Context, r Refusal) Refusal {
	r.NotRun = r.NotRun && x.result.Runs == 0
	switch ctx.Err() {
	case context.DeadlineExceeded:
		r.Cause = CauseDeadline
	case context.Canceled:
		r.Cause = CauseClientGone
	}
	return r
}
