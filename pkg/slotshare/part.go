package slotshare

import (
	"slices"
	"time"
)

const (
	// learnTime is the time after endpoints have become brittle in which they still let as many requests wait as
	// before, so that their slots can be used at once.
	learnTime = time.Second
	// rejectionWindow is the time in which an endpoint counts rejections.
	rejectionWindow = time.Second
)

// Outcome is how the use of a slot ended.
type Outcome int

// The outcomes.
const (
	// Ended means that the request has run, or may have run.
	Ended Outcome = iota
	// Rejected means that the endpoint had no room for the request.
	Rejected
	// NotSent means that the endpoint has not got the request.
	NotSent
)

// part is this host's part of one endpoint's slots. It has no lock and no clock of its own.
type part struct {
	// slots is the number of slots that this host owns, inUse the number of its requests at the endpoint.
	slots, inUse int
	// window bounds inUse: it is what the endpoint is known to have room for. Requests that other hosts have
	// sent without an owner's knowledge may still be running there.
	window int
	// growsFrom is when the window may grow again after a rejection. Without any request in use, none is
	// sent until then.
	growsFrom time.Time
	// rejections are the times of the rejections in the last rejectionWindow. allowance bounds their number.
	rejections []time.Time
	allowance  int
	// rejectedAt is the time of the last rejection.
	rejectedAt time.Time
	waiting    []*waiter
}

// waiter is a request that waits for a slot. granted is closed when it has one, and refused when it
// has to give way to a more urgent one.
type waiter struct {
	urgency          int
	granted, refused chan struct{}
}

// setShare sets the number of slots that this host owns and how many rejections in a second it may cause. window is
// what the endpoint is taken to have room for at least.
func (p *part) setShare(slots, allowance, window int) {
	p.window = max(1, min(max(p.window, window), slots))
	p.slots, p.allowance = slots, allowance
}

// free reports whether a request may be sent now.
func (p *part) free(now time.Time) bool {
	return p.inUse < min(p.slots, p.window) && (p.inUse > 0 || !now.Before(p.growsFrom)) && p.recentRejections(now) < max(1, p.allowance)
}

// take takes a slot if one is free and nobody waits for it.
func (p *part) take(now time.Time) bool {
	if len(p.waiting) > 0 || !p.free(now) {
		return false
	}
	p.inUse++
	return true
}

// enqueue adds a request that waits, behind those that are as urgent, and reports whether there is room. At most as many
// wait as there are slots, so that one waits no longer than about the service time.
func (p *part) enqueue(w *waiter) bool {
	if len(p.waiting) >= p.slots {
		if len(p.waiting) == 0 || p.waiting[len(p.waiting)-1].urgency <= w.urgency {
			return false
		}
		last := p.waiting[len(p.waiting)-1]
		close(last.refused)
		p.waiting = p.waiting[:len(p.waiting)-1]
	}
	i := slices.IndexFunc(p.waiting, func(o *waiter) bool { return o.urgency > w.urgency })
	if i < 0 {
		i = len(p.waiting)
	}
	p.waiting = slices.Insert(p.waiting, i, w)
	return true
}

// remove removes a waiting request and reports whether it was still waiting.
func (p *part) remove(w *waiter) bool {
	i := slices.Index(p.waiting, w)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// release ends the use of a slot and grants free slots to those that wait. After a rejection the endpoint gets no
// more requests for a while than it has just had room for.
func (p *part) release(now time.Time, o Outcome) {
	p.inUse--
	switch {
	case o == Rejected:
		p.recentRejections(now)
		p.rejections = append(p.rejections, now)
		p.rejectedAt = now
		p.window = max(1, p.inUse)
		p.growsFrom = now.Add(rejectionWindow / time.Duration(max(1, p.allowance)))
	case o == Ended && !now.Before(p.growsFrom):
		p.window = min(p.window+1, max(1, p.slots))
	}
	p.grant(now)
}

// grant gives free slots to those that wait.
func (p *part) grant(now time.Time) {
	for len(p.waiting) > 0 && p.free(now) {
		close(p.waiting[0].granted)
		p.waiting = p.waiting[1:]
		p.inUse++
	}
}

// recentRejections returns the number of rejections within rejectionWindow and forgets earlier ones.
func (p *part) recentRejections(now time.Time) int {
	p.rejections = slices.DeleteFunc(p.rejections, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
	return len(p.rejections)
}
