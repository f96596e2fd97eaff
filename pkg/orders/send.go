package orders

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// askEvery is after how many refusals an endpoint's report is asked for: by then
// it tells what was so at the first one.
const askEvery = int(reportLag/conflictPause) + 1

// order sends an order until the endpoint has accepted it. An order without an
// answer is sent again at once with the same expected sequence: at most one of
// the two can be accepted.
func (g *Controller) order(ctx context.Context, t *track, token int64, o Order) bool {
	t.orderMu.Lock()
	defer t.orderMu.Unlock()
	o.Holder = g.Election.self.Host
	o.Token = token
	deadline := g.Now().Add(conflictLimit)
	conflicts := 0
	unanswered := false
	for g.Now().Before(deadline) && ctx.Err() == nil {
		if g.Election.Token(g.Now()) != token || !g.MayOrder() {
			break
		}
		t.mu.Lock()
		o.Expected = t.sequence
		e := t.endpoint
		t.ordered = g.Now()
		t.mu.Unlock()
		result, err := g.send(ctx, e, o)
		g.Log.Info("order", "endpoint", e.ID, "load", o.Load, "model", o.Model, "adapter", o.Adapter, "expected", o.Expected, "token", token, "result", outcome(result, err))
		switch {
		case errors.Is(err, ErrUnreachable):
			t.markUnreachable(g.Now())
			return false
		case err != nil:
			unanswered = true
			pause(ctx, conflictPause)
			continue
		case result == Done && unanswered && o.Adapter == "":
			return g.carriedOut(ctx, t, e, o)
		case result == Accepted || result == Done:
			t.advance(result, o)
			return true
		case result == Fenced:
			g.Log.Warn("claim lost: an endpoint has seen a newer token", "endpoint", e.ID, "token", token)
			g.Election.Lost(token)
			return false
		case result == Gone || result == Invalid:
			return false
		}
		conflicts++
		switch g.conflict(ctx, t, e, o, conflicts, unanswered) {
		case accepted:
			return true
		case unknown:
			return false
		}
	}
	if unanswered {
		t.doubtful(o.Expected)
	}
	return false
}

// advance counts an order that the endpoint has accepted.
func (t *track) advance(r Result, o Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r == Accepted || o.Adapter != "" {
		t.sequence++
	}
}

// doubtful notes that an order was given up that may still be carried out: it
// could pass for a later one with the same expected sequence.
func (t *track) doubtful(expected int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.doubt = expected
}

func outcome(r Result, err error) string {
	if err != nil {
		return err.Error()
	}
	return r.String()
}

func (g *Controller) send(ctx context.Context, e fleet.Endpoint, o Order) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return g.Orderer.Order(ctx, e, o)
}

// carriedOut takes in the sequence after an order that a repeat found done.
func (g *Controller) carriedOut(ctx context.Context, t *track, e fleet.Endpoint, o Order) bool {
	if !pause(ctx, reportLag) {
		return false
	}
	r, err := g.report(ctx, e)
	return err == nil && t.caughtUp(r, o)
}

// caughtUp takes in a report after an order without an answer, and tells whether
// it shows that just this order was accepted.
func (t *track) caughtUp(r fleet.Report, o Order) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Sequence != o.Expected+1 || t.doubt == o.Expected {
		return false
	}
	t.sequence = r.Sequence
	return true
}

// settlement is what a refused order has come to.
type settlement int

const (
	// pending orders may be sent again.
	pending settlement = iota
	// accepted means that an earlier copy of the order was accepted.
	accepted
	// unknown means that the endpoint has accepted orders that are not known here:
	// what was believed of its memory when the order was decided no longer holds.
	unknown
)

// conflict waits for another order to end, and asks the endpoint now and then
// whether the order may be sent again.
func (g *Controller) conflict(ctx context.Context, t *track, e fleet.Endpoint, o Order, n int, unanswered bool) settlement {
	if n%askEvery == 0 {
		r, err := g.report(ctx, e)
		switch {
		case err != nil || r.Sequence == o.Expected:
		case unanswered && t.caughtUp(r, o):
			return accepted
		case n > askEvery || r.Sequence > o.Expected:
			return unknown
		}
	}
	if !pause(ctx, conflictPause) {
		return unknown
	}
	return pending
}

// pause waits and tells whether the context is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
