package completion

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/signals"
)

// backend sends calls to engines and plain services. It implements serve.Backend.
type backend struct{ runner *Runner }

// Send implements serve.Backend. It claims the idempotency key before the first
// send and replays the recorded response of a call that has already run.
func (b backend) Send(ctx context.Context, r *serve.Request, s serve.Send) (*serve.Response, error) {
	st := r.Wire.(*callState)
	outcome, refusal := st.claim(ctx)
	if refusal != nil {
		return nil, st.keyRefusal(refusal)
	}
	if outcome != nil {
		body, refusal := st.replay(*outcome)
		if refusal != nil {
			return nil, st.keyRefusal(refusal)
		}
		return newResponse(body), nil
	}
	if !st.call.Model.Loadable() {
		return b.callService(ctx, st, s)
	}
	return b.generate(ctx, st, s)
}

// keyRefusal wraps a refusal that concerns the idempotency key for package serve.
func (st *callState) keyRefusal(r *Refusal) *serve.Refusal {
	return &serve.Refusal{Cause: causeKey, NotRun: r.NotRun(), RetryAfter: r.RetryAfter, Detail: r}
}

func newResponse(body io.ReadCloser) *serve.Response {
	return &serve.Response{Class: serve.Completed, Status: http.StatusOK, Body: body}
}

func (b backend) generate(ctx context.Context, st *callState, s serve.Send) (*serve.Response, error) {
	next, err := resumeFrom(s.LastEvent)
	if err != nil {
		return nil, errors.Mark(err, serve.ErrNotSent)
	}
	stream, err := b.runner.cfg.Engine.Generate(ctx, s.Endpoint.Addr, external.GenerateRequest{
		RequestID:   st.call.RequestID,
		Replica:     record.ReplicaID(s.Endpoint.ID),
		Model:       st.call.Model.Name,
		Prompt:      st.call.Prompt,
		MaxTokens:   st.call.MaxTokens,
		Temperature: st.call.Temperature,
		ResumeFrom:  next,
	})
	if err != nil {
		return classifyError(err)
	}
	cancel := func() { b.cancel(ctx, s.Endpoint.Addr, st.call.RequestID) }
	return newResponse(&tokenBody{stream: stream, cancel: cancel}), nil
}

// classifyError maps an error of external.Engine to a response or to the errors
// of package serve, depending on whether the call may have run.
func classifyError(err error) (*serve.Response, error) {
	var retryAfterErr *external.RetryAfterError
	switch {
	case errors.As(err, &retryAfterErr):
		return &serve.Response{Class: serve.Overloaded, Signals: signals.Response{RetryAfter: retryAfterErr.RetryAfter}, Body: http.NoBody}, nil
	case errors.Is(err, external.ErrNotLoaded):
		return &serve.Response{Class: serve.NotLoaded, Body: http.NoBody}, nil
	case errors.Is(err, external.ErrRefused):
		return nil, errors.Mark(errors.Mark(err, serve.ErrNotSent), serve.ErrUnreachable)
	case errors.Is(err, external.ErrRejected):
		return nil, errors.Mark(err, serve.ErrNotSent)
	default:
		return nil, err
	}
}

// cancel asks an engine to stop generating for a request.
func (b backend) cancel(ctx context.Context, addr, requestID string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if err := b.runner.cfg.Engine.Cancel(ctx, addr, requestID); err != nil {
		b.runner.cfg.Logger.Info("failed to cancel the request at the engine", "id", requestID, "endpoint", addr, "error", err.Error())
	}
}

func (b backend) callService(ctx context.Context, st *callState, s serve.Send) (*serve.Response, error) {
	response, err := b.runner.cfg.Engine.Call(ctx, s.Endpoint.Addr, external.ServiceCall{
		RequestID: st.call.RequestID,
		Service:   st.call.Model.Name,
		Body:      st.call.Body,
	})
	if err != nil {
		return classifyError(err)
	}
	return newResponse(io.NopCloser(bytes.NewReader(response.Body))), nil
}

// RunStatus implements serve.Backend. Engines do not report the state of single calls,
// so each call is assumed to be waiting or running.
func (b backend) RunStatus(context.Context, *serve.Request, fleet.Endpoint) (serve.RunStatus, error) {
	return serve.RunStatus{Active: true}, nil
}
