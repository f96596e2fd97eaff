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

// errReaderGone means that nobody reads the answer any more.
var errReaderGone = errors.New("the reader of the answer has gone")

// Answer is the answer to a completion as it comes.
type Answer struct {
	Call    Call
	Started time.Time

	run    *run
	tokens <-chan external.Token
	cancel context.CancelFunc
	// first is the token that came with the start, until it is taken.
	first *external.Token
	// next is the number of tokens taken.
	next int
}

// Start begins an answer; it returns when its first token has come.
func (r *Runner) Start(ctx context.Context, c Call) (*Answer, *Refusal) {
	ctx, cancel := context.WithCancel(ctx)
	tokens := make(chan external.Token)
	x := &run{runner: r, call: c}
	a := &Answer{Call: c, Started: r.cfg.Now(), run: x, tokens: tokens, cancel: cancel}
	r.background.Go(func() {
		defer close(tokens)
		r.carry(ctx, x, &tokenSink{ctx: ctx, run: x, started: a.Started, out: tokens})
		x.settleUnknown()
	})
	first, refusal := a.receive()
	if refusal != nil {
		cancel()
		return nil, refusal
	}
	a.first = &first
	return a, nil
}

func (a *Answer) receive() (external.Token, *Refusal) {
	t, ok := <-a.tokens
	switch {
	case ok:
		return t, nil
	case a.run.end != nil:
		return t, a.run.end
	default:
		return t, brokenStream()
	}
}

// Next returns the next token; the last one is marked. After a refusal nothing
// may be shown as the end of the answer.
func (a *Answer) Next() (external.Token, *Refusal) {
	if a.first == nil {
		t, refusal := a.receive()
		if refusal == nil {
			a.next++
		}
		return t, refusal
	}
	t := *a.first
	a.first = nil
	a.next++
	return t, nil
}

// Close gives up the rest of the answer. It does nothing after the end.
func (a *Answer) Close() { a.cancel() }

// Collect reads the whole answer.
func (a *Answer) Collect() (text string, tokens int, reason string, refusal *Refusal) {
	defer a.Close()
	var all []byte
	for {
		token, refusal := a.Next()
		if refusal != nil {
			// Nothing was passed on, so there is no broken stream to speak of.
			return "", 0, "", OutcomeUnknown("%s", refusal.Message)
		}
		if token.Done {
			return string(all), max(a.run.tokens, a.next-1), token.Reason, nil
		}
		all = append(all, token.Text...)
	}
}

// tokenSink hands the tokens of a completion to its reader. It implements serve.Sink.
type tokenSink struct {
	ctx     context.Context
	run     *run
	started time.Time
	in      tokenReader
	out     chan<- external.Token
}

// Begin implements serve.Sink.
func (s *tokenSink) Begin(*serve.Answer) {
	r := s.run.runner
	if !s.run.recorded {
		r.cfg.Meter.Answered(s.run.call.Model.Name, s.run.cold, r.cfg.Now().Sub(s.started))
	}
}

// Write implements serve.Sink.
func (s *tokenSink) Write(p []byte) error {
	tokens, err := s.in.take(p)
	if err != nil {
		return err
	}
	for _, t := range tokens {
		s.run.keep(t)
		if t.Done {
			s.run.settleTokens(t)
		}
		select {
		case s.out <- t:
		case <-s.ctx.Done():
			return errReaderGone
		}
	}
	return nil
}

// Abort implements serve.Sink.
func (s *tokenSink) Abort() { s.run.end = brokenStream() }

// Refuse implements serve.Sink.
func (s *tokenSink) Refuse(r serve.Refusal) { s.run.refused(r) }

// refused ends a call without an answer.
func (x *run) refused(r serve.Refusal) {
	x.end = refusalOf(r)
	if r.NotRun {
		x.giveBack()
	}
}

// CallService calls a plain service and returns its answer. A call that is not
// idempotent is sent at most once, and goes on when its caller has gone, so
// that a repeat finds the answer.
func (r *Runner) CallService(ctx context.Context, c Call) (json.RawMessage, *Refusal) {
	if c.Key != nil {
		ctx = context.WithoutCancel(ctx)
	}
	x := &run{runner: r, call: c}
	sink := &bodySink{run: x}
	done := make(chan struct{})
	r.background.Go(func() {
		defer close(done)
		if r.carry(ctx, x, sink).Complete {
			x.settle(record.KeyOutcome{Status: http.StatusOK, Body: sink.body.Bytes()})
		}
		x.settleUnknown()
	})
	<-done
	return sink.body.Bytes(), x.end
}

// bodySink keeps the answer of a plain service. It implements serve.Sink.
type bodySink struct {
	run  *run
	body bytes.Buffer
}

// Begin implements serve.Sink.
func (s *bodySink) Begin(*serve.Answer) {}

// Write implements serve.Sink.
func (s *bodySink) Write(p []byte) error {
	s.body.Write(p)
	return nil
}

// Abort implements serve.Sink.
func (s *bodySink) Abort() { s.run.end = OutcomeUnknown("the endpoint broke its answer off") }

// Refuse implements serve.Sink.
func (s *bodySink) Refuse(r serve.Refusal) { s.run.refused(r) }
