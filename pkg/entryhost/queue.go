package entryhost

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/admission"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/routing"
	"github.com/tealvane/tealvane/pkg/state"
)

const (
	// suspectFor is how long a replica that failed is used only as a last choice.
	suspectFor = 2 * time.Second
	// averageWeight is the part that a new observation has in a moving average, as a divisor.
	averageWeight = 8
)

// modelQueue is the shard of one model of one pool: its waiting and running
// requests on this host, under its own lock.
type modelQueue struct {
	host  *Host
	pool  string
	model string
	kind  contract.Kind

	mu       sync.Mutex
	waiting  admission.Queue
	inflight map[string]int
	suspect  map[string]time.Time
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

// slot is a place at a replica. It must be released once.
type slot struct {
	queue    *modelQueue
	customer string
	target   state.Target
	since    time.Time
}

// loadReport is the number of other hosts' requests at a replica.
type loadReport struct {
	running int
	at      time.Time
}

// noteLoad takes in the report of an engine on one replica.
func (q *modelQueue) noteLoad(now time.Time, replica string, running int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.others[replica] = loadReport{running: max(0, running-q.inflight[replica]), at: now}
	for id, r := range q.others {
		if now.Sub(r.at) > usageMemory {
			delete(q.others, id)
		}
	}
}

func newModelQueue(h *Host, m contract.Model) *modelQueue {
	return &modelQueue{
		host:     h,
		pool:     m.Pool,
		model:    m.Name,
		kind:     m.Kind,
		inflight: map[string]int{},
		suspect:  map[string]time.Time{},
		others:   map[string]loadReport{},
		use:      map[string]*customerUse{},
		limits:   m,
	}
}

// acquire waits for a place at a replica until the deadline. A request that
// cannot be served in time is refused at once, with when to come back.
func (q *modelQueue) acquire(ctx context.Context, customer string, m contract.Model, rank int, deadline time.Time) (*slot, *Refusal) {
	now := q.host.now()
	q.mu.Lock()
	q.limits = m
	if q.waiting.Len() == 0 {
		if s := q.takeSlot(now, customer); s != nil {
			q.mu.Unlock()
			return s, nil
		}
	}
	reason, retryAfter := admission.Admit(q.situation(now, customer, q.waiting.Ahead(customer, deadline)), deadline.Sub(now), rank)
	if reason != admission.ReasonNone {
		q.wantLater(now, customer, reason, retryAfter)
		q.mu.Unlock()
		q.host.reportSoon()
		return nil, q.refuse(reason, retryAfter)
	}
	w := admission.NewWaiter(customer, deadline)
	q.startLevel(customer)
	q.waiting.Push(w)
	q.useOf(customer).waiting++
	q.mu.Unlock()
	q.host.reportSoon()
	return q.await(ctx, w)
}

func (q *modelQueue) await(ctx context.Context, w *admission.Waiter) (*slot, *Refusal) {
	timer := time.NewTimer(w.Deadline.Sub(q.host.now()))
	defer timer.Stop()
	refusal := notRun(string(admission.ReasonDeadline), minRetryAfter, "the deadline has passed")
	select {
	case answer := <-w.Answer:
		return q.finish(w, answer)
	case <-timer.C:
	case <-ctx.Done():
		refusal = notRun("cancelled", minRetryAfter, "the caller has gone")
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

func (q *modelQueue) finish(w *admission.Waiter, a admission.Answer) (*slot, *Refusal) {
	if a.Reason != admission.ReasonNone {
		return nil, q.refuse(a.Reason, a.RetryAfter)
	}
	for _, t := range q.host.targets(q.kind, q.pool, q.model) {
		if string(t.Replica) == a.Replica {
			return &slot{queue: q, customer: w.Customer, target: t, since: q.host.now()}, nil
		}
	}
	// The replica was retired between grant and use.
	q.giveBack(w.Customer, a.Replica)
	return nil, nil
}

func (q *modelQueue) refuse(reason admission.Reason, retryAfter time.Duration) *Refusal {
	q.host.metrics.refusal(q.model, string(reason))
	return notRun(string(reason), retryAfter, "model %s cannot answer in time", q.model)
}

// active tells whether requests wait or run.
func (q *modelQueue) active() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.Len() > 0 || len(q.inflight) > 0
}

func (q *modelQueue) useOf(customer string) *customerUse {
	u := q.use[customer]
	if u == nil {
		u = &customerUse{}
		q.use[customer] = u
	}
	return u
}

// takeSlot reserves a place at a replica with room, or returns nil.
func (q *modelQueue) takeSlot(now time.Time, customer string) *slot {
	targets := q.host.targets(q.kind, q.pool, q.model)
	candidates := make([]routing.Candidate, len(targets))
	for i, t := range targets {
		id := string(t.Replica)
		candidates[i] = routing.Candidate{
			Replica: id,
			Zone:    t.Zone,
			Own:     q.inflight[id],
			Limit:   q.limits.Concurrency,
			Suspect: now.Before(q.suspect[id]),
			Others:  q.others[id].running,
			Age:     now.Sub(q.others[id].at),
		}
	}
	i := routing.Pick(candidates, q.host.settings.Zone, q.service, rand.IntN)
	if i < 0 {
		return nil
	}
	q.inflight[string(targets[i].Replica)]++
	u := q.useOf(customer)
	u.inflight++
	u.turns++
	return &slot{queue: q, customer: customer, target: targets[i], since: now}
}

// startLevel lifts the turns of a customer that was idle to those of the others
// in use; otherwise it could take all places for as long as it was away.
func (q *modelQueue) startLevel(customer string) {
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

func (q *modelQueue) running(customer string) int { return q.useOf(customer).inflight }

// grant gives free places to waiting requests, by customer's share and deadline.
func (q *modelQueue) grant(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		w := q.waiting.Next(func(customer string) int { return q.useOf(customer).turns })
		if w == nil {
			return
		}
		s := q.takeSlot(now, w.Customer)
		if s == nil {
			return
		}
		q.waiting.Remove(w)
		q.useOf(w.Customer).waiting--
		w.Answer <- admission.Answer{Replica: string(s.target.Replica)}
	}
}

// reconsider refuses those waiting requests that have become hopeless. It
// looks at all of them, so it runs regularly and not with each request.
func (q *modelQueue) reconsider(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.watchLoad(now)
	maps.DeleteFunc(q.suspect, func(_ string, until time.Time) bool { return now.After(until) })
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
func (q *modelQueue) giveUp(now time.Time, w *admission.Waiter, reason admission.Reason, retryAfter time.Duration) {
	q.waiting.Remove(w)
	q.useOf(w.Customer).waiting--
	q.wantLater(now, w.Customer, reason, retryAfter)
	w.Answer <- admission.Answer{Reason: reason, RetryAfter: retryAfter}
}

func (q *modelQueue) wantLater(now time.Time, customer string, reason admission.Reason, retryAfter time.Duration) {
	if reason == admission.ReasonLoad {
		q.useOf(customer).wantedUntil = now.Add(max(retryAfter, minRetryAfter))
	}
}

// watchLoad measures how long loads take, as this host sees them.
func (q *modelQueue) watchLoad(now time.Time) {
	loading := q.host.loading(q.pool, q.model)
	switch {
	case loading && q.loadSeen.IsZero():
		q.loadSeen = now
	case !loading && !q.loadSeen.IsZero():
		if len(q.host.targets(q.kind, q.pool, q.model)) > 0 {
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
func (q *modelQueue) situation(now time.Time, customer string, ahead int) admission.Situation {
	s := admission.Situation{
		Slots:    q.share(customer, len(q.host.targets(q.kind, q.pool, q.model))*q.limits.Concurrency),
		Ahead:    ahead + q.running(customer),
		Service:  q.service,
		LoadTime: q.loadTime,
		CanLoad:  q.kind != contract.Service && q.host.canLoad(q.pool),
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
func (q *modelQueue) share(customer string, slots int) int {
	users := 1
	for other, u := range q.use {
		if other != customer && (u.inflight > 0 || q.waiting.Waits(other)) {
			users++
		}
	}
	return (slots + users - 1) / users
}

// release gives the place back. A failed replica is avoided for a while.
func (s *slot) release(failed bool) {
	q := s.queue
	now := q.host.now()
	q.mu.Lock()
	if failed {
		q.suspect[string(s.target.Replica)] = now.Add(suspectFor)
	} else {
		q.service = average(q.service, now.Sub(s.since))
	}
	q.mu.Unlock()
	q.giveBack(s.customer, string(s.target.Replica))
	q.grant(now)
}

func (q *modelQueue) giveBack(customer, replica string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inflight[replica]--
	if q.inflight[replica] == 0 {
		delete(q.inflight, replica)
	}
	u := q.useOf(customer)
	u.inflight--
	u.lastEnd = q.host.now()
}

// usage reports the use by each customer since the model was last used.
func (q *modelQueue) usage(now time.Time) []pool.Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []pool.Usage
	cold := len(q.host.targets(q.kind, q.pool, q.model)) == 0
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

// usageMemory is how long an ended use is still reported; it covers a few
// lost reports and the take-over of the pool.
const usageMemory = 10 * time.Second
