package emulator

import (
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/serve"
)

// dispatch starts waiting requests on endpoints with a free slot. Of the others it
// refuses those that are not worth holding.
func (sim *simulation) dispatch() {
	slices.SortStableFunc(sim.waiting, func(a, b *request) int { return a.ObjectiveTime().Compare(b.ObjectiveTime()) })
	sim.waiting = slices.DeleteFunc(sim.waiting, func(r *request) bool {
		if e := sim.pickEndpoint(r.model.name); e != nil {
			sim.startRun(e, r)
			return true
		}
		return sim.refuseUnlessHeld(r)
	})
}

func (sim *simulation) pickEndpoint(name string) *endpoint {
	slots := int(float64(sim.scenario.Fleet.Slots) * overcommitFactor)
	var best *endpoint
	for _, e := range sim.endpoints {
		if e.canServe(sim.now, name, slots) && (best == nil || e.running < best.running) {
			best = e
		}
	}
	return best
}

func (sim *simulation) startRun(e *endpoint, r *request) {
	c := r.model.class
	e.running++
	e.loaded[r.model.name].running++
	// Requests share the endpoint: with all slots in use each takes twice as long.
	slowdown := 1 + float64(e.running)/float64(sim.scenario.Fleet.Slots)
	sim.active = append(sim.active, activeRun{sim.now.Add(time.Duration(float64(c.Run) * slowdown)), e, r.model.name})
	wait := sim.now.Add(firstToken).Sub(r.first)
	stats := sim.result.statsOf(c)
	stats.waits = append(stats.waits, wait)
	if wait <= c.Objective {
		stats.OnTime++
	} else {
		stats.Late++
	}
}

// refuseUnlessHeld refuses a request that should not be held, and reports whether
// it did. A request is retried after its first refusal.
func (sim *simulation) refuseUnlessHeld(r *request) bool {
	input := serve.HoldInput{Now: sim.now, HasEndpoints: true, ColdReadyAt: sim.coldReadyAt[r.model.name]}
	for _, e := range sim.endpoints {
		replica := e.loaded[r.model.name]
		switch {
		case replica == nil || replica.unloading:
		case !replica.readyAt.After(sim.now):
			input.Ready = true
		case input.ReadyAt.IsZero() || replica.readyAt.Before(input.ReadyAt):
			input.ReadyAt = replica.readyAt
		}
	}
	_, retryAfter, hold := serve.Hold(r.Request, input)
	if hold {
		return false
	}
	if r.retried {
		stats := sim.result.statsOf(r.model.class)
		stats.Refused++
		stats.HoldCost += holdCost(sim.now.Sub(r.first), r.model.class)
		return true
	}
	r.retried = true
	r.Arrived = sim.now.Add(retryAfter)
	sim.retrying = append(sim.retrying, r)
	return true
}

// holdCost returns the cost of holding a request that is then refused, as a
// fraction of the worth of a response. It rises linearly from 0, until freeShare of the
// objective, to 1, from fullShare of the budget.
func holdCost(held time.Duration, c *Class) float64 {
	const freeShare, fullShare = 0.125, 0.75
	freeUntil, fullFrom := freeShare*c.Objective.Seconds(), fullShare*c.Budget.Seconds()
	return min(1, max(0, (held.Seconds()-freeUntil)/(fullFrom-freeUntil)))
}
