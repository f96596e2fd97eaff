package serve

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tealvane/tealvane/pkg/admission"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/occupancy"
	"github.com/tealvane/tealvane/pkg/wfq"
)

const (
	// stalledAfter is the time without any response byte after which an endpoint with running
	// requests is considered stalled.
	stalledAfter = 900 * time.Millisecond
	// unmetDemandTTL is how long a refused request counts as demand. It covers the longest
	// Retry-After sent to clients.
	unmetDemandTTL = maxRetryAfter
	// holdRecheckInterval is the interval at which Hold is evaluated again for a waiting
	// request.
	holdRecheckInterval = 500 * time.Millisecond
	// serviceTimeWeight is the weight of one request in the moving average of the service
	// time.
	serviceTimeWeight = 0.1
	// initialServiceTime is the service time assumed before the first request.
	initialServiceTime = 200 * time.Millisecond
)

// Need identifies the service, model, adapter and software version that a request requires.
type Need struct {
	Service string
	Model   string
	Adapter string
	Version fleet.VersionRequirement
}

// anyVersion returns the need without its software version. Demand and statistics are those of all versions.
func (n Need) anyVersion() Need {
	n.Version = fleet.VersionRequirement{}
	return n
}

// QualifiedName returns the name of the model, or of the adapter prefixed with its model.
func (n Need) QualifiedName() string {
	if n.Adapter == "" {
		return n.Model
	}
	return n.Model + "/" + n.Adapter
}

// Location describes which endpoints can serve a Need.
type Location struct {
	// Ready lists the endpoints that have the model loaded and accept requests.
	Ready []fleet.Endpoint
	// ReadyAt is when the next endpoint finishes loading the model, or zero if none is
	// loading it.
	ReadyAt time.Time
	// ColdReadyAt is the earliest time at which a model without a replica can be ready. It is
	// zero if the model has a replica or the time is not known.
	ColdReadyAt time.Time
	// HasEndpoints reports whether the service has any endpoint.
	HasEndpoints bool
	// LoadsAdapter reports that no endpoint serves the adapter, but one has its model and can load the adapter
	// in a short time.
	LoadsAdapter bool
	// LoadsModel reports that no endpoint of the required software version has the model, but one can load it from a
	// copy of its own.
	LoadsModel bool
	// NotConfigured reports that no configuration names the model or adapter.
	NotConfigured bool
}

// Placement locates the endpoints that can serve a Need.
type Placement interface {
	Find(now time.Time, n Need) Location
}

// Dispatcher is a Queue that orders waiting requests by the priority of their route and by
// their objective, and under contention shares slots between accounts. Its state is sharded by
// service, with one lock per shard.
type Dispatcher struct {
	zone      string
	placement Placement
	health    *Health
	now       func() time.Time
	// onMissingModel is called without a lock held when a request needs a model that no
	// endpoint can serve now.
	onMissingModel func()
	// Contention reports whether requests for a service are scheduled for contention. It may be
	// nil, which means never, and must not be changed once requests are served.
	Contention func(service string) bool
	// Occupancy is the shared view of the requests of all hosts, used for services that are
	// scheduled for contention. It may be nil and must not be changed once requests are served.
	Occupancy *occupancy.Local
	// Levels holds the levels of models for services that are scheduled for contention. It may be
	// nil, and must not be changed once requests are served.
	Levels *admission.Table
	// Slots tells about services whose endpoints are brittle. It may be nil and must not be changed once requests
	// are served.
	Slots SlotLimits
	// EstimateWork returns the estimated work of a request, by which its account is charged under
	// contention. It may be nil, which means 1 for each request, and must not be changed once
	// requests are served. It is called with the lock of a service held.
	EstimateWork func(r *Request) float64

	// returns holds refused requests of services that are scheduled for contention.
	returns admission.Returns

	mu     sync.Mutex
	shards map[string]*shard
	// endsAt is the time at which runs are cut off, or nil while the host is not shutting down.
	endsAt atomic.Pointer[time.Time]
}

