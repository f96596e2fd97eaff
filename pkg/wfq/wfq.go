// Package wfq implements start-time fair queueing of waiting items over flows, such as the requests
// of client accounts. It has no I/O and does not read the time.
//
// Items of a lower class are served first. Within a class, backlogged flows are served in
// proportion to their weights, and the items of a flow in order of their rank and due time. The virtual time
// of a class is the start tag of the item served last. The start tag of a flow is the greater of
// the virtual time and the finish tag of its last served item, so a flow that was idle or could not
// be served neither gains credit nor loses its turn.
//
// An item of an idle flow waits for at most one item of each other flow. Users must bound the number
// of flows, since otherwise ever new flows would delay the known ones without limit.
package wfq

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"
)

// MinWeight and MaxWeight bound the weight of a flow. Beyond them, sums of finish tags lose
// precision.
const (
	MinWeight = 1e-6
	MaxWeight = 1e6
)

// ValidWeight reports whether w is within MinWeight and MaxWeight.
func ValidWeight(w float64) bool { return w >= MinWeight && w <= MaxWeight }

// Item is a waiting item. Its fields must not be changed while it is in a queue.
type Item[T any] struct {
	Value T
	// Flow names the flow of the item. Weight is the weight of the flow; an invalid one counts as 1.
	Flow   string
	Weight float64
	// Cost is the estimated work. A cost that is not positive and finite counts as 1.
	Cost float64
	// Class is the strict priority, where the lowest is served first.
	Class int
	// Rank orders the items of a flow within a class, lowest first. Items of the same rank are served
	// in order of Due, and those with the same time in order of arrival.
	Rank int
	Due  time.Time

	seq    uint64
	queued bool
}

// span returns the virtual time that serving the item takes.
func (i *Item[T]) span() float64 { return span(i.Cost, i.Weight) }

func span(cost, weight float64) float64 {
	if !(cost > 0) || math.IsInf(cost, 1) {
		cost = 1
	}
	if !ValidWeight(weight) {
		weight = 1
	}
	return cost / weight
}

func compare[T any](a, b *Item[T]) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.Due.Compare(b.Due), cmp.Compare(a.seq, b.seq))
}

// Queue holds waiting items. The zero value is empty. It is not safe for concurrent use.
type Queue[T any] struct {
	// classes is sorted by number and holds only classes with waiting items.
	classes []*class[T]
	len     int
	seq     uint64
}

type class[T any] struct {
	number  int
	virtual float64
	waiting int
	flows   map[string]*flow[T]
}

// flow is the state of one flow in one class.
type flow[T any] struct {
	// finish is the finish tag of the item served last.
	finish float64
	// items is sorted by compare.
	items []*Item[T]
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.len }

// Push adds an item that is in no queue.
func (q *Queue[T]) Push(it *Item[T]) {
	q.seq++
	it.seq, it.queued = q.seq, true
	c := q.class(it.Class)
	f := c.flows[it.Flow]
	if f == nil {
		f = &flow[T]{}
		c.flows[it.Flow] = f
	}
	at, _ := slices.BinarySearchFunc(f.items, it, compare)
	f.items = slices.Insert(f.items, at, it)
	c.waiting++
	q.len++
}

// class returns the class with the given number, which it creates if there is none.
func (q *Queue[T]) class(number int) *class[T] {
	at, ok := q.find(number)
	if !ok {
		q.classes = slices.Insert(q.classes, at, &class[T]{number: number, flows: map[string]*flow[T]{}})
	}
	return q.classes[at]
}

func (q *Queue[T]) find(number int) (at int, ok bool) {
	return slices.BinarySearchFunc(q.classes, number, func(c *class[T], n int) int { return cmp.Compare(c.number, n) })
}

// Remove removes an item without charging its flow, and reports whether it was in the queue.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if !it.queued {
		return false
	}
	at, _ := q.find(it.Class)
	c := q.classes[at]
	f := c.flows[it.Flow]
	i, _ := slices.BinarySearchFunc(f.items, it, compare)
	f.items = slices.Delete(f.items, i, i+1)
	it.queued = false
	q.len--
	if c.waiting--; c.waiting == 0 {
		// Without competition, no flow has a claim that outlasts the class.
		q.classes = slices.Delete(q.classes, at, at+1)
		return true
	}
	c.dropIfPassed(it.Flow, f)
	return true
}

