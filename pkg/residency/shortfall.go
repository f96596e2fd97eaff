package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// shortfall is a model that has fewer replicas than it should.
type shortfall struct {
	model *Model
	// due is when the missing replica starts to delay requests.
	due time.Time
	// cold is set if requests wait for the model and it has no replica.
	cold bool
	// version is the software version that the waiting requests require, unset if any serves them.
	version fleet.VersionRequirement
	// late is set if none of the waiting requests can start in time.
	late bool
	// extra is set for a replica that only shortens prompt queues. Such a replica must not
	// cost other models theirs.
	extra bool
	// overload is the request rate divided by the rate that the replicas should serve, or 0
	// below overloadThreshold. Higher values are handled first.
	overload float64
}

// priority returns the rank of a shortfall, lowest first.
func (s shortfall) priority() int {
	switch {
	case s.extra:
		return 2
	case s.late:
		return 1
	default:
		return 0
	}
}

// promptsQueue reports whether prompts of a hot model queue at its replicas.
func (d *decider) promptsQueue(m *Model) bool {
	have := d.replicas[m.Name]
	return m.FastRate >= hotRate && m.prefillLoad(have) > prefillUtilization*float64(have)
}

// allows reports whether a candidate may be used. An extra replica neither loads from the
// weight store nor evicts a model that is in use. No load from the weight store is in time for a stream that goes on at
// its version.
func (s shortfall) allows(c candidate) bool {
	if s.version.Set {
		return c.swap.From != InStore
	}
	return !s.extra || c.swap.From != InStore && c.loss <= maxExtraLoss
}

// versionShortfalls returns the software versions that waiting requests for a model require and that have no replica.
func (d *decider) versionShortfalls(m *Model) []shortfall {
	var list []shortfall
	for _, v := range m.Versions {
		if d.versionReplicas[modelVersion{m.Name, v}] == 0 {
			list = append(list, shortfall{model: m, due: m.Due, cold: true, late: m.OnTime == 0, version: fleet.RequireVersion(v)})
		}
	}
	return list
}

// compareVersions orders required versions before none: an endpoint of any version serves requests that require none.
func compareVersions(a, b fleet.VersionRequirement) int {
	if a.Set != b.Set {
		if a.Set {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Version, b.Version)
}

// shortfalls returns the models that lack replicas, most urgent first.
func (d *decider) shortfalls() []shortfall {
	var list []shortfall
	for name, m := range d.models {
		have := d.replicas[name]
		list = append(list, d.versionShortfalls(m)...)
		if have >= d.desired[name] {
			if d.promptsQueue(m) {
				list = append(list, shortfall{model: m, due: d.snap.Now.Add(spareDelay), extra: true})
			}
			continue
		}
		s := shortfall{model: m, due: d.snap.Now.Add(spareDelay), cold: have == 0 && m.Waiting > m.WaitingForVersion}
		if m.FastRate >= hotRate {
			s.overload = m.FastRate / (d.snap.Limits.RatePerReplica * float64(max(1, have)))
		}
		if s.overload < overloadThreshold {
			s.overload = 0
		}
		if m.FastRate >= hotRate && have == 0 {
			// Requests for hot models have short deadlines: all that wait or arrive until
			// the model is loaded are late.
			s.overload = overloadThreshold + m.FastRate/d.snap.Limits.RatePerReplica
		}
		if s.cold {
			s.due = m.Due.Add(-time.Duration(min(4, m.Waiting-1)) * batchBonus)
			s.late = m.OnTime == 0
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b shortfall) int {
		return cmp.Or(
			-cmp.Compare(a.overload, b.overload),
			cmp.Compare(a.priority(), b.priority()),
			a.due.Compare(b.due),
			compareVersions(a.version, b.version),
			cmp.Compare(a.model.Name, b.model.Name),
		)
	})
	return list
}
