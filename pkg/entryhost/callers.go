package entryhost

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/tealvane/tealvane/internal/api/callers"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
	"go.opentelemetry.io/otel/propagation"
)

// maxRequestBytes bounds the body of a caller's request.
const maxRequestBytes = 4 << 20

// readHeaderTimeout ends connections that send no request.
const readHeaderTimeout = 10 * time.Second

// callersAPI implements the callers' interface.
type callersAPI struct{ host *Host }

type contractKey struct{}

func (h *Host) callersServer() (*http.Server, error) {
	api := callersAPI{h}
	server, err := callers.NewServer(api, api, callers.WithTracerProvider(h.provider), callers.WithErrorHandler(api.writeError))
	if err != nil {
		return nil, err
	}
	return &http.Server{Handler: h.closing(traced(bounded(flushed(server)))), ReadHeaderTimeout: readHeaderTimeout}, nil
}

// closing ends each connection with its present answer while the host stops.
// A connection that is only closed by the shutdown may have a request on its
// way; its caller would see it cut.
func (h *Host) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// traced continues the caller's trace.
func traced(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		next.ServeHTTP(w, r)
	})
}

// flushed sends each write of an event stream at once. The generated code
// copies the stream, and net/http would hold tokens back until its buffer is
// full.
func flushed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&flushWriter{ResponseWriter: w, control: http.NewResponseController(w)}, r)
	})
}

// flushWriter hides ReadFrom of the writer below, which would buffer.
type flushWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

// Write implements http.ResponseWriter.
func (w *flushWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	if err == nil && strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream") {
		err = w.control.Flush()
	}
	return n, err
}

// HandleBearer authenticates a caller by the contract that lists its token.
func (a callersAPI) HandleBearer(ctx context.Context, _ callers.OperationName, t callers.Bearer) (context.Context, error) {
	entry, ok := a.host.state.Contracts.Authenticate(t.Token)
	if !ok {
		return ctx, unauthenticated()
	}
	return context.WithValue(ctx, contractKey{}, entry), nil
}

func unauthenticated() *Refusal {
	return &Refusal{
		Status:  http.StatusUnauthorized,
		Code:    callers.ErrorDetailCodeUnauthenticated,
		Message: "a bearer token of a contract in force is expected",
	}
}

func callerContract(ctx context.Context) state.ContractEntry {
	return ctx.Value(contractKey{}).(state.ContractEntry)
}

// NewError turns any error into the typed body.
func (a callersAPI) NewError(_ context.Context, err error) *callers.ErrorStatusCodeWithHeaders {
	r := asRefusal(err)
	out := &callers.ErrorStatusCodeWithHeaders{
		StatusCode: r.Status,
		Response:   callers.Error{Error: callers.ErrorDetail{Code: r.Code, Message: r.Message}},
	}
	if r.Reason != "" {
		out.Response.Error.Reason.SetTo(r.Reason)
	}
	if r.RetryAfter > 0 {
		out.RetryAfter.SetTo(seconds(r.RetryAfter))
	}
	return out
}

func asRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	var security *ogenerrors.SecurityError
	if errors.As(err, &security) {
		return unauthenticated()
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Code: callers.ErrorDetailCodeInvalid, Message: err.Error()}
	}
	return invalid("%v", err)
}

// writeError answers requests that the generated code itself refuses, with
// the same typed body.
func (a callersAPI) writeError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	out := a.NewError(ctx, err)
	body, _ := out.Response.MarshalJSON()
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(out.StatusCode)
	_, _ = w.Write(body)
}

// modelFor finds a model of the caller's contract.
func modelFor(ctx context.Context, name string, service bool) (state.ContractEntry, contract.Model, *Refusal) {
	entry := callerContract(ctx)
	m, ok := entry.Contract.Model(name)
	if !ok {
		return entry, m, forbidden("the contract of %s does not hold %q", entry.Contract.Customer, name)
	}
	if service != (m.Kind == contract.Service) {
		return entry, m, invalid("%q is of kind %s", name, m.Kind)
	}
	return entry, m, nil
}

