package fleet

import (
	"maps"
	"sync"
	"time"
)

const (
	// controllerTimeout is how long the notices of a silent controller take precedence over
	// the endpoints' own entries. The controller's last orders complete within this time.
	controllerTimeout = 3 * time.Second
	// maxIndexAge bounds how long the index is used without a check for endpoints that have
	// expired.
	maxIndexAge = 250 * time.Millisecond
)

// Board combines the endpoint list with the controller's notices. It is safe for concurrent
// use.
type Board struct {
	directory *Directory

	mu sync.Mutex
	// controller identifies the sender of the newest notice. Only the identifying fields and
	// StoreLoadLimit are set.
	controller  Notice
	heartbeatAt time.Time
	placements  map[EndpointID]map[string]modelState
	// version counts the changes of placements and coldReadyAt. versions and coldVersion hold
	// the version of the last change of each.
	version     int64
	versions    map[EndpointID]int64
	coldVersion int64
	// coldReadyAt is the earliest time at which a model without a copy on any endpoint can
	// serve, as of the last notice.
	coldReadyAt map[ModelRef]time.Time
	index       *index
	// stale is set when the list or a notice has changed since the last index update at
	// indexedAt.
	stale     bool
	indexedAt time.Time
}

// modelState is the state of a model on an endpoint.
type modelState struct {
	endpoint  Endpoint
	readyAt   time.Time
	unloading bool
	adapters  map[string]bool
}

// ModelRef identifies a model of a service.
type ModelRef struct{ Service, Model string }

// NewBoard returns a board for a directory.
func NewBoard(d *Directory) *Board {
	return &Board{directory: d, placements: map[EndpointID]map[string]modelState{}, versions: map[EndpointID]int64{}, index: newIndex()}
}

// Changed marks the index as stale after a change of the directory.
func (b *Board) Changed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stale = true
}

// Notice applies a notice. It reports whether the notice belongs to the newest known claim;
// older notices are ignored.
func (b *Board) Notice(now time.Time, n Notice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n.Token < b.controller.Token {
		return false
	}
	if n.Token > b.controller.Token || n.Full {
		b.dropUnnamed(n)
	}
	b.controller = Notice{Holder: n.Holder, Token: n.Token, Incarnation: n.Incarnation, Addr: n.Addr, StoreLoadLimit: n.StoreLoadLimit}
	b.heartbeatAt = now.Add(-time.Duration(n.HeartbeatAge) * time.Millisecond)
	for _, p := range n.Endpoints {
		b.setPlacement(p.Endpoint, modelStates(now, p))
	}
	if !n.FarKnown {
		b.setCold(now, n.Far)
	}
	b.stale = true // The controller may have become trusted again.
	return true
}

// dropUnnamed drops the placements that a full notice does not name, and all placements if the
// notice belongs to a newer claim.
func (b *Board) dropUnnamed(n Notice) {
	named := make(map[EndpointID]bool, len(n.Endpoints))
	for _, p := range n.Endpoints {
		named[p.Endpoint] = n.Token == b.controller.Token
	}
	for id := range b.placements {
		if !named[id] {
			delete(b.placements, id)
			b.markChanged(id)
		}
	}
}

// setPlacement replaces the models of an endpoint. An unchanged placement keeps its version,
// so that it is not sent to other hosts again.
func (b *Board) setPlacement(id EndpointID, models map[string]modelState) {
	old, known := b.placements[id]
	if known && sameModels(old, models) {
		return
	}
	b.placements[id] = models
	b.markChanged(id)
}

func (b *Board) markChanged(id EndpointID) {
	b.version++
	b.versions[id] = b.version
	b.index.markDirty(id)
}

// timeTolerance is the difference below which two ready times count as equal. Ready times are
// sent as remaining milliseconds and drift with each hop.
const timeTolerance = 25 * time.Millisecond

