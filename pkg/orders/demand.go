package orders

import (
	"math"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/residency"
)

const (
	// demandTTL is how long a host's last report counts. Hosts with requests report several
	// times within it.
	demandTTL = 1200 * time.Millisecond
	// warmupTime is how long a new controller collects reports before its first swap.
	warmupTime = 400 * time.Millisecond
	// fastTimeConstant and slowTimeConstant are the time constants of the moving averages.
	// The fast one follows demand that changes within seconds, the slow one ranks rarely
	// used models.
	fastTimeConstant = 2 * time.Second
	slowTimeConstant = 12 * time.Second
)

// demandKey identifies a model of a service or, if adapter is set, one of its adapters.
type demandKey struct{ service, model, adapter string }

// movingRate is an exponentially decaying arrival rate.
type movingRate struct {
	fast, slow float64
	// awaitingFirstByte is the moving average of the number of requests that wait at endpoints for
	// the first byte of their response.
	awaitingFirstByte float64
	at                time.Time
	lastUsed          time.Time
}

func (r *movingRate) decay(now time.Time) {
	dt := now.Sub(r.at).Seconds()
	if dt <= 0 {
		return
	}
	r.fast *= math.Exp(-dt / fastTimeConstant.Seconds())
	r.slow *= math.Exp(-dt / slowTimeConstant.Seconds())
	r.awaitingFirstByte *= math.Exp(-dt / fastTimeConstant.Seconds())
	r.at = now
}

func (r *movingRate) add(now time.Time, n int) {
	r.decay(now)
	r.fast += float64(n) / fastTimeConstant.Seconds()
	r.slow += float64(n) / slowTimeConstant.Seconds()
	if n > 0 {
		r.lastUsed = now
	}
}

// Demand sums the demand that all hosts report.
type Demand struct {
	// since is when this controller started to collect reports.
	since time.Time
	hosts map[string]hostDemand
	rates map[demandKey]*movingRate
}

type hostDemand struct {
	// at is when the needs were reported, confirmedAt when the host last confirmed them.
	at, confirmedAt time.Time
	incarnation     string
	seq             int64
	needs           []fleet.NeedReport
}

// NewDemand returns an empty Demand that collects reports from now on.
func NewDemand(now time.Time) *Demand {
	return &Demand{since: now, hosts: map[string]hostDemand{}, rates: map[demandKey]*movingRate{}}
}

// AddReport records a host's report.
func (d *Demand) AddReport(now time.Time, report fleet.DemandReport) {
	old, known := d.hosts[report.Host]
	known = known && old.incarnation == report.Incarnation
	if report.Unchanged {
		if known {
			old.confirmedAt = now
			d.hosts[report.Host] = old
		}
		return
	}
	// Only the arrivals of an outdated report count.
	if !known || report.Seq >= old.seq {
		d.hosts[report.Host] = hostDemand{at: now, confirmedAt: now, incarnation: report.Incarnation, seq: report.Seq, needs: report.Needs}
	}
	for _, n := range report.Needs {
		key := demandKey{n.Service, n.Model, n.Adapter}
		r := d.rates[key]
		if r == nil {
			r = &movingRate{at: now}
			d.rates[key] = r
		}
		r.add(now, n.Arrived)
		r.awaitingFirstByte += float64(n.FirstByteWait) / 1000 / fastTimeConstant.Seconds()
		if n.Inflight > 0 || n.Waiting > 0 {
			r.lastUsed = now
		}
	}
}

// warmupCorrection returns the factor that scales up a moving average that was started
// recently. Without it hot models would seem idle to a new controller and be evicted.
func (d *Demand) warmupCorrection(now time.Time, timeConstant time.Duration) float64 {
	observed := max(now.Sub(d.since), warmupTime).Seconds()
	return 1 / (1 - math.Exp(-observed/timeConstant.Seconds()))
}

// singleHost reports whether at most one host reports demand.
func (d *Demand) singleHost() bool { return len(d.hosts) <= 1 }

// Models returns the demand for each model of a service.
func (d *Demand) Models(now time.Time, service fleet.Service) []residency.Model {
	return models(service, d.totals(now))
}

// modelDemand is the demand of all hosts for one key.
type modelDemand struct {
	waiting, inflight int
	// onTime is the number of waiting requests that can start in time. due is the earliest
	// due time of these, or of all waiting requests if there are none.
	onTime            int
	due               time.Time
	fast, slow        float64
	awaitingFirstByte float64
	lastUsed          time.Time
	// versions counts the waiting requests by the software version that they require, unset for those that require
	// none.
	versions map[fleet.VersionRequirement]int
}

// totals sums the reports that have not expired.
func (d *Demand) totals(now time.Time) map[demandKey]*modelDemand {
	out := make(map[demandKey]*modelDemand, len(d.rates))
	fastFactor, slowFactor := d.warmupCorrection(now, fastTimeConstant), d.warmupCorrection(now, slowTimeConstant)
	for key, r := range d.rates {
		r.decay(now)
		if r.slow < 1e-4 {
			delete(d.rates, key)
			continue
		}
		out[key] = &modelDemand{fast: r.fast * fastFactor, slow: r.slow * slowFactor, awaitingFirstByte: r.awaitingFirstByte * fastFactor, lastUsed: r.lastUsed}
	}
	for host, h := range d.hosts {
		if now.Sub(h.confirmedAt) > demandTTL {
			delete(d.hosts, host)
			continue
		}
		for _, n := range h.needs {
			key := demandKey{n.Service, n.Model, n.Adapter}
			if out[key] == nil {
				// Requests that already waited under a former controller have no arrivals
				// here, but must be served too.
				out[key] = &modelDemand{lastUsed: h.at}
			}
			out[key].add(h.at, n)
		}
	}
	return out
}

// firstDue returns the earlier of two due times. The due time of requests that can still be
// in time takes precedence over that of late ones.
func firstDue(due time.Time, waiting, onTime int, other time.Time, otherOnTime int) time.Time {
	switch {
	case waiting == 0, otherOnTime > 0 && onTime == 0:
		return other
	case onTime > 0 && otherOnTime == 0:
		return due
	case other.Before(due):
		return other
	default:
		return due
	}
}

func (d *modelDemand) add(at time.Time, n fleet.NeedReport) {
	if n.Waiting > 0 {
		d.due = firstDue(d.due, d.waiting, d.onTime, n.Due(at), n.OnTime)
	}
	if n.Waiting > 0 {
		if d.versions == nil {
			d.versions = map[fleet.VersionRequirement]int{}
		}
		d.versions[n.Version] += n.Waiting
	}
	d.waiting += n.Waiting
	d.onTime += n.OnTime
	d.inflight += n.Inflight
}
