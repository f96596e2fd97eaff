package orders

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// order sends an order until the endpoint has accepted it. It reports whether that
// succeeded.
func (c *Controller) order(ctx context.Context, t *endpointTracker, token int64, o Order) bool {
	select {
	case t.orderSlot <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-t.orderSlot }()
	if !t.isSynced() {
		return false // Another order has found models that are not known here.
	}
	o.Holder = c.Election.self.Host
	o.Token = token
	s := outgoingOrder{order: o}
	deadline := c.Now().Add(conflictTimeout)
	state := pending
	for state == pending && c.Now().Before(deadline) && ctx.Err() == nil && c.Election.OrderToken(c.Now()) == token && c.OrdersAllowed() {
		state = c.sendOnce(ctx, t, &s)
	}
	if state != accepted {
		t.invalidate()
	}
	return state == accepted
}

// isSynced reports whether the models of the endpoint are known.
func (t *endpointTracker) isSynced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.synced
}

// invalidate causes a new report to be requested. Until then the endpoint gets no further orders, also
// not those of decisions that were made before.
func (t *endpointTracker) invalidate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.synced = false
}

// outgoingOrder is the state of an order that is being sent.
type outgoingOrder struct {
	order     Order
	conflicts conflictTimes
	// unanswered is set once a sent copy of the order may still be executed.
	unanswered bool
}

// sendOnce sends an order once and handles the result. An order without a response may be
// sent again with the same expected sequence, because the endpoint accepts at most one of
// the copies.
func (c *Controller) sendOnce(ctx context.Context, t *endpointTracker, s *outgoingOrder) orderState {
	t.mu.Lock()
	s.order.Expected = t.sequence
	e, replaced := t.endpoint, t.replaced
	t.lastOrder = c.Now()
	t.mu.Unlock()
	if replaced {
		return abandoned
	}
	o := s.order
	if o.Load && !c.hasRoom(t, o) {
		return abandoned
	}
	counted := c.countedUsage(t)
	c.sent.begin()
	if c.Election.OrderToken(c.Now()) != o.Token {
		// A release that began meanwhile has not waited for this attempt.
		c.sent.end(c.Now(), true)
		return abandoned
	}
	sent := c.unansweredLoads.add(c.Now(), e.ID, o, loadUsage(c.engine(e.Service), o))
	result, err := c.send(ctx, e, o)
	settled := err == nil || errors.Is(err, ErrUnreachable) || errors.Is(err, ErrRateLimited)
	c.sent.end(c.Now(), settled)
	if settled {
		c.unansweredLoads.remove(sent)
	}
	c.Log.Info("order attempted", "endpoint", e.ID, "load", o.Load, "model", o.Model, "adapter", o.Adapter, "expected", o.Expected, "token", o.Token, "result", outcome(result, err), counted)
	switch {
	case errors.Is(err, ErrUnreachable):
		t.markUnreachable(c.Now())
		return abandoned
	case errors.Is(err, ErrRateLimited):
		return abandoned
	case err != nil:
		s.unanswered = true
		wait.For(ctx, conflictRetryDelay)
		return pending
	case result == Done && s.unanswered && o.Adapter == "":
		return c.verifyOrder(ctx, t, e, s)
	case result == Done && !s.unanswered && (o.Load || o.Adapter == ""):
		// The endpoint does not hold what is known here: it may have restarted, and executed late orders since.
		return abandoned
	case result == Accepted || result == Done:
		t.advance(result, s)
		return accepted
	case result == Conflict:
		return c.handleConflict(ctx, t, e, s)
	case result == Fenced:
		c.Log.Warn("claim lost: endpoint has seen a newer token", "endpoint", e.ID, "token", o.Token)
		c.Election.Relinquish(o.Token)
	}
	return abandoned
}

// advance updates the sequence after an order that the endpoint has accepted. An adapter that is not in use is unloaded
// at once, so that its order is done when it has been accepted. Whether an earlier copy was accepted of an order for an
// adapter that is done shows in the next report.
func (t *endpointTracker) advance(r Result, s *outgoingOrder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case r == Accepted, s.order.Adapter != "" && !s.order.Load && !s.unanswered:
		t.sequence++
	case s.order.Adapter != "" && s.unanswered:
		t.synced = false
	}
}

