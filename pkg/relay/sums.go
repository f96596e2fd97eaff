package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// childLife is how long a host's last report counts: three times the longest pause
	// between two.
	childLife = 800 * time.Millisecond
	// seqLife is how long the number of that report is kept. A copy that comes after
	// it would be counted again; questions are given up after half a second.
	seqLife = 10 * time.Second
)

// need names what a report is about.
type need struct{ service, model, adapter string }

func needOf(n fleet.NeedReport) need { return need{n.Service, n.Model, n.Adapter} }

// Sums adds up what the hosts behind a relay report. Arrivals are counted when they are
// told and passed on once. What waits and runs is that of each host's newest report: a
// report that comes late or twice changes nothing, and that of a host which went
// over to another relay ends after childLife. It is safe for concurrent use.
type Sums struct {
	mu       sync.Mutex
	children map[string]*child
	// arrived and starting are what was told since the last sum.
	arrived map[need]fleet.NeedReport
}

type child struct {
	incarnation string
	seq         int64
	// at is when the needs came, seen when the host last said that they hold.
	at, seen    time.Time
	needs       []fleet.NeedReport
	unreachable []fleet.EndpointID
	pausing     []fleet.EndpointID
	heard       []fleet.Heard
}

// NewSums returns sums of no host.
func NewSums() *Sums {
	return &Sums{children: map[string]*child{}, arrived: map[need]fleet.NeedReport{}}
}

// Take takes in a host's report and tells whether it is newer than what was known.
func (s *Sums) Take(now time.Time, r fleet.DemandReport, h fleet.Heard) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.children[r.Host]
	if c != nil && c.incarnation == r.Incarnation && r.Seq <= c.seq {
		return false
	}
	if r.Same {
		return c.hold(now, r)
	}
	for _, n := range r.Needs {
		if n.Arrived > 0 || n.Starting > 0 {
			told := fleet.NeedReport{Priority: n.Priority, Arrived: n.Arrived, Starting: n.Starting}
			if sum, ok := s.arrived[needOf(n)]; ok {
				told = told.Plus(sum)
			}
			s.arrived[needOf(n)] = told
		}
	}
	s.children[r.Host] = &child{
		incarnation: r.Incarnation,
		seq:         r.Seq,
		at:          now,
		seen:        now,
		needs:       r.Needs,
		unreachable: r.Unreachable,
		pausing:     r.Pausing,
		heard:       []fleet.Heard{h},
	}
	return true
}

// hold takes in that a host's needs are the same as before. It tells nothing of a host
// that is not known: its next report names its needs.
func (c *child) hold(now time.Time, r fleet.DemandReport) bool {
	if c == nil || c.incarnation != r.Incarnation {
		return false
	}
	c.seq = r.Seq
	c.seen = now
	return true
}

// Sum adds to a host's own report what the hosts behind it have reported, and ends the
// counts of arrivals.
func (s *Sums) Sum(now time.Time, own fleet.DemandReport) fleet.DemandReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if len(s.children) == 0 && len(s.arrived) == 0 {
		return own
	}
	byNeed := map[need]*fleet.NeedReport{}
	add := func(n fleet.NeedReport, age time.Duration) {
		n.DueIn -= age.Milliseconds()
		if sum := byNeed[needOf(n)]; sum != nil {
			*sum = sum.Plus(n)
			return
		}
		byNeed[needOf(n)] = &n
	}
	for _, n := range own.Needs {
		add(n, 0)
	}
	unreachable, pausing := setOf(own.Unreachable), setOf(own.Pausing)
	for _, c := range s.children {
		for _, n := range c.needs {
			n.Arrived, n.Starting = 0, 0
			add(n, now.Sub(c.at))
		}
		maps.Copy(unreachable, setOf(c.unreachable))
		maps.Copy(pausing, setOf(c.pausing))
	}
	for key, n := range s.arrived {
		n.Service, n.Model, n.Adapter = key.service, key.model, key.adapter
		add(n, 0)
	}
	clear(s.arrived)
	own.Needs = own.Needs[:0:0]
	for _, n := range byNeed {
		own.Needs = append(own.Needs, *n)
	}
	own.Unreachable = slices.Sorted(maps.Keys(unreachable))
	own.Pausing = slices.Sorted(maps.Keys(pausing))
	return own
}

func setOf(ids []fleet.EndpointID) map[fleet.EndpointID]bool {
	set := make(map[fleet.EndpointID]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// Heard tells of each host behind this one what it has heard of the controller.
func (s *Sums) Heard(now time.Time) []fleet.Heard {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	var out []fleet.Heard
	for _, c := range s.children {
		out = append(out, c.heard...)
	}
	return out
}

func (s *Sums) expire(now time.Time) {
	for host, c := range s.children {
		if now.Sub(c.seen) > childLife {
			c.needs, c.unreachable, c.pausing, c.heard = nil, nil, nil, nil
		}
		if now.Sub(c.seen) > seqLife {
			delete(s.children, host)
		}
	}
}
