package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// controllerTimeout is how long after the controller's last heartbeat its notices take
	// precedence over the endpoints' own entries. Its last orders complete within this time.
	controllerTimeout = 3 * time.Second
	// maxIndexAge bounds how long the index is used without a check for endpoints that have
	// expired.
	maxIndexAge = 250 * time.Millisecond
)

// Locator combines the endpoint list with the controller's notices. It is safe for concurrent
// use.
type Locator struct {
	directory *Directory

	mu sync.Mutex
	// controller identifies the sender of the newest notice. Only the identifying fields and
	// StoreLoadLimit are set.
	controller  Notice
	heartbeatAt time.Time
	placements  map[EndpointID][]modelState
	// version counts the changes of placements and coldReadyAt. changes and coldVersion hold
	// the version of the last change of each.
	version     int64
	changes     changeLog
	coldVersion int64
	// coldReadyAt is the earliest time at which a model without a copy on any endpoint can
	// serve, as of the last notice.
	coldReadyAt map[ModelRef]time.Time
	index       *index
	// admitted holds the software versions of services at which requests may begin.
	admitted map[string][]string
	// stale is set when the list or a notice has changed since the last index update at
	// indexedAt.
	stale     bool
	indexedAt time.Time
}

// modelState is the state of a model on an endpoint.
type modelState struct {
	model     string
	endpoint  *Endpoint
	readyAt   time.Time
	unloading bool
	adapters  map[string]bool
}

// ModelRef identifies a model of a service.
type ModelRef struct{ Service, Model string }

// NewLocator returns a locator for a directory.
func NewLocator(d *Directory) *Locator {
	return &Locator{directory: d, placements: map[EndpointID][]modelState{}, changes: newChangeLog(), index: newIndex()}
}

// MarkStale marks the index as stale after a change of the directory.
func (l *Locator) MarkStale() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = true
}

// ApplyNotice applies a notice. It reports whether the notice belongs to the newest known claim;
// older notices are ignored.
func (l *Locator) ApplyNotice(now time.Time, n Notice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n.Token < l.controller.Token {
		return false
	}
	if n.Token > l.controller.Token || n.Full {
		l.dropUnlisted(n)
	}
	l.controller = Notice{Holder: n.Holder, Token: n.Token, Incarnation: n.Incarnation, Addr: n.Addr, StoreLoadLimit: n.StoreLoadLimit}
	l.heartbeatAt = now.Add(-time.Duration(n.HeartbeatAge) * time.Millisecond)
	for _, p := range n.Endpoints {
		l.setPlacement(p.Endpoint, modelStates(now, p))
	}
	if !n.ColdUnchanged {
		l.setCold(now, n.Cold)
	}
	l.stale = true // The controller may have become trusted again.
	return true
}

// dropUnlisted drops the placements that a full notice does not list, and all placements if the
// notice belongs to a newer claim.
func (l *Locator) dropUnlisted(n Notice) {
	listed := make(map[EndpointID]bool, len(n.Endpoints))
	for _, p := range n.Endpoints {
		listed[p.Endpoint] = n.Token == l.controller.Token
	}
	for id := range l.placements {
		if !listed[id] {
			delete(l.placements, id)
			l.markChanged(id)
		}
	}
}

// setPlacement replaces the models of an endpoint. An unchanged placement keeps its version,
// so that it is not sent to other hosts again.
func (l *Locator) setPlacement(id EndpointID, models []modelState) {
	old, known := l.placements[id]
	if known && sameModels(old, models) {
		return
	}
	l.placements[id] = models
	l.markChanged(id)
}

func (l *Locator) markChanged(id EndpointID) {
	l.version++
	l.changes.record(id, l.version)
	l.index.markDirty(id)
}

// timeTolerance is the difference below which two ready times count as equal. Ready times are
// sent as remaining milliseconds and drift with each hop.
const timeTolerance = 25 * time.Millisecond

func sameModels(a, b []modelState) bool {
	if len(a) != len(b) {
		return false
	}
	for _, r := range a {
		i := slices.IndexFunc(b, func(o modelState) bool { return o.model == r.model })
		if i < 0 {
			return false
		}
		o := b[i]
		if r.unloading != o.unloading || r.readyAt.IsZero() != o.readyAt.IsZero() || !maps.Equal(r.adapters, o.adapters) {
			return false
		}
		if r.readyAt.Sub(o.readyAt).Abs() > timeTolerance {
			return false
		}
	}
	return true
}

// setCold replaces the set of models that must be loaded from the weight store.
func (l *Locator) setCold(now time.Time, models []ColdModel) {
	cold := make(map[ModelRef]time.Time, len(models))
	same := len(models) == len(l.coldReadyAt)
	for _, m := range models {
		ref := ModelRef{m.Service, m.Model}
		cold[ref] = now.Add(time.Duration(m.ReadyIn) * time.Millisecond)
		old, known := l.coldReadyAt[ref]
		same = same && known && cold[ref].Sub(old).Abs() <= timeTolerance
	}
	if same {
		return
	}
	l.coldReadyAt = cold
	l.version++
	l.coldVersion = l.version
}

func modelStates(now time.Time, p Placement) []modelState {
	models := make([]modelState, 0, len(p.Models))
	for _, m := range p.Models {
		r := modelState{model: m.Model, unloading: m.Unloading, adapters: adapterSet(m.Adapters)}
		if m.ReadyIn > 0 {
			r.readyAt = now.Add(time.Duration(m.ReadyIn) * time.Millisecond)
		}
		models = append(models, r)
	}
	return models
}

