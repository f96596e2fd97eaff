package links

import (
	"sync"
	"time"
)

// sampleTTL is how long the result of a sample answers further questions.
const sampleTTL = 300 * time.Millisecond

// HostLinks tracks the links of this host to endpoints and what other hosts say about theirs. It is safe
// for concurrent use.
type HostLinks struct {
	Table *Table
	Peers Peers

	mu sync.Mutex
	// sampled is when the last sample ended, sampling is closed when the current one ends; nil if none
	// is in progress.
	sampled  time.Time
	sampling chan struct{}
	// reached is the number of endpoints that the last sample reached.
	reached int
	// lostSince is when the links were found lost, or zero while they work.
	lostSince time.Time
}

// NewHostLinks returns the links of a host, of which no failure is known.
func NewHostLinks() *HostLinks { return &HostLinks{Table: NewTable()} }

// LostFor returns for how long this host's links have been lost.
func (l *HostLinks) LostFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lostSince.IsZero() {
		return 0
	}
	return now.Sub(l.lostSince)
}

// BeginSample returns a channel that is closed when the current sample ends. begun reports whether the
// caller has to take it and call EndSample. If a recent sample still applies, the channel is nil.
func (l *HostLinks) BeginSample(now time.Time) (ended chan struct{}, begun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.sampling != nil:
		return l.sampling, false
	case now.Sub(l.sampled) < sampleTTL:
		return nil, false
	}
	l.sampling = make(chan struct{})
	return l.sampling, true
}

// EndSample records the result of a sample and reports whether the links have become lost, or work
// again.
func (l *HostLinks) EndSample(now time.Time, reached, failed int) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed = l.Table.RecordSample(now, reached, failed)
	if changed {
		l.lostSince = time.Time{}
		if l.Table.Lost() {
			l.lostSince = now
		}
	}
	l.sampled, l.reached = now, reached
	close(l.sampling)
	l.sampling = nil
	return changed
}

// ReachedAny reports whether the last sample reached an endpoint.
func (l *HostLinks) ReachedAny() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reached > 0
}
