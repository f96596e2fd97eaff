package completion

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/api/callers"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/dispatch"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/record"
)

// LogRetryAfter is when to come back while the log is out of reach: a host that
// is cut off is taken over within this time.
const LogRetryAfter = 5 * time.Second

// KeyFor checks the idempotency key of a request for m. Requests that may be
// repeated need none, and theirs is ignored.
func KeyFor(customer string, m contract.Model, value string) (*record.Key, *Refusal) {
	if !m.NonIdempotent {
		return nil, nil
	}
	key := record.Key{Customer: customer, Value: value}
	if _, ok := key.Time(); !ok {
		return nil, Invalid("%s runs at most once: a version 7 UUID is expected in Idempotency-Key", m.Name)
	}
	return &key, nil
}

// Digest tells a repeat of a request from another request under the same key.
func Digest(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// claim takes the call's idempotency key. Without a refusal and an outcome the
// call may be sent, once.
func (x *run) claim(ctx context.Context) (*record.KeyOutcome, *Refusal) {
	if x.call.Key == nil || x.claimed {
		return nil, nil
	}
	ctx, cancel := context.WithDeadline(ctx, x.call.Deadline)
	defer cancel()
	ctx, span := x.runner.cfg.Tracer.Start(ctx, "claim")
	defer span.End()
	keys := x.runner.cfg.Keys
	key := *x.call.Key
	outcome, err := keys.Claim(ctx, key, x.call.Digest)
	for errors.Is(err, dispatch.ErrTaken) && keys.Await(ctx, key) {
		outcome, err = keys.Claim(ctx, key, x.call.Digest)
	}
	if err != nil {
		return nil, refusedKey(err)
	}
	x.claimed = outcome == nil
	return outcome, nil
}

func refusedKey(err error) *Refusal {
	switch {
	case errors.Is(err, dispatch.ErrTaken):
		refusal := OutcomeUnknown("another attempt with this key may be running or have run")
		refusal.Status = http.StatusConflict
		refusal.RetryAfter = MinRetryAfter
		return refusal
	case errors.Is(err, dispatch.ErrMismatch):
		return &Refusal{Status: http.StatusUnprocessableEntity, Code: callers.ErrorDetailCodeInvalid, Message: err.Error()}
	case errors.Is(err, dispatch.ErrExpired):
		return OutcomeUnknown("%v", err)
	default:
		return NotRun("log_unavailable", LogRetryAfter, "%v", err)
	}
}

// keptAnswer is the recorded form of a model's answer.
type keptAnswer struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	Reason string `json:"reason"`
}

// keep collects the text of an answer that is recorded for repeats.
func (x *run) keep(t external.Token) {
	if x.claimed && len(x.kept) <= dispatch.MaxOutcomeBytes {
		x.kept = append(x.kept, t.Text...)
	}
}

// settleTokens records a whole completion; end is its last token.
func (x *run) settleTokens(end external.Token) {
	if !x.claimed {
		return
	}
	body, err := json.Marshal(keptAnswer{Text: string(x.kept), Tokens: end.Index, Reason: end.Reason})
	if err != nil {
		x.settleUnknown()
		return
	}
	x.settle(record.KeyOutcome{Status: http.StatusOK, Body: body})
}

// settleUnknown records that the call may have run without a whole answer.
func (x *run) settleUnknown() { x.settle(record.KeyOutcome{Status: http.StatusBadGateway}) }

// settle ends the claim of the call's key.
func (x *run) settle(o record.KeyOutcome) {
	if !x.claimed {
		return
	}
	x.claimed = false
	o.Key = *x.call.Key
	x.runner.cfg.Keys.Finish(o)
}

// giveBack returns the key of a call that certainly did not run.
func (x *run) giveBack() {
	if !x.claimed {
		return
	}
	x.claimed = false
	x.runner.cfg.Keys.Release(*x.call.Key)
}

// replay returns the recorded answer of a call that was run before.
func (x *run) replay(o record.KeyOutcome) (io.ReadCloser, *Refusal) {
	x.recorded = true
	if !x.call.Model.Loadable() {
		var body json.RawMessage
		if refusal := recorded(o, &body); refusal != nil {
			return nil, refusal
		}
		return io.NopCloser(bytes.NewReader(body)), nil
	}
	var kept keptAnswer
	if refusal := recorded(o, &kept); refusal != nil {
		return nil, refusal
	}
	x.tokens = kept.Tokens
	text, err := encodeToken(external.Token{RequestID: x.call.RequestID, Text: kept.Text})
	if err != nil {
		return nil, OutcomeUnknown("the recorded answer is unreadable: %v", err)
	}
	end, err := encodeToken(external.Token{RequestID: x.call.RequestID, Index: 1, Done: true, Reason: kept.Reason})
	if err != nil {
		return nil, OutcomeUnknown("the recorded answer is unreadable: %v", err)
	}
	return io.NopCloser(bytes.NewReader(append(text, end...))), nil
}

// recorded decodes the recorded answer of a request that was run before.
func recorded(o record.KeyOutcome, out any) *Refusal {
	switch {
	case o.Status != http.StatusOK:
		return OutcomeUnknown("the request was sent and its outcome is unknown")
	case o.Omitted:
		return &Refusal{
			Status:  http.StatusConflict,
			Code:    callers.ErrorDetailCodeConflict,
			Reason:  "answer_not_kept",
			Message: "the request has run; its answer was too large to keep",
		}
	}
	if err := json.Unmarshal(o.Body, out); err != nil {
		return OutcomeUnknown("the recorded answer is unreadable: %v", err)
	}
	return nil
}
