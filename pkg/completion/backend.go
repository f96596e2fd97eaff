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

// backend speaks to engines and plain services. It implements serve.Backend.
type backend struct{ runner *Runner }

// Send implements serve.Backend. The idempotency key is claimed before the first
// send; the answer to a call that was run before is the recorded one.
func (b backend) Send(ctx context.Context, r *serve.Request, s serve.Send) (*serve.Answer, error) {
	x := r.Wire.(*run)
	outcome, refusal := x.claim(ctx)
	if refusal != nil {
		return nil, x.refusal(refusal)
	}
	if outcome != nil {
		body, refusal := x.replay(*outcome)
		if refusal != nil {
			return nil, x.refusal(refusal)
		}
		return answer(body), nil
	}
	if !x.call.Model.Loadable() {
		return b.callService(ctx, x, s)
	}
	return b.generate(ctx, x, s)
}

// refusal returns a refusal of the key as the serving path knows it.
func (x *run) refusal(r *Refusal) *serve.Refusal {
	return &serve.Refusal{Cause: causeKey, NotRun: r.NotRun(), RetryAfter: r.RetryAfter, Detail: r}
}

func answer(body io.ReadCloser) *serve.Answer {
	return &serve.Answer{Verdict: serve.Answered, Status: http.StatusOK, Body: body}
}

func (b backend) generate(ctx context.Context, x *run, s serve.Send) (*serve.Answer, error) {
	next, err := resumeFrom(s.LastEvent)
	if err != nil {
		return nil, errors.Mark(err, serve.ErrNotSent)
	}
	stream, err := b.runner.cfg.Engine.Generate(ctx, s.Endpoint.Addr, external.GenerateRequest{
		RequestID:   x.call.RequestID,
		Replica:     record.ReplicaID(s.Endpoint.ID),
		Model:       x.call.Model.Name,
		Prompt:      x.call.Prompt,
		MaxTokens:   x.call.MaxTokens,
		Temperature: x.call.Temperature,
		ResumeFrom:  next,
	})
	if err != nil {
		return unsent(err)
	}
	cancel := func() { b.cancel(ctx, s.Endpoint.Addr, x.call.RequestID) }
	return answer(&tokenBody{stream: stream, cancel: cancel}), nil
}

// unsent tells apart what an engine has certainly not run.
func unsent(err error) (*serve.Answer, error) {
	var rejected *external.PauseError
	switch {
	case errors.As(err, &rejected):
		return &serve.Answer{Verdict: serve.Full, Signals: signals.Answer{Pause: rejected.Pause}, Body: http.NoBody}, nil
	case errors.Is(err, external.ErrNotLoaded):
		return &serve.Answer{Verdict: serve.NotHeld, Body: http.NoBody}, nil
	case errors.Is(err, external.ErrRefused):
		return nil, errors.Mark(errors.Mark(err, serve.ErrNotSent), serve.ErrUnreachable)
	case errors.Is(err, external.ErrRejected):
		return nil, errors.Mark(err, serve.ErrNotSent)
	default:
		return nil, err
	}
}

// cancel tells an engine that nobody waits for the rest of a stream.
func (b backend) cancel(ctx context.Context, addr, requestID string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if err := b.runner.cfg.Engine.Cancel(ctx, addr, requestID); err != nil {
		b.runner.cfg.Logger.Info("engine was not told to stop", "id", requestID, "endpoint", addr, "error", err.Error())
	}
}

func (b backend) callService(ctx context.Context, x *run, s serve.Send) (*serve.Answer, error) {
	got, err := b.runner.cfg.Engine.Call(ctx, s.Endpoint.Addr, external.ServiceCall{
		RequestID: x.call.RequestID,
		Service:   x.call.Model.Name,
		Body:      x.call.Body,
	})
	if err != nil {
		return unsent(err)
	}
	return answer(io.NopCloser(bytes.NewReader(got.Body))), nil
}

// Run implements serve.Backend. The engines of this path do not tell of single calls.
func (b backend) Run(context.Context, *serve.Request, fleet.Endpoint) (serve.Run, error) {
	return serve.Run{Held: true}, nil
}
