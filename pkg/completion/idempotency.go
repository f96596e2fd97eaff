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
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/idempotency"
	"github.com/tealvane/tealvane/pkg/record"
)

// LogRetryAfter is the Retry-After of requests that fail because the log is
// unreachable. Another host takes over from a partitioned one within this time.
const LogRetryAfter = 5 * time.Second

// KeyFor validates the idempotency key of a request for m. It returns nil for
// idempotent models, whose keys are ignored.
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

// Digest returns a hash of the parts of a request. It distinguishes a retry of a
// request from another request with the same idempotency key.
func Digest(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// claim claims the call's idempotency key. If it returns neither an outcome nor a
// refusal, the call may be sent once.
func (st *callState) claim(ctx context.Context) (*record.KeyOutcome, *Refusal) {
	if st.call.Key == nil || st.claimed {
		return nil, nil
	}
	ctx, cancel := context.WithDeadline(ctx, st.call.Deadline)
	defer cancel()
	ctx, span := st.runner.cfg.Tracer.Start(ctx, "claim")
	defer span.End()
	keys := st.runner.cfg.Keys
	key := *st.call.Key
	outcome, err := keys.Claim(ctx, key, st.call.Digest)
	for errors.Is(err, idempotency.ErrClaimed) && keys.Await(ctx, key) {
		outcome, err = keys.Claim(ctx, key, st.call.Digest)
	}
	if err != nil {
		return nil, claimRefusal(err)
	}
	st.claimed = outcome == nil
	return outcome, nil
}

func claimRefusal(err error) *Refusal {
	switch {
	case errors.Is(err, idempotency.ErrClaimed):
		refusal := OutcomeUnknown("another attempt with this key may be running or have run")
		refusal.Status = http.StatusConflict
		refusal.RetryAfter = MinRetryAfter
		return refusal
	case errors.Is(err, idempotency.ErrMismatch):
		return &Refusal{Status: http.StatusUnprocessableEntity, Code: callers.ErrorDetailCodeInvalid, Message: err.Error()}
	case errors.Is(err, idempotency.ErrExpired):
		return OutcomeUnknown("%v", err)
	default:
		return NotRun("log_unavailable", LogRetryAfter, "%v", err)
	}
}

// recordedResponse is the stored form of a completion.
type recordedResponse struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	Reason string `json:"reason"`
}

// appendText adds a token to the text that is recorded for retries.
func (st *callState) appendText(t external.Token) {
	if st.claimed && len(st.recordedText) <= idempotency.MaxOutcomeBytes {
		st.recordedText = append(st.recordedText, t.Text...)
	}
}

// finishCompletion records a complete response; last is its final token.
func (st *callState) finishCompletion(last external.Token) {
	if !st.claimed {
		return
	}
	body, err := json.Marshal(recordedResponse{Text: string(st.recordedText), Tokens: last.Index, Reason: last.Reason})
	if err != nil {
		st.finishUnknown()
		return
	}
	st.finishKey(record.KeyOutcome{Status: http.StatusOK, Body: body})
}

// finishUnknown records that the call may have run and has no complete response.
func (st *callState) finishUnknown() { st.finishKey(record.KeyOutcome{Status: http.StatusBadGateway}) }

// finishKey records the outcome of the call if it holds its idempotency key.
func (st *callState) finishKey(o record.KeyOutcome) {
	if !st.claimed {
		return
	}
	st.claimed = false
	o.Key = *st.call.Key
	st.runner.cfg.Keys.Finish(o)
}

// releaseKey releases the idempotency key of a call that certainly did not run.
func (st *callState) releaseKey() {
	if !st.claimed {
		return
	}
	st.claimed = false
	st.runner.cfg.Keys.Release(*st.call.Key)
}

// replay returns the recorded response of a call that has already run.
func (st *callState) replay(o record.KeyOutcome) (io.ReadCloser, *Refusal) {
	st.replayed = true
	if !st.call.Model.Loadable() {
		var body json.RawMessage
		if refusal := decodeOutcome(o, &body); refusal != nil {
			return nil, refusal
		}
		return io.NopCloser(bytes.NewReader(body)), nil
	}
	var recorded recordedResponse
	if refusal := decodeOutcome(o, &recorded); refusal != nil {
		return nil, refusal
	}
	st.replayedTokens = recorded.Tokens
	text, err := encodeToken(external.Token{RequestID: st.call.RequestID, Text: recorded.Text})
	if err != nil {
		return nil, OutcomeUnknown("the recorded answer is unreadable: %v", err)
	}
	last, err := encodeToken(external.Token{RequestID: st.call.RequestID, Index: 1, Done: true, Reason: recorded.Reason})
	if err != nil {
		return nil, OutcomeUnknown("the recorded answer is unreadable: %v", err)
	}
	return io.NopCloser(bytes.NewReader(append(text, last...))), nil
}

// decodeOutcome decodes a recorded response into out.
func decodeOutcome(o record.KeyOutcome, out any) *Refusal {
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
