package entryhost

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/api/callers"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/dispatch"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

// keyFor checks the idempotency key of a request for m. Requests that may be
// repeated need none, and theirs is ignored.
func keyFor(customer string, m contract.Model, value string) (*record.Key, *Refusal) {
	if !m.NonIdempotent {
		return nil, nil
	}
	key := record.Key{Customer: customer, Value: value}
	if _, ok := key.Time(); !ok {
		return nil, invalid("%s runs at most once: a version 7 UUID is expected in Idempotency-Key", m.Name)
	}
	return &key, nil
}

// digest tells a repeat of a request from another request under the same key.
func digest(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// claim takes an idempotency key. Without a refusal and an outcome the request
// may be sent, once.
func (h *Host) claim(ctx context.Context, key record.Key, digest uint64, deadline time.Time) (*record.KeyOutcome, *Refusal) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	ctx, span := h.tracer.Start(ctx, "claim")
	defer span.End()
	outcome, err := h.ledger.Claim(ctx, key, digest)
	for errors.Is(err, dispatch.ErrTaken) && h.awaitOutcome(ctx, key) {
		outcome, err = h.ledger.Claim(ctx, key, digest)
	}
	switch {
	case err == nil:
		return outcome, nil
	case errors.Is(err, dispatch.ErrTaken):
		refusal := outcomeUnknown("another attempt with this key may be running or have run")
		refusal.Status = http.StatusConflict
		refusal.RetryAfter = minRetryAfter
		return nil, refusal
	case errors.Is(err, dispatch.ErrMismatch):
		return nil, &Refusal{Status: http.StatusUnprocessableEntity, Code: callers.ErrorDetailCodeInvalid, Message: err.Error()}
	case errors.Is(err, dispatch.ErrExpired):
		return nil, outcomeUnknown("%v", err)
	default:
		return nil, notRun("log_unavailable", logRetryAfter, "%v", err)
	}
}

// awaitOutcome waits for the next change of the state while the attempt that
// holds a key can still record its outcome. It returns false when no outcome
// is to be expected.
func (h *Host) awaitOutcome(ctx context.Context, key record.Key) bool {
	changed := h.journal.Changed()
	entry := h.state.Keys.Get(key)
	h.watchMu.Lock()
	live := h.watch.Live(h.now(), entry.Holder)
	h.watchMu.Unlock()
	if entry.State == state.KeyClaimed && !live {
		return false
	}
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// logRetryAfter is when to come back while the log is out of reach.
const logRetryAfter = 5 * time.Second

// keptAnswer is the recorded form of a model's answer.
type keptAnswer struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	Reason string `json:"reason"`
}

// keep collects the text of an answer that is recorded for repeats.
func (a *answer) keep(t external.Token) {
	if a.claimed && len(a.text) <= dispatch.MaxOutcomeBytes {
		a.text = append(a.text, t.Text...)
	}
}

// settle ends the claim of the call's key: with the answer, as unknown when it
// may have run, or by giving the key back when it certainly did not.
func (a *answer) settle(end *external.Token) {
	if !a.claimed {
		return
	}
	a.claimed = false
	key := *a.call.key
	switch {
	case end != nil:
		body, _ := json.Marshal(keptAnswer{string(a.text), a.next - 1, end.Reason})
		a.host.ledger.Finish(record.KeyOutcome{Key: key, Status: http.StatusOK, Body: body})
	case a.sent:
		a.host.ledger.Finish(record.KeyOutcome{Key: key, Status: http.StatusBadGateway})
	default:
		a.host.ledger.Release(key)
	}
}

// replay is a recorded answer as a stream.
type replay struct {
	tokens []external.Token
	// count is the number of tokens of the recorded answer.
	count int
}

func replayStream(requestID string, o record.KeyOutcome) (*replay, *Refusal) {
	var kept keptAnswer
	if refusal := recorded(o, &kept); refusal != nil {
		return nil, refusal
	}
	return &replay{count: kept.Tokens, tokens: []external.Token{
		{RequestID: requestID, Text: kept.Text},
		{RequestID: requestID, Index: 1, Done: true, Reason: kept.Reason},
	}}, nil
}

// recorded decodes the recorded answer of a request that was run before.
func recorded(o record.KeyOutcome, out any) *Refusal {
	switch {
	case o.Status != http.StatusOK:
		return outcomeUnknown("the request was sent and its outcome is unknown")
	case o.Omitted:
		return &Refusal{
			Status:  http.StatusConflict,
			Code:    callers.ErrorDetailCodeConflict,
			Reason:  "answer_not_kept",
			Message: "the request has run; its answer was too large to keep",
		}
	}
	if err := json.Unmarshal(o.Body, out); err != nil {
		return outcomeUnknown("the recorded answer is unreadable: %v", err)
	}
	return nil
}

// Next implements external.TokenStream.
func (r *replay) Next() (external.Token, error) {
	if len(r.tokens) == 0 {
		return external.Token{}, external.ErrBroken
	}
	t := r.tokens[0]
	r.tokens = r.tokens[1:]
	return t, nil
}

// Close implements external.TokenStream.
func (r *replay) Close() error { return nil }
