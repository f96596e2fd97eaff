package orders

import (
	"time"

	"github.com/tealvane/tealvane/pkg/admission"
	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// levelInterval is the interval between two decisions on levels.
	levelInterval = 100 * time.Millisecond
	// levelWarmup is how long a new controller collects demand before it publishes levels. Hosts
	// use those of the former controller until then.
	levelWarmup = time.Second
	// seqWindow is the number of recent reports of a host among which repeats are recognized.
	seqWindow = 64
)

// modelLevels decides on levels from the reports of all hosts.
type modelLevels struct {
	since, decidedAt time.Time
	levels           *admission.Levels
	reported         map[string]*reportedSeqs
	counts           map[fleet.ModelRef]*admission.Sums
	last             *fleet.Levels
}

func newModelLevels(now time.Time) *modelLevels {
	return &modelLevels{since: now, levels: admission.NewLevels(), reported: map[string]*reportedSeqs{}, counts: map[fleet.ModelRef]*admission.Sums{}}
}

// reportedSeqs holds the sequence numbers of the recent reports of a host.
type reportedSeqs struct {
	incarnation string
	newest      int64
	// seen has bit i set if report newest-i was received.
	seen uint64
	at   time.Time
}

// add records a sequence number and reports whether it is new.
func (s *reportedSeqs) add(seq int64) bool {
	if seq > s.newest {
		s.seen <<= min(seq-s.newest, seqWindow)
		s.newest = seq
	}
	behind := s.newest - seq
	if behind >= seqWindow || s.seen&(1<<behind) != 0 {
		return false
	}
	s.seen |= 1 << behind
	return true
}

// add counts the events of a host's report once.
func (m *modelLevels) add(now time.Time, r fleet.DemandReport, contention func(service string) bool) {
	seqs := m.reported[r.Host]
	if seqs == nil || seqs.incarnation != r.Incarnation {
		seqs = &reportedSeqs{incarnation: r.Incarnation, newest: r.Seq}
		m.reported[r.Host] = seqs
	}
	seqs.at = now
	if !seqs.add(r.Seq) {
		return
	}
	for _, n := range r.Needs {
		if !contention(n.Service) {
			continue
		}
		ref := fleet.ModelRef{Service: n.Service, Model: n.Model}
		sums := m.counts[ref]
		if sums == nil {
			sums = &admission.Sums{Service: n.Service, Model: n.Model}
			m.counts[ref] = sums
		}
		sums.Arrived += n.Arrived
		sums.Completed += n.Completed
		sums.Rejected += n.Rejected
		sums.Flows = fleet.AddFlows(sums.Flows, n.Flows)
	}
}

// take returns the demand of all models and resets the counts of events.
func (m *modelLevels) take(now time.Time, totals map[demandKey]*modelDemand, places map[fleet.ModelRef]int, contention func(service string) bool) []admission.Sums {
	for key, d := range totals {
		if key.model == "" || !contention(key.service) {
			continue
		}
		ref := fleet.ModelRef{Service: key.service, Model: key.model}
		if m.counts[ref] == nil {
			m.counts[ref] = &admission.Sums{Service: key.service, Model: key.model}
		}
		m.counts[ref].Inflight += d.inflight
		m.counts[ref].Waiting += d.waiting
	}
	out := make([]admission.Sums, 0, len(m.counts))
	for ref, sums := range m.counts {
		sums.Places = places[ref]
		out = append(out, *sums)
	}
	clear(m.counts)
	for host, s := range m.reported {
		if now.Sub(s.at) > demandTTL {
			delete(m.reported, host)
		}
	}
	return out
}

// decideLevels returns the levels for the notice, or nil if none are published. c.mu must be held.
func (c *Controller) decideLevels(now time.Time, token int64, byService map[string][]*endpointTracker) *fleet.Levels {
	if c.Contention == nil {
		return nil
	}
	if c.levels != nil && now.Sub(c.levels.decidedAt) < levelInterval {
		return c.levels.last
	}
	var replicas []replicaSet
	contended := false
	for service, trackers := range byService {
		if c.Contention(service) {
			contended = true
			replicas = append(replicas, c.readyReplicas(now, service, trackers)...)
		}
	}
	if !contended {
		c.levels = nil
		return nil
	}
	if c.levels == nil {
		c.levels = newModelLevels(now)
	}
	m := c.levels
	m.decidedAt = now
	totals := c.demand.totals(now)
	sums := m.take(now, totals, countPlaces(replicas, totals), c.Contention)
	levels := m.levels.Decide(now, token, sums, c.AccountWeight)
	if now.Sub(m.since) >= levelWarmup {
		m.last = &levels
	}
	return m.last
}
