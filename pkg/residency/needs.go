package residency

import (
	"cmp"
	"slices"
	"time"
)

// need is a model that lacks replicas.
type need struct {
	model *Model
	// due is when the lack begins to cost.
	due  time.Time
	cold bool
	// late needs are met when nothing else lacks.
	late bool
	// extra replicas let prompts be read sooner; what costs others is not done for them.
	extra bool
	// overload is how many times the rate exceeds what the replicas should
	// serve, 0 while they can bear it. Such a model goes first: each second
	// without another replica makes more requests late than a rare model has.
	overload float64
}

// class orders needs before their due times do: late ones come last.
func (n need) class() int {
	switch {
	case n.extra:
		return 2
	case n.late:
		return 1
	default:
		return 0
	}
}

// queues tells whether the prompts of a busy model wait for each other at its replicas.
func (d *decider) queues(m *Model) bool {
	have := d.replicas[m.Name]
	return m.Rate >= hotRate && m.offered(have) > extraUse*float64(have)
}

// allows tells whether a way to meet the need may be taken: a further replica of a
// model that is served takes neither the weight store nor the place of a model that is
// asked for.
func (n need) allows(o option) bool {
	return !n.extra || o.swap.From != InStore && o.loss <= extraLoss
}

// needs returns what lacks replicas, the most urgent first.
func (d *decider) needs() []need {
	var list []need
	for name, m := range d.models {
		have := d.replicas[name]
		if have >= d.wanted[name] {
			if d.queues(m) {
				list = append(list, need{model: m, due: d.snap.Now.Add(spareDue), extra: true})
			}
			continue
		}
		n := need{model: m, due: d.snap.Now.Add(spareDue), cold: have == 0 && m.Waiting > 0}
		if m.Rate >= hotRate {
			n.overload = m.Rate / (d.snap.Limits.RatePerReplica * float64(max(1, have)))
		}
		if n.overload < overloaded {
			n.overload = 0
		}
		if m.Rate >= hotRate && have == 0 {
			// Its requests have short objectives, so that those which wait are late
			// already, and so is each one that arrives until the model is back.
			n.overload = overloaded + m.Rate/d.snap.Limits.RatePerReplica
		}
		if n.cold {
			n.due = m.Due.Add(-time.Duration(min(4, m.Waiting-1)) * batchBonus)
			n.late = m.InTime == 0
		}
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b need) int {
		return cmp.Or(
			-cmp.Compare(a.overload, b.overload),
			cmp.Compare(a.class(), b.class()),
			a.due.Compare(b.due),
			cmp.Compare(a.model.Name, b.model.Name),
		)
	})
	return list
}
