package shares

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
	// averageWeight is the part that a new observation has in a moving average, as a divisor.
	averageWeight = 8
	// usageMemory is how long an ended use is still reported; it covers a few
	// lost reports and the take-over of the pool.
	usageMemory = 10 * time.Second
)

// queue is the shard of one model of one pool: its waiting and running
// requests on this host, under its own lock.
type queue struct {
	all   *Queues
	pool  string
	model string
	kind  contract.Kind

	mu       sync.Mutex
	waiting  admission.Queue
	inflight map[string]int
	// others are the requests of other hosts, by the engines' reports.
	others   map[string]loadReport
	use      map[string]*customerUse
	limits   contract.Model
	service  time.Duration
	loadTime time.Duration
	// loadSeen is when this host first saw a load under way, zero without one.
	loadSeen time.Time
}

// customerUse is one customer's use of the model on this host.
type customerUse struct {
	waiting  int
	inflight int
	lastEnd  time.Time
	// turns counts the places that the customer was given. The next place goes
	// to the customer with fewest; one that comes back starts level with others.
	turns int
	// wantedUntil is until when a caller was told to come back for a model that
	// is not loaded. It counts as demand, or a model whose load takes longer
	// than callers wait would be refused for ever and never loaded.
	wantedUntil time.Time
}

// loadReport is the number of other hosts' requests at a replica.
type loadReport struct {
	running int
	at      time.Time
}

func newQueue(all *Queues, m contract.Model) *queue {
	return &queue{
		all:      all,
		pool:     m.Pool,
		model:    m.Name,
		kind:     m.Kind,
		inflight: map[string]int{},
		others:   map[string]loadReport{},
		use:      map[string]*customerUse{},
		limits:   m,
	}
}

// noteLoad takes in the report of an engine on one replica.
func (q *queue) noteLoad(now time.Time, replica string, running int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.others[replica] = loadReport{running: max(0, running-q.inflight[replica]), at: now}
	for id, r := range q.others {
		if now.Sub(r.at) > usageMemory {
			delete(q.others, id)
		}
	}
}

// acquire waits for a place at a replica until the deadline. A request that
// cannot be served in time is refused at once, with when to come back. Neither a
// target nor a refusal means that the replica was retired meanwhile.
func (q *queue) acquire(ctx context.Context, t Terms, deadline time.Time) (*state.Target, *serve.Refusal) {
	now := q.all.cfg.Now()
	q.mu.Lock()
	q.limits = t.Model
	if q.waiting.Len() == 0 {
		if target := q.take(now, t.Customer); target != nil {
			q.mu.Unlock()
			return target, nil
		}
	}
	reason, retryAfter := admission.Admit(q.situation(now, t.Customer, q.waiting.Ahead(t.Customer, deadline)), deadline.Sub(now), t.Rank)
	if reason != admission.ReasonNone {
		q.wantLater(now, t.Customer, reason, retryAfter)
		q.mu.Unlock()
		q.all.cfg.Wanted()
		return nil, q.refuse(reason, retryAfter)
	}
	w := admission.NewWaiter(t.Customer, deadline)
	q.startLevel(t.Customer)
	q.waiting.Push(w)
	q.useOf(t.Customer).waiting++
	q.mu.Unlock()
	q.all.cfg.Wanted()
	return q.await(ctx, w)
}

