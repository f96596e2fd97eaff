package orders

import (
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/residency"
)

// endpointTracker holds the controller's view of one endpoint. It has its own lock.
type endpointTracker struct {
	mu       sync.Mutex
	endpoint fleet.Endpoint
	offset   fleet.Position
	// synced is set once the endpoint's own report was applied under this claim.
	synced   bool
	sequence int64
	models   map[string]*resident
	copies   map[string]residency.Tier
	// departing maps the adapters that were in transit when their model was unloaded to the sequence after the
	// unload. They take slots until they have arrived.
	departing map[adapterRef]int64
	// refreshDue is set if an adapter did not fit and a report may show that others have arrived.
	refreshDue bool
	// sizes holds the models that the configuration has listed, by name, see modelSize.
	sizes map[string]fleet.Model
	// busy is set while a swap or a report request is in progress. incoming is the
	// model of the swap until its load has started.
	busy     bool
	incoming string
	// adapterLoads counts the adapter loads in progress, including the unloads that they need.
	adapterLoads int
	// busyUntil is when the current load ends.
	busyUntil time.Time
	// lastOrder is when the last order was sent.
	lastOrder time.Time
	reach     reachability
	// backoffReported is when a host last reported that the endpoint asked it to back off.
	backoffReported time.Time
	// lastReportRequest is when the endpoint was last asked for a report.
	lastReportRequest time.Time
	// retryAt is the earliest time of the next attempt after a failure.
	retryAt time.Time
	// changed is set if the placement was not sent since it changed, sent once it was ever sent.
	// Until then the endpoint holds what its entry in the list says.
	changed bool
	sent    bool
	// replaced is set once the endpoint is no longer live. Its address and name may belong to a new
	// incarnation with its own order sequence.
	replaced bool

	// restartedAt is when the endpoint was first known to have restarted under its name, or zero. Before loadsFrom
	// it gets no loads.
	restartedAt, loadsFrom time.Time
	// unanswered holds the loads that may still be executed at any endpoint.
	unanswered *unansweredLoads

	// orderSlot holds an element while an order to the endpoint is in progress. Orders are
	// serialized so that their sequence has no gaps.
	orderSlot chan struct{}
}

type resident struct {
	readyAt   time.Time
	since     time.Time
	unloading bool
	// unconfirmed is set after a slow load until the endpoint has confirmed it.
	unconfirmed bool
	adapters    map[string]*adapter
}

type adapter struct {
	readyAt   time.Time
	unloading bool
	usedAt    time.Time
	// sequence is that of the endpoint after the order to load the adapter. arrived is set once a report of that
	// sequence or a later one has listed it as loaded. Until then it may be in transit.
	sequence int64
	arrived  bool
}

func newEndpointTracker(v fleet.View, unanswered *unansweredLoads) *endpointTracker {
	t := &endpointTracker{unanswered: unanswered, endpoint: v.Endpoint, models: map[string]*resident{}, copies: map[string]residency.Tier{}, sizes: map[string]fleet.Model{}, departing: map[adapterRef]int64{}, changed: true, orderSlot: make(chan struct{}, 1)}
	t.replaceModels(time.Time{}, v.Loaded)
	t.offset = v.Offset
	t.restartedAt = v.RestartedAt
	t.updateCopies(time.Time{}, v.Endpoint)
	return t
}

// reachability is the state of the connections to an endpoint. An endpoint is lost when
// this host and another one cannot connect, so that a partitioned controller does not
// exclude endpoints that other hosts can reach. The models of a lost endpoint are loaded
// elsewhere, without waiting until the list drops it.
type reachability struct {
	// failed is set while this host cannot connect. reported is when another host last
	// failed to connect. lost is set once both apply, until the endpoint responds.
	failed   bool
	reported time.Time
	lost     bool
}

// peerReportTTL is how long another host's report about an endpoint counts.
const peerReportTTL = 2 * time.Second

// recordPeerUnreachable records that another host could not connect. A new report is
// requested unless a request is in progress or recent.
func (t *endpointTracker) recordPeerUnreachable(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reach.reported = now
	t.updateReachability(now)
	if !t.reach.failed && t.idle() && now.Sub(t.lastReportRequest) > failureBackoff {
		t.synced = false
	}
}

