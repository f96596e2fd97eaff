package orders

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// order sends an order until the endpoint has accepted it. An order without an
// answer is sent again with the same expected sequence: at most one of the two
// can be accepted.
func (g *Controller) order(ctx context.Context, t *track, token int64, o Order) bool {
	t.orderMu.Lock()
	defer t.orderMu.Unlock()
	o.Holder = g.Election.self.Host
	o.Token = token
	deadline := g.Now().Add(conflictLimit)
	conflicts := 0
	for g.Now().Before(deadline) && ctx.Err() == nil {
		if g.Election.Token(g.Now()) != token || !g.MayOrder() {
			return false
		}
		t.mu.Lock()
		o.Expected = t.sequence
		e := t.endpoint
		t.ordered = g.Now()
		t.mu.Unlock()
		result, err := g.send(ctx, e, o)
		g.Log.Info("order", "endpoint", e.ID, "load", o.Load, "model", o.Model, "adapter", o.Adapter, "expected", o.Expected, "token", token, "result", outcome(result, err))
		switch {
		case err != nil:
			if !g.accepted(ctx, t, e, o) {
				continue
			}
			return true
		case result == Accepted || result == Done:
			t.mu.Lock()
			if result == Accepted || o.Adapter != "" {
				t.sequence++
			}
			t.mu.Unlock()
			return true
		case result == Fenced:
			g.Log.Warn("claim lost: an endpoint has seen a newer token", "endpoint", e.ID, "token", token)
			g.Election.Lost(token)
			return false
		case result == Gone || result == Invalid:
			return false
		}
		conflicts++
		if !g.conflict(ctx, t, e, o, conflicts) {
			return false
		}
	}
	return false
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

// accepted settles an order without an answer by the endpoint's report.
func (g *Controller) accepted(ctx context.Context, t *track, e fleet.Endpoint, o Order) bool {
	if !pause(ctx, reportLag) {
		return false
	}
	r, err := g.report(ctx, e)
	if err != nil || r.Sequence <= o.Expected {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence = max(t.sequence, r.Sequence)
	return true
}

// conflict waits for another order to end. It tells whether the order may be
// sent again: not if the endpoint has accepted orders that are not known here,
// for what was believed of its memory when the order was decided no longer holds.
func (g *Controller) conflict(ctx context.Context, t *track, e fleet.Endpoint, o Order, n int) bool {
	const askEvery = 8
	if n%askEvery != 0 {
		return pause(ctx, conflictPause)
	}
	r, err := g.report(ctx, e)
	if err == nil && r.Sequence != o.Expected && n > askEvery {
		// The report lags, so that the first one may still tell an older number.
		return false
	}
	return pause(ctx, conflictPause)
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
