package fairqueue

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/admission"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/routing"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/state"
)

const (
	// averageDivisor determines the weight of a new observation in a moving average, which is
	// 1/averageDivisor.
	averageDivisor = 8
	// usageRetention is how long usage is reported after its last request has ended. It covers a
	// few lost reports and a change of the pool's controller.
	usageRetention = 10 * time.Second
)

// queue holds the waiting and running requests of one model of one pool on this host.
type queue struct {
	queues *Queues
	pool   string
	model  string
	kind   contract.Kind

	mu       sync.Mutex
	waiting  admission.Queue
	inflight map[string]int
	// otherLoad holds the load that other hosts put on each replica, as reported by the engines.
	otherLoad   map[string]loadReport
	customers   map[string]*customerUse
	limits      contract.Model
	serviceTime time.Duration
	loadTime    time.Duration
	// loadStartedAt is when this host first observed the current load of the model, zero without
	// one.
	loadStartedAt time.Time
}

// customerUse is one customer's use of the model on this host.
type customerUse struct {
	waiting  int
	inflight int
	lastEnd  time.Time
	// demandUntil is the end of the retry delay of a request that was refused because the model is
	// not loaded. Until then it counts as demand. Otherwise a model that takes longer to load than
	// callers wait would never be loaded.
	demandUntil time.Time
}

// loadReport is the number of other hosts' requests at a replica.
type loadReport struct {
	running int
	at      time.Time
}

func newQueue(queues *Queues, m contract.Model) *queue {
	return &queue{
		queues:    queues,
		pool:      m.Pool,
		model:     m.Name,
		kind:      m.Kind,
		inflight:  map[string]int{},
		otherLoad: map[string]loadReport{},
		customers: map[string]*customerUse{},
		limits:    m,
	}
}

// recordLoad records an engine's load report for one replica.
func (q *queue) recordLoad(now time.Time, replica string, running int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.otherLoad[replica] = loadReport{running: max(0, running-q.inflight[replica]), at: now}
	for id, r := range q.otherLoad {
		if now.Sub(r.at) > usageRetention {
			delete(q.otherLoad, id)
		}
	}
}

// acquire blocks until there is a slot at a replica or the deadline has passed. A request that
// cannot be served in time is refused at once, with a retry delay. If both results are nil, the
// replica was retired meanwhile.
func (q *queue) acquire(ctx context.Context, t Terms, deadline time.Time) (*state.Target, *serve.Refusal) {
	now := q.queues.cfg.Now()
	q.mu.Lock()
	q.limits = t.Model
	if q.waiting.Len() == 0 {
		if target := q.reserve(now, t.Customer); target != nil {
			q.mu.Unlock()
			return target, nil
		}
	}
	reason, retryAfter := admission.Admit(q.estimateInput(now, t.Customer, q.waiting.Ahead(t.Customer, deadline)), deadline.Sub(now), t.Rank)
	if reason != admission.ReasonNone {
		q.recordDemand(now, t.Customer, reason, retryAfter)
		q.mu.Unlock()
		q.queues.cfg.OnDemand()
		return nil, q.refuse(reason, retryAfter)
	}
	w := admission.NewWaiter(t.Customer, deadline)
	w.Weight = t.Weight
	q.waiting.Push(w)
	q.useOf(t.Customer).waiting++
	q.mu.Unlock()
	q.queues.cfg.OnDemand()
	return q.await(ctx, w)
}

func (q *queue) await(ctx context.Context, w *admission.Waiter) (*state.Target, *serve.Refusal) {
	timer := time.NewTimer(w.Deadline.Sub(q.queues.cfg.Now()))
	defer timer.Stop()
	refusal := refuse(string(admission.ReasonDeadline), 0)
	select {
	case result := <-w.Result:
		return q.finish(w, result)
	case <-timer.C:
	case <-ctx.Done():
		refusal = refuse("cancelled", 0)
	}
	q.mu.Lock()
	removed := q.waiting.Remove(w)
	if removed {
		q.useOf(w.Customer).waiting--
	}
	q.mu.Unlock()
	if removed {
		return nil, refusal
	}
	// A slot was granted or the request was refused concurrently.
	return q.finish(w, <-w.Result)
}