func (q *queue) await(ctx context.Context, w *admission.Waiter) (*state.Target, *serve.Refusal) {
	timer := time.NewTimer(w.Deadline.Sub(q.all.cfg.Now()))
	defer timer.Stop()
	refusal := refuse(string(admission.ReasonDeadline), 0)
	select {
	case answer := <-w.Answer:
		return q.finish(w, answer)
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
	// The answer was given at the same moment.
	return q.finish(w, <-w.Answer)
}

func (q *queue) finish(w *admission.Waiter, a admission.Answer) (*state.Target, *serve.Refusal) {
	if a.Reason != admission.ReasonNone {
		return nil, q.refuse(a.Reason, a.RetryAfter)
	}
	for _, t := range q.targets() {
		if string(t.Replica) == a.Replica {
			return &t, nil
		}
	}
	// The replica was retired between grant and use.
	q.giveBack(w.Customer, a.Replica)
	return nil, nil
}

func (q *queue) targets() []state.Target {
	return q.all.cfg.Replicas.Targets(q.kind, q.pool, q.model)
}

func (q *queue) refuse(reason admission.Reason, retryAfter time.Duration) *serve.Refusal {
	q.all.cfg.Refused(q.model, string(reason))
	return refuse(string(reason), retryAfter)
}

func refuse(reason string, retryAfter time.Duration) *serve.Refusal {
	return &serve.Refusal{Cause: serve.Cause(reason), NotRun: true, RetryAfter: retryAfter}
}

// active tells whether requests wait or run.
func (q *queue) active() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.Len() > 0 || len(q.inflight) > 0
}

func (q *queue) useOf(customer string) *customerUse {
	u := q.use[customer]
	if u == nil {
		u = &customerUse{}
		q.use[customer] = u
	}
	return u
}

// take reserves a place at a replica with room, or returns nil.
func (q *queue) take(now time.Time, customer string) *state.Target {
	targets, candidates := q.candidates(now)
	i := routing.Pick(candidates, routing.Choice{Zone: q.all.cfg.Zone, Service: q.service}, rand.IntN)
	if i < 0 || !q.all.cfg.Health.Signals.Use(now, endpointID(targets[i])) {
		return nil
	}
	q.inflight[string(targets[i].Replica)]++
	u := q.useOf(customer)
	u.inflight++
	u.turns++
	return &targets[i]
}

// candidates returns the replicas that may be asked now, and how routing sees them.
func (q *queue) candidates(now time.Time) ([]state.Target, []routing.Candidate) {
	need := q.need()
	var targets []state.Target
	var candidates []routing.Candidate
	for _, t := range q.targets() {
		id := string(t.Replica)
		c := q.all.cfg.Health.Condition(now, endpointID(t), need.Service, need.What())
		if c.Closed || c.Limited {
			continue
		}
		targets = append(targets, t)
		candidates = append(candidates, routing.Candidate{
			Replica: id,
			Zone:    t.Zone,
			Own:     q.inflight[id],
			Limit:   q.limits.Concurrency,
			Suspect: c.Suspect,
			Others:  q.others[id].running,
			Age:     now.Sub(q.others[id].at),
		})
	}
	return targets, candidates
}

// need is what the requests of the queue need of an endpoint.
func (q *queue) need() serve.Need {
	if q.kind == contract.Service {
		return serve.Need{Service: q.model}
	}
	return serve.Need{Service: q.pool, Model: q.model}
}

// startLevel lifts the turns of a customer that was idle to those of the others
// in use; otherwise it could take all places for as long as it was away.
func (q *queue) startLevel(customer string) {
	u := q.useOf(customer)
	if u.waiting > 0 || u.inflight > 0 {
		return
	}
	least := -1
	for other, o := range q.use {
		if other != customer && (o.waiting > 0 || o.inflight > 0) && (least < 0 || o.turns < least) {
			least = o.turns
		}
	}
	u.turns = max(u.turns, least)
}

// grant gives free places to waiting requests, by customer's share and deadline.
func (q *queue) grant(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		w := q.waiting.Next(func(customer string) int { return q.useOf(customer).turns })
		if w == nil {
			return
		}
		target := q.take(now, w.Customer)
		if target == nil {
			return
		}
		q.waiting.Remove(w)
		q.useOf(w.Customer).waiting--
		w.Answer <- admission.Answer{Replica: string(target.Replica)}
	}
}

