package serve

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// silentLimit is how long an endpoint with running requests may send nothing
	// at all before it is taken for hung. Several requests share it, so that
	// their first tokens and events come far more often.
	silentLimit = 900 * time.Millisecond
	// wantedFor is how long a refused request counts as demand: the longest time
	// after which clients are told to come back.
	wantedFor = maxRetryAfter
	// recheck is how often a waiting request looks at what may have ended its wait.
	recheck = 500 * time.Millisecond
	// serviceWeight is the weight of one request in the moving service time.
	serviceWeight = 0.1
	// startService is the service time assumed before the first request.
	startService = 200 * time.Millisecond
)

// Need names what an endpoint must hold for a request.
type Need struct {
	Service string
	Model   string
	Adapter string
}

// What names the model, or the adapter with its model.
func (n Need) What() string {
	if n.Adapter == "" {
		return n.Model
	}
	return n.Model + "/" + n.Adapter
}

// Found is where a need is met.
type Found struct {
	// Ready endpoints hold what is needed and take requests.
	Ready []fleet.Endpoint
	// ComingAt is when the next endpoint will, zero if none is loading.
	ComingAt time.Time
	// FarUntil is when a model that has no copy at any endpoint can serve at
	// best; zero if it has one or that is not known.
	FarUntil time.Time
	// Known tells whether the service has any endpoint.
	Known bool
	// Unnamed needs are for a model or adapter that no configuration names.
	Unnamed bool
}

// Placement tells where models are held.
type Placement interface {
	Find(now time.Time, n Need) Found
}

// Dispatcher is the queue of requests that are ranked by their routes and aims.
// Its state is in shards by service, each under its own lock.
type Dispatcher struct {
	zone      string
	placement Placement
	health    *Health
	now       func() time.Time
	// wanted is called without a lock when a request waits for a model that no
	// endpoint holds.
	wanted func()

	mu     sync.Mutex
	shards map[string]*shard
	// closeAt is when everything that waits is refused, zero while the host stays.
	closeAt atomic.Pointer[time.Time]
}

// CloseAt makes requests wait no longer than until then: the host stops.
func (d *Dispatcher) CloseAt(at time.Time) { d.closeAt.Store(&at) }

// shard is the queue of one service.
type shard struct {
	mu      sync.Mutex
	waiting []*waiter
	use     map[Need]*use
	service time.Duration
}

type use struct {
	inflight int
	arrived  int
	priority int
	// starting is for how long requests have waited at endpoints for the first part
	// of their answers, summed, since the last report.
	starting time.Duration
	// wantedUntil is until when a refused request counts as demand: its client
	// was told to come back, and the model has to be loaded by then.
	wantedUntil time.Time
}

type waiter struct {
	need    Need
	request *Request
	avoid   Avoidance
	// place receives an endpoint, or a refusal, exactly once.
	place chan grant
}

type grant struct {
	endpoint fleet.Endpoint
	refusal  *Refusal
}

// NewDispatcher returns a dispatcher without any requests.
func NewDispatcher(zone string, p Placement, h *Health, now func() time.Time, wanted func()) *Dispatcher {
	return &Dispatcher{zone: zone, placement: p, health: h, now: now, wanted: wanted, shards: map[string]*shard{}}
}

func (d *Dispatcher) shard(service string) *shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.shards[service]
	if s == nil {
		s = &shard{use: map[Need]*use{}, service: startService}
		d.shards[service] = s
	}
	return s
}

func (s *shard) useOf(n Need) *use {
	u := s.use[n]
	if u == nil {
		u = &use{priority: math.MaxInt}
		s.use[n] = u
	}
	return u
}