func (q *queue) finish(w *admission.Waiter, result admission.Result) (*state.Target, *serve.Refusal) {
	if result.Reason != admission.ReasonNone {
		return nil, q.refuse(result.Reason, result.RetryAfter)
	}
	for _, t := range q.targets() {
		if string(t.Replica) == result.Replica {
			return &t, nil
		}
	}
	// The replica was retired between grant and use.
	q.mu.Lock()
	q.waiting.Refund(w)
	q.mu.Unlock()
	q.returnSlot(w.Customer, result.Replica)
	return nil, nil
}

func (q *queue) targets() []state.Target {
	return q.queues.cfg.Replicas.Targets(q.kind, q.pool, q.model)
}

func (q *queue) refuse(reason admission.Reason, retryAfter time.Duration) *serve.Refusal {
	q.queues.cfg.OnRefused(q.model, string(reason))
	return refuse(string(reason), retryAfter)
}

func refuse(reason string, retryAfter time.Duration) *serve.Refusal {
	return &serve.Refusal{Cause: serve.Cause(reason), NotRun: true, RetryAfter: retryAfter}
}

// active reports whether requests are waiting or running.
func (q *queue) active() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.Len() > 0 || len(q.inflight) > 0
}

func (q *queue) useOf(customer string) *customerUse {
	u := q.customers[customer]
	if u == nil {
		u = &customerUse{}
		q.customers[customer] = u
	}
	return u
}

// reserve reserves a slot at a replica, or returns nil if none is free. It must be called with q.mu
// held.
func (q *queue) reserve(now time.Time, customer string) *state.Target {
	targets, candidates := q.candidates(now)
	i := routing.Pick(candidates, routing.Options{Zone: q.queues.cfg.Zone, ServiceTime: q.serviceTime}, rand.IntN)
	if i < 0 || !q.queues.cfg.Health.Signals.TryAcquire(now, endpointID(targets[i])) {
		return nil
	}
	q.inflight[string(targets[i].Replica)]++
	u := q.useOf(customer)
	u.inflight++
	return &targets[i]
}

// candidates returns the replicas that may receive requests now, and the routing candidate of each.
func (q *queue) candidates(now time.Time) ([]state.Target, []routing.Candidate) {
	need := q.need()
	var targets []state.Target
	var candidates []routing.Candidate
	for _, t := range q.targets() {
		id := string(t.Replica)
		c := q.queues.cfg.Health.Condition(now, endpointID(t), need.Service, need.QualifiedName())
		if c.Closed || c.Limited {
			continue
		}
		targets = append(targets, t)
		candidates = append(candidates, routing.Candidate{
			Replica:       id,
			Zone:          t.Zone,
			OwnRequests:   q.inflight[id],
			Limit:         q.limits.Concurrency,
			Suspect:       c.Suspect,
			OtherRequests: q.otherLoad[id].running,
			ReportAge:     now.Sub(q.otherLoad[id].at),
		})
	}
	return targets, candidates
}

// need returns what the requests of the queue require of an endpoint.
func (q *queue) need() serve.Need {
	if q.kind == contract.Service {
		return serve.Need{Service: q.model}
	}
	return serve.Need{Service: q.pool, Model: q.model}
}

// grant gives free slots to waiting requests, in the order of the queue.
func (q *queue) grant(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		w := q.waiting.Next()
		if w == nil {
			return
		}
		target := q.reserve(now, w.Customer)
		if target == nil {
			return
		}
		q.waiting.Grant(w)
		q.useOf(w.Customer).waiting--
		w.Result <- admission.Result{Replica: string(target.Replica)}
	}
}

// refuseLate refuses waiting requests that cannot be served in time any more. It scans all of
// them, so it runs periodically and not with each request.
func (q *queue) refuseLate(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.trackLoad(now)
	for customer, list := range q.waiting.InOrder() {
		for position, w := range list {
			reason, retryAfter := admission.KeepWaiting(q.estimateInput(now, customer, position), w.Deadline.Sub(now))
			if reason != admission.ReasonNone {
				q.refuseWaiting(now, w, reason, retryAfter)
			}
		}
	}
}

