package openai

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/api/callers"
	"github.com/tealvane/tealvane/pkg/completion"
	"github.com/tealvane/tealvane/pkg/record"
)

// CreateDeferred implements callers.Handler. The request is accepted once its
// record is in the log; any host may then run it.
func (h Handler) CreateDeferred(ctx context.Context, req *callers.CompletionRequest) (*callers.Deferred, error) {
	entry, m, refusal := findModel(ctx, req.Model, false)
	if refusal != nil {
		return nil, refusal
	}
	if !m.Deferrable {
		return nil, completion.Invalid("the contract does not allow %q to be deferred", m.Name)
	}
	body, err := json.Marshal(completion.DeferredBody{Prompt: req.Prompt, MaxTokens: req.MaxTokens.Or(0), Temperature: req.Temperature.Or(0)})
	if err != nil {
		return nil, completion.Invalid("%v", err)
	}
	if len(body) > completion.MaxDeferredBytes {
		return nil, completion.Invalid("a deferred request may have %d bytes", completion.MaxDeferredBytes)
	}
	id := completion.NewRequestID()
	err = h.Host.Defer(ctx, record.DeferredRequest{
		ID:       id,
		Customer: entry.Contract.Customer,
		Model:    m.Name,
		Body:     body,
	})
	if err != nil {
		// The request may have been recorded and may run, but its ID is lost.
		refusal := completion.OutcomeUnknown("the request could not be recorded: %v", err)
		refusal.RetryAfter = completion.LogRetryAfter
		return nil, refusal
	}
	return &callers.Deferred{ID: id, Status: callers.DeferredStatusAccepted}, nil
}

// GetDeferred implements callers.Handler.
func (h Handler) GetDeferred(ctx context.Context, params callers.GetDeferredParams) (*callers.Deferred, error) {
	r, ok := h.Host.Deferred(params.ID)
	if !ok || r.Customer != callerContract(ctx).Contract.Customer {
		return nil, notFound("no deferred request %q", params.ID)
	}
	out := &callers.Deferred{ID: r.ID, Status: callers.DeferredStatusAccepted}
	if r.Answer == nil {
		return out, nil
	}
	var stored completion.DeferredResult
	if err := json.Unmarshal(r.Answer.Body, &stored); err != nil {
		return nil, errors.Wrap(err, "decode the recorded response")
	}
	if r.Answer.Status != http.StatusOK {
		out.Status = callers.DeferredStatusFailed
		out.Error.SetTo(callers.ErrorDetail{Code: callers.ErrorDetailCodeOutcomeUnknown, Message: stored.Error})
		return out, nil
	}
	out.Status = callers.DeferredStatusDone
	out.Answer.SetTo(newCompletion(r.ID, r.Model, h.Host.Now(), stored.Text, stored.Tokens, stored.Reason))
	return out, nil
}
