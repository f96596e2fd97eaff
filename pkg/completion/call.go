// Package completion carries the calls of the project's own interface through
// the serving path: it makes typed requests of them, speaks to engines and plain
// services as the path's backend, keeps idempotency keys, and gives the answer
// back as tokens.
package completion

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/retry"
	"github.com/tealvane/tealvane/pkg/serve"
	"go.opentelemetry.io/otel/trace"
)

const (
	// maxAttempts bounds the endpoints on which one call may run.
	maxAttempts = 4
	// cancelTimeout bounds the call that cancels a stream at an engine, a few
	// round trips to an endpoint that lives.
	cancelTimeout = time.Second
	// retryRatio and retryExtra bound second sends of one host: a fifth of the
	// calls, and some while calls are few, in retryWindow.
	retryRatio  = 0.2
	retryExtra  = 20
	retryWindow = 10 * time.Second
)

// Call is one request of a caller for a model or a plain service.
type Call struct {
	Customer string
	Model    contract.Model
	// Rank says which calls are refused first when queues grow, higher ones before.
	Rank      int
	RequestID string
	// Key is set for calls that run at most once; Digest tells a repeat of a call
	// from another call under the same key.
	Key    *record.Key
	Digest uint64
	// Deadline is until when the answer has to begin.
	Deadline time.Time
	// Prompt, MaxTokens and Temperature are those of a completion.
	Prompt      string
	MaxTokens   int
	Temperature float64
	// Body is that of a call of a plain service.
	Body json.RawMessage
}

// request returns the call as the serving path knows it.
func (c Call) request(now time.Time, wire *run) *serve.Request {
	r := &serve.Request{
		ID:             c.RequestID,
		Fingerprint:    fleet.NewFingerprint(c.Customer, c.Model.Name, c.Prompt, string(c.Body)),
		Route:          fleet.Route{Name: c.Model.Name, Kind: fleet.Stream, Resumable: !c.Model.NonIdempotent, Attempts: maxAttempts},
		Service:        c.Model.Pool,
		Model:          c.Model.Name,
		Arrived:        now,
		Deadline:       c.Deadline,
		ClientDeadline: c.Deadline,
		StartOnly:      true,
		Wire:           wire,
	}
	if !c.Model.Loadable() {
		r.Service, r.Model = c.Model.Name, ""
		r.Route.Kind = fleet.Idempotent
		if c.Model.NonIdempotent {
			r.Route.Kind = fleet.Once
		}
	}
	return r
}

// NewRequestID returns an ID for one call.
func NewRequestID() string { return uuid.Must(uuid.NewV7()).String() }

// Of returns the call of a request that a Runner has made.
func Of(r *serve.Request) Call { return r.Wire.(*run).call }

// Keys keeps the idempotency keys of all hosts.
type Keys interface {
	// Claim takes a key. Without an outcome and an error the call may be sent, once.
	Claim(ctx context.Context, key record.Key, digest uint64) (*record.KeyOutcome, error)
	// Await waits for news of a key that another attempt holds; it returns false
	// when no outcome is to be expected.
	Await(ctx context.Context, key record.Key) bool
	// Finish records the outcome of a claimed key, Release gives it back.
	Finish(o record.KeyOutcome)
	Release(key record.Key)
}

// Meter counts what callers see.
type Meter interface {
	// Answered is told of the first part of an answer.
	Answered(model string, cold bool, after time.Duration)
	// Retried is told of each further send: at the start of an answer or to resume it.
	Retried(model, kind string)
}

// Config is what a Runner needs.
type Config struct {
	Engine external.Engine
	Queue  serve.Queue
	Health *serve.Health
	// Guard may be nil.
	Guard  serve.Guard
	Keys   Keys
	Meter  Meter
	Logger *slog.Logger
	Tracer trace.Tracer
	Now    func() time.Time
	// Cold tells whether no replica of a model is loaded.
	Cold func(contract.Model) bool
}

// Runner carries calls. It is safe for concurrent use.
type Runner struct {
	cfg    Config
	server *serve.Server
	// background holds calls that are being carried, also when their caller has gone.
	background sync.WaitGroup
}

// NewRunner returns a runner without any calls.
func NewRunner(cfg Config) *Runner {
	r := &Runner{cfg: cfg}
	r.server = &serve.Server{
		Backend: backend{r},
		Queue:   cfg.Queue,
		Health:  cfg.Health,
		Guard:   cfg.Guard,
		Budget:  retry.NewBudget(retry.Limits{Ratio: retryRatio, Extra: retryExtra, Window: retryWindow}, 1),
		Now:     cfg.Now,
		Tracer:  cfg.Tracer,
	}
	return r
}

// Go runs f as a part of the calls that Wait waits for.
func (r *Runner) Go(f func()) { r.background.Go(f) }

// Wait returns when no call is being carried.
func (r *Runner) Wait() { r.background.Wait() }

// run is one call on its way.
type run struct {
	runner *Runner
	call   Call
	cold   bool
	// claimed tells whether the run holds the call's idempotency key.
	claimed bool
	// recorded tells that the answer is one that was kept, of so many tokens.
	recorded bool
	tokens   int
	// kept is the text of an answer that is recorded for repeats.
	kept []byte
	// end is why the answer is not whole.
	end *Refusal
}

// carry takes a call through the serving path.
func (r *Runner) carry(ctx context.Context, x *run, sink serve.Sink) serve.Result {
	x.cold = r.cfg.Cold(x.call.Model)
	result := r.server.Serve(ctx, x.call.request(r.cfg.Now(), x), sink)
	r.note(x, result)
	return result
}

func (r *Runner) note(x *run, result serve.Result) {
	name := x.call.Model.Name
	for range result.Resumed {
		r.cfg.Meter.Retried(name, "resume")
	}
	for range result.Sent - 1 - result.Resumed {
		r.cfg.Meter.Retried(name, "start")
	}
	r.cfg.Logger.Info("request", append(result.LogAttrs(), "customer", x.call.Customer)...)
}
