// Package completion serves completions and calls of plain services through
// package serve. It implements the backend that sends them to engines and plain
// services, claims idempotency keys, and returns completions token by token.
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
	// maxAttempts limits the endpoints to which one call is sent.
	maxAttempts = 4
	// cancelTimeout limits the call that cancels a stream at an engine.
	cancelTimeout = time.Second
	// retryRatio, retryExtra and retryWindow are the host's retry budget: within
	// the window, retries are limited to a ratio of the calls plus a fixed number.
	retryRatio  = 0.2
	retryExtra  = 20
	retryWindow = 10 * time.Second
)

// Call is one request of a caller for a model or a plain service.
type Call struct {
	Customer string
	// Weight is the weight of the customer's contract; 0 means 1.
	Weight float64
	Model  contract.Model
	// Rank orders load shedding: calls with a higher rank are refused first.
	Rank      int
	RequestID string
	// Key is the idempotency key, set for calls that run at most once. Digest
	// distinguishes a retry of a call from another call with the same key.
	Key    *record.Key
	Digest uint64
	// Deadline is the time by which the response must start.
	Deadline time.Time
	// Prompt, MaxTokens and Temperature are set for completions.
	Prompt      string
	MaxTokens   int
	Temperature float64
	// Body is set for calls of plain services.
	Body json.RawMessage
}

// request returns the call as a request of package serve.
func (c Call) request(now time.Time, state *callState) *serve.Request {
	r := &serve.Request{
		ID:                  c.RequestID,
		Fingerprint:         fleet.NewFingerprint(c.Customer, c.Model.Name, c.Prompt, string(c.Body)),
		Route:               fleet.Route{Name: c.Model.Name, Kind: fleet.Stream, Resumable: !c.Model.NonIdempotent, Attempts: maxAttempts},
		Service:             c.Model.Pool,
		Model:               c.Model.Name,
		Arrived:             now,
		Deadline:            c.Deadline,
		ClientDeadline:      c.Deadline,
		DeadlineIsStartOnly: true,
		Wire:                state,
	}
	if !c.Model.Loadable() {
		r.Service, r.Model = c.Model.Name, ""
		r.Route.Kind = fleet.Idempotent
		if c.Model.NonIdempotent {
			r.Route.Kind = fleet.AtMostOnce
		}
	}
	return r
}

// NewRequestID returns a new version 7 UUID.
func NewRequestID() string { return uuid.Must(uuid.NewV7()).String() }

// CallOf returns the call that r was made from. r must come from a Runner.
func CallOf(r *serve.Request) Call { return r.Wire.(*callState).call }

// Keys holds the idempotency keys that all hosts share.
type Keys interface {
	// Claim claims a key. If it returns neither an outcome nor an error, the
	// caller holds the key and may send the call once.
	Claim(ctx context.Context, key record.Key, digest uint64) (*record.KeyOutcome, error)
	// Await blocks until the state of a key that another attempt holds changes.
	// It reports whether an outcome may still be recorded.
	Await(ctx context.Context, key record.Key) bool
	// Finish records the outcome of a claimed key.
	Finish(o record.KeyOutcome)
	// Release drops the claim of a call that certainly did not run.
	Release(key record.Key)
}

// Meter records metrics of calls.
type Meter interface {
	// RecordFirstToken records the time until the first part of a response.
	RecordFirstToken(model string, cold bool, after time.Duration)
	// RecordRetry counts a retry. kind is "start" before the response has begun and
	// "resume" for a response that broke off.
	RecordRetry(model, kind string)
}

// Config holds the dependencies of a Runner.
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
	// Cold reports whether no replica of a model is loaded.
	Cold func(contract.Model) bool
}

// Runner serves calls. It is safe for concurrent use.
type Runner struct {
	cfg    Config
	server *serve.Server
	// background tracks calls in progress, including those whose caller has
	// disconnected.
	background sync.WaitGroup
}

// NewRunner returns a Runner with the given dependencies.
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

// Go runs f in a goroutine that Wait waits for.
func (r *Runner) Go(f func()) { r.background.Go(f) }

// Wait blocks until no call is in progress.
func (r *Runner) Wait() { r.background.Wait() }

// callState is the state of one call in progress.
type callState struct {
	runner    *Runner
	call      Call
	coldStart bool
	// claimed is set while this call holds its idempotency key.
	claimed bool
	// replayed is set when the response is a recorded one; replayedTokens is its
	// number of tokens.
	replayed       bool
	replayedTokens int
	// recordedText collects the text that is recorded for retries.
	recordedText []byte
	// refusal says why the response is missing or incomplete.
	refusal *Refusal
}

// execute sends a call through package serve, then records its metrics and log line.
func (r *Runner) execute(ctx context.Context, st *callState, sink serve.Sink) serve.Result {
	st.coldStart = r.cfg.Cold(st.call.Model)
	result := r.server.Serve(ctx, st.call.request(r.cfg.Now(), st), sink)
	r.report(st, result)
	return result
}

func (r *Runner) report(st *callState, result serve.Result) {
	name := st.call.Model.Name
	for range result.Resumed {
		r.cfg.Meter.RecordRetry(name, "resume")
	}
	for range result.Sent - 1 - result.Resumed {
		r.cfg.Meter.RecordRetry(name, "start")
	}
	r.cfg.Logger.Info("request", append(result.LogAttrs(), "customer", st.call.Customer)...)
}
