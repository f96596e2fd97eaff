package fleet

import (
	"maps"
	"sync"
	"time"
)

const (
	// controllerSilent is how long the notices of a silent controller go before
	// the endpoints' own entries. Orders that it gave last are carried out by then.
	controllerSilent = 3 * time.Second
	// indexAge is how old an index may be while nothing changed; entries that
	// vanish with time are noticed by then.
	indexAge = 250 * time.Millisecond
)

// Board joins the list of endpoints with the notices of the controller. It
// is safe for concurrent use.
type Board struct {
	directory *Directory

	mu sync.Mutex
	// holder is who the newest notice is of; nothing but the fields that name it is set.
	holder  Notice
	heard   time.Time
	notices map[EndpointID]map[string]residence
	// version counts the changes of notices and far, versions and farVersion hold when
	// each was changed last.
	version    int64
	versions   map[EndpointID]int64
	farVersion int64
	// far is when a model without a copy can serve at best, by the last notice.
	far   map[ModelRef]time.Time
	index *index
	// stale is set when the list or a notice has changed since the index was brought
	// up to date, checked is when that was.
	stale   bool
	checked time.Time
}

// residence is a model on an endpoint.
type residence struct {
	endpoint Endpoint
	readyAt  time.Time
	leaving  bool
	adapters map[string]bool
}

// ModelRef names a model of a service.
type ModelRef struct{ Service, Model string }

// NewBoard returns a board on a directory.
func NewBoard(d *Directory) *Board {
	return &Board{directory: d, notices: map[EndpointID]map[string]residence{}, versions: map[EndpointID]int64{}, index: newIndex()}
}

// Changed makes the board look at the directory again.
func (b *Board) Changed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stale = true
}

// Notice takes in a notice and tells whether it is of the newest claim known.
func (b *Board) Notice(now time.Time, n Notice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n.Token < b.holder.Token {
		return false
	}
	if n.Token > b.holder.Token || n.Full {
		b.dropOthers(n)
	}
	b.holder = Notice{Holder: n.Holder, Token: n.Token, Incarnation: n.Incarnation, Addr: n.Addr, StoreLoads: n.StoreLoads}
	b.heard = now.Add(-time.Duration(n.HeardAgo) * time.Millisecond)
	for _, p := range n.Endpoints {
		b.place(p.Endpoint, residences(now, p))
	}
	if !n.FarKnown {
		b.takeFar(now, n.Far)
	}
	b.stale = true // Whether notices are trusted may have changed.
	return true
}

// dropOthers forgets what a notice that names all endpoints does not name, and all where
// it is of a newer claim.
func (b *Board) dropOthers(n Notice) {
	named := make(map[EndpointID]bool, len(n.Endpoints))
	for _, p := range n.Endpoints {
		named[p.Endpoint] = n.Token == b.holder.Token
	}
	for id := range b.notices {
		if !named[id] {
			delete(b.notices, id)
			b.changed(id)
		}
	}
}

// place takes in what an endpoint holds. A notice that repeats what is known changes
// nothing, so that other hosts are not told again.
func (b *Board) place(id EndpointID, models map[string]residence) {
	old, known := b.notices[id]
	if known && sameResidences(old, models) {
		return
	}
	b.notices[id] = models
	b.changed(id)
}

func (b *Board) changed(id EndpointID) {
	b.version++
	b.versions[id] = b.version
	b.index.touch(id)
}

// sameTime is the difference below which two statements of a time are one: each is
// passed on as what is left of it, which takes a few milliseconds a hop.
const sameTime = 25 * time.Millisecond

func sameResidences(a, b map[string]residence) bool {
	if len(a) != len(b) {
		return false
	}
	for name, r := range a {
		o, ok := b[name]
		if !ok || r.leaving != o.leaving || r.readyAt.IsZero() != o.readyAt.IsZero() || !maps.Equal(r.adapters, o.adapters) {
			return false
		}
		if r.readyAt.Sub(o.readyAt).Abs() > sameTime {
			return false
		}
	}
	return true
}

// takeFar takes in which models have to come from the weight store.
func (b *Board) takeFar(now time.Time, models []FarModel) {
	far := make(map[ModelRef]time.Time, len(models))
	same := len(models) == len(b.far)
	for _, f := range models {
		ref := ModelRef{f.Service, f.Model}
		far[ref] = now.Add(time.Duration(f.ReadyIn) * time.Millisecond)
		old, known := b.far[ref]
		same = same && known && far[ref].Sub(old).Abs() <= sameTime
	}
	if same {
		return
	}
	b.far = far
	b.version++
	b.farVersion = b.version
}

func residences(now time.Time, p Placement) map[string]residence {
	models := make(map[string]residence, len(p.Models))
	for _, m := range p.Models {
		r := residence{leaving: m.Leaving, adapters: map[string]bool{}}
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

// StoreLoads is how many loads from the weight store run at full speed, as the last
// controller heard has learned; 0 if none was heard.
func (b *Board) StoreLoads() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.StoreLoads
}

// Token returns the newest claim that a notice has named.
func (b *Board) Token() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.Token
}

// Location is where a model, or an adapter of it, is held.
type Location struct {
	// Ready endpoints serve it.
	Ready []Endpoint
	// ComingAt is when the next endpoint will, zero if none is loading.
	ComingAt time.Time
	// FarUntil is when a model that has no copy at any endpoint can serve at
	// best; zero if it has one or that is not known.
	FarUntil time.Time
	// Known tells whether the service has any endpoint that takes requests.
	Known bool
}

// Locate finds the endpoints of a service; model is empty for plain services
// and adapter for the model itself.
func (b *Board) Locate(now time.Time, service, model, adapter string) Location {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stale || now.Sub(b.checked) > indexAge {
		b.refresh(now)
	}
	l := Location{Known: b.index.serves(service)}
	if model == "" {
		l.Ready = b.index.endpoints(service)
		return l
	}
	if now.Sub(b.heard) < controllerSilent {
		l.FarUntil = b.far[ModelRef{service, model}]
	}
	for _, r := range b.index.holders(ModelRef{service, model}) {
		switch {
		case r.leaving || adapter != "" && !r.adapters[adapter]:
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

// refresh brings the index up to date with the list and the notices.
func (b *Board) refresh(now time.Time) {
	b.stale = false
	b.checked = now
	if trusted := now.Sub(b.heard) < controllerSilent; trusted != b.index.trusted {
		b.index.trusted = trusted
		b.index.touchAll()
	}
	for _, c := range b.directory.takeChanges(now) {
		b.index.list(c)
	}
	b.index.settle(b.notices)
}

func fromEntry(e Endpoint) map[string]residence {
	models := make(map[string]residence, len(e.Holds))
	for _, h := range e.Holds {
		r := residence{adapters: map[string]bool{}}
		for _, a := range h.Adapters {
			r.adapters[a] = true
		}
		models[h.Model] = r
	}
	return models
}