// refuseWaiting refuses a waiting request.
func (q *queue) refuseWaiting(now time.Time, w *admission.Waiter, reason admission.Reason, retryAfter time.Duration) {
	q.waiting.Remove(w)
	q.useOf(w.Customer).waiting--
	q.recordDemand(now, w.Customer, reason, retryAfter)
	w.Result <- admission.Result{Reason: reason, RetryAfter: retryAfter}
}

func (q *queue) recordDemand(now time.Time, customer string, reason admission.Reason, retryAfter time.Duration) {
	if reason == admission.ReasonLoad {
		q.useOf(customer).demandUntil = now.Add(max(retryAfter, minDemandTime))
	}
}

// minDemandTime is the least time for which a refused request counts as demand. It is the shortest
// retry delay.
const minDemandTime = time.Second

// trackLoad measures how long loads of the model take, as observed by this host.
func (q *queue) trackLoad(now time.Time) {
	loading := q.queues.cfg.Replicas.Loading(q.pool, q.model)
	switch {
	case loading && q.loadStartedAt.IsZero():
		q.loadStartedAt = now
	case !loading && !q.loadStartedAt.IsZero():
		if len(q.targets()) > 0 {
			q.loadTime = average(q.loadTime, now.Sub(q.loadStartedAt))
		}
		q.loadStartedAt = time.Time{}
	}
}

func average(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + (observed-old)/averageDivisor
}

// estimateInput returns the input for estimating whether a customer's request can be served in
// time, with the number of its own requests ahead of it.
func (q *queue) estimateInput(now time.Time, customer string, ahead int) admission.EstimateInput {
	s := admission.EstimateInput{
		Slots:       q.share(customer, len(q.targets())*q.limits.Concurrency),
		Ahead:       ahead + q.useOf(customer).inflight,
		ServiceTime: q.serviceTime,
		LoadTime:    q.loadTime,
		CanLoad:     q.kind != contract.Service && q.queues.cfg.Replicas.CanLoad(q.pool),
	}
	if s.LoadTime == 0 {
		s.LoadTime = q.limits.LoadEstimate
	}
	if !q.loadStartedAt.IsZero() {
		s.Loading = true
		s.LoadElapsed = now.Sub(q.loadStartedAt)
	}
	return s
}

// share returns the customer's fair share of the slots among the customers that use the model.
func (q *queue) share(customer string, slots int) int {
	users := 1
	for other, u := range q.customers {
		if other != customer && (u.inflight > 0 || q.waiting.HasWaiter(other)) {
			users++
		}
	}
	return (slots + users - 1) / users
}

// release returns a slot. took is the duration of a successful run, or zero.
func (q *queue) release(customer, replica string, took time.Duration) {
	if took > 0 {
		q.mu.Lock()
		q.serviceTime = average(q.serviceTime, took)
		q.mu.Unlock()
	}
	q.returnSlot(customer, replica)
	q.grant(q.queues.cfg.Now())
}

func (q *queue) returnSlot(customer, replica string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inflight[replica]--
	if q.inflight[replica] == 0 {
		delete(q.inflight, replica)
	}
	u := q.useOf(customer)
	u.inflight--
	u.lastEnd = q.queues.cfg.Now()
}

// usage returns each customer's use of the model, and drops customers that have not used it lately.
func (q *queue) usage(now time.Time) []pool.Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []pool.Usage
	unloaded := len(q.targets()) == 0
	for customer, u := range q.customers {
		waiting, remaining := u.waiting, q.waiting.Earliest().Sub(now)
		if waiting == 0 && unloaded && now.Before(u.demandUntil) {
			waiting, remaining = 1, u.demandUntil.Sub(now)
		}
		if waiting == 0 && u.inflight == 0 && now.Sub(u.lastEnd) > usageRetention {
			delete(q.customers, customer)
			continue
		}
		list = append(list, pool.Usage{
			Customer:  customer,
			Model:     q.model,
			Waiting:   waiting,
			Inflight:  u.inflight,
			Remaining: remaining,
			Idle:      max(0, now.Sub(u.lastEnd)),
		})
	}
	return list
}
