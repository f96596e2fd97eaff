// Package admission decides which waiting request is served next and which is
// refused at once because its deadline cannot be met.
package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Waiter is a request that waits for a place at a replica.
type Waiter struct {
	Customer string
	Deadline time.Time
	// Answer receives the final answer, exactly once or never.
	Answer chan Answer
	index  int
	seq    uint64
}

// Answer ends a wait: with a replica, or with the reason of a refusal.
type Answer struct {
	Replica    string
	Reason     Reason
	RetryAfter time.Duration
}

// Queue holds waiting requests by customer, each customer's earliest deadline
// first. It is not safe for concurrent use.
type Queue struct {
	customers map[string]*waiterHeap
	len       int
	seq       uint64
}

// NewWaiter returns a request that is in no queue yet.
func NewWaiter(customer string, deadline time.Time) *Waiter {
	return &Waiter{Customer: customer, Deadline: deadline, Answer: make(chan Answer, 1), index: -1}
}

// Push adds a waiter.
func (q *Queue) Push(w *Waiter) {
	if q.customers == nil {
		q.customers = map[string]*waiterHeap{}
	}
	if q.customers[w.Customer] == nil {
		q.customers[w.Customer] = &waiterHeap{}
	}
	q.seq++
	w.seq = q.seq
	q.len++
	heap.Push(q.customers[w.Customer], w)
}

// Remove takes a waiter out and tells whether it was still in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	if w.index < 0 {
		return false
	}
	items := q.customers[w.Customer]
	heap.Remove(items, w.index)
	if len(*items) == 0 {
		delete(q.customers, w.Customer)
	}
	q.len--
	return true
}

// Len is the number of waiters.
func (q *Queue) Len() int { return q.len }

// Earliest returns the earliest deadline, zero when none waits.
func (q *Queue) Earliest() time.Time {
	w := q.Next(func(string) int { return 0 })
	if w == nil {
		return time.Time{}
	}
	return w.Deadline
}

// Next returns the waiter to serve next, nil when none waits: the earliest
// deadline of the customer that has had fewest turns. A customer's burst then
// takes what others leave, and does not starve them.
func (q *Queue) Next(turns func(customer string) int) *Waiter {
	var best *Waiter
	for _, items := range q.customers {
		w := (*items)[0]
		if best == nil || before(w, best, turns) {
			best = w
		}
	}
	return best
}

func before(a, b *Waiter, turns func(string) int) bool {
	if x, y := turns(a.Customer), turns(b.Customer); x != y {
		return x < y
	}
	return earlier(a, b)
}

// Ahead counts the waiters of a customer that are served before a new one of
// its would be.
func (q *Queue) Ahead(customer string, deadline time.Time) int {
	items := q.customers[customer]
	if items == nil {
		return 0
	}
	n := 0
	for _, w := range *items {
		if !w.Deadline.After(deadline) {
			n++
		}
	}
	return n
}

// Waits tells whether a customer has a waiting request.
func (q *Queue) Waits(customer string) bool { return q.customers[customer] != nil }

// InOrder returns each customer's waiters in the order in which they will be served.
func (q *Queue) InOrder() map[string][]*Waiter {
	all := make(map[string][]*Waiter, len(q.customers))
	for customer, items := range q.customers {
		list := slices.Clone(*items)
		slices.SortFunc(list, func(a, b *Waiter) int {
			return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.seq, b.seq))
		})
		all[customer] = list
	}
	return all
}

type waiterHeap []*Waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool { return earlier(h[i], h[j]) }

func earlier(a, b *Waiter) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.seq < b.seq
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	w.index = -1
	return w
}

// Situation is what an estimate of the wait depends on.
type Situation struct {
	// Slots is the number of requests that the loaded replicas serve at once.
	Slots int
	// Ahead is the number of requests that are served first, running or waiting.
	Ahead int
	// Service is the usual time of one request.
	Service time.Duration
	// Loading tells whether a load is under way, for LoadElapsed so far.
	Loading     bool
	LoadElapsed time.Duration
	// LoadTime is the usual time of a load.
	LoadTime time.Duration
	// CanLoad tells whether a load can be decided now: the pool has an owner
	// and the log is in reach.
	CanLoad bool
}

// Reason says why a request cannot be served in time.
type Reason string

// The reasons of a refusal.
const (
	// ReasonNone means that nothing speaks against the request.
	ReasonNone Reason = ""
	// ReasonLoad means that the model cannot be loaded in time.
	ReasonLoad Reason = "load_too_slow"
	// ReasonQueue means that too many requests are ahead.
	ReasonQueue Reason = "queue_too_long"
	// ReasonNoDecision means that no load can be decided at present.
	ReasonNoDecision Reason = "loads_unavailable"
	// ReasonDeadline means that the deadline has passed.
	ReasonDeadline Reason = "deadline"
)

// overdueShare says how much longer a load is expected to take that already
// takes longer than usual: the longer it took, the less it is about to end.
const overdueShare = 4

// Estimate returns the expected wait until a request is started. ok is false
// when nothing can be expected.
func Estimate(s Situation) (wait time.Duration, ok bool) {
	if s.Slots == 0 && !s.Loading && !s.CanLoad {
		return 0, false
	}
	if s.Slots == 0 {
		return loadWait(s), true
	}
	if s.Ahead < s.Slots {
		return 0, true
	}
	rounds := s.Ahead / s.Slots
	return time.Duration(rounds) * s.Service, true
}

func loadWait(s Situation) time.Duration {
	switch {
	case !s.Loading:
		return s.LoadTime
	case s.LoadElapsed < s.LoadTime:
		return s.LoadTime - s.LoadElapsed
	default:
		return s.LoadElapsed / overdueShare
	}
}

// Admit tells whether a new request with that much time left should wait, and
// otherwise why not and when to come back. It asks for some time to spare: a
// request that only just fits would be given up late, when the estimate turns
// out a little short. Each refuse rank asks for as much again, so that classes
// of a higher rank are refused first when queues grow.
func Admit(s Situation, left time.Duration, rank int) (reason Reason, retryAfter time.Duration) {
	wait, _ := Estimate(s)
	return Keep(s, left-time.Duration(1+rank)*wait/spareShare)
}

// spareShare is the part of the estimated wait that a new request of rank 0
// must have to spare.
const spareShare = 8

// Keep tells whether a request that waits already should go on waiting.
func Keep(s Situation, left time.Duration) (reason Reason, retryAfter time.Duration) {
	wait, ok := Estimate(s)
	switch {
	case left <= 0:
		return ReasonDeadline, max(wait, time.Second)
	case !ok:
		return ReasonNoDecision, noDecisionRetry
	case wait <= left:
		return ReasonNone, 0
	case s.Slots == 0:
		return ReasonLoad, wait
	default:
		return ReasonQueue, wait
	}
}

// noDecisionRetry is when to come back while the log or the owner is missing;
// a lapsed pool is taken over within this time.
const noDecisionRetry = 5 * time.Second
