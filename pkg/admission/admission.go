// Package admission orders waiting requests and refuses those whose deadline cannot be met.
package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Waiter is a request that waits for a slot at a replica.
type Waiter struct {
	Customer string
	Deadline time.Time
	// Result receives the result of the wait, at most once.
	Result chan Result
	index  int
	seq    uint64
}

// Result is the result of a wait: a replica, or the reason of a refusal.
type Result struct {
	Replica    string
	Reason     Reason
	RetryAfter time.Duration
}

// Queue holds waiting requests by customer, ordered by deadline. It is not safe for concurrent
// use.
type Queue struct {
	customers map[string]*waiterHeap
	len       int
	seq       uint64
}

// NewWaiter returns a waiter that is not in a queue.
func NewWaiter(customer string, deadline time.Time) *Waiter {
	return &Waiter{Customer: customer, Deadline: deadline, Result: make(chan Result, 1), index: -1}
}

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

// Remove removes a waiter and reports whether it was in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	if w.index < 0 {
		return false
	}
	waiters := q.customers[w.Customer]
	heap.Remove(waiters, w.index)
	if len(*waiters) == 0 {
		delete(q.customers, w.Customer)
	}
	q.len--
	return true
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.len }

// Earliest returns the earliest deadline, or the zero time if the queue is empty.
func (q *Queue) Earliest() time.Time {
	w := q.Next(func(string) int { return 0 })
	if w == nil {
		return time.Time{}
	}
	return w.Deadline
}

// Next returns the waiter to serve next, or nil if the queue is empty. It selects the customer
// with the fewest grants, so that a burst of one customer does not starve the others, and of
// its waiters the one with the earliest deadline.
func (q *Queue) Next(grants func(customer string) int) *Waiter {
	var best *Waiter
	for _, waiters := range q.customers {
		w := (*waiters)[0]
		if best == nil || before(w, best, grants) {
			best = w
		}
	}
	return best
}

func before(a, b *Waiter, grants func(string) int) bool {
	if x, y := grants(a.Customer), grants(b.Customer); x != y {
		return x < y
	}
	return earlier(a, b)
}

// Ahead returns the number of a customer's waiters that are served before a new one with the
// given deadline.
func (q *Queue) Ahead(customer string, deadline time.Time) int {
	waiters := q.customers[customer]
	if waiters == nil {
		return 0
	}
	n := 0
	for _, w := range *waiters {
		if !w.Deadline.After(deadline) {
			n++
		}
	}
	return n
}

// HasWaiter reports whether a customer has a waiting request.
func (q *Queue) HasWaiter(customer string) bool { return q.customers[customer] != nil }

// InOrder returns each customer's waiters in the order in which they are served.
func (q *Queue) InOrder() map[string][]*Waiter {
	all := make(map[string][]*Waiter, len(q.customers))
	for customer, waiters := range q.customers {
		list := slices.Clone(*waiters)
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

// EstimateInput is the input of Estimate.
type EstimateInput struct {
	// Slots is the total number of slots of the loaded replicas.
	Slots int
	// Ahead is the number of running and waiting requests that are served first.
	Ahead int
	// ServiceTime is the average service time of a request.
	ServiceTime time.Duration
	// Loading reports whether a load is in progress. LoadElapsed is its duration so far.
	Loading     bool
	LoadElapsed time.Duration
	// LoadTime is the usual duration of a load.
	LoadTime time.Duration
	// CanLoad reports whether a load can be started now: the pool has an owner and the log is
	// available.
	CanLoad bool
}

// Reason is the reason why a request cannot be served in time.
type Reason string

const (
	// ReasonNone means that the request can be served in time.
	ReasonNone Reason = ""
	// ReasonLoad means that the model cannot be loaded in time.
	ReasonLoad Reason = "load_too_slow"
	// ReasonQueue means that too many requests are ahead.
	ReasonQueue Reason = "queue_too_long"
	// ReasonNoDecision means that no load can be started now.
	ReasonNoDecision Reason = "loads_unavailable"
	// ReasonDeadline means that the deadline has passed.
	ReasonDeadline Reason = "deadline"
)

// overdueDivisor divides the elapsed time of a load that takes longer than usual to estimate
// its remaining time.
const overdueDivisor = 4

// Estimate returns the expected wait until a request is started. ok is false if no estimate is
// possible.
func Estimate(s EstimateInput) (wait time.Duration, ok bool) {
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
	return time.Duration(rounds) * s.ServiceTime, true
}

func loadWait(s EstimateInput) time.Duration {
	switch {
	case !s.Loading:
		return s.LoadTime
	case s.LoadElapsed < s.LoadTime:
		return s.LoadTime - s.LoadElapsed
	default:
		return s.LoadElapsed / overdueDivisor
	}
}

// Admit decides whether a new request with the given time left should wait. Otherwise it
// returns the reason and when to retry. It requires spare time in proportion to the estimated
// wait, and more for each rank, so that requests with a higher rank are refused first when
// queues grow.
func Admit(s EstimateInput, left time.Duration, rank int) (reason Reason, retryAfter time.Duration) {
	wait, _ := Estimate(s)
	return KeepWaiting(s, left-time.Duration(1+rank)*wait/spareDivisor)
}

// spareDivisor divides the estimated wait to get the spare time that Admit requires for rank
// 0.
const spareDivisor = 8

// KeepWaiting decides whether a waiting request with the given time left should continue to wait.
// Otherwise it returns the reason and when to retry.
func KeepWaiting(s EstimateInput, left time.Duration) (reason Reason, retryAfter time.Duration) {
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

// noDecisionRetry is the retry time while the log or the owner of the pool is unavailable. A
// pool with an expired lease gets a new owner within this time.
const noDecisionRetry = 5 * time.Second
