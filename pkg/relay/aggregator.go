package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// childTTL is how long a host's last report counts.
	childTTL = 800 * time.Millisecond
	// seqTTL is how long the sequence number of that report is kept to reject duplicates. It
	// exceeds the time in which a duplicate may arrive.
	seqTTL = 10 * time.Second
)

// needKey identifies the service, model, adapter and required software version of a reported need.
type needKey struct {
	service, model, adapter string
	version                 fleet.VersionRequirement
}

func needKeyOf(n fleet.NeedReport) needKey { return needKey{n.Service, n.Model, n.Adapter, n.Version} }

// Aggregator aggregates the demand reports of the hosts behind a relay. Arrivals are counted as
// they are reported and passed on once. Numbers of waiting and running requests are those of each
// host's newest report; late and duplicate reports are ignored, and the last report to a relay that
// a host has left expires after childTTL. It is safe for concurrent use.
type Aggregator struct {
	mu       sync.Mutex
	children map[string]*child
	// arrivals holds the arrivals and other events reported since the last sum.
	arrivals map[needKey]fleet.NeedReport
}

// child is the newest report of a host behind the relay.
type child struct {
	incarnation string
	seq         int64
	// reportedAt is when the needs were reported, confirmedAt when the host last confirmed them.
	reportedAt, confirmedAt time.Time
	needs                   []fleet.NeedReport
	unreachable             []fleet.EndpointID
	backoffRequested        []fleet.EndpointID
	heartbeats              []fleet.ControllerHeartbeat
}

// NewAggregator returns an empty aggregator.
func NewAggregator() *Aggregator {
	return &Aggregator{children: map[string]*child{}, arrivals: map[needKey]fleet.NeedReport{}}
}

// Add applies a host's report and reports whether it is newer than the last one.
func (s *Aggregator) Add(now time.Time, r fleet.DemandReport, h fleet.ControllerHeartbeat) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.children[r.Host]
	if c != nil && c.incarnation == r.Incarnation && r.Seq <= c.seq {
		return false
	}
	if r.Unchanged {
		return c.confirm(now, r)
	}
	for _, n := range r.Needs {
		if arrived, found := n.Counts(); found {
			if sum, ok := s.arrivals[needKeyOf(n)]; ok {
				arrived = arrived.Add(sum)
			}
			s.arrivals[needKeyOf(n)] = arrived
		}
	}
	s.children[r.Host] = &child{
		incarnation:      r.Incarnation,
		seq:              r.Seq,
		reportedAt:       now,
		confirmedAt:      now,
		needs:            r.Needs,
		unreachable:      r.Unreachable,
		backoffRequested: r.BackoffRequested,
		heartbeats:       []fleet.ControllerHeartbeat{h},
	}
	return true
}

// confirm confirms that the host's needs are unchanged. It returns false for an unknown host, whose
// next report will contain its needs.
func (c *child) confirm(now time.Time, r fleet.DemandReport) bool {
	if c == nil || c.incarnation != r.Incarnation {
		return false
	}
	c.seq = r.Seq
	c.confirmedAt = now
	return true
}

// Sum returns this host's own report combined with those of the hosts behind it, and resets the
// counts of arrivals.
func (s *Aggregator) Sum(now time.Time, own fleet.DemandReport) fleet.DemandReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if len(s.children) == 0 && len(s.arrivals) == 0 {
		return own
	}
	byNeed := map[needKey]*fleet.NeedReport{}
	add := func(n fleet.NeedReport, age time.Duration) {
		n.DueIn -= age.Milliseconds()
		if sum := byNeed[needKeyOf(n)]; sum != nil {
			*sum = sum.Add(n)
			return
		}
		byNeed[needKeyOf(n)] = &n
	}
	for _, n := range own.Needs {
		add(n, 0)
	}
	unreachable, backoffRequested := setOf(own.Unreachable), setOf(own.BackoffRequested)
	for _, c := range s.children {
		for _, n := range c.needs {
			add(n.WithoutCounts(), now.Sub(c.reportedAt))
		}
		maps.Copy(unreachable, setOf(c.unreachable))
		maps.Copy(backoffRequested, setOf(c.backoffRequested))
	}
	for key, n := range s.arrivals {
		n.Service, n.Model, n.Adapter, n.Version = key.service, key.model, key.adapter, key.version
		add(n, 0)
	}
	clear(s.arrivals)
	own.Needs = own.Needs[:0:0]
	for _, n := range byNeed {
		own.Needs = append(own.Needs, *n)
	}
	own.Unreachable = slices.Sorted(maps.Keys(unreachable))
	own.BackoffRequested = slices.Sorted(maps.Keys(backoffRequested))
	return own
}

func setOf(ids []fleet.EndpointID) map[fleet.EndpointID]bool {
	set := make(map[fleet.EndpointID]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// Heartbeats returns what each host behind this one has received from the controller.
func (s *Aggregator) Heartbeats(now time.Time) []fleet.ControllerHeartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	var out []fleet.ControllerHeartbeat
	for _, c := range s.children {
		out = append(out, c.heartbeats...)
	}
	return out
}

func (s *Aggregator) expire(now time.Time) {
	for host, c := range s.children {
		if now.Sub(c.confirmedAt) > childTTL {
			c.needs, c.unreachable, c.backoffRequested, c.heartbeats = nil, nil, nil, nil
		}
		if now.Sub(c.confirmedAt) > seqTTL {
			delete(s.children, host)
		}
	}
}
