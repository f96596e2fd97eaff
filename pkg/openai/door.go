// Package openai is the door for callers of the project's own interface: the
// OpenAI-compatible completions, calls of plain services and deferred requests.
// It authenticates callers by their contracts, decodes their requests for
// package completion, and encodes the answers.
package openai

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/tealvane/tealvane/internal/api/callers"
	"github.com/tealvane/tealvane/pkg/completion"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
	"go.opentelemetry.io/otel/trace"
)

// maxRequestBytes bounds the body of a caller's request.
const maxRequestBytes = 4 << 20

// readHeaderTimeout ends connections that send no request.
const readHeaderTimeout = 10 * time.Second

// Host is what the door needs of an entry host.
type Host interface {
	// Authenticate returns the contract that lists a caller's token.
	Authenticate(token string) (state.ContractEntry, bool)
	// Now is the host's clock.
	Now() time.Time
	// Stopping hosts end each connection with its present answer.
	Stopping() bool
	// Defer records a request that is answered later. After an error it may be
	// recorded or not.
	Defer(ctx context.Context, d record.Deferred) error
	// Deferred returns a recorded request.
	Deferred(id string) (state.DeferredRequest, bool)
}

// Door implements the callers' interface.
type Door struct {
	Host   Host
	Runner *completion.Runner
}

type contractKey struct{}

// Server returns the HTTP server of the callers' interface.
func (d Door) Server(provider trace.TracerProvider) (*http.Server, error) {
	server, err := callers.NewServer(d, d, callers.WithTracerProvider(provider), callers.WithErrorHandler(d.writeError))
	if err != nil {
		return nil, err
	}
	handler := d.closing(traced(http.MaxBytesHandler(flushed(server), maxRequestBytes)))
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, nil
}

// HandleBearer authenticates a caller by the contract that lists its token.
func (d Door) HandleBearer(ctx context.Context, _ callers.OperationName, t callers.Bearer) (context.Context, error) {
	entry, ok := d.Host.Authenticate(t.Token)
	if !ok {
		return ctx, unauthenticated()
	}
	return context.WithValue(ctx, contractKey{}, entry), nil
}

func callerContract(ctx context.Context) state.ContractEntry {
	return ctx.Value(contractKey{}).(state.ContractEntry)
}

// modelFor finds a model of the caller's contract.
func modelFor(ctx context.Context, name string, service bool) (state.ContractEntry, contract.Model, *completion.Refusal) {
	entry := callerContract(ctx)
	m, ok := entry.Contract.Model(name)
	if !ok {
		return entry, m, forbidden("the contract of %s does not hold %q", entry.Contract.Customer, name)
	}
	if service != (m.Kind == contract.Service) {
		return entry, m, completion.Invalid("%q is of kind %s", name, m.Kind)
	}
	return entry, m, nil
}

// deadlineFor is the shorter of the contract's longest wait and the caller's.
func (d Door) deadlineFor(entry state.ContractEntry, m contract.Model, ms callers.OptInt64) time.Time {
	wait := entry.Contract.Class(m).MaxWait
	if v, ok := ms.Get(); ok {
		wait = min(wait, time.Duration(v)*time.Millisecond)
	}
	return d.Host.Now().Add(wait)
}

// CallService implements callers.Handler.
func (d Door) CallService(ctx context.Context, req callers.ServiceBody, params callers.CallServiceParams) (callers.ServiceBody, error) {
	entry, m, refusal := modelFor(ctx, params.Service, true)
	if refusal != nil {
		return nil, refusal
	}
	key, refusal := completion.KeyFor(entry.Contract.Customer, m, params.IdempotencyKey.Or(""))
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := d.Runner.CallService(ctx, completion.Call{
		Customer:  entry.Contract.Customer,
		Model:     m,
		Rank:      entry.Contract.Class(m).RefuseRank,
		RequestID: completion.NewRequestID(),
		Key:       key,
		Digest:    completion.Digest(m.Name, string(req)),
		Deadline:  d.deadlineFor(entry, m, params.XDeadlineMs),
		Body:      json.RawMessage(req),
	})
	if refusal != nil {
		return nil, refusal
	}
	return callers.ServiceBody(body), nil
}
