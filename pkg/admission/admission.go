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

// Queue holds waiting requests, earliest deadline first. It is not safe for
// concurrent use.
type Queue struct {
	items waiterHeap
	seq   uint64
}

// NewWaiter returns a request that is in no queue yet.
func NewWaiter(customer string, deadline time.Time) *Waiter {
	return &Waiter{Customer: customer, Deadline: deadline, Answer: make(chan Answer, 1), index: -1}
}

// Push adds a waiter.
func (q *Queue) Push(w *Waiter) {
	q.seq++
	w.seq = q.seq
	heap.Push(&q.items, w)
}

// Pop removes the waiter with the earliest deadline, nil when none waits.
func (q *Queue) Pop() *Waiter {
	if len(q.items) == 0 {
		return nil
	}
	return heap.Pop(&q.items).(*Waiter)
}

// Remove takes a waiter out and tells whether it was still in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.items, w.index)
	return true
}

// Len is the number of waiters.
func (q *Queue) Len() int { return len(q.items) }

// Earliest returns the earliest deadline, zero when none waits.
func (q *Queue) Earliest() time.Time {
	if len(q.items) == 0 {
		return time.Time{}
	}
	return q.items[0].Deadline
}

// Ahead counts the waiters with an earlier deadline than a new one would have.
func (q *Queue) Ahead(deadline time.Time) int {
	n := 0
	for _, w := range q.items {
		if !w.Deadline.After(deadline) {
			n++
		}
	}
	return n
}

// First returns the waiter with the earliest deadline, nil when none waits.
func (q *Queue) First() *Waiter {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// InOrder returns the waiters in the order in which they will be served.
func (q *Queue) InOrder() []*Waiter {
	all := slices.Clone(q.items)
	slices.SortFunc(all, func(a, b *Waiter) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.seq, b.seq))
	})
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
// out a little short.
func Admit(s Situation, left time.Duration) (reason Reason, retryAfter time.Duration) {
	wait, _ := Estimate(s)
	return Keep(s, left-wait/spareShare)
}

// spareShare is the part of the estimated wait that a new request must have to spare.
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
