// Package openai implements the callers' HTTP API: OpenAI-compatible completions,
// calls of plain services and deferred requests. It authenticates callers by
// their contracts, decodes requests for package completion, and encodes responses.
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

const maxRequestBytes = 4 << 20

const readHeaderTimeout = 10 * time.Second

// Host provides what the API needs from an entry host.
type Host interface {
	// Authenticate returns the contract that lists a caller's token.
	Authenticate(token string) (state.ContractEntry, bool)
	// Now is the host's clock.
	Now() time.Time
	// Stopping reports whether the host is shutting down. Connections are then
	// closed after their current response.
	Stopping() bool
	// Defer records a deferred request. After an error the request may or may not
	// be recorded.
	Defer(ctx context.Context, d record.DeferredRequest) error
	// Deferred returns the deferred request with the given ID.
	Deferred(id string) (state.DeferredRequest, bool)
}

// Handler implements callers.Handler and callers.SecurityHandler.
type Handler struct {
	Host   Host
	Runner *completion.Runner
}

type contractKey struct{}

// Server returns the HTTP server of the callers' API.
func (h Handler) Server(provider trace.TracerProvider) (*http.Server, error) {
	server, err := callers.NewServer(h, h, callers.WithTracerProvider(provider), callers.WithErrorHandler(h.writeError))
	if err != nil {
		return nil, err
	}
	handler := h.closeWhenStopping(extractTrace(http.MaxBytesHandler(flushEvents(server), maxRequestBytes)))
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, nil
}

// HandleBearer implements callers.SecurityHandler. It adds the contract that lists
// the token to the context.
func (h Handler) HandleBearer(ctx context.Context, _ callers.OperationName, t callers.Bearer) (context.Context, error) {
	entry, ok := h.Host.Authenticate(t.Token)
	if !ok {
		return ctx, unauthenticated()
	}
	return context.WithValue(ctx, contractKey{}, entry), nil
}

func callerContract(ctx context.Context) state.ContractEntry {
	return ctx.Value(contractKey{}).(state.ContractEntry)
}

// findModel returns the named model of the caller's contract. It refuses a plain
// service unless service is set, and a model if service is set.
func findModel(ctx context.Context, name string, service bool) (state.ContractEntry, contract.Model, *completion.Refusal) {
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

// deadlineFor returns the earlier of the contract's and the caller's deadline for
// the start of the response.
func (h Handler) deadlineFor(entry state.ContractEntry, m contract.Model, clientDeadline callers.OptInt64) time.Time {
	wait := entry.Contract.Class(m).MaxWait
	if v, ok := clientDeadline.Get(); ok {
		wait = min(wait, time.Duration(v)*time.Millisecond)
	}
	return h.Host.Now().Add(wait)
}

// CallService implements callers.Handler.
func (h Handler) CallService(ctx context.Context, req callers.ServiceBody, params callers.CallServiceParams) (callers.ServiceBody, error) {
	entry, m, refusal := findModel(ctx, params.Service, true)
	if refusal != nil {
		return nil, refusal
	}
	key, refusal := completion.KeyFor(entry.Contract.Customer, m, params.IdempotencyKey.Or(""))
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := h.Runner.CallService(ctx, completion.Call{
		Customer:  entry.Contract.Customer,
		Model:     m,
		Weight:    entry.Contract.Weight,
		Rank:      entry.Contract.Class(m).RefuseRank,
		RequestID: completion.NewRequestID(),
		Key:       key,
		Digest:    completion.Digest(m.Name, string(req)),
		Deadline:  h.deadlineFor(entry, m, params.XDeadlineMs),
		Body:      json.RawMessage(req),
	})
	if refusal != nil {
		return nil, refusal
	}
	return callers.ServiceBody(body), nil
}
