package orders

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// adapters starts the loads of adapters for which requests wait.
func (g *Controller) adapters(ctx context.Context, now time.Time, token int64, service fleet.Service, tracks []*track, totals map[need]*total) {
	type want struct {
		need
		*total
	}
	var wants []want
	for key, x := range totals {
		if key.service == service.Name && key.adapter != "" {
			wants = append(wants, want{key, x})
		}
	}
	slices.SortFunc(wants, func(a, b want) int {
		return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter))
	})
	for _, t := range tracks {
		t.touch(now, totals, service.Name)
	}
	for _, w := range wants {
		if w.waiting > 0 {
			g.placeAdapter(ctx, now, token, service.Engine, tracks, w.model, w.adapter)
		}
	}
}

// touch notes which adapters are in use.
func (t *track) touch(now time.Time, totals map[need]*total, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.models {
		for a, x := range r.adapters {
			if u := totals[need{service, name, a}]; u != nil && u.lastUsed.After(x.used) {
				x.used = u.lastUsed
			}
		}
	}
}

// adapterKeep is how long an adapter without requests stays before it may yield.
const adapterKeep = 300 * time.Millisecond

// placeAdapter loads an adapter beside its model, where fewest are held, unless
// an endpoint holds it or is loading it.
func (g *Controller) placeAdapter(ctx context.Context, now time.Time, token int64, engine *fleet.Engine, tracks []*track, model, name string) {
	var best *track
	bestHeld := 0
	for _, t := range tracks {
		held, state := t.adapterRoom(now, engine, model, name)
		if state == adapterThere {
			return
		}
		if state == adapterFits && (best == nil || held < bestHeld) {
			best, bestHeld = t, held
		}
	}
	if best == nil {
		return
	}
	victim := best.reserveAdapter(now, engine, model, name)
	g.work.Go(func() { g.loadAdapter(ctx, best, token, model, name, victim) })
}

type adapterState int

const (
	adapterNoRoom adapterState = iota
	adapterFits
	adapterThere
)

// adapterRoom tells whether an endpoint holds an adapter or could.
func (t *track) adapterRoom(now time.Time, engine *fleet.Engine, model, name string) (int, adapterState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.models[model]
	if r == nil {
		return 0, adapterNoRoom
	}
	if a := r.adapters[name]; a != nil && !a.leaving {
		return 0, adapterThere
	}
	// An endpoint that carries out another order would refuse this one until that
	// has ended.
	if r.leaving || r.unsure || now.Before(r.readyAt) || !t.known || t.working || now.Before(t.busyUntil) {
		return 0, adapterNoRoom
	}
	held, sum := t.adapterUse(engine)
	if held < engine.AdapterSlots && sum+engine.Models[model].AdapterMB <= engine.WeightsMB {
		return held, adapterFits
	}
	if _, _, ok := t.idleAdapter(now); ok && held <= engine.AdapterSlots {
		return held, adapterFits
	}
	return held, adapterNoRoom
}

// adapterUse returns the number of adapters and the memory in use.
func (t *track) adapterUse(engine *fleet.Engine) (int, float64) {
	held, sum := 0, 0.0
	for name, r := range t.models {
		m := engine.Models[name]
		held += len(r.adapters)
		sum += m.WeightsMB + float64(len(r.adapters))*m.AdapterMB
	}
	return held, sum
}

// idleAdapter returns the adapter that was used longest ago.
func (t *track) idleAdapter(now time.Time) (model, name string, ok bool) {
	var oldest time.Time
	for m, r := range t.models {
		for a, x := range r.adapters {
			if x.leaving || now.Before(x.readyAt) || now.Sub(x.used) < adapterKeep {
				continue
			}
			if !ok || x.used.Before(oldest) {
				model, name, oldest, ok = m, a, x.used, true
			}
		}
	}
	return model, name, ok
}

// adapterRef names an adapter with its model.
type adapterRef struct{ model, name string }

// reserveAdapter marks an adapter as coming, and one as leaving if the slots
// are taken.
func (t *track) reserveAdapter(now time.Time, engine *fleet.Engine, model, name string) *adapterRef {
	t.mu.Lock()
	defer t.mu.Unlock()
	var victim *adapterRef
	held, sum := t.adapterUse(engine)
	if held >= engine.AdapterSlots || sum+engine.Models[model].AdapterMB > engine.WeightsMB {
		if m, a, ok := t.idleAdapter(now); ok {
			t.models[m].adapters[a].leaving = true
			victim = &adapterRef{m, a}
		}
	}
	t.models[model].adapters[name] = &adapter{readyAt: now.Add(time.Hour), used: now}
	t.changed = true
	return victim
}

func (g *Controller) loadAdapter(ctx context.Context, t *track, token int64, model, name string, victim *adapterRef) {
	ok := true
	if victim != nil {
		ok = g.order(ctx, t, token, Order{Model: victim.model, Adapter: victim.name})
		t.mu.Lock()
		if r := t.models[victim.model]; r != nil {
			delete(r.adapters, victim.name)
		}
		t.mu.Unlock()
	}
	ok = ok && g.order(ctx, t, token, Order{Load: true, Model: model, Adapter: name})
	ok = ok && wait.For(ctx, adapterTime)
	now := g.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed = true
	r := t.models[model]
	if r == nil {
		return
	}
	if !ok {
		delete(r.adapters, name)
		t.known = false
		t.pause = now.Add(failurePause)
		return
	}
	r.adapters[name] = &adapter{readyAt: now, used: now}
}