// recordPeerBackoff records that the endpoint has asked a host to back off.
func (t *endpointTracker) recordPeerBackoff(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoffReported = now
}

// idle reports whether no order and no report request is in progress. mu must be held.
func (t *endpointTracker) idle() bool { return !t.busy && t.adapterLoads == 0 }

// markUnreachable records that this host could not connect.
func (t *endpointTracker) markUnreachable(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reach.failed = true
	t.updateReachability(now)
}

func (t *endpointTracker) updateReachability(now time.Time) {
	if t.reach.failed && now.Sub(t.reach.reported) < peerReportTTL && !t.reach.lost {
		t.reach.lost = true
		t.changed = true
	}
}

// markReplaced ends the orders to the endpoint that are still being retried.
func (t *endpointTracker) markReplaced() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replaced = true
}

// replaceModels replaces the tracked models with those that the endpoint holds.
func (t *endpointTracker) replaceModels(now time.Time, holds []fleet.LoadedModel) {
	t.changed = t.changed || !t.matches(holds)
	old := t.models
	t.models = make(map[string]*resident, len(holds))
	for _, h := range holds {
		r := old[h.Model]
		if r == nil {
			r = &resident{since: now, adapters: map[string]*adapter{}}
		}
		r.unloading = false
		r.unconfirmed = false
		adapters := make(map[string]*adapter, len(h.Adapters))
		for _, name := range h.Adapters {
			a := r.adapters[name]
			if a == nil {
				a = &adapter{usedAt: now}
			}
			a.unloading = false
			a.arrived = true
			adapters[name] = a
		}
		r.adapters = adapters
		t.models[h.Model] = r
		t.copies[h.Model] = max(t.copies[h.Model], residency.OnDisk)
	}
}

// matches reports whether the tracked models are those that the endpoint holds, all of them in use.
func (t *endpointTracker) matches(holds []fleet.LoadedModel) bool {
	if len(t.models) != len(holds) {
		return false
	}
	for _, h := range holds {
		r := t.models[h.Model]
		if r == nil || r.unloading || r.unconfirmed || len(r.adapters) != len(h.Adapters) {
			return false
		}
		for _, name := range h.Adapters {
			if a := r.adapters[name]; a == nil || a.unloading {
				return false
			}
		}
	}
	return true
}

// updateCopies replaces the cached copies with those in the list. Copies of models that
// were loaded recently are kept, because the list lags. Copies that the endpoint has
// evicted are dropped.
func (t *endpointTracker) updateCopies(now time.Time, e fleet.Endpoint) {
	if len(e.OnDisk)+len(e.InMemory) == 0 {
		return
	}
	old := t.copies
	t.copies = make(map[string]residency.Tier, len(old))
	for _, m := range e.OnDisk {
		t.copies[m] = residency.OnDisk
	}
	for _, m := range e.InMemory {
		t.copies[m] = residency.InMemory
	}
	for m, r := range t.models {
		if now.Sub(r.since) < listLag {
			t.copies[m] = max(t.copies[m], old[m])
		}
	}
}

// update applies a newer entry of the list of endpoints. Entries lag behind orders, so they
// are compared only with models that no recent order has changed.
func (t *endpointTracker) update(now time.Time, v fleet.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v.Offset <= t.offset {
		return
	}
	t.offset = v.Offset
	t.endpoint = v.Endpoint
	t.updateCopies(now, v.Endpoint)
	if t.synced && !t.busy && now.Sub(t.lastOrder) > listLag && !sameModels(t.models, v.Loaded) {
		// The endpoint has executed orders of another holder or delayed ones.
		t.synced = false
	}
}

func sameModels(models map[string]*resident, holds []fleet.LoadedModel) bool {
	if len(models) != len(holds) {
		return false
	}
	for _, h := range holds {
		if r := models[h.Model]; r == nil || r.unloading {
			return false
		}
	}
	return true
}

