package orders

import (
	"math"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/residency"
)

const (
	// reportLife is how long a host's last report counts. Hosts report at least
	// every quarter of a second while they have requests.
	reportLife = 1200 * time.Millisecond
	// learnTime is how long a new controller listens before its first swap.
	learnTime = 400 * time.Millisecond
	// fastMemory and slowMemory are the time constants of the moving rates: the
	// fast one follows demand that moves within seconds, the slow one ranks
	// models that get a request every few seconds.
	fastMemory = 2 * time.Second
	slowMemory = 12 * time.Second
)

// need names a model of a service or, with an adapter, that adapter.
type need struct{ service, model, adapter string }

// rate is an arrival rate that fades.
type rate struct {
	fast, slow float64
	// starting is how many requests wait at endpoints for the first part of their
	// answers, on the average of the fast time constant.
	starting float64
	at       time.Time
	lastUsed time.Time
}

func (r *rate) fade(now time.Time) {
	dt := now.Sub(r.at).Seconds()
	if dt <= 0 {
		return
	}
	r.fast *= math.Exp(-dt / fastMemory.Seconds())
	r.slow *= math.Exp(-dt / slowMemory.Seconds())
	r.starting *= math.Exp(-dt / fastMemory.Seconds())
	r.at = now
}

func (r *rate) add(now time.Time, n int) {
	r.fade(now)
	r.fast += float64(n) / fastMemory.Seconds()
	r.slow += float64(n) / slowMemory.Seconds()
	if n > 0 {
		r.lastUsed = now
	}
}

// Demand sums what all hosts report.
type Demand struct {
	// since is when this controller began to listen.
	since time.Time
	hosts map[string]hostDemand
	rates map[need]*rate
}

type hostDemand struct {
	// at is when the needs came, seen when the host last said that they hold.
	at, seen    time.Time
	incarnation string
	seq         int64
	needs       []fleet.NeedReport
}

// NewDemand returns a demand that begins to listen now.
func NewDemand(now time.Time) *Demand {
	return &Demand{since: now, hosts: map[string]hostDemand{}, rates: map[need]*rate{}}
}

// Take takes in a host's report.
func (d *Demand) Take(now time.Time, r fleet.DemandReport) {
	old, known := d.hosts[r.Host]
	known = known && old.incarnation == r.Incarnation
	if r.Same {
		if known {
			old.seen = now
			d.hosts[r.Host] = old
		}
		return
	}
	// A report that comes after a newer one tells of arrivals alone.
	if !known || r.Seq >= old.seq {
		d.hosts[r.Host] = hostDemand{at: now, seen: now, incarnation: r.Incarnation, seq: r.Seq, needs: r.Needs}
	}
	for _, n := range r.Needs {
		key := need{n.Service, n.Model, n.Adapter}
		x := d.rates[key]
		if x == nil {
			x = &rate{at: now}
			d.rates[key] = x
		}
		x.add(now, n.Arrived)
		x.starting += float64(n.Starting) / 1000 / fastMemory.Seconds()
		if n.Inflight > 0 || n.Waiting > 0 {
			x.lastUsed = now
		}
	}
}

// correction scales a moving rate that has not been observed for long: after a
// take-over every rate starts at zero, and busy models would be taken for idle
// and evicted.
func (d *Demand) correction(now time.Time, memory time.Duration) float64 {
	observed := max(now.Sub(d.since), learnTime).Seconds()
	return 1 / (1 - math.Exp(-observed/memory.Seconds()))
}

// alone tells whether only one host reports.
func (d *Demand) alone() bool { return len(d.hosts) <= 1 }

// Models returns the demand for each model of a service.
func (d *Demand) Models(now time.Time, service fleet.Service) []residency.Model {
	return models(service, d.totals(now))
}

// total is the demand of all hosts for one need.
type total struct {
	waiting, inflight int
	// inTime counts the waiting requests that can begin in time; due is that of
	// the first of these, or of the first of all if there are none.
	inTime     int
	due        time.Time
	fast, slow float64
	starting   float64
	lastUsed   time.Time
}

// totals sums the reports that still count.
func (d *Demand) totals(now time.Time) map[need]*total {
	out := make(map[need]*total, len(d.rates))
	fast, slow := d.correction(now, fastMemory), d.correction(now, slowMemory)
	for key, x := range d.rates {
		x.fade(now)
		if x.slow < 1e-4 {
			delete(d.rates, key)
			continue
		}
		out[key] = &total{fast: x.fast * fast, slow: x.slow * slow, starting: x.starting * fast, lastUsed: x.lastUsed}
	}
	for host, h := range d.hosts {
		if now.Sub(h.seen) > reportLife {
			delete(d.hosts, host)
			continue
		}
		for _, n := range h.needs {
			key := need{n.Service, n.Model, n.Adapter}
			if out[key] == nil {
				// A request that waits counts also where its arrival was told to a
				// former controller; it would never be served otherwise.
				out[key] = &total{lastUsed: h.at}
			}
			out[key].add(h.at, n)
		}
	}
	return out
}

// firstDue returns the earlier of two times at which waiting begins to cost. That
// of requests which can be in time goes before that of late ones.
func firstDue(due time.Time, waiting, inTime int, other time.Time, otherInTime int) time.Time {
	switch {
	case waiting == 0, otherInTime > 0 && inTime == 0:
		return other
	case inTime > 0 && otherInTime == 0:
		return due
	case other.Before(due):
		return other
	default:
		return due
	}
}

func (t *total) add(at time.Time, n fleet.NeedReport) {
	if n.Waiting > 0 {
		t.due = firstDue(t.due, t.waiting, t.inTime, n.Due(at), n.InTime)
	}
	t.waiting += n.Waiting
	t.inTime += n.InTime
	t.inflight += n.Inflight
}