// StoreLoadLimit returns how many loads from the weight store can run at full speed, as last
// reported by the controller; 0 if unknown.
func (l *Locator) StoreLoadLimit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.StoreLoadLimit
}

// Token returns the fencing token of the newest claim seen in a notice.
func (l *Locator) Token() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.Token
}

// Location lists where a model or an adapter is available.
type Location struct {
	// Ready lists the endpoints that serve the model or adapter.
	Ready []Endpoint
	// ReadyAt is when the next endpoint becomes ready; zero if none is loading.
	ReadyAt time.Time
	// ColdReadyAt is the earliest time at which a model without a copy on any endpoint can serve;
	// zero if the model has a copy or the time is not known.
	ColdReadyAt time.Time
	// HasEndpoints reports whether any endpoint of the service takes requests.
	HasEndpoints bool
	// LoadsAdapter reports that no endpoint serves the adapter, but one has its model and can load the adapter
	// in a short time.
	LoadsAdapter bool
	// LoadsModel reports that no endpoint of the required software version has the model, but one that takes requests
	// has a copy from which it can load it in a short time.
	LoadsModel bool
}

// Locate returns the location of a model, or of one of its adapters if adapter is set. An
// empty model selects all endpoints of a plain service.
func (l *Locator) Locate(now time.Time, service, model, adapter string) Location {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshIfStale(now)
	loc := Location{HasEndpoints: l.index.serves(service)}
	if model == "" {
		loc.Ready = l.index.endpoints(service)
		if len(l.admitted[service]) > 0 && len(l.index.versions[service]) > len(l.admitted[service]) {
			admitted := l.admission(service, VersionRequirement{})
			loc.Ready = slices.DeleteFunc(slices.Clone(loc.Ready), func(e Endpoint) bool { return !admitted(e) })
		}
		return loc
	}
	l.locateModel(now, ModelRef{service, model}, adapter, VersionRequirement{}, &loc)
	return loc
}

// LocateVersion is like Locate for the endpoints that meet a requirement only. No load from the weight store brings a
// model to them in time for a stream that has begun, so ColdReadyAt is not set.
func (l *Locator) LocateVersion(now time.Time, service, model, adapter string, version VersionRequirement) Location {
	if !version.Set {
		return l.Locate(now, service, model, adapter)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshIfStale(now)
	loc := Location{HasEndpoints: l.index.versions.serves(service, version.Version)}
	if model == "" {
		for _, e := range l.index.endpoints(service) {
			if version.Allows(e) {
				loc.Ready = append(loc.Ready, e)
			}
		}
		return loc
	}
	l.locateModel(now, ModelRef{service, model}, adapter, version, &loc)
	loc.ColdReadyAt = time.Time{}
	loc.LoadsModel = len(loc.Ready) == 0 && loc.ReadyAt.IsZero() && !loc.LoadsAdapter &&
		slices.ContainsFunc(l.index.endpoints(service), func(e Endpoint) bool { return version.Allows(e) && e.hasCopy(model) })
	return loc
}

// refreshIfStale must be called with mu held.
func (l *Locator) refreshIfStale(now time.Time) {
	if l.stale || now.Sub(l.indexedAt) > maxIndexAge {
		l.refresh(now)
	}
}

// locateModel adds to loc where a model is available at endpoints that meet a requirement. It must be called
// with mu held.
func (l *Locator) locateModel(now time.Time, model ModelRef, adapter string, version VersionRequirement, loc *Location) {
	if now.Sub(l.heartbeatAt) < controllerTimeout {
		loc.ColdReadyAt = l.coldReadyAt[model]
	}
	admitted := l.admission(model.Service, version)
	for _, r := range l.index.holders(model) {
		switch {
		case r.unloading || !admitted(*r.endpoint):
		case adapter != "" && !r.adapters[adapter]:
			loc.LoadsAdapter = loc.LoadsAdapter || !r.readyAt.After(now)
		case r.readyAt.After(now):
			if loc.ReadyAt.IsZero() || r.readyAt.Before(loc.ReadyAt) {
				loc.ReadyAt = r.readyAt
			}
		default:
			loc.Ready = append(loc.Ready, *r.endpoint)
		}
	}
	loc.LoadsAdapter = loc.LoadsAdapter && len(loc.Ready) == 0
}

// refresh applies changes of the list and the notices to the index. It must be called with mu
// held.
func (l *Locator) refresh(now time.Time) {
	l.stale = false
	l.indexedAt = now
	if trusted := now.Sub(l.heartbeatAt) < controllerTimeout; trusted != l.index.useNotices {
		l.index.useNotices = trusted
		l.index.markAllDirty()
	}
	for _, c := range l.directory.takeChanges(now) {
		l.index.applyChange(c)
	}
	l.index.update(now, l.placements)
}

func listedModels(e Endpoint) []modelState {
	models := make([]modelState, 0, len(e.Loaded))
	for _, h := range e.Loaded {
		models = append(models, modelState{model: h.Model, adapters: adapterSet(h.Adapters)})
	}
	return models
}

// adapterSet returns the set of adapters, nil if there are none. Most models have none, and each set
// takes memory on every host.
func adapterSet(names []string) map[string]bool {
	if len(names) == 0 {
		return nil
	}
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}