// reconsider refuses those waiting requests that have become hopeless. It
// looks at all of them, so it runs regularly and not with each request.
func (q *queue) reconsider(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.watchLoad(now)
	for customer, list := range q.waiting.InOrder() {
		for rank, w := range list {
			reason, retryAfter := admission.Keep(q.situation(now, customer, rank), w.Deadline.Sub(now))
			if reason != admission.ReasonNone {
				q.giveUp(now, w, reason, retryAfter)
			}
		}
	}
}

// giveUp answers a waiting request that cannot be served in time.
func (q *queue) giveUp(now time.Time, w *admission.Waiter, reason admission.Reason, retryAfter time.Duration) {
	q.waiting.Remove(w)
	q.useOf(w.Customer).waiting--
	q.wantLater(now, w.Customer, reason, retryAfter)
	w.Answer <- admission.Answer{Reason: reason, RetryAfter: retryAfter}
}

func (q *queue) wantLater(now time.Time, customer string, reason admission.Reason, retryAfter time.Duration) {
	if reason == admission.ReasonLoad {
		q.useOf(customer).wantedUntil = now.Add(max(retryAfter, minWanted))
	}
}

// minWanted is the least time for which a refused call counts as demand: the
// least that its caller can be told to wait.
const minWanted = time.Second

// watchLoad measures how long loads take, as this host sees them.
func (q *queue) watchLoad(now time.Time) {
	loading := q.all.cfg.Replicas.Loading(q.pool, q.model)
	switch {
	case loading && q.loadSeen.IsZero():
		q.loadSeen = now
	case !loading && !q.loadSeen.IsZero():
		if len(q.targets()) > 0 {
			q.loadTime = average(q.loadTime, now.Sub(q.loadSeen))
		}
		q.loadSeen = time.Time{}
	}
}

func average(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + (observed-old)/averageWeight
}

// situation is what an estimate for a customer's request with that many of its
// own ahead depends on.
func (q *queue) situation(now time.Time, customer string, ahead int) admission.Situation {
	s := admission.Situation{
		Slots:    q.share(customer, len(q.targets())*q.limits.Concurrency),
		Ahead:    ahead + q.useOf(customer).inflight,
		Service:  q.service,
		LoadTime: q.loadTime,
		CanLoad:  q.kind != contract.Service && q.all.cfg.Replicas.CanLoad(q.pool),
	}
	if s.LoadTime == 0 {
		s.LoadTime = q.limits.LoadEstimate
	}
	if !q.loadSeen.IsZero() {
		s.Loading = true
		s.LoadElapsed = now.Sub(q.loadSeen)
	}
	return s
}

// share is the part of the places that a customer gets while others use the
// model too.
func (q *queue) share(customer string, slots int) int {
	users := 1
	for other, u := range q.use {
		if other != customer && (u.inflight > 0 || q.waiting.Waits(other)) {
			users++
		}
	}
	return (slots + users - 1) / users
}

// release gives a place back. took is how long a successful run took, or zero.
func (q *queue) release(customer, replica string, took time.Duration) {
	if took > 0 {
		q.mu.Lock()
		q.service = average(q.service, took)
		q.mu.Unlock()
	}
	q.giveBack(customer, replica)
	q.grant(q.all.cfg.Now())
}

func (q *queue) giveBack(customer, replica string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inflight[replica]--
	if q.inflight[replica] == 0 {
		delete(q.inflight, replica)
	}
	u := q.useOf(customer)
	u.inflight--
	u.lastEnd = q.all.cfg.Now()
}

// usage reports the use by each customer since the model was last used.
func (q *queue) usage(now time.Time) []pool.Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []pool.Usage
	cold := len(q.targets()) == 0
	for customer, u := range q.use {
		waiting, remaining := u.waiting, q.waiting.Earliest().Sub(now)
		if waiting == 0 && cold && now.Before(u.wantedUntil) {
			waiting, remaining = 1, u.wantedUntil.Sub(now)
		}
		if waiting == 0 && u.inflight == 0 && now.Sub(u.lastEnd) > usageMemory {
			delete(q.use, customer)
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