// shard is the queue of one service.
type shard struct {
	service     string
	mu          sync.Mutex
	waiting     waitList
	shares      map[string]*accountWork
	stats       map[Need]*needStats
	serviceTime time.Duration
	readTime    readTime
	runTime     runTime
	// contended has entries only for services that are scheduled for contention.
	contended map[Need]*contendedStats
	// firstByte is the moving average of the time to the first byte, or 0 before the first one. It
	// is measured only for services that are scheduled for contention.
	firstByte time.Duration
}

type needStats struct {
	inflight int
	arrived  int
	priority int
	// firstByteWait is the total time that requests waited at endpoints for the first byte of
	// the response since the last report.
	firstByteWait time.Duration
	// unmetUntil is the time until which a refused request counts as demand. Its client is
	// expected to retry, so the model has to be loaded by then.
	unmetUntil time.Time
}

type waiter struct {
	need    Need
	request *Request
	avoid   Avoidance
	// resumed reports that the response has begun. The request then waits until resumeUntil.
	resumed     bool
	resumeUntil time.Time
	// since is when the request began to wait, or zero.
	since time.Time
	// granted receives an endpoint or a refusal, at most once.
	granted chan grant
	// item is the waiter's item in a fair queue, or nil, and work the estimated work of the request.
	item *wfq.Item[*waiter]
	work float64
}

// goesOn reports whether the request goes on a stream at the software version that began it.
func (w *waiter) goesOn() bool { return w.need.Version.Set }

type grant struct {
	endpoint fleet.Endpoint
	refusal  *Refusal
}

// NewDispatcher returns an empty dispatcher for a host in the given availability zone.
// onMissingModel is called when a request needs a model that no endpoint can serve now.
func NewDispatcher(zone string, p Placement, h *Health, now func() time.Time, onMissingModel func()) *Dispatcher {
	return &Dispatcher{zone: zone, placement: p, health: h, now: now, onMissingModel: onMissingModel, shards: map[string]*shard{}}
}

// contention reports whether requests for a service are scheduled for contention.
func (d *Dispatcher) contention(service string) bool {
	return d.Contention != nil && d.Contention(service)
}

func (d *Dispatcher) shard(service string) *shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.shards[service]
	if s == nil {
		s = &shard{service: service, shares: map[string]*accountWork{}, stats: map[Need]*needStats{}, serviceTime: initialServiceTime}
		d.shards[service] = s
	}
	return s
}

func (s *shard) statsOf(n Need) *needStats {
	n = n.anyVersion()
	st := s.stats[n]
	if st == nil {
		st = &needStats{priority: math.MaxInt}
		s.stats[n] = st
	}
	return st
}

