package serve

import "time"

// Demand is one need as this host sees it.
type Demand struct {
	Need
	Waiting int
	// InTime is how many of the waiting requests can still begin in time.
	InTime int
	// Due is the earliest time at which waiting begins to cost, of those that can
	// be in time if there are any.
	Due time.Time
	// Inflight requests run, Arrived ones came since the last report.
	Inflight int
	Arrived  int
	// Starting is for how long requests have waited at endpoints for the first part
	// of their answers, summed, since the last report.
	Starting time.Duration
	// Priority is the most urgent rank that asked, 0 first.
	Priority int
}

// wait counts a waiting request.
func (x *Demand) wait(due time.Time, inTime bool) {
	better := inTime && x.InTime == 0 || inTime == (x.InTime > 0) && due.Before(x.Due)
	if x.Waiting == 0 || better {
		x.Due = due
	}
	x.Waiting++
	if inTime {
		x.InTime++
	}
}

// Demand returns all needs with use and resets the counts of arrivals.
func (d *Dispatcher) Demand() []Demand {
	d.mu.Lock()
	shards := make([]*shard, 0, len(d.shards))
	for _, s := range d.shards {
		shards = append(shards, s)
	}
	d.mu.Unlock()
	now := d.now()
	var list []Demand
	for _, s := range shards {
		list = append(list, s.demand(now)...)
	}
	return list
}

func (s *shard) demand(now time.Time) []Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	byNeed := map[Need]*Demand{}
	for n, u := range s.use {
		if n.Model == "" {
			continue
		}
		wanted := now.Before(u.wantedUntil)
		if u.inflight == 0 && u.arrived == 0 && !wanted {
			delete(s.use, n)
			continue
		}
		byNeed[n] = &Demand{Need: n, Inflight: u.inflight, Arrived: u.arrived, Starting: u.starting, Priority: u.priority}
		if wanted && u.inflight == 0 {
			// It is due when its client comes back, after all that wait.
			byNeed[n].Waiting = 1
			byNeed[n].Due = u.wantedUntil
		}
		u.arrived = 0
		u.starting = 0
	}
	for _, w := range s.waiting {
		if w.need.Model == "" {
			continue
		}
		x := byNeed[w.need]
		if x == nil {
			x = &Demand{Need: w.need, Priority: w.request.Route.Priority}
			byNeed[w.need] = x
		}
		x.wait(Due(w.request, now))
	}
	list := make([]Demand, 0, len(byNeed))
	for _, x := range byNeed {
		list = append(list, *x)
	}
	return list
}