// deadlineFor is the shorter of the contract's longest wait and the caller's.
func (a callersAPI) deadlineFor(entry state.ContractEntry, m contract.Model, ms callers.OptInt64) time.Time {
	wait := entry.Contract.Class(m).MaxWait
	if v, ok := ms.Get(); ok {
		wait = min(wait, time.Duration(v)*time.Millisecond)
	}
	return a.host.now().Add(wait)
}

// completion is what chat and plain completions have in common.
type completion struct {
	model       string
	prompt      string
	maxTokens   callers.OptInt
	temperature callers.OptFloat64
	key         callers.OptString
	deadlineMs  callers.OptInt64
}

// begin starts the answer to a completion.
func (a callersAPI) begin(ctx context.Context, in completion) (*answer, *Refusal) {
	entry, m, refusal := modelFor(ctx, in.model, false)
	if refusal != nil {
		return nil, refusal
	}
	key, refusal := keyFor(entry.Contract.Customer, m, in.key.Or(""))
	if refusal != nil {
		return nil, refusal
	}
	if key != nil {
		// The request goes on when its caller has gone, so that a repeat finds
		// the answer.
		ctx = context.WithoutCancel(ctx)
	}
	return a.host.start(ctx, call{
		customer:  entry.Contract.Customer,
		model:     m,
		rank:      entry.Contract.Class(m).RefuseRank,
		requestID: newRequestID(),
		key:       key,
		digest:    digest(in.model, in.prompt),
		deadline:  a.deadlineFor(entry, m, in.deadlineMs),
		prompt:    in.prompt,
		maxTokens: in.maxTokens.Or(0),
		temp:      in.temperature.Or(0),
	})
}

// CreateChatCompletion implements callers.Handler.
func (a callersAPI) CreateChatCompletion(ctx context.Context, req *callers.ChatRequest, params callers.CreateChatCompletionParams) (callers.CreateChatCompletionRes, error) {
	ans, refusal := a.begin(ctx, completion{
		model:       req.Model,
		prompt:      chatPrompt(req.Messages),
		maxTokens:   req.MaxTokens,
		temperature: req.Temperature,
		key:         params.IdempotencyKey,
		deadlineMs:  params.XDeadlineMs,
	})
	if refusal != nil {
		return nil, refusal
	}
	if req.Stream.Or(false) {
		events, refusal := a.events(ans, chatChunk)
		if refusal != nil {
			return nil, refusal
		}
		return &callers.CreateChatCompletionOKTextEventStream{Data: events}, nil
	}
	text, tokens, reason, refusal := ans.collect()
	if refusal != nil {
		return nil, refusal
	}
	return &callers.ChatCompletion{
		ID:      ans.call.requestID,
		Object:  "chat.completion",
		Created: a.host.now().Unix(),
		Model:   req.Model,
		Choices: []callers.ChatChoice{{
			Message:      callers.ChatMessage{Role: "assistant", Content: text},
			FinishReason: reason,
		}},
		Usage: callers.TokenUsage{CompletionTokens: tokens},
	}, nil
}

// chatPrompt joins the messages; engines apply their own chat template.
func chatPrompt(messages []callers.ChatMessage) string {
	parts := make([]string, len(messages))
	for i, m := range messages {
		parts[i] = m.Role + ": " + m.Content
	}
	return strings.Join(parts, "\n")
}

// CreateCompletion implements callers.Handler.
func (a callersAPI) CreateCompletion(ctx context.Context, req *callers.CompletionRequest, params callers.CreateCompletionParams) (callers.CreateCompletionRes, error) {
	ans, refusal := a.begin(ctx, completion{
		model:       req.Model,
		prompt:      req.Prompt,
		maxTokens:   req.MaxTokens,
		temperature: req.Temperature,
		key:         params.IdempotencyKey,
		deadlineMs:  params.XDeadlineMs,
	})
	if refusal != nil {
		return nil, refusal
	}
	if req.Stream.Or(false) {
		events, refusal := a.events(ans, textChunk)
		if refusal != nil {
			return nil, refusal
		}
		return &callers.CreateCompletionOKTextEventStream{Data: events}, nil
	}
	text, tokens, reason, refusal := ans.collect()
	if refusal != nil {
		return nil, refusal
	}
	out := newCompletion(ans.call.requestID, req.Model, a.host.now(), text, tokens, reason)
	return &out, nil
}

