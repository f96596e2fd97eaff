package orders

import (
	"context"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// requestRefresh requests a report from an endpoint whose state is known, if the report may show that adapters have
// arrived, so that they can be evicted or no longer take slots.
func (c *Controller) requestRefresh(ctx context.Context, now time.Time, t *endpointTracker) {
	t.mu.Lock()
	due := t.synced && t.refreshDue && now.Sub(t.lastReportRequest) >= reportLag
	if due {
		t.refreshDue = false
		t.lastReportRequest = now
	}
	e := t.endpoint
	t.mu.Unlock()
	if !due {
		return
	}
	c.tasks.Go(func() {
		c.withReportSlot(ctx, func() {
			if r, err := c.report(ctx, e); err == nil {
				c.logReport("adapters checked against report", e, r)
				t.refresh(c.Now(), r)
			}
		})
	})
}

// refresh applies what a report shows of adapters in transit. Orders may be in progress: what the report says of an
// adapter counts only from the sequence on at which that adapter was last changed.
func (t *endpointTracker) refresh(now time.Time, r fleet.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, sequence := range t.departing {
		if r.Sequence < sequence || slices.ContainsFunc(r.Loading, a.named) {
			continue
		}
		delete(t.departing, a)
		if m := t.models[a.model]; m != nil && m.adapters[a.name] == nil && holdsAdapter(r, a.model, a.name) {
			// The model was loaded again before the adapter arrived.
			m.adapters[a.name] = &adapter{readyAt: now, usedAt: now, sequence: sequence}
		}
	}
	for _, loaded := range r.Loaded {
		for _, name := range loaded.Adapters {
			if a := t.adapter(loaded.Model, name); a != nil && r.Sequence >= a.sequence {
				a.arrived = true
			}
		}
	}
}

// adapter returns an adapter of a loaded model, or nil. mu must be held.
func (t *endpointTracker) adapter(model, name string) *adapter {
	if r := t.models[model]; r != nil {
		return r.adapters[name]
	}
	return nil
}

// named reports whether a report's name of an adapter in transit is that of the adapter.
func (a adapterRef) named(loading string) bool {
	model, name := splitAdapter(loading)
	return a == adapterRef{model, name}
}
