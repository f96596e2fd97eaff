package serve

import "time"

const (
	// maxLateHoldShare is the share of its time that a request waits at most if it misses its
	// objective anyway.
	maxLateHoldShare = 0.5
	// grantIntervalWeight is the weight of one grant in the moving average of the time between
	// grants, and firstByteWeight that of one request in the moving average of the time to the
	// first byte.
	grantIntervalWeight = 0.2
	firstByteWeight     = 0.1
	// grantIntervalTTL is how long after a grant the time between grants is used. Otherwise a long
	// one would refuse all requests that could correct it.
	grantIntervalTTL = 2 * time.Second
)

// ContentionInput is the part of HoldInput that is set for services scheduled for contention.
type ContentionInput struct {
	// Wait is the expected wait until a slot is granted, or 0 if it is not known.
	Wait time.Duration
	// FirstByte is the usual time from sending a request to the first byte of its response.
	FirstByte time.Duration
}

// holdContended decides whether a request for a model with ready replicas waits while all of them
// are full. It waits only if its response can begin before the client disconnects. If it misses its
// objective, it waits for at most half of its time.
func holdContended(r *Request, s HoldInput) (until time.Time, retryAfter time.Duration, hold bool) {
	c := s.Contention
	start := s.Now.Add(c.Wait)
	until = holdUntil(r)
	if !start.After(r.ObjectiveTime()) {
		if start.After(until) {
			until = start
		}
	} else {
		half := r.Arrived.Add(time.Duration(float64(r.Deadline.Sub(r.Arrived)) * maxLateHoldShare))
		if half.Before(until) {
			until = half
		}
	}
	if s.Now.Before(until) && !start.After(until) && !start.Add(c.FirstByte).After(r.StartDeadline()) {
		return until, 0, true
	}
	return s.Now, contendedRetryAfter(r, s), false
}

// contendedRetryAfter returns the Retry-After of a request that is not held: from the end of the
// load in progress, or else from the expected wait.
func contendedRetryAfter(r *Request, s HoldInput) time.Duration {
	room := s.Contention.Wait
	switch {
	case s.NotConfigured:
		room = configRolloutTime
	case !s.ReadyAt.IsZero():
		room = s.ReadyAt.Sub(s.Now)
	case !s.Ready && !s.ColdReadyAt.IsZero():
		room = s.ColdReadyAt.Sub(s.Now)
	}
	return spreadRetryAfter(r, s.Now, room)
}

// contentionInput returns the part of HoldInput for a waiter of a service scheduled for contention.
// It must be called with s.mu held.
func (d *Dispatcher) contentionInput(now time.Time, s *shard, w *waiter) *ContentionInput {
	c := &ContentionInput{FirstByte: max(minRunTime, s.firstByte)}
	if level, known := d.Levels.Find(now, w.need.Service, w.need.Model); known {
		waited := time.Duration(0)
		if !w.since.IsZero() {
			waited = now.Sub(w.since)
		}
		c.Wait = max(0, milliseconds(level.Wait)-waited)
		return c
	}
	if st := s.contended[w.need.anyVersion()]; st != nil && now.Sub(st.grantedAt) <= grantIntervalTTL {
		c.Wait = time.Duration(s.waiting.place(w)) * st.grantInterval
	}
	return c
}

// recordGrant updates the time between grants of the same need while requests wait. A request that
// has not waited does not count. It must be called with s.mu held.
func (s *shard) recordGrant(now time.Time, w *waiter) {
	if w.since.IsZero() {
		return
	}
	st := s.contendedOf(w.need)
	since := w.since
	if st.grantedAt.After(since) {
		since = st.grantedAt
	}
	if st.grantInterval == 0 || now.Sub(st.grantedAt) > grantIntervalTTL {
		st.grantInterval = now.Sub(since)
	}
	st.grantedAt = now
	st.grantInterval += time.Duration(float64(now.Sub(since)-st.grantInterval) * grantIntervalWeight)
}

// recordFirstByte updates the usual time to the first byte. It must be called with s.mu held.
func (s *shard) recordFirstByte(after time.Duration) {
	if s.firstByte == 0 {
		s.firstByte = after
	}
	s.firstByte += time.Duration(float64(after-s.firstByte) * firstByteWeight)
}
