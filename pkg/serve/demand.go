package serve

import (
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Demand is the demand for one model or adapter of a service at this host.
type Demand struct {
	Need
	Waiting int
	// OnTime is the number of waiting requests that can still meet their objective.
	OnTime int
	// Due is the earliest time returned by DemandRank for the waiting requests. If any
	// of them can still meet its objective, only those are considered.
	Due time.Time
	// Inflight counts running requests, Arrived those received since the last call of
	// Dispatcher.Demand.
	Inflight int
	Arrived  int
	// FirstByteWait is the total time that requests waited at endpoints for the first byte of the
	// response since the last call of Dispatcher.Demand.
	FirstByteWait time.Duration
	// Completed and Rejected count the requests that endpoints completed and rejected as full
	// since the last call of Dispatcher.Demand, and Flows splits Arrived for models with a level.
	// They are set only for services that are scheduled for contention.
	Completed int
	Rejected  int
	Flows     []fleet.Flow
	// Priority is the highest priority among the requests, where 0 is the highest.
	Priority int
}

// addWaiting counts a waiting request.
func (d *Demand) addWaiting(due time.Time, onTime bool) {
	better := onTime && d.OnTime == 0 || onTime == (d.OnTime > 0) && due.Before(d.Due)
	if d.Waiting == 0 || better {
		d.Due = due
	}
	d.Waiting++
	if onTime {
		d.OnTime++
	}
}

// Demand returns the current demand and resets the counters of arrivals and first-byte waits.
func (d *Dispatcher) Demand() []Demand {
	now := d.now()
	var list []Demand
	for _, s := range d.allShards() {
		list = append(list, s.demand(now)...)
	}
	return list
}

// allShards returns the queues of all services.
func (d *Dispatcher) allShards() []*shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	shards := make([]*shard, 0, len(d.shards))
	for _, s := range d.shards {
		shards = append(shards, s)
	}
	return shards
}

func (s *shard) demand(now time.Time) []Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	byNeed := map[Need]*Demand{}
	for n, st := range s.stats {
		if n.Model == "" {
			continue
		}
		unmet := now.Before(st.unmetUntil)
		if st.inflight == 0 && st.arrived == 0 && !unmet {
			delete(s.stats, n)
			continue
		}
		byNeed[n] = &Demand{Need: n, Inflight: st.inflight, Arrived: st.arrived, FirstByteWait: st.firstByteWait, Priority: st.priority}
		if unmet && st.inflight == 0 {
			// The client of the refused request is expected to retry by then.
			byNeed[n].Waiting = 1
			byNeed[n].Due = st.unmetUntil
		}
		st.arrived = 0
		st.firstByteWait = 0
	}
	s.addContended(now, byNeed)
	for w := range s.waiting.all() {
		if w.need.Model == "" {
			continue
		}
		d := byNeed[w.need]
		if d == nil {
			d = &Demand{Need: w.need, Priority: w.request.Route.Priority}
			byNeed[w.need] = d
		}
		d.addWaiting(DemandRank(w.request, now))
	}
	list := make([]Demand, 0, len(byNeed))
	for _, d := range byNeed {
		list = append(list, *d)
	}
	return list
}
