package fleet

import (
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

	mu      sync.Mutex
	token   int64
	heard   time.Time
	notices map[EndpointID]map[string]residence
	// far is when a model without a copy can serve at best, by the last notice.
	far   map[modelKey]time.Time
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

type modelKey struct{ service, model string }

// NewBoard returns a board on a directory.
func NewBoard(d *Directory) *Board {
	return &Board{directory: d, notices: map[EndpointID]map[string]residence{}, index: newIndex()}
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
	if n.Token < b.token {
		return false
	}
	if n.Token > b.token || n.Full {
		for id := range b.notices {
			b.index.touch(id)
		}
		b.notices = map[EndpointID]map[string]residence{}
	}
	b.token = n.Token
	b.heard = now
	for _, p := range n.Endpoints {
		b.notices[p.Endpoint] = residences(now, p)
		b.index.touch(p.Endpoint)
	}
	b.far = make(map[modelKey]time.Time, len(n.Far))
	for _, f := range n.Far {
		b.far[modelKey{f.Service, f.Model}] = now.Add(time.Duration(f.ReadyIn) * time.Millisecond)
	}
	b.stale = true
	return true
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

// Token returns the newest claim that a notice has named.
func (b *Board) Token() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.token
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
		l.FarUntil = b.far[modelKey{service, model}]
	}
	for _, r := range b.index.holders(modelKey{service, model}) {
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
