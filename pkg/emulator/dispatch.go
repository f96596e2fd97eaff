package emulator

import (
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/serve"
)

// dispatch gives waiting requests places, and refuses those that are not held.
func (w *world) dispatch() {
	slices.SortStableFunc(w.waiting, func(a, b *request) int { return a.Aim().Compare(b.Aim()) })
	w.waiting = slices.DeleteFunc(w.waiting, func(r *request) bool {
		if e := w.pick(r.model.name); e != nil {
			w.run(e, r)
			return true
		}
		return w.refuse(r)
	})
}

func (w *world) pick(name string) *endpoint {
	slots := int(float64(w.scenario.Fleet.Slots) * overcommit)
	var best *endpoint
	for _, e := range w.endpoints {
		if e.serves(w.now, name, slots) && (best == nil || e.running < best.running) {
			best = e
		}
	}
	return best
}

func (w *world) run(e *endpoint, r *request) {
	c := r.model.class
	e.running++
	e.holds[r.model.name].running++
	// The batch shares the endpoint: a full one takes twice as long.
	share := 1 + float64(e.running)/float64(w.scenario.Fleet.Slots)
	w.runs = append(w.runs, running{w.now.Add(time.Duration(float64(c.Run) * share)), e, r.model.name})
	took := w.now.Add(firstToken).Sub(r.first)
	x := w.result.of(c)
	x.waits = append(x.waits, took)
	if took <= c.Objective {
		x.InTime++
	} else {
		x.Late++
	}
}

// refuse refuses a request that is not held, and tells whether it did.
func (w *world) refuse(r *request) bool {
	s := serve.Situation{Now: w.now, Known: true, FarUntil: w.far[r.model.name]}
	for _, e := range w.endpoints {
		held := e.holds[r.model.name]
		switch {
		case held == nil || held.leaving:
		case !held.readyAt.After(w.now):
			s.Ready = true
		case s.ComingAt.IsZero() || held.readyAt.Before(s.ComingAt):
			s.ComingAt = held.readyAt
		}
	}
	_, retryAfter, hold := serve.Hold(r.Request, s)
	if hold {
		return false
	}
	if r.again {
		x := w.result.of(r.model.class)
		x.Refused++
		x.Held += heldCost(w.now.Sub(r.first), r.model.class)
		return true
	}
	r.again = true
	r.Arrived = w.now.Add(retryAfter)
	w.returning = append(w.returning, r)
	return true
}

// heldCost is what a client loses that waits and is refused at last, as a part of
// the worth of an answer.
func heldCost(held time.Duration, c *Class) float64 {
	const free, all = 0.125, 0.75
	from, to := free*c.Objective.Seconds(), all*c.Budget.Seconds()
	return min(1, max(0, (held.Seconds()-from)/(to-from)))
}