func newCompletion(id, model string, now time.Time, text string, tokens int, reason string) callers.Completion {
	return callers.Completion{
		ID:      id,
		Object:  "text_completion",
		Created: now.Unix(),
		Model:   model,
		Choices: []callers.CompletionChoice{{Text: text, FinishReason: reason}},
		Usage:   callers.TokenUsage{CompletionTokens: tokens},
	}
}

// ListModels implements callers.Handler.
func (a callersAPI) ListModels(ctx context.Context) (*callers.ModelList, error) {
	c := callerContract(ctx).Contract
	out := &callers.ModelList{Object: "list", Data: []callers.ModelEntry{}}
	for _, m := range c.Models {
		if m.Loadable() {
			out.Data = append(out.Data, callers.ModelEntry{ID: m.Name, Object: "model", OwnedBy: c.Customer})
		}
	}
	return out, nil
}

// CallService implements callers.Handler.
func (a callersAPI) CallService(ctx context.Context, req callers.ServiceBody, params callers.CallServiceParams) (callers.ServiceBody, error) {
	entry, m, refusal := modelFor(ctx, params.Service, true)
	if refusal != nil {
		return nil, refusal
	}
	key, refusal := keyFor(entry.Contract.Customer, m, params.IdempotencyKey.Or(""))
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := a.host.callService(ctx, serviceCall{
		customer:  entry.Contract.Customer,
		service:   m,
		rank:      entry.Contract.Class(m).RefuseRank,
		requestID: newRequestID(),
		key:       key,
		digest:    digest(m.Name, string(req)),
		deadline:  a.deadlineFor(entry, m, params.XDeadlineMs),
		body:      json.RawMessage(req),
	})
	if refusal != nil {
		return nil, refusal
	}
	return callers.ServiceBody(body), nil
}

// CreateDeferred implements callers.Handler. The request is accepted when its
// record is in the log; any host may run it then.
func (a callersAPI) CreateDeferred(ctx context.Context, req *callers.CompletionRequest) (*callers.Deferred, error) {
	entry, m, refusal := modelFor(ctx, req.Model, false)
	if refusal != nil {
		return nil, refusal
	}
	if !m.Deferrable {
		return nil, invalid("the contract does not allow %q to be deferred", m.Name)
	}
	body, err := json.Marshal(deferredBody{req.Prompt, req.MaxTokens.Or(0), req.Temperature.Or(0)})
	if err != nil {
		return nil, invalid("%v", err)
	}
	if len(body) > maxDeferredBytes {
		return nil, invalid("a deferred request may have %d bytes", maxDeferredBytes)
	}
	id := newRequestID()
	err = a.host.appendSoon(ctx, record.Record{Defer: &record.Deferred{
		ID:       id,
		Customer: entry.Contract.Customer,
		Model:    m.Name,
		Body:     body,
	}})
	if err != nil {
		// It may still be accepted and run, but nobody knows its ID.
		refusal := outcomeUnknown("the request could not be recorded: %v", err)
		refusal.RetryAfter = logRetryAfter
		return nil, refusal
	}
	return &callers.Deferred{ID: id, Status: callers.DeferredStatusAccepted}, nil
}

// GetDeferred implements callers.Handler.
func (a callersAPI) GetDeferred(ctx context.Context, params callers.GetDeferredParams) (*callers.Deferred, error) {
	r, ok := a.host.state.Deferred.Get(params.ID)
	if !ok || r.Customer != callerContract(ctx).Contract.Customer {
		return nil, notFound("no deferred request %q", params.ID)
	}
	out := &callers.Deferred{ID: r.ID, Status: callers.DeferredStatusAccepted}
	if r.Answer == nil {
		return out, nil
	}
	var kept deferredAnswer
	if err := json.Unmarshal(r.Answer.Body, &kept); err != nil {
		return nil, errors.Wrap(err, "recorded answer")
	}
	if r.Answer.Status != http.StatusOK {
		out.Status = callers.DeferredStatusFailed
		out.Error.SetTo(callers.ErrorDetail{Code: callers.ErrorDetailCodeOutcomeUnknown, Message: kept.Error})
		return out, nil
	}
	out.Status = callers.DeferredStatusDone
	out.Answer.SetTo(newCompletion(r.ID, r.Model, a.host.now(), kept.Text, kept.Tokens, kept.Reason))
	return out, nil
}