// applyReport applies the endpoint's own report, requested while no order was in progress.
// The report may predate the last order of a former holder. This is safe because an order
// is rejected if its expected sequence is outdated.
func (t *endpointTracker) applyReport(now time.Time, r fleet.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence = r.Sequence
	t.changed = t.changed || t.reach.lost
	t.reach = reachability{}
	if r.Busy {
		t.retryAt = now.Add(reportLag)
		return
	}
	t.replaceModels(now, r.Loaded)
	t.departing = map[adapterRef]int64{}
	for _, name := range r.Loading {
		model, a := splitAdapter(name)
		switch m := t.models[model]; {
		case m == nil:
			t.departing[adapterRef{model, a}] = r.Sequence
		case m.adapters[a] == nil:
			m.adapters[a] = &adapter{readyAt: now.Add(reportLag), usedAt: now}
		}
	}
	t.synced = true
}

// removeModel removes a model that was unloaded.
func (t *endpointTracker) removeModel(model string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.models[model]; r != nil {
		for name, a := range r.adapters {
			if !a.arrived {
				t.departing[adapterRef{model, name}] = t.sequence
			}
		}
	}
	delete(t.models, model)
}

// recordRestart reports whether the sequence of a report is lower than the one known: the endpoint has restarted,
// unless the report is older than the last order.
func (t *endpointTracker) recordRestart(now time.Time, sequence int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sequence >= t.sequence {
		return false
	}
	if now.Sub(t.lastOrder) > orderTimeout+reportLag {
		t.restartedAt = now
	}
	return true
}

// snapshot returns the endpoint for a decision of package residency.
func (t *endpointTracker) snapshot(now time.Time, engine *fleet.Engine) residency.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := residency.Endpoint{
		ID:         t.endpoint.ID,
		Zone:       t.endpoint.Zone,
		Version:    t.endpoint.Version,
		CapacityMB: engine.WeightsMB - t.otherUsage(now, engine).mb,
		Copies:     make(map[string]residency.Tier, len(t.copies)),
		Busy:       t.busy || !t.synced || now.Before(t.retryAt) || now.Before(t.busyUntil) || now.Before(t.loadsFrom),
	}
	for name, tier := range t.copies {
		e.Copies[name] = tier
	}
	for name, r := range t.models {
		size := t.modelSize(engine, name)
		if _, listed := engine.Models[name]; !listed {
			size.WeightsMB = t.memoryUse(engine, name, r)
		}
		e.Residents = append(e.Residents, residency.Resident{
			Model:     name,
			MB:        size.WeightsMB,
			Ready:     !now.Before(r.readyAt) && !r.unconfirmed,
			Since:     r.since,
			Unloading: r.unloading,
			Adapters:  len(r.adapters),
		})
	}
	if t.incoming != "" {
		// The unloads of a swap may take seconds. Without the incoming model another
		// endpoint would load it for the same requests.
		e.Residents = append(e.Residents, residency.Resident{Model: t.incoming, MB: engine.Models[t.incoming].WeightsMB})
	}
	slices.SortFunc(e.Residents, func(a, b residency.Resident) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return e
}

// placement returns the endpoint's models for other hosts.
func (t *endpointTracker) placement(now time.Time) fleet.Placement {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := fleet.Placement{Endpoint: t.endpoint.ID}
	if t.reach.lost {
		return p
	}
	for name, r := range t.models {
		m := fleet.ModelPlacement{Model: name, Unloading: r.unloading}
		if wait := r.readyAt.Sub(now); wait > 0 || r.unconfirmed {
			m.ReadyIn = max(1, wait.Milliseconds())
		}
		if r.unconfirmed {
			m.ReadyIn = max(m.ReadyIn, unconfirmedReadyIn.Milliseconds())
		}
		for a, ad := range r.adapters {
			if !ad.unloading && !now.Before(ad.readyAt) {
				m.Adapters = append(m.Adapters, a)
			}
		}
		p.Models = append(p.Models, m)
	}
	return p
}

// takeChanged reports whether the endpoint has changed since the last call.
func (t *endpointTracker) takeChanged() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.changed
	t.changed = false
	t.sent = t.sent || c
	return c
}

// wasSent reports whether the placement was ever sent.
func (t *endpointTracker) wasSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent
}
