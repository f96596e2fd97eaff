package orders

import (
	"context"
	"slices"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/residency"
)

// executeSwap unloads the evicted models and loads the new one. load is nil unless it comes
// from the weight store.
func (c *Controller) executeSwap(ctx context.Context, t *endpointTracker, token int64, engine *fleet.Engine, s residency.Swap, load *storeLoad) {
	start := c.Now()
	ok := true
	for _, v := range s.Evict {
		if ok = ok && c.order(ctx, t, token, Order{Model: v}) && wait.For(ctx, unloadTime); !ok {
			break
		}
		t.removeModel(v)
	}
	m := engine.Models[s.Load]
	ok = ok && c.order(ctx, t, token, Order{Load: true, Model: s.Load})
	now := c.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy = false
	t.incoming = ""
	t.changed = true
	if !ok {
		c.storeLimit.abandon(load)
		t.synced = false
		t.retryAt = now.Add(failureBackoff)
		for _, r := range t.models {
			r.unloading = false
		}
		return
	}
	readyAt := now.Add(residency.LoadTime(m, s.From) + loadMargin)
	r := &resident{readyAt: readyAt, since: readyAt, unconfirmed: s.From == residency.InStore, adapters: map[string]*adapter{}}
	t.models[s.Load] = r
	t.sizes[s.Load] = m
	t.busyUntil = readyAt
	t.copies[s.Load] = residency.InMemory
	c.Log.Info("model load started", "endpoint", t.endpoint.ID, "model", s.Load, "evicted", s.Evict, "from", s.From.String(), "ordered_in_ms", now.Sub(start).Milliseconds(), "token", token)
	c.tasks.Go(func() {
		if c.awaitLoad(ctx, t, s.Load, r) {
			c.storeLimit.finish(c.Now().Add(-reportLag), load)
		} else {
			c.storeLimit.abandon(load)
		}
	})
}

// awaitLoad polls the endpoint until a load has ended and reports whether it succeeded.
// Loads may take longer than expected, and requests that are sent too early are rejected.
func (c *Controller) awaitLoad(ctx context.Context, t *endpointTracker, model string, r *resident) bool {
	for {
		t.mu.Lock()
		due := r.readyAt.Sub(c.Now())
		if !r.unconfirmed {
			due += reportLag
		}
		t.mu.Unlock()
		if !wait.For(ctx, max(due, loadPollInterval)) {
			return false
		}
		t.mu.Lock()
		current := t.models[model] == r && !r.unloading
		e := t.endpoint
		t.mu.Unlock()
		if !current || c.Election.HeldToken() == 0 {
			return false
		}
		report, err := c.report(ctx, e)
		if err != nil {
			// requestReports queries the endpoint again. A model that stays unconfirmed
			// would hold memory without serving requests.
			c.Log.Info("model load not confirmed; requesting a new report", "endpoint", e.ID, "model", model, "error", err.Error())
			t.mu.Lock()
			t.synced = false
			t.mu.Unlock()
			return false
		}
		t.refresh(c.Now(), report)
		if t.applyLoadReport(c.Now(), model, r, report) {
			return holds(report, model)
		}
	}
}

func holds(r fleet.Report, model string) bool {
	return slices.ContainsFunc(r.Loaded, func(h fleet.LoadedModel) bool { return h.Model == model })
}

// holdsAdapter reports whether an adapter is loaded or being loaded.
func holdsAdapter(r fleet.Report, model, name string) bool {
	return slices.ContainsFunc(r.Loaded, func(h fleet.LoadedModel) bool { return h.Model == model && slices.Contains(h.Adapters, name) }) ||
		slices.ContainsFunc(r.Loading, func(loading string) bool {
			m, a := splitAdapter(loading)
			return m == model && a == name
		})
}

func (c *Controller) report(ctx context.Context, e fleet.Endpoint) (fleet.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return c.Client.Report(ctx, e)
}

// applyLoadReport updates a loading model from a report and reports whether the load has
// ended.
func (t *endpointTracker) applyLoadReport(now time.Time, model string, r *resident, report fleet.Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed = true
	if holds(report, model) {
		if r.unconfirmed {
			r.unconfirmed = false
			r.readyAt = now
			r.since = now
			t.busyUntil = now
		}
		return true
	}
	if !report.Busy && now.Sub(r.readyAt) > 2*reportLag {
		// The load has failed or was undone.
		t.synced = false
		return true
	}
	r.unconfirmed = true
	t.busyUntil = now.Add(loadPollInterval)
	return false
}

// engine returns the engine of a service, or nil if it has none or there is no configuration.
func (c *Controller) engine(service string) *fleet.Engine {
	cfg := c.Config()
	if cfg == nil {
		return nil
	}
	return cfg.Services[service].Engine
}
