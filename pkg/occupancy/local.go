package occupancy

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// meanRunTimeWeight is the weight of one request in the moving average of the run time of a model.
const meanRunTimeWeight = 0.05

// Local is the view at one host: what the host reports of its own requests, and the controller's
// view that it has received. It is safe for concurrent use.
type Local struct {
	host string
	view atomic.Pointer[View]
	// ambiguous holds the hashes that several endpoints of the host's list have.
	ambiguous atomic.Pointer[map[fleet.EndpointHash]bool]

	mu sync.Mutex
	// samples are the host's own requests at the times of its reports, oldest first.
	samples   []sample
	completed map[fleet.EndpointHash]tally
	// meanRunTime is the mean run time by model, over all endpoints.
	meanRunTime map[string]time.Duration
}

type sample struct {
	at       time.Time
	inFlight map[fleet.EndpointHash]int
}

// NewLocal returns the view of a host that has received none.
func NewLocal(host string) *Local {
	return &Local{host: host, completed: map[fleet.EndpointHash]tally{}, meanRunTime: map[string]time.Duration{}}
}

// Completed records a request that has completed at an endpoint. model identifies its model or
// adapter; run times are compared with those of the same model.
func (l *Local) Completed(id fleet.EndpointID, model string, run time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, ok := l.meanRunTime[model]
	if !ok {
		mean = run
	}
	mean += time.Duration(float64(run-mean) * meanRunTimeWeight)
	l.meanRunTime[model] = mean
	h := id.Hash()
	l.completed[h] = l.completed[h].plus(tally{1, float64(run.Milliseconds()), float64(mean.Milliseconds())})
}

// Report returns the host's own report and resets the completed requests. inFlight is the number of
// the host's requests by endpoint.
func (l *Local) Report(now time.Time, inFlight map[fleet.EndpointID]int) *fleet.EndpointLoads {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := sample{at: now, inFlight: map[fleet.EndpointHash]int{}}
	loads := map[fleet.EndpointHash]fleet.EndpointLoad{}
	for id, n := range inFlight {
		if n <= 0 {
			continue
		}
		h := id.Hash()
		s.inFlight[h] += n
		loads[h] = fleet.EndpointLoad{Endpoint: h, InFlight: s.inFlight[h]}
	}
	for h, t := range l.completed {
		e := loads[h]
		e.Endpoint, e.Completed, e.RunMillis, e.ExpectedMillis = h, int(t.completed), int64(t.runMillis), int64(t.expectedMillis)
		loads[h] = e
	}
	clear(l.completed)
	l.samples = slices.DeleteFunc(l.samples, func(s sample) bool { return now.Sub(s.at) > viewTTL })
	l.samples = append(l.samples, s)
	out := &fleet.EndpointLoads{}
	for _, h := range slices.Sorted(maps.Keys(loads)) {
		out.Loads = append(out.Loads, loads[h])
	}
	return out
}

// SetEndpoints sets the endpoints in the host's list, to find those with the same hash.
func (l *Local) SetEndpoints(ids map[fleet.EndpointID]bool) {
	seen, ambiguous := map[fleet.EndpointHash]bool{}, map[fleet.EndpointHash]bool{}
	for id := range ids {
		h := id.Hash()
		if seen[h] {
			ambiguous[h] = true
		}
		seen[h] = true
	}
	l.ambiguous.Store(&ambiguous)
}

// Apply applies a published view and reports whether it is newer than the last one. hosts is the
// number of hosts.
func (l *Local) Apply(now time.Time, hosts int, o fleet.Occupancy) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last := l.view.Load(); last != nil && !newer(o, last.published) {
		return false
	}
	v := &View{
		host:      l.host,
		ambiguous: &l.ambiguous,
		at:        now.Add(-time.Duration(o.AgeMillis) * time.Millisecond),
		published: o,
		endpoints: make(map[fleet.EndpointHash]observed, len(o.Endpoints)),
		hosts:     max(1, hosts),
		waiting:   make(map[fleet.NeedHash]int, len(o.Waiting)),
	}
	for _, w := range o.Waiting {
		v.waiting[w.Need] = w.Requests
	}
	own := l.ownAt(v.at)
	for _, e := range o.Endpoints {
		v.endpoints[e.Endpoint] = observed{all: e.InFlight, own: min(own[e.Endpoint], e.InFlight), percent: e.RunTimePercent}
		v.all += e.InFlight
	}
	for _, n := range own {
		v.own += n
	}
	l.view.Store(v)
	return true
}

// newer reports whether a view replaces another one.
func newer(a, b fleet.Occupancy) bool {
	return a.Token > b.Token || a.Token == b.Token && a.Seq > b.Seq
}

// ownAt returns the host's own requests in its last report before a time, or in its first one.
func (l *Local) ownAt(at time.Time) map[fleet.EndpointHash]int {
	for _, s := range slices.Backward(l.samples) {
		if !s.at.After(at) {
			return s.inFlight
		}
	}
	if len(l.samples) > 0 {
		return l.samples[0].inFlight
	}
	return nil
}

// Newest returns the newest view, which may have expired, or nil if there was none.
func (l *Local) Newest() *View { return l.view.Load() }

// Current returns the newest view, or nil if it has expired.
func (l *Local) Current(now time.Time) *View {
	v := l.view.Load()
	if v == nil || v.Age(now) > viewTTL {
		return nil
	}
	return v
}