func outcome(r Result, err error) string {
	if err != nil {
		return err.Error()
	}
	return r.String()
}

func (c *Controller) send(ctx context.Context, e fleet.Endpoint, o Order) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.Client.Order(ctx, e, o)
}

// verifyOrder checks the endpoint's report after a repeated order found its work done.
func (c *Controller) verifyOrder(ctx context.Context, t *endpointTracker, e fleet.Endpoint, s *outgoingOrder) orderState {
	if !wait.For(ctx, reportLag) {
		return abandoned
	}
	if state := c.checkOrder(ctx, t, e, s); state == accepted {
		return accepted
	}
	return abandoned
}

// checkOrder requests the endpoint's report to decide on an order that conflicted or got no
// response.
func (c *Controller) checkOrder(ctx context.Context, t *endpointTracker, e fleet.Endpoint, s *outgoingOrder) orderState {
	r, err := c.report(ctx, e)
	if err != nil {
		return pending
	}
	c.logReport("order checked against report", e, r, "expected", s.order.Expected, "unanswered", s.unanswered)
	return t.resolveOrder(r, s)
}

// resolveOrder decides from a report whether an order was accepted or is abandoned. It updates
// the sequence if the order was accepted.
//
// A sequence that has advanced by one shows that some order was accepted, which may be a delayed
// one of another host or of this one. The models were known at the expected sequence, so that the
// presence of the order's effect tells which, unless an unload of another host was in progress then.
// A load of another host shows as one that is not known here.
//
// A sequence that is still lower after the first check of a conflict shows that the endpoint has
// restarted.
func (t *endpointTracker) resolveOrder(r fleet.Report, s *outgoingOrder) orderState {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := s.order
	switch {
	case r.Sequence < o.Expected && s.conflicts.checked:
		return abandoned
	case r.Sequence <= o.Expected:
		return pending
	case !s.unanswered || r.Sequence > o.Expected+1:
		return abandoned
	case t.listsUnknownLoad(r, o):
		return abandoned
	case o.inEffect(r):
		t.sequence = r.Sequence
		return accepted
	case !r.Busy || o.Adapter != "":
		// Orders for adapters do not make an endpoint busy: it executes another one.
		return abandoned
	case o.Load:
		// A report does not name the model that is being loaded. The endpoint gets no further
		// order before its next report.
		t.sequence = r.Sequence
		t.synced = false
		return accepted
	}
	return pending
}

// listsUnknownLoad reports whether a report lists a model or an adapter, loaded or in transit, that neither is known
// here nor is the effect of an order. mu must be held.
func (t *endpointTracker) listsUnknownLoad(r fleet.Report, o Order) bool {
	unknown := func(a adapterRef) bool {
		_, departing := t.departing[a]
		return t.adapter(a.model, a.name) == nil && !departing && a != (adapterRef{o.Model, o.Adapter})
	}
	for _, loaded := range r.Loaded {
		if t.models[loaded.Model] == nil && loaded.Model != o.Model {
			return true
		}
		for _, name := range loaded.Adapters {
			if unknown(adapterRef{loaded.Model, name}) {
				return true
			}
		}
	}
	return slices.ContainsFunc(r.Loading, func(loading string) bool {
		model, name := splitAdapter(loading)
		return unknown(adapterRef{model, name})
	})
}

// inEffect reports whether the models in the report are as the order requires.
func (o Order) inEffect(r fleet.Report) bool {
	held := holds(r, o.Model)
	if o.Adapter != "" {
		held = holdsAdapter(r, o.Model, o.Adapter)
	}
	return held == o.Load
}

// orderState is the state of an order after an attempt to send it.
type orderState int

const (
	// pending means that the order may be sent again.
	pending orderState = iota
	// accepted means that the endpoint executes the order or an earlier copy of it.
	accepted
	// abandoned means that the order is given up: the endpoint has accepted orders that are
	// not known here, so the decision may no longer hold, or it is unreachable or has
	// rejected the order.
	abandoned
)
