package completion

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/serve"
)

// errReaderClosed is returned by tokenSink.Write after the reader has closed the response.
var errReaderClosed = errors.New("reader closed the completion before its last token")

// Stream is a completion that is read token by token. It is not safe for
// concurrent use.
type Stream struct {
	Call    Call
	Started time.Time

	state  *callState
	tokens <-chan external.Token
	cancel context.CancelFunc
	// first is the token that Start received; nil once Next has returned it.
	first *external.Token
	// taken is the number of tokens that Next has returned.
	taken int
}

// Start sends a completion and blocks until its first token arrives.
func (r *Runner) Start(ctx context.Context, c Call) (*Stream, *Refusal) {
	ctx, cancel := context.WithCancel(ctx)
	tokens := make(chan external.Token)
	st := &callState{runner: r, call: c}
	s := &Stream{Call: c, Started: r.cfg.Now(), state: st, tokens: tokens, cancel: cancel}
	r.background.Go(func() {
		defer close(tokens)
		r.execute(ctx, st, &tokenSink{ctx: ctx, state: st, started: s.Started, out: tokens})
		st.finishUnknown()
	})
	first, refusal := s.receive()
	if refusal != nil {
		cancel()
		return nil, refusal
	}
	s.first = &first
	return s, nil
}

func (s *Stream) receive() (external.Token, *Refusal) {
	t, ok := <-s.tokens
	switch {
	case ok:
		return t, nil
	case s.state.refusal != nil:
		return t, s.state.refusal
	default:
		return t, brokenStream()
	}
}

// Next returns the next token; Done marks the last one. A refusal means that
// the completion is incomplete.
func (s *Stream) Next() (external.Token, *Refusal) {
	if s.first == nil {
		t, refusal := s.receive()
		if refusal == nil {
			s.taken++
		}
		return t, refusal
	}
	t := *s.first
	s.first = nil
	s.taken++
	return t, nil
}

// Close cancels the rest of the completion. It is a no-op after the last token.
func (s *Stream) Close() { s.cancel() }

// Collect reads the completion to its end and closes it.
func (s *Stream) Collect() (text string, tokens int, reason string, refusal *Refusal) {
	defer s.Close()
	var all []byte
	for {
		token, refusal := s.Next()
		if refusal != nil {
			// The caller has received no part of the response yet, so the
			// broken_stream code does not apply.
			return "", 0, "", OutcomeUnknown("%s", refusal.Message)
		}
		if token.Done {
			return string(all), max(s.state.replayedTokens, s.taken-1), token.Reason, nil
		}
		all = append(all, token.Text...)
	}
}

// tokenSink decodes the tokens of a completion and sends them to out. It implements serve.Sink.
type tokenSink struct {
	ctx     context.Context
	state   *callState
	started time.Time
	decoder tokenDecoder
	out     chan<- external.Token
}

// Begin implements serve.Sink.
func (s *tokenSink) Begin(*serve.Response) {
	r := s.state.runner
	if !s.state.replayed {
		r.cfg.Meter.RecordFirstToken(s.state.call.Model.Name, s.state.coldStart, r.cfg.Now().Sub(s.started))
	}
}

// Write implements serve.Sink.
func (s *tokenSink) Write(p []byte) error {
	tokens, err := s.decoder.decode(p)
	if err != nil {
		return err
	}
	for _, t := range tokens {
		s.state.appendText(t)
		if t.Done {
			s.state.finishCompletion(t)
		}
		select {
		case s.out <- t:
		case <-s.ctx.Done():
			return errReaderClosed
		}
	}
	return nil
}

// Abort implements serve.Sink.
func (s *tokenSink) Abort() { s.state.refusal = brokenStream() }

// Refuse implements serve.Sink.
func (s *tokenSink) Refuse(r serve.Refusal) { s.state.refuse(r) }

// refuse records why a call has no response.
func (st *callState) refuse(r serve.Refusal) {
	st.refusal = convertRefusal(r)
	if r.NotRun {
		st.releaseKey()
	}
}

// CallService calls a plain service and returns its response. A call that is not
// idempotent is sent at most once and continues after its caller disconnects, so
// that a retry finds the recorded response.
func (r *Runner) CallService(ctx context.Context, c Call) (json.RawMessage, *Refusal) {
	if c.Key != nil {
		ctx = context.WithoutCancel(ctx)
	}
	st := &callState{runner: r, call: c}
	sink := &bodySink{state: st}
	done := make(chan struct{})
	r.background.Go(func() {
		defer close(done)
		if r.execute(ctx, st, sink).Complete {
			st.finishKey(record.KeyOutcome{Status: http.StatusOK, Body: sink.body.Bytes()})
		}
		st.finishUnknown()
	})
	<-done
	return sink.body.Bytes(), st.refusal
}

// bodySink buffers the response of a plain service. It implements serve.Sink.
type bodySink struct {
	state *callState
	body  bytes.Buffer
}

// Begin implements serve.Sink.
func (s *bodySink) Begin(*serve.Response) {}

// Write implements serve.Sink.
func (s *bodySink) Write(p []byte) error {
	s.body.Write(p)
	return nil
}

// Abort implements serve.Sink.
func (s *bodySink) Abort() { s.state.refusal = OutcomeUnknown("the endpoint broke its answer off") }

// Refuse implements serve.Sink.
func (s *bodySink) Refuse(r serve.Refusal) { s.state.refuse(r) }
