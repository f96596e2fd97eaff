package orders

import (
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/residency"
)

// track is what the controller believes of one endpoint. It is a shard of
// the controller's state with a lock of its own.
type track struct {
	mu       sync.Mutex
	endpoint fleet.Endpoint
	offset   int64
	// known is set once the endpoint itself has been asked under this claim.
	known    bool
	sequence int64
	// doubt is the expected sequence of an order that was given up without an
	// answer; noDoubt means none.
	doubt  int64
	models map[string]*resident
	copies map[string]residency.Tier
	// working is set while a swap is carried out, coming names the model that it
	// is for until its load has begun.
	working bool
	coming  string
	// busyUntil is when a load under way ends.
	busyUntil time.Time
	// ordered is when the last order was sent.
	ordered time.Time
	reach   reach
	// pausing is when a host last told that the endpoint has asked it for a pause.
	pausing time.Time
	// asked is when the endpoint was last asked for its state.
	asked time.Time
	// pause is until when nothing is tried after a failure.
	pause   time.Time
	changed bool

	// orderMu keeps orders to the endpoint in a row; their sequence has no gaps.
	orderMu sync.Mutex
}

// noDoubt is below every sequence.
const noDoubt = -1

type resident struct {
	readyAt time.Time
	since   time.Time
	leaving bool
	// unsure is set from a slow load until the endpoint has confirmed it.
	unsure   bool
	adapters map[string]*adapter
}

type adapter struct {
	readyAt time.Time
	leaving bool
	used    time.Time
}

func newTrack(v fleet.View) *track {
	t := &track{doubt: noDoubt, endpoint: v.Endpoint, models: map[string]*resident{}, copies: map[string]residency.Tier{}, changed: true}
	t.adopt(time.Time{}, v.Holds)
	t.offset = v.Offset
	t.noteCopies(time.Time{}, v.Endpoint)
	return t
}

// reach is what is known of the connections to an endpoint.
//
// The failure: endpoints crash, and the list names them for seconds more. Models
// that lay there counted as held, so that they were loaded nowhere else, and
// swaps were begun there; requests were refused after four failed connections.
// An endpoint is lost when another host has told so and this one finds the same:
// a controller that is cut off alone must not take it from the others.
type reach struct {
	// failed is set while this host cannot connect, told when another host could
	// not, lost once both came together, until the endpoint answers again.
	failed bool
	told   time.Time
	lost   bool
}

// toldFor is how long another host's word counts: a few reports.
const toldFor = 2 * time.Second

// reported takes in that another host could not connect. The endpoint is asked,
// unless that is under way or was done just now.
func (t *track) reported(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reach.told = now
	t.settleReach(now)
	if !t.reach.failed && !t.working && now.Sub(t.asked) > failurePause {
		t.known = false
	}
}

// pauses takes in that the endpoint has asked a host for a pause.
func (t *track) pauses(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pausing = now
}

// markUnreachable notes that this host could not connect.
func (t *track) markUnreachable(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reach.failed = true
	t.settleReach(now)
}

func (t *track) settleReach(now time.Time) {
	if t.reach.failed && now.Sub(t.reach.told) < toldFor && !t.reach.lost {
		t.reach.lost = true
		t.changed = true
	}
}

// adopt takes over what the endpoint says it holds.
func (t *track) adopt(now time.Time, holds []fleet.Held) {
	old := t.models
	t.models = make(map[string]*resident, len(holds))
	for _, h := range holds {
		r := old[h.Model]
		if r == nil {
			r = &resident{since: now, adapters: map[string]*adapter{}}
		}
		r.leaving = false
		r.unsure = false
		adapters := make(map[string]*adapter, len(h.Adapters))
		for _, name := range h.Adapters {
			a := r.adapters[name]
			if a == nil {
				a = &adapter{used: now}
			}
			a.leaving = false
			adapters[name] = a
		}
		r.adapters = adapters
		t.models[h.Model] = r
		t.copies[h.Model] = max(t.copies[h.Model], residency.OnDisk)
	}
	t.changed = true
}