// RecordArrival implements Queue.
func (d *Dispatcher) RecordArrival(r *Request) {
	s := d.shard(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.statsOf(r.Need())
	st.arrived++
	st.priority = min(st.priority, r.Route.Priority)
	if d.contention(r.Service) {
		d.recordContended(s, r)
	}
}

// Acquire implements Queue.
func (d *Dispatcher) Acquire(ctx context.Context, r *Request, prior PriorAttempts) (fleet.Endpoint, *Refusal) {
	s := d.shard(r.Service)
	now := d.now()
	w := &waiter{need: r.Need(), request: r, avoid: prior.Avoid, granted: make(chan grant, 1)}
	w.need.Version = prior.Version
	if prior.ResponseStarted {
		w.resumed, w.resumeUntil = true, resumeUntil(r, now)
	}
	s.mu.Lock()
	if latest, ending := d.latestStart(s, r); ending && !w.resumed && now.After(latest) {
		s.mu.Unlock()
		return fleet.Endpoint{}, &Refusal{Cause: CauseStopping, NotRun: true, RetryAfter: minRetryAfter}
	}
	s.waiting.setFair(d.contention(r.Service))
	if e, ok := d.acquireNow(now, s, w); ok {
		s.mu.Unlock()
		return e, nil
	}
	input, missing := d.holdInput(now, s, w)
	until, retryAfter, hold := d.hold(s, w, input)
	if !hold || !input.HasEndpoints {
		s.keepDemand(now, w.need, input)
		s.mu.Unlock()
		if missing {
			d.onMissingModel()
		}
		return fleet.Endpoint{}, newRefusal(w, input, max(retryAfter, minRetryAfter))
	}
	w.since = now
	s.waiting.push(w)
	s.mu.Unlock()
	if missing {
		d.onMissingModel()
	}
	return d.await(ctx, s, w, until)
}

// hold decides whether a request waits. It limits the result of Hold to the latest time at which the request may be
// sent. It must be called with the lock of the shard held.
func (d *Dispatcher) hold(sh *shard, w *waiter, s HoldInput) (until time.Time, retryAfter time.Duration, hold bool) {
	r := w.request
	if w.need.Version.Set && s.versionGone(w) {
		return s.Now, maxRetryAfter, false
	}
	if w.resumed {
		until, hold = w.resumeUntil, s.Now.Before(w.resumeUntil) && !s.NotConfigured
	} else {
		until, retryAfter, hold = Hold(r, s)
	}
	if last := r.StartDeadline().Add(-refusalMargin); w.goesOn() && !w.resumed && last.After(until) {
		// No other host can serve it sooner, so that its client gains nothing by coming back.
		until, hold = last, s.Now.Before(last) && !s.NotConfigured
	}
	if latest, ending := d.latestStart(sh, r); ending && until.After(latest) {
		until = latest
		hold = hold && s.Now.Before(until)
		retryAfter = max(retryAfter, minRetryAfter)
	}
	if !hold && s.Contention != nil {
		retryAfter = contendedRetryAfter(r, s)
	}
	return until, retryAfter, hold
}

// versionGone reports whether no endpoint of the required software version can serve the waiter in time. Its
// adapter is loaded there if need be, and its model if an endpoint has a copy: a load from the weight store would take
// too long.
func (s HoldInput) versionGone(w *waiter) bool {
	latest := w.request.StartDeadline()
	if w.resumed {
		latest = w.resumeUntil
	}
	return !s.Ready && !s.Limited && !s.Unreachable && !s.LoadsAdapter && !s.LoadsModel && (s.ReadyAt.IsZero() || s.ReadyAt.After(latest))
}

func newRefusal(w *waiter, s HoldInput, retryAfter time.Duration) *Refusal {
	cause := CauseNotLoaded
	switch {
	case s.NotConfigured:
		cause = CauseNoModel
	case w.need.Version.Set && s.versionGone(w):
		cause = CauseVersionGone
	case !s.HasEndpoints:
		cause = CauseNoEndpoint
	case s.Ready && s.Contention != nil:
		cause = CauseContention
	case s.Ready:
		cause = CauseNoRoom
	case s.Limited:
		cause = CauseLimited
	case s.Unreachable:
		cause = CauseUnreachable
	}
	return &Refusal{Cause: cause, NotRun: true, RetryAfter: retryAfter}
}

func (d *Dispatcher) await(ctx context.Context, s *shard, w *waiter, until time.Time) (fleet.Endpoint, *Refusal) {
	for {
		timer := time.NewTimer(min(until.Sub(d.now()), holdRecheckInterval))
		select {
		case g := <-w.granted:
			timer.Stop()
			return g.endpoint, g.refusal
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		now := d.now()
		s.mu.Lock()
		input, _ := d.holdInput(now, s, w)
		next, retryAfter, hold := d.hold(s, w, input)
		if hold && ctx.Err() == nil {
			s.mu.Unlock()
			until = next
			continue
		}
		if s.waiting.isFair() && ctx.Err() == nil {
			// This request must not overtake others that wait for the same slots.
			d.dispatch(now, s)
		}
		removed := s.waiting.remove(w)
		if removed && !s.waiting.isFair() && ctx.Err() == nil {
			// A slot may have become available without a call of DispatchWaiting.
			if e, ok := d.pick(now, s, w); ok {
				s.mu.Unlock()
				return e, nil
			}
		}
		s.keepDemand(now, w.need, input)
		s.mu.Unlock()
		if !removed {
			// A slot was granted concurrently.
			g := <-w.granted
			return g.endpoint, g.refusal
		}
		if ctx.Err() != nil {
			return fleet.Endpoint{}, &Refusal{Cause: CauseClientGone, NotRun: true}
		}
		return fleet.Endpoint{}, newRefusal(w, input, retryAfter)
	}
}

// holdInput returns the input of Hold for a waiter. missing reports whether the request needs
// a model that no endpoint can serve now and that should be loaded. It must be called with s.mu held.
func (d *Dispatcher) holdInput(now time.Time, sh *shard, w *waiter) (s HoldInput, missing bool) {
	location := d.placement.Find(now, w.need)
	limitedUntil, limited := d.limitedUntil(now, w.need, location.Ready)
	unreachable := d.allUnreachable(now, w.need, location.Ready)
	s = HoldInput{Now: now, Ready: len(location.Ready) > 0 && !limited && !unreachable, Unreachable: unreachable, ReadyAt: location.ReadyAt, ColdReadyAt: location.ColdReadyAt, HasEndpoints: location.HasEndpoints, LoadsAdapter: location.LoadsAdapter, LoadsModel: location.LoadsModel, NotConfigured: location.NotConfigured, Limited: limited}
	if s.ReadyAt.IsZero() || !limitedUntil.IsZero() && limitedUntil.Before(s.ReadyAt) {
		s.ReadyAt = limitedUntil
	}
	if d.contention(w.need.Service) && !w.goesOn() {
		s.Contention = d.contentionInput(now, sh, w)
	}
	return s, !s.Ready && !s.NotConfigured && w.need.Model != "" && (!w.need.Version.Set || s.LoadsAdapter || s.LoadsModel)
}

// keepDemand keeps counting a refused request as demand if its model has to be loaded from the
// weight store. Without it, a model that takes longer to load than clients wait would never be
// loaded.
func (s *shard) keepDemand(now time.Time, n Need, input HoldInput) {
	if !input.Ready && !input.ColdReadyAt.IsZero() {
		s.statsOf(n).unmetUntil = now.Add(unmetDemandTTL)
	}
}

// DispatchWaiting grants free slots to waiting requests. It must be called after endpoints
// or their state change.
func (d *Dispatcher) DispatchWaiting() {
	for _, s := range d.allShards() {
		d.dispatchShard(s)
	}
}

func (d *Dispatcher) dispatchShard(s *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting.setFair(d.contention(s.service))
	d.dispatch(d.now(), s)
}

// Release implements Queue.
func (d *Dispatcher) Release(r *Request, e fleet.EndpointID, result SlotResult) {
	d.health.End(e)
	if !result.NotRun {
		d.health.recordFreed(e)
	}
	d.recordCompletion(r, e, result)
	if result.Unreachable {
		d.health.RecordUnreachable(d.now(), e)
		d.onMissingModel()
	}
	s := d.shard(r.Service)
	s.mu.Lock()
	s.statsOf(r.Need()).inflight--
	if d.contention(r.Service) {
		d.releaseContended(s, r.Need(), result)
	}
	if result.Duration > 0 {
		s.serviceTime += time.Duration(float64(result.Duration-s.serviceTime) * serviceTimeWeight)
		s.runTime.add(d.now(), result.Duration)
	}
	if result.NotRun {
		s.refund(r)
	}
	idle := s.waiting.len() == 0
	s.mu.Unlock()
	if !idle {
		d.dispatchShard(s)
	}
}

// RecordFirstByte implements Queue.
func (d *Dispatcher) RecordFirstByte(r *Request, after time.Duration) {
	s := d.shard(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statsOf(r.Need()).firstByteWait += after
	if r.PromptTokens > 0 && r.SharedTokens == 0 {
		s.readTime.add(r.PromptTokens, after)
	}
	if d.contention(r.Service) {
		s.recordFirstByte(after)
	}
}

// ServiceTime implements Queue.
func (d *Dispatcher) ServiceTime(service string) time.Duration {
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serviceTime
}