// Arrive implements Queue.
func (d *Dispatcher) Arrive(r *Request) {
	s := d.shard(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.useOf(r.Need())
	u.arrived++
	u.priority = min(u.priority, r.Route.Priority)
}

// Acquire implements Queue.
func (d *Dispatcher) Acquire(ctx context.Context, r *Request, t Tried) (fleet.Endpoint, *Refusal) {
	s := d.shard(r.Service)
	w := &waiter{need: r.Need(), request: r, avoid: t.At, place: make(chan grant, 1)}
	now := d.now()
	s.mu.Lock()
	if e, ok := d.pick(now, s, w); ok {
		s.mu.Unlock()
		return e, nil
	}
	situation, cold := d.situation(now, w)
	until, retryAfter, hold := d.hold(r, situation)
	if !hold || !situation.Known {
		s.wantLater(now, w.need, situation)
		s.mu.Unlock()
		if cold {
			d.wanted()
		}
		return fleet.Endpoint{}, refuse(situation, max(retryAfter, minRetryAfter))
	}
	s.push(w)
	s.mu.Unlock()
	if cold {
		d.wanted()
	}
	return d.await(ctx, s, w, until)
}

// hold decides whether a request waits, also in view of the host's stop.
func (d *Dispatcher) hold(r *Request, s Situation) (until time.Time, retryAfter time.Duration, hold bool) {
	until, retryAfter, hold = Hold(r, s)
	if at := d.closeAt.Load(); at != nil && until.After(*at) {
		until = *at
		hold = hold && s.Now.Before(until)
		retryAfter = max(retryAfter, minRetryAfter)
	}
	return until, retryAfter, hold
}

func refuse(s Situation, retryAfter time.Duration) *Refusal {
	cause := CauseNotLoaded
	switch {
	case s.Unnamed:
		cause = CauseNoModel
	case !s.Known:
		cause = CauseNoEndpoint
	case s.Ready:
		cause = CauseNoRoom
	case s.Limited:
		cause = CauseLimited
	}
	return &Refusal{Cause: cause, NotRun: true, RetryAfter: retryAfter}
}

func (d *Dispatcher) await(ctx context.Context, s *shard, w *waiter, until time.Time) (fleet.Endpoint, *Refusal) {
	for {
		timer := time.NewTimer(min(until.Sub(d.now()), recheck))
		select {
		case g := <-w.place:
			timer.Stop()
			return g.endpoint, g.refusal
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		now := d.now()
		s.mu.Lock()
		situation, _ := d.situation(now, w)
		next, retryAfter, hold := d.hold(w.request, situation)
		if hold && ctx.Err() == nil {
			s.mu.Unlock()
			until = next
			continue
		}
		removed := s.remove(w)
		if removed && ctx.Err() == nil {
			// A place may have come free with time alone, and nobody has looked since.
			if e, ok := d.pick(now, s, w); ok {
				s.mu.Unlock()
				return e, nil
			}
		}
		s.wantLater(now, w.need, situation)
		s.mu.Unlock()
		if !removed {
			// A place was given at the same moment.
			g := <-w.place
			return g.endpoint, g.refusal
		}
		if ctx.Err() != nil {
			return fleet.Endpoint{}, &Refusal{Cause: CauseClientGone, NotRun: true}
		}
		return fleet.Endpoint{}, refuse(situation, retryAfter)
	}
}

// situation tells also whether a model is missing that should be loaded.
func (d *Dispatcher) situation(now time.Time, w *waiter) (s Situation, cold bool) {
	f := d.placement.Find(now, w.need)
	freeAt, limited := d.freed(now, w.need, f.Ready)
	s = Situation{Now: now, Ready: len(f.Ready) > 0 && !limited, ComingAt: f.ComingAt, FarUntil: f.FarUntil, Known: f.Known, Unnamed: f.Unnamed, Limited: limited}
	if s.ComingAt.IsZero() || !freeAt.IsZero() && freeAt.Before(s.ComingAt) {
		s.ComingAt = freeAt
	}
	return s, !s.Ready && !s.Unnamed && w.need.Model != ""
}

// wantLater keeps a need alive whose request was refused because its model has
// to come from the weight store. Otherwise a model that takes longer to load than clients wait
// would be refused for ever and never loaded.
func (s *shard) wantLater(now time.Time, n Need, why Situation) {
	if !why.Ready && !why.FarUntil.IsZero() {
		s.useOf(n).wantedUntil = now.Add(wantedFor)
	}
}

// push keeps the queue in the order in which places are given.
func (s *shard) push(w *waiter) {
	at, _ := slices.BinarySearchFunc(s.waiting, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.request.Route.Priority, b.request.Route.Priority), a.request.Aim().Compare(b.request.Aim()), -1)
	})
	s.waiting = slices.Insert(s.waiting, at, w)
}

func (s *shard) remove(w *waiter) bool {
	i := slices.Index(s.waiting, w)
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return true
}

// Kick gives places to waiting requests after something has changed.
func (d *Dispatcher) Kick() {
	d.mu.Lock()
	services := make([]string, 0, len(d.shards))
	for name := range d.shards {
		services = append(services, name)
	}
	d.mu.Unlock()
	for _, name := range services {
		d.kick(d.shard(name))
	}
}

func (d *Dispatcher) kick(s *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := d.now()
	// A need that found no place is not tried again for later requests.
	blocked := map[Need]bool{}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		if blocked[w.need] {
			return false
		}
		e, ok := d.pick(now, s, w)
		if !ok {
			blocked[w.need] = len(w.avoid) == 0
			return false
		}
		w.place <- grant{endpoint: e}
		return true
	})
}

// Release implements Queue.
func (d *Dispatcher) Release(r *Request, e fleet.EndpointID, u Use) {
	d.health.End(e)
	if u.Unreachable {
		d.health.Unreachable(d.now(), e)
		d.wanted()
	}
	s := d.shard(r.Service)
	s.mu.Lock()
	s.useOf(r.Need()).inflight--
	if u.Took > 0 {
		s.service += time.Duration(float64(u.Took-s.service) * serviceWeight)
	}
	idle := len(s.waiting) == 0
	s.mu.Unlock()
	if !idle {
		d.kick(s)
	}
}

// Began implements Queue.
func (d *Dispatcher) Began(r *Request, after time.Duration) {
	s := d.shard(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.useOf(r.Need()).starting += after
}

// ServiceTime implements Queue.
func (d *Dispatcher) ServiceTime(service string) time.Duration {
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service
}
