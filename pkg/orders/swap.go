package orders

import (
	"context"
	"slices"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/residency"
)

// carryOut unloads what leaves and loads the new model; load is set if it comes from the
// weight store.
func (g *Controller) carryOut(ctx context.Context, t *track, token int64, engine *fleet.Engine, s residency.Swap, load *storeLoad) {
	start := g.Now()
	ok := true
	for _, v := range s.Evict {
		if ok = ok && g.order(ctx, t, token, Order{Model: v}) && wait.For(ctx, unloadTime); !ok {
			break
		}
		t.mu.Lock()
		delete(t.models, v)
		t.mu.Unlock()
	}
	m := engine.Models[s.Load]
	ok = ok && g.fits(t, engine, m) && g.order(ctx, t, token, Order{Load: true, Model: s.Load})
	now := g.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.working = false
	t.coming = ""
	t.changed = true
	if !ok {
		g.store.abandon(load)
		t.known = false
		t.pause = now.Add(failurePause)
		for _, r := range t.models {
			r.leaving = false
		}
		return
	}
	readyAt := now.Add(residency.LoadTime(m, s.From) + loadMargin)
	r := &resident{readyAt: readyAt, since: readyAt, unsure: s.From == residency.InStore, adapters: map[string]*adapter{}}
	t.models[s.Load] = r
	t.busyUntil = readyAt
	t.copies[s.Load] = residency.InMemory
	g.Log.Info("model is loading", "endpoint", t.endpoint.ID, "model", s.Load, "evicted", s.Evict, "from", s.From.String(), "ordered_in_ms", now.Sub(start).Milliseconds(), "token", token)
	g.work.Go(func() {
		if g.confirm(ctx, t, s.Load, r) {
			g.store.done(g.Now().Add(-reportLag), load)
		} else {
			g.store.abandon(load)
		}
	})
}

// confirm asks the endpoint whether a load has ended, and tells whether it has. Loads from the weight
// store take longer while others run, and a copy that was believed to be near
// may be gone; requests sent too early would be rejected.
func (g *Controller) confirm(ctx context.Context, t *track, model string, r *resident) bool {
	for {
		t.mu.Lock()
		due := r.readyAt.Sub(g.Now())
		if !r.unsure {
			due += reportLag
		}
		t.mu.Unlock()
		if !wait.For(ctx, max(due, confirmPause)) {
			return false
		}
		t.mu.Lock()
		current := t.models[model] == r && !r.leaving
		e := t.endpoint
		t.mu.Unlock()
		if !current || g.Election.Held() == 0 {
			return false
		}
		report, err := g.report(ctx, e)
		if err != nil {
			// The survey asks the endpoint anew; a model left unsure would hold its
			// memory and serve nobody.
			g.Log.Info("load is not confirmed", "endpoint", e.ID, "model", model, "error", err.Error())
			t.mu.Lock()
			t.known = false
			t.mu.Unlock()
			return false
		}
		if t.confirmed(g.Now(), model, r, report) {
			return holds(report, model)
		}
	}
}

func holds(r fleet.Report, model string) bool {
	return slices.ContainsFunc(r.Holds, func(h fleet.Held) bool { return h.Model == model })
}

func (g *Controller) report(ctx context.Context, e fleet.Endpoint) (fleet.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return g.Orderer.Report(ctx, e)
}

// confirmed takes in a report on a load and tells whether the load has ended.
func (t *track) confirmed(now time.Time, model string, r *resident, report fleet.Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed = true
	if holds(report, model) {
		if r.unsure {
			r.unsure = false
			r.readyAt = now
			r.since = now
			t.busyUntil = now
		}
		return true
	}
	if !report.Busy && now.Sub(r.readyAt) > 2*reportLag {
		// The load has failed or was undone; the endpoint is asked anew.
		t.known = false
		return true
	}
	r.unsure = true
	t.busyUntil = now.Add(confirmPause)
	return false
}

// fits checks a load once more where it is ordered: an endpoint that is told to
// hold more than its memory crashes with all its requests.
func (g *Controller) fits(t *track, engine *fleet.Engine, m fleet.Model) bool {
	room := engine.WeightsMB - g.strayRoom(g.Now(), t)
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := m.WeightsMB
	for name, r := range t.models {
		held := engine.Models[name]
		sum += held.WeightsMB + float64(len(r.adapters))*held.AdapterMB
	}
	return sum <= room
}