// noteCopies takes over which models reload fast. The list lags, so that what
// was loaded since it was written is kept. A copy that has yielded to others
// must go: a load believed to be fast would take seconds.
func (t *track) noteCopies(now time.Time, e fleet.Endpoint) {
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

// update takes in a newer entry of the list. The entry lags behind orders that
// this host has given, so that it settles only what no order has changed since.
func (t *track) update(now time.Time, v fleet.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v.Offset <= t.offset {
		return
	}
	t.offset = v.Offset
	t.endpoint = v.Endpoint
	t.noteCopies(now, v.Endpoint)
	if t.known && !t.working && now.Sub(t.ordered) > listLag && !sameModels(t.models, v.Holds) {
		// Orders of another holder, or late ones, have come in between.
		t.known = false
	}
}

func sameModels(models map[string]*resident, holds []fleet.Held) bool {
	if len(models) != len(holds) {
		return false
	}
	for _, h := range holds {
		if r := models[h.Model]; r == nil || r.leaving {
			return false
		}
	}
	return true
}

// settle takes in the endpoint's own report, asked for while no order was out.
// The report may be older than the last order of a former holder. That is safe:
// what it says holds for its sequence, and an order that expects this sequence
// is refused if another came after it.
func (t *track) settle(now time.Time, r fleet.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence = r.Sequence
	t.changed = t.changed || t.reach.lost
	t.reach = reach{}
	if r.Busy {
		t.pause = now.Add(reportLag)
		return
	}
	t.adopt(now, r.Holds)
	for _, name := range r.Loading {
		model, a := splitAdapter(name)
		if m := t.models[model]; m != nil && m.adapters[a] == nil {
			m.adapters[a] = &adapter{readyAt: now.Add(reportLag), used: now}
		}
	}
	t.known = true
}

// snapshot returns the endpoint as decisions see it.
func (t *track) snapshot(now time.Time, engine *fleet.Engine) residency.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := residency.Endpoint{
		ID:         t.endpoint.ID,
		Zone:       t.endpoint.Zone,
		CapacityMB: engine.WeightsMB,
		Copies:     make(map[string]residency.Tier, len(t.copies)),
		Busy:       t.working || !t.known || now.Before(t.pause) || now.Before(t.busyUntil),
	}
	for name, tier := range t.copies {
		e.Copies[name] = tier
	}
	for name, r := range t.models {
		e.Residents = append(e.Residents, residency.Resident{
			Model:    name,
			MB:       engine.Models[name].WeightsMB,
			Ready:    !now.Before(r.readyAt) && !r.unsure,
			Since:    r.since,
			Leaving:  r.leaving,
			Adapters: len(r.adapters),
		})
	}
	if t.coming != "" {
		// Unloads may wait for seconds. Unless the model counts from the decision
		// on, another of its homes would be swapped for the same requests.
		e.Residents = append(e.Residents, residency.Resident{Model: t.coming, MB: engine.Models[t.coming].WeightsMB})
	}
	slices.SortFunc(e.Residents, func(a, b residency.Resident) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return e
}

// placement returns the endpoint as other hosts need it.
func (t *track) placement(now time.Time) fleet.Placement {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := fleet.Placement{Endpoint: t.endpoint.ID}
	if t.reach.lost {
		return p
	}
	for name, r := range t.models {
		m := fleet.ModelPlacement{Model: name, Leaving: r.leaving}
		if wait := r.readyAt.Sub(now); wait > 0 || r.unsure {
			m.ReadyIn = max(1, wait.Milliseconds())
		}
		if r.unsure {
			m.ReadyIn = max(m.ReadyIn, unsureReady.Milliseconds())
		}
		for a, x := range r.adapters {
			if !x.leaving && !now.Before(x.readyAt) {
				m.Adapters = append(m.Adapters, a)
			}
		}
		p.Models = append(p.Models, m)
	}
	return p
}

// takeChanged tells whether other hosts have to hear of the endpoint.
func (t *track) takeChanged() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.changed
	t.changed = false
	return c
}
