package orders

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// loadAdapters starts loads of adapters that have waiting requests.
func (c *Controller) loadAdapters(ctx context.Context, now time.Time, token int64, service fleet.Service, trackers []*endpointTracker, totals map[demandKey]*modelDemand) {
	type request struct {
		demandKey
		*modelDemand
	}
	var requests []request
	for key, d := range totals {
		if key.service == service.Name && key.adapter != "" {
			requests = append(requests, request{key, d})
		}
	}
	slices.SortFunc(requests, func(a, b request) int {
		return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter))
	})
	for _, t := range trackers {
		t.updateAdapterUse(now, totals, service.Name)
	}
	for _, r := range requests {
		for _, version := range r.requiredVersions() {
			c.placeAdapter(ctx, now, token, service.Engine, ofVersion(trackers, version), r.model, r.adapter)
		}
	}
}

// requiredVersions returns the versions that waiting requests require. None comes last: an endpoint of any version
// serves those that require none.
func (d *modelDemand) requiredVersions() []fleet.VersionRequirement {
	return slices.SortedFunc(maps.Keys(d.versions), func(a, b fleet.VersionRequirement) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), compareSet(a.Set, b.Set))
	})
}

// compareSet orders set requirements before unset ones.
func compareSet(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// ofVersion returns the trackers of the endpoints that meet a requirement.
func ofVersion(trackers []*endpointTracker, version fleet.VersionRequirement) []*endpointTracker {
	if !version.Set {
		return trackers
	}
	return slices.DeleteFunc(slices.Clone(trackers), func(t *endpointTracker) bool { return !version.Allows(t.current()) })
}

// current returns the endpoint as last listed.
func (t *endpointTracker) current() fleet.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endpoint
}

// updateAdapterUse records when each adapter was last used.
func (t *endpointTracker) updateAdapterUse(now time.Time, totals map[demandKey]*modelDemand, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.models {
		for id, a := range r.adapters {
			if u := totals[demandKey{service, name, id}]; u != nil && u.lastUsed.After(a.usedAt) {
				a.usedAt = u.lastUsed
			}
		}
	}
}

// adapterMinIdle is how long an adapter stays without requests before it may be evicted.
const adapterMinIdle = 300 * time.Millisecond

// placeAdapter loads an adapter at the endpoint with its model that holds the fewest
// adapters. It does nothing if an endpoint already holds or loads the adapter.
func (c *Controller) placeAdapter(ctx context.Context, now time.Time, token int64, engine *fleet.Engine, trackers []*endpointTracker, model, name string) {
	var best *endpointTracker
	bestHeld := 0
	for _, t := range trackers {
		held, state := t.adapterFit(now, engine, model, name)
		if state == adapterPresent {
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
	c.tasks.Go(func() { c.loadAdapter(ctx, best, token, model, name, victim) })
}

// fitResult is whether an endpoint can load an adapter.
type fitResult int

const (
	adapterNoRoom fitResult = iota
	adapterFits
	adapterPresent
)

// adapterFit returns the number of adapters at an endpoint and whether it holds the adapter
// or has room for it.
func (t *endpointTracker) adapterFit(now time.Time, engine *fleet.Engine, model, name string) (int, fitResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.models[model]
	if r == nil {
		return 0, adapterNoRoom
	}
	if a := r.adapters[name]; a != nil && !a.unloading {
		return 0, adapterPresent
	}
	// An endpoint that executes an order rejects all others until it has finished.
	if r.unloading || r.unconfirmed || now.Before(r.readyAt) || !t.synced || t.busy || now.Before(t.busyUntil) || now.Before(t.loadsFrom) {
		return 0, adapterNoRoom
	}
	used := t.usage(now, engine)
	if used.plusAdapter(engine.Models[model]).fits(engine) {
		return used.adapters, adapterFits
	}
	if t.adapterToEvict(now, engine, model) != nil {
		return used.adapters, adapterFits
	}
	t.refreshDue = len(t.departing) > 0 || t.hasUnarrivedAdapter()
	return used.adapters, adapterNoRoom
}

// adapterToEvict returns the least recently used adapter in whose place one of a model fits, or nil. It may be of
// another model. An unload of an adapter in transit would change nothing. mu must be held.
func (t *endpointTracker) adapterToEvict(now time.Time, engine *fleet.Engine, model string) *adapterRef {
	used := t.usage(now, engine).plusAdapter(engine.Models[model])
	var lru *adapterRef
	var oldest time.Time
	for m, r := range t.models {
		without := used.minusAdapter(t.modelSize(engine, m))
		for name, a := range r.adapters {
			if a.unloading || !a.arrived || now.Before(a.readyAt) || now.Sub(a.usedAt) < adapterMinIdle || !without.fits(engine) {
				continue
			}
			if lru == nil || a.usedAt.Before(oldest) {
				lru, oldest = &adapterRef{m, name}, a.usedAt
			}
		}
	}
	return lru
}

// hasUnarrivedAdapter reports whether an adapter that was ordered may still be in transit. mu must be held.
func (t *endpointTracker) hasUnarrivedAdapter() bool {
	for _, r := range t.models {
		for _, a := range r.adapters {
			if !a.arrived {
				return true
			}
		}
	}
	return false
}

// adapterRef identifies an adapter of a model.
type adapterRef struct{ model, name string }

// reserveAdapter marks an adapter as loading. If there is no room it also marks the least
// recently used one as unloading and returns it.
func (t *endpointTracker) reserveAdapter(now time.Time, engine *fleet.Engine, model, name string) *adapterRef {
	t.mu.Lock()
	defer t.mu.Unlock()
	var victim *adapterRef
	if !t.usage(now, engine).plusAdapter(engine.Models[model]).fits(engine) {
		if victim = t.adapterToEvict(now, engine, model); victim != nil {
			t.models[victim.model].adapters[victim.name].unloading = true
		}
	}
	// The adapter becomes ready when loadAdapter replaces this entry.
	t.models[model].adapters[name] = &adapter{readyAt: now.Add(time.Hour), usedAt: now}
	t.adapterLoads++
	t.changed = true
	return victim
}

func (c *Controller) loadAdapter(ctx context.Context, t *endpointTracker, token int64, model, name string, victim *adapterRef) {
	ok := true
	if victim != nil {
		ok = c.order(ctx, t, token, Order{Model: victim.model, Adapter: victim.name})
		t.mu.Lock()
		if r := t.models[victim.model]; r != nil && ok {
			delete(r.adapters, victim.name)
		}
		t.mu.Unlock()
	}
	ok = ok && c.order(ctx, t, token, Order{Load: true, Model: model, Adapter: name})
	ok = ok && wait.For(ctx, adapterLoadTime)
	now := c.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.adapterLoads--
	t.changed = true
	r := t.models[model]
	if !ok {
		t.synced = false
		t.retryAt = now.Add(failureBackoff)
	}
	switch {
	case r == nil:
		return
	case !ok:
		delete(r.adapters, name)
		return
	}
	r.adapters[name] = &adapter{readyAt: now, usedAt: now, sequence: t.sequence}
}