func sameModels(a, b map[string]modelState) bool {
	if len(a) != len(b) {
		return false
	}
	for name, r := range a {
		o, ok := b[name]
		if !ok || r.unloading != o.unloading || r.readyAt.IsZero() != o.readyAt.IsZero() || !maps.Equal(r.adapters, o.adapters) {
			return false
		}
		if r.readyAt.Sub(o.readyAt).Abs() > timeTolerance {
			return false
		}
	}
	return true
}

// setCold replaces the set of models that must be loaded from the weight store.
func (b *Board) setCold(now time.Time, models []FarModel) {
	cold := make(map[ModelRef]time.Time, len(models))
	same := len(models) == len(b.coldReadyAt)
	for _, f := range models {
		ref := ModelRef{f.Service, f.Model}
		cold[ref] = now.Add(time.Duration(f.ReadyIn) * time.Millisecond)
		old, known := b.coldReadyAt[ref]
		same = same && known && cold[ref].Sub(old).Abs() <= timeTolerance
	}
	if same {
		return
	}
	b.coldReadyAt = cold
	b.version++
	b.coldVersion = b.version
}

func modelStates(now time.Time, p Placement) map[string]modelState {
	models := make(map[string]modelState, len(p.Models))
	for _, m := range p.Models {
		r := modelState{unloading: m.Unloading, adapters: map[string]bool{}}
		if m.ReadyIn > 0 {
			r.readyAt = now.Add(time.Duration(m.ReadyIn) * time.Millisecond)
		}
		for _, a := range m.Adapters {
			r.adapters[a] = true
		}
		models[m.Model] = r
	}
	return models
}

// StoreLoadLimit returns how many loads from the weight store can run at full speed, as last
// reported by the controller; 0 if unknown.
func (b *Board) StoreLoadLimit() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.controller.StoreLoadLimit
}

// Token returns the fencing token of the newest claim seen in a notice.
func (b *Board) Token() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.controller.Token
}

// Location lists where a model or an adapter is available.
type Location struct {
	// Ready lists the endpoints that serve the model or adapter.
	Ready []Endpoint
	// ComingAt is when the next endpoint becomes ready; zero if none is loading.
	ComingAt time.Time
	// FarUntil is the earliest time at which a model without a copy on any endpoint can serve;
	// zero if the model has a copy or the time is not known.
	FarUntil time.Time
	// Known reports whether any endpoint of the service takes requests.
	Known bool
}

// Locate returns the location of a model, or of one of its adapters if adapter is set. An
// empty model selects all endpoints of a plain service.
func (b *Board) Locate(now time.Time, service, model, adapter string) Location {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stale || now.Sub(b.indexedAt) > maxIndexAge {
		b.refresh(now)
	}
	l := Location{Known: b.index.serves(service)}
	if model == "" {
		l.Ready = b.index.endpoints(service)
		return l
	}
	if now.Sub(b.heartbeatAt) < controllerTimeout {
		l.FarUntil = b.coldReadyAt[ModelRef{service, model}]
	}
	for _, r := range b.index.holders(ModelRef{service, model}) {
		switch {
		case r.unloading || adapter != "" && !r.adapters[adapter]:
		case r.readyAt.After(now):
			if l.ComingAt.IsZero() || r.readyAt.Before(l.ComingAt) {
				l.ComingAt = r.readyAt
			}
		default:
			l.Ready = append(l.Ready, r.endpoint)
		}
	}
	return l
}

// refresh applies changes of the list and the notices to the index. It must be called with mu
// held.
func (b *Board) refresh(now time.Time) {
	b.stale = false
	b.indexedAt = now
	if trusted := now.Sub(b.heartbeatAt) < controllerTimeout; trusted != b.index.useNotices {
		b.index.useNotices = trusted
		b.index.markAllDirty()
	}
	for _, c := range b.directory.takeChanges(now) {
		b.index.applyChange(c)
	}
	b.index.update(b.placements)
}

func listedModels(e Endpoint) map[string]modelState {
	models := make(map[string]modelState, len(e.Holds))
	for _, h := range e.Holds {
		r := modelState{adapters: map[string]bool{}}
		for _, a := range h.Adapters {
			r.adapters[a] = true
		}
		models[h.Model] = r
	}
	return models
}
