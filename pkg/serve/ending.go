package serve

import "time"

// EndAt states that the host shuts down and cuts off runs at a time. Requests that would still run then are refused.
func (d *Dispatcher) EndAt(at time.Time) { d.endsAt.Store(&at) }

// LatestStart implements Queue.
func (d *Dispatcher) LatestStart(r *Request) time.Time {
	s := d.shard(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	latest, _ := d.latestStart(s, r)
	return latest
}

// latestStart returns the latest time at which a request may be sent to an endpoint so that its run ends before runs
// are cut off, unless the host is not shutting down. It must be called with s.mu held.
func (d *Dispatcher) latestStart(s *shard, r *Request) (latest time.Time, ending bool) {
	at := d.endsAt.Load()
	if at == nil {
		return time.Time{}, false
	}
	if !r.DeadlineIsStartOnly && !r.Deadline.After(*at) {
		return *at, true // The client does not wait for longer.
	}
	return at.Add(-s.runTime.atMost(d.now())), true
}