// Rerank sets the ranks of all items, which may change with time. It does not change the shares of
// flows. rank must not change the queue.
func (q *Queue[T]) Rerank(rank func(*Item[T]) int) {
	for _, c := range q.classes {
		for _, f := range c.flows {
			f.rerank(rank)
		}
	}
}

func (f *flow[T]) rerank(rank func(*Item[T]) int) {
	changed := false
	for _, it := range f.items {
		if r := rank(it); r != it.Rank {
			it.Rank = r
			changed = true
		}
	}
	if changed {
		slices.SortFunc(f.items, compare)
	}
}

// Grant removes an item and charges its flow. It reports whether the item was in the queue.
func (q *Queue[T]) Grant(it *Item[T]) bool {
	if !it.queued {
		return false
	}
	at, _ := q.find(it.Class)
	c := q.classes[at]
	f := c.flows[it.Flow]
	before := c.virtual
	c.virtual = max(c.virtual, f.finish)
	f.finish = c.virtual + it.span()
	q.Remove(it)
	if c.virtual > before {
		for name, f := range c.flows {
			c.dropIfPassed(name, f)
		}
	}
	return true
}

// Refund takes back the charge of an item that was granted but not served. As the start tag of a
// flow is never less than the virtual time, the flow does not gain more than its next turn.
func (q *Queue[T]) Refund(it *Item[T]) {
	at, ok := q.find(it.Class)
	if !ok {
		return
	}
	c := q.classes[at]
	if f := c.flows[it.Flow]; f != nil {
		f.finish -= it.span()
		c.dropIfPassed(it.Flow, f)
	}
}

// dropIfPassed drops the state of a flow that is idle and whose finish tag has passed.
func (c *class[T]) dropIfPassed(name string, f *flow[T]) {
	if len(f.items) == 0 && f.finish <= c.virtual {
		delete(c.flows, name)
	}
}

// Next returns the first item in service order that satisfies a predicate, or nil.
func (q *Queue[T]) Next(eligible func(*Item[T]) bool) *Item[T] {
	var found *Item[T]
	q.walk(func(it *Item[T]) step {
		if !eligible(it) {
			return skip
		}
		found = it
		return stop
	})
	return found
}

// Decision is what becomes of an item that Serve offers.
type Decision int

const (
	// Skip keeps the item waiting. It does not hold up the items behind it.
	Skip Decision = iota
	// Grant removes the item and charges its flow.
	Grant
	// Stop keeps the item waiting and ends the pass.
	Stop
)

// Serve offers each item once, in service order. decide must not change the queue.
func (q *Queue[T]) Serve(decide func(*Item[T]) Decision) {
	q.walk(func(it *Item[T]) step {
		switch decide(it) {
		case Grant:
			q.Grant(it)
			return granted
		case Stop:
			return stop
		}
		return skip
	})
}

// All returns the items in the order in which they are served if no other item arrives and each can
// be served. The queue must not be changed during the iteration.
func (q *Queue[T]) All() iter.Seq[*Item[T]] {
	return func(yield func(*Item[T]) bool) {
		q.walk(func(it *Item[T]) step {
			if !yield(it) {
				return stop
			}
			return project
		})
	}
}

// Flow returns the items of a flow in all classes, in the order in which they are served. The
// caller must not change the queue during the iteration.
func (q *Queue[T]) Flow(name string) iter.Seq[*Item[T]] {
	return func(yield func(*Item[T]) bool) {
		for _, c := range q.classes {
			if f := c.flows[name]; f != nil && !each(f.items, yield) {
				return
			}
		}
	}
}

func each[T any](items []*Item[T], yield func(*Item[T]) bool) bool {
	for _, it := range items {
		if !yield(it) {
			return false
		}
	}
	return true
}

// Flows returns the names of the flows with waiting items.
func (q *Queue[T]) Flows() []string {
	seen := map[string]bool{}
	for _, c := range q.classes {
		for name, f := range c.flows {
			seen[name] = seen[name] || len(f.items) > 0
		}
	}
	names := make([]string, 0, len(seen))
	for name, waiting := range seen {
		if waiting {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
