package wfq

import (
	"cmp"
	"slices"
)

// step is the result of visiting an item.
type step int

const (
	// skip passes over the item without an effect on the order.
	skip step = iota
	// project continues as if the item had been granted.
	project
	// granted continues after the item was granted.
	granted
	// stop ends the walk.
	stop
)

// cursor is the position of a walk in one flow.
type cursor[T any] struct {
	flow *flow[T]
	// start is the start tag of the flow.
	start float64
	next  int
}

func (c *cursor[T]) item() *Item[T] { return c.flow.items[c.next] }

// walk visits each item once, in service order.
func (q *Queue[T]) walk(visit func(*Item[T]) step) {
	// Granting the last item of a class removes the class.
	for _, c := range slices.Clone(q.classes) {
		if !c.walk(visit) {
			return
		}
	}
}

// walk visits the items of a class. It reports whether the walk continues with the next class.
func (c *class[T]) walk(visit func(*Item[T]) step) bool {
	cursors := make([]*cursor[T], 0, len(c.flows))
	for _, f := range c.flows {
		if len(f.items) > 0 {
			cursors = append(cursors, &cursor[T]{flow: f, start: max(c.virtual, f.finish)})
		}
	}
	slices.SortFunc(cursors, compareCursors)
	for len(cursors) > 0 {
		first := cursors[0]
		it := first.item()
		switch visit(it) {
		case stop:
			return false
		case skip:
			first.next++
		case project:
			first.next++
			first.start += it.span()
		case granted:
			first.start += it.span()
		}
		cursors = reinsert(cursors)
	}
	return true
}

// reinsert moves the first cursor to its new place, or drops it at the end of its flow.
func reinsert[T any](cursors []*cursor[T]) []*cursor[T] {
	first, rest := cursors[0], cursors[1:]
	if first.next == len(first.flow.items) {
		return rest
	}
	at, _ := slices.BinarySearchFunc(rest, first, compareCursors)
	copy(cursors, rest[:at])
	cursors[at] = first
	return cursors
}

func compareCursors[T any](a, b *cursor[T]) int {
	return cmp.Or(cmp.Compare(a.start, b.start), compare(a.item(), b.item()))
}
