package emulator

import (
	"slices"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
)

// arrive lets new clients ask, and refused ones come back.
func (w *world) arrive() {
	for _, name := range w.names {
		m := w.models[name]
		p := w.rate(m) * w.factor(m.class) * tick.Seconds()
		for p > 0 {
			if w.random.Float64() < p {
				w.ask(&request{model: m, first: w.now})
				w.result.of(m.class).Asked++
			}
			p--
		}
	}
	w.returning = slices.DeleteFunc(w.returning, func(r *request) bool {
		if w.now.Before(r.Arrived) {
			return false
		}
		w.ask(r)
		return true
	})
}

func (w *world) ask(r *request) {
	c := r.model.class
	r.Request = &serve.Request{
		Route:    fleet.Route{Objective: c.Objective},
		Service:  service,
		Model:    r.model.name,
		Arrived:  w.now,
		Deadline: r.first.Add(c.Budget),
	}
	w.arrived[r.model.name]++
	w.waiting = append(w.waiting, r)
}
