package orders

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// askEvery is after how many refusals an endpoint's report is asked for: by then
// it tells what was so at the first one.
const askEvery = int(reportLag/conflictPause) + 1

// order sends an order until the endpoint has accepted it.
func (g *Controller) order(ctx context.Context, t *track, token int64, o Order) bool {
	t.orderMu.Lock()
	defer t.orderMu.Unlock()
	o.Holder = g.Election.self.Host
	o.Token = token
	s := sending{order: o}
	deadline := g.Now().Add(conflictLimit)
	state := pending
	for state == pending && g.Now().Before(deadline) && ctx.Err() == nil && g.Election.Token(g.Now()) == token && g.MayOrder() {
		state = g.sendOnce(ctx, t, &s)
	}
	if state != accepted && s.unanswered {
		t.doubtful(s.order.Expected)
	}
	return state == accepted
}

// sending is an order on its way.
type sending struct {
	order Order
	// conflicts counts the refusals so far; unanswered is set once a copy of the
	// order may still be carried out.
	conflicts  int
	unanswered bool
}

// sendOnce sends a copy of an order and takes in what comes of it. An order
// without an answer may be sent again at once with the same expected sequence: at
// most one of the copies can be accepted.
func (g *Controller) sendOnce(ctx context.Context, t *track, s *sending) settlement {
	t.mu.Lock()
	s.order.Expected = t.sequence
	e := t.endpoint
	t.ordered = g.Now()
	t.mu.Unlock()
	o := s.order
	result, err := g.send(ctx, e, o)
	g.Log.Info("order", "endpoint", e.ID, "load", o.Load, "model", o.Model, "adapter", o.Adapter, "expected", o.Expected, "token", o.Token, "result", outcome(result, err))
	switch {
	case errors.Is(err, ErrUnreachable):
		t.markUnreachable(g.Now())
		return unknown
	case errors.Is(err, ErrLimited):
		return unknown
	case err != nil:
		s.unanswered = true
		g.strays.note(g.Now(), e.ID, o, g.weightsMB(e.Service, o.Model))
		wait.For(ctx, conflictPause)
		return pending
	case result == Done && s.unanswered && o.Adapter == "":
		return g.carriedOut(ctx, t, e, o)
	case result == Accepted || result == Done:
		t.advance(result, o)
		return accepted
	case result == Conflict:
		s.conflicts++
		return g.conflict(ctx, t, e, s)
	case result == Fenced:
		g.Log.Warn("claim lost: an endpoint has seen a newer token", "endpoint", e.ID, "token", o.Token)
		g.Election.Lost(o.Token)
	}
	return unknown
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
func (g *Controller) carriedOut(ctx context.Context, t *track, e fleet.Endpoint, o Order) settlement {
	if !wait.For(ctx, reportLag) {
		return unknown
	}
	r, err := g.report(ctx, e)
	if err != nil || !t.caughtUp(r, o) {
		return unknown
	}
	return accepted
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

// settlement is what a copy of an order has come to.
type settlement int

const (
	// pending orders may be sent again.
	pending settlement = iota
	// accepted orders are being carried out, or an earlier copy of them is.
	accepted
	// unknown ends the order: the endpoint has accepted orders that are not known
	// here, so that what was believed of its memory when the order was decided no
	// longer holds; or it is not reachable, or has refused the order for good.
	unknown
)

// conflict waits for another order to end, and asks the endpoint now and then
// whether the order may be sent again.
func (g *Controller) conflict(ctx context.Context, t *track, e fleet.Endpoint, s *sending) settlement {
	if s.conflicts%askEvery == 0 {
		r, err := g.report(ctx, e)
		switch {
		case err != nil || r.Sequence == s.order.Expected:
		case s.unanswered && t.caughtUp(r, s.order):
			return accepted
		case s.conflicts > askEvery || r.Sequence > s.order.Expected:
			return unknown
		}
	}
	if !wait.For(ctx, conflictPause) {
		return unknown
	}
	return pending
}
