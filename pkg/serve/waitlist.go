package serve

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/wfq"
)

// waitList holds the waiting requests of a service: in one order of priority and objective, or
// under contention in a fair queue over accounts. It is not safe for concurrent use.
type waitList struct {
	// resumed holds requests whose response has begun, and unless fair is set those that go on streams where they began.
	// They are served before all others: their clients have waited longest, and few endpoints can serve them.
	resumed []*waiter
	// sorted is used while fair is nil.
	sorted []*waiter
	fair   *wfq.Queue[*waiter]
	// needs counts the waiting requests in fair by need.
	needs map[Need]int
	// now and usualRun are what the requests in fair are ranked by.
	now      time.Time
	usualRun time.Duration
	// leastRun is the time to the first byte with which a request can still meet its objective.
	leastRun time.Duration
}

func (l *waitList) isFair() bool { return l.fair != nil }

// setFair changes between the two orders and moves the waiting requests.
func (l *waitList) setFair(fair bool) {
	if fair == l.isFair() {
		return
	}
	waiting := slices.Collect(l.all())
	*l = waitList{leastRun: l.leastRun}
	if fair {
		l.fair, l.needs = &wfq.Queue[*waiter]{}, map[Need]int{}
	}
	for _, w := range waiting {
		l.push(w)
	}
}

func (l *waitList) len() int {
	if l.isFair() {
		return len(l.resumed) + l.fair.Len()
	}
	return len(l.resumed) + len(l.sorted)
}

// all returns the waiting requests in the order in which they are served.
func (l *waitList) all() iter.Seq[*waiter] {
	return func(yield func(*waiter) bool) {
		for _, w := range slices.Concat(l.resumed, l.sorted) {
			if !yield(w) {
				return
			}
		}
		if !l.isFair() {
			return
		}
		for it := range l.fair.All() {
			if !yield(it.Value) {
				return
			}
		}
	}
}

// push inserts w ordered by the priority of its route and then by its objective.
func (l *waitList) push(w *waiter) {
	if w.resumed || w.goesOn() && !l.isFair() {
		l.resumed = append(l.resumed, w)
		return
	}
	if l.isFair() {
		w.item = fairItem(w, waitingRank(l.now, l.usualRun, l.leastRun, w))
		l.fair.Push(w.item)
		l.needs[w.need]++
		return
	}
	at, _ := slices.BinarySearchFunc(l.sorted, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.request.Route.Priority, b.request.Route.Priority), a.request.ObjectiveTime().Compare(b.request.ObjectiveTime()), -1)
	})
	l.sorted = slices.Insert(l.sorted, at, w)
}

func (l *waitList) remove(w *waiter) bool {
	if i := slices.Index(l.resumed, w); i >= 0 {
		l.resumed = slices.Delete(l.resumed, i, i+1)
		return true
	}
	if l.isFair() {
		if w.item == nil || !l.fair.Remove(w.item) {
			return false
		}
		l.removed(w)
		return true
	}
	i := slices.Index(l.sorted, w)
	if i < 0 {
		return false
	}
	l.sorted = slices.Delete(l.sorted, i, i+1)
	return true
}

// rank ranks the waiting requests in fair for the given time. usualRun is the usual time to the first
// byte.
func (l *waitList) rank(now time.Time, usualRun time.Duration) {
	if l.leastRun == 0 {
		l.leastRun = minRunTime
	}
	if !l.isFair() || now.Equal(l.now) && usualRun == l.usualRun {
		return
	}
	l.now, l.usualRun = now, usualRun
	l.fair.Rerank(func(it *wfq.Item[*waiter]) int { return waitingRank(now, usualRun, l.leastRun, it.Value) })
}

// place returns the position, from 1, that w has or would have among the waiting requests with the
// same need, as of the last ranking.
func (l *waitList) place(w *waiter) int {
	if w.since.IsZero() {
		l.push(w)
		defer l.remove(w)
	}
	place := 1
	for other := range l.all() {
		if other == w {
			break
		}
		if other.need == w.need {
			place++
		}
	}
	return place
}

// removed counts a request that was removed from fair.
func (l *waitList) removed(w *waiter) {
	if l.needs[w.need]--; l.needs[w.need] == 0 {
		delete(l.needs, w.need)
	}
}

// serve offers each waiting request a slot, in order, and removes those that grant accepts. grant
// adds to exhausted each need for which no request can get a slot.
func (l *waitList) serve(exhausted map[Need]bool, grant func(*waiter) bool) {
	l.resumed = slices.DeleteFunc(l.resumed, grant)
	if !l.isFair() {
		l.sorted = slices.DeleteFunc(l.sorted, grant)
		return
	}
	l.fair.Serve(func(it *wfq.Item[*waiter]) wfq.Decision {
		switch {
		case l.allIn(exhausted):
			return wfq.Stop
		case !grant(it.Value):
			return wfq.Skip
		}
		it.Value.request.charge = it
		l.removed(it.Value)
		return wfq.Grant
	})
}

// allIn reports whether all requests in fair have one of the given needs.
func (l *waitList) allIn(needs map[Need]bool) bool {
	for n := range l.needs {
		if !needs[n] {
			return false
		}
	}
	return true
}

// fairItem returns the item of a waiting request in a fair queue.
func fairItem(w *waiter, rank int) *wfq.Item[*waiter] {
	r := w.request
	return &wfq.Item[*waiter]{Value: w, Flow: flowName(r), Weight: r.weight(), Cost: w.work, Class: r.Route.Priority, Rank: rank, Due: r.ObjectiveTime()}
}

// flowName returns the name of the flow of a request: its account. Requests without an account are
// one flow, so that a service without accounts has a single order.
func flowName(r *Request) string {
	if r.Account != "" {
		return "account/" + r.Account
	}
	return "none"
}

// weight returns the weight of the request's account.
func (r *Request) weight() float64 {
	if r.Weight == 0 {
		return 1
	}
	return r.Weight
}
