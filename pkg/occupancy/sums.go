package occupancy

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Sums adds up the reports of other hosts. Numbers of requests in flight are those of each host's
// newest report and expire with it; completed requests are passed on once. It is safe for concurrent
// use.
type Sums struct {
	mu        sync.Mutex
	reporters map[string]*reporter
	completed map[fleet.EndpointHash]tally
	// reportedAt is when a report with endpoint loads last arrived.
	reportedAt time.Time
}

// reporter is the newest report of a host.
type reporter struct {
	incarnation string
	seq         int64
	// measuredAt is the mean time at which the numbers were taken, confirmedAt when the host last
	// reported or confirmed them.
	measuredAt, confirmedAt time.Time
	inFlight                map[fleet.EndpointHash]int
	waiting                 map[fleet.NeedHash]int
}

// NewSums returns sums without reports.
func NewSums() *Sums {
	return &Sums{reporters: map[string]*reporter{}, completed: map[fleet.EndpointHash]tally{}}
}

// Add applies a host's report. Reports that are older than the last one or repeat it are ignored.
func (s *Sums) Add(now time.Time, r fleet.DemandReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.reporters[r.Host]
	known := last != nil && last.incarnation == r.Incarnation
	switch {
	case known && r.Seq <= last.seq:
		return
	case r.Unchanged:
		if known {
			last.seq, last.confirmedAt = r.Seq, now
		}
		return
	case r.EndpointLoads == nil:
		if known {
			last.seq, last.inFlight, last.waiting = r.Seq, nil, nil
		}
		return
	}
	s.reportedAt = now
	next := &reporter{
		incarnation: r.Incarnation,
		seq:         r.Seq,
		measuredAt:  now.Add(-time.Duration(r.EndpointLoads.AgeMillis) * time.Millisecond),
		confirmedAt: now,
		inFlight:    map[fleet.EndpointHash]int{},
		waiting:     map[fleet.NeedHash]int{},
	}
	for _, n := range r.Needs {
		if n.Waiting > 0 {
			next.waiting[fleet.NewNeedHash(n.Service, n.Model, n.Adapter)] += n.Waiting
		}
	}
	for _, l := range r.EndpointLoads.Loads {
		if l.InFlight > 0 {
			next.inFlight[l.Endpoint] += l.InFlight
		}
		addCompleted(s.completed, l)
	}
	s.reporters[r.Host] = next
}

func addCompleted(sums map[fleet.EndpointHash]tally, l fleet.EndpointLoad) {
	if l.Completed > 0 {
		sums[l.Endpoint] = sums[l.Endpoint].plus(tally{float64(l.Completed), float64(l.RunMillis), float64(l.ExpectedMillis)})
	}
}

// Report returns the sums as a report, or nil if neither this host nor any other reports endpoint
// loads. own is this host's own report, or nil. Completed requests are returned once.
func (s *Sums) Report(now time.Time, own *fleet.EndpointLoads) *fleet.EndpointLoads {
	t := s.take(now, own)
	if t == nil {
		return nil
	}
	out := &fleet.EndpointLoads{AgeMillis: t.age.Milliseconds()}
	hashes := maps.Clone(t.inFlight)
	for h := range t.completed {
		hashes[h] += 0
	}
	for _, h := range slices.Sorted(maps.Keys(hashes)) {
		c := t.completed[h]
		out.Loads = append(out.Loads, fleet.EndpointLoad{
			Endpoint:       h,
			InFlight:       t.inFlight[h],
			Completed:      int(c.completed),
			RunMillis:      int64(c.runMillis),
			ExpectedMillis: int64(c.expectedMillis),
		})
	}
	return out
}

// totals are the sums over all hosts.
type totals struct {
	inFlight  map[fleet.EndpointHash]int
	completed map[fleet.EndpointHash]tally
	waiting   map[fleet.NeedHash]int
	// age is the mean age of the numbers in flight.
	age time.Duration
}

// take returns the totals and resets the completed requests. It returns nil if no host reports.
func (s *Sums) take(now time.Time, own *fleet.EndpointLoads) *totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if own == nil && (s.reportedAt.IsZero() || now.Sub(s.reportedAt) > viewTTL) {
		return nil
	}
	t := &totals{inFlight: map[fleet.EndpointHash]int{}, completed: s.completed, waiting: map[fleet.NeedHash]int{}}
	s.completed = map[fleet.EndpointHash]tally{}
	requests, ageSum := 0, time.Duration(0)
	add := func(h fleet.EndpointHash, n int, age time.Duration) {
		t.inFlight[h] += n
		requests += n
		ageSum += age * time.Duration(n)
	}
	for _, r := range s.reporters {
		for h, n := range r.inFlight {
			add(h, n, now.Sub(r.measuredAt))
		}
		for need, n := range r.waiting {
			t.waiting[need] += n
		}
	}
	if own != nil {
		for _, l := range own.Loads {
			if l.InFlight > 0 {
				add(l.Endpoint, l.InFlight, 0)
			}
			addCompleted(t.completed, l)
		}
	}
	if requests > 0 {
		t.age = ageSum / time.Duration(requests)
	}
	return t
}

func (s *Sums) expire(now time.Time) {
	for host, r := range s.reporters {
		if now.Sub(r.confirmedAt) > reporterTTL {
			r.inFlight, r.waiting = nil, nil
		}
		if now.Sub(r.confirmedAt) > seqTTL {
			delete(s.reporters, host)
		}
	}
}
