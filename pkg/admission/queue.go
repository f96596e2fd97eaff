package admission

import (
	"time"

	"github.com/tealvane/tealvane/pkg/wfq"
)

// Queue holds waiting requests. It shares slots between customers by the weights of their
// contracts, so that a burst of one customer does not starve the others; the requests of a customer
// are ordered by deadline. It is not safe for concurrent use.
type Queue struct{ waiting wfq.Queue[*Waiter] }

// NewWaiter returns a waiter that is not in a queue.
func NewWaiter(customer string, deadline time.Time) *Waiter {
	return &Waiter{Customer: customer, Deadline: deadline, Result: make(chan Result, 1)}
}

// Push adds a waiter that is in no queue.
func (q *Queue) Push(w *Waiter) {
	w.item = &wfq.Item[*Waiter]{Value: w, Flow: w.Customer, Weight: w.Weight, Due: w.Deadline}
	q.waiting.Push(w.item)
}

// Remove removes a waiter without charging its customer, and reports whether it was in the queue.
func (q *Queue) Remove(w *Waiter) bool { return w.item != nil && q.waiting.Remove(w.item) }

// Grant removes a waiter that was given a slot and charges its customer.
func (q *Queue) Grant(w *Waiter) { q.waiting.Grant(w.item) }

// Refund takes back the charge of a waiter whose slot was not used.
func (q *Queue) Refund(w *Waiter) { q.waiting.Refund(w.item) }

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.waiting.Len() }

// Earliest returns the earliest deadline, or the zero time if the queue is empty.
func (q *Queue) Earliest() time.Time {
	var earliest time.Time
	for _, customer := range q.waiting.Flows() {
		for it := range q.waiting.Flow(customer) {
			if earliest.IsZero() || it.Due.Before(earliest) {
				earliest = it.Due
			}
			break
		}
	}
	return earliest
}

// Next returns the waiter to serve next, or nil if the queue is empty. Of waiters of customers with
// the same claim, it is the one with the earliest deadline.
func (q *Queue) Next() *Waiter {
	for it := range q.waiting.All() {
		return it.Value
	}
	return nil
}

// Ahead returns the number of a customer's waiters that are served before a new one with the
// given deadline.
func (q *Queue) Ahead(customer string, deadline time.Time) int {
	n := 0
	for it := range q.waiting.Flow(customer) {
		if it.Due.After(deadline) {
			break
		}
		n++
	}
	return n
}

// HasWaiter reports whether a customer has a waiting request.
func (q *Queue) HasWaiter(customer string) bool {
	for range q.waiting.Flow(customer) {
		return true
	}
	return false
}

// InOrder returns each customer's waiters in the order in which they are served.
func (q *Queue) InOrder() map[string][]*Waiter {
	all := map[string][]*Waiter{}
	for _, customer := range q.waiting.Flows() {
		for it := range q.waiting.Flow(customer) {
			all[customer] = append(all[customer], it.Value)
		}
	}
	return all
}
