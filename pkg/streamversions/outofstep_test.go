package streamversions_test

import (
	"fmt"
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"pgregory.net/rapid"
)

const (
	// maxRelayLag is how far behind the host may be that relays the list, and readLag the age of the list at a host
	// that reads it from the store itself.
	maxRelayLag = 900 * time.Millisecond
	readLag     = 1100 * time.Millisecond
	// spreadInterval is how often hosts hear of changes.
	spreadInterval = 50 * time.Millisecond
)

// view is what a host has heard of the list.
type view struct {
	frozen atomic.Bool
	// heardAt is the Unix time in nanoseconds up to which it has.
	heardAt atomic.Int64
	// lag is how far behind its relay is.
	lag time.Duration
	// known is the number of the list that it has, from 1.
	known int
}

func (v *view) heard(upTo time.Time) { v.heardAt.Store(max(v.heardAt.Load(), upTo.UnixNano())) }

// views is the history of the list.
type views struct {
	at    []time.Time
	lists []map[fleet.EndpointID]fleet.Endpoint
}

func (v *views) add(now time.Time, list map[fleet.EndpointID]fleet.Endpoint) {
	v.at = append(v.at, now)
	v.lists = append(v.lists, maps.Clone(list))
}

// of returns the number of the list as it was at a time.
func (v *views) of(at time.Time) (last int) {
	for i := range v.at {
		if !v.at[i].After(at) {
			last = i
		}
	}
	return last
}

// spread lets hosts hear of the list, by way of others or by reads of their own, for a time.
func (s *simulation) spread(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(spreadInterval) {
		now := time.Now()
		for _, h := range s.hosts {
			lag := h.lag
			switch {
			case h.frozen.Load() || h.isolated():
				continue
			case h == s.controller():
				lag = 0
			case h.cut.Load():
				lag = readLag
			}
			h.heard(now.Add(-lag))
			if n := s.views.of(time.Unix(0, h.heardAt.Load())); h.known != n+1 {
				h.known = n + 1
				s.setList(h, s.views.lists[n])
			}
		}
	}
}

// joinBeside lets a version join before, while or after a host is put out of step.
func (s *simulation) joinBeside(version string) {
	h := s.hosts[s.rand.IntN(len(s.hosts))]
	h.lag = time.Duration(s.rand.Int64N(int64(maxRelayLag)))
	joinFirst := s.rand.IntN(2) == 0
	if joinFirst {
		s.addEndpoint("llm", version)
		s.spread(time.Duration(s.rand.IntN(3000)) * time.Millisecond)
	}
	kind := s.rand.IntN(4)
	if kind == 0 || kind == 2 {
		h.cut.Store(true)
	}
	if kind == 1 || kind == 2 {
		h.fault.Store(int64(rejectsAll))
	}
	if kind == 3 {
		h.fault.Store(int64(rejectsAll))
		h.frozen.Store(true)
	}
	if !joinFirst {
		s.spread(time.Duration(s.rand.IntN(800)) * time.Millisecond)
		s.addEndpoint("llm", version)
	}
	for range s.rand.IntN(60) {
		s.spread(100 * time.Millisecond)
		s.beginAt(s.hosts[s.rand.IntN(len(s.hosts))])
		if !h.frozen.Load() {
			s.resumeAt(h, func() {
				if s.rand.IntN(4) == 0 {
					s.spread(time.Duration(s.rand.IntN(2500)) * time.Millisecond)
				}
			})
		}
	}
	// The first request after a suspension comes before anything else.
	h.frozen.Store(false)
	s.resumeAt(h, func() {})
	h.fault.Store(int64(noFault))
	s.resumeAt(h, func() {})
	h.cut.Store(false)
	for range 10 {
		s.resumeAt(h, func() {})
		s.spread(time.Duration(s.rand.IntN(300)) * time.Millisecond)
	}
}

// playOutOfStep plays a random schedule of releases with hosts out of step.
func playOutOfStep(t *testing.T, seed uint64) (s *simulation) {
	synctest.Test(t, func(*testing.T) {
		s = newSimulation(seed)
		s.setFault(noFault)
		s.views = &views{}
		s.late.Store(true)
		s.views.add(time.Now(), s.endpoints)
		s.loads = func() time.Duration { return time.Duration(s.rand.Int64N(int64(loadTime))) }
		s.spread(loadTime + 2*time.Second)
		if s.rand.IntN(2) == 0 {
			s.spread(time.Minute) // Hosts need no record then.
		}
		for i := range 4 {
			for range 4 {
				s.begin()
			}
			s.joinBeside(fmt.Sprint(2 + i))
			s.removeVersion("llm", fmt.Sprint(1+i))
			s.spread(time.Duration(s.rand.IntN(80)) * time.Second)
		}
		for _, h := range s.hosts {
			s.kill(h)
		}
		time.Sleep(time.Second)
	})
	return s
}

// Guards against streams of a version that go on at another one at a host that was cut off, stood still or heard of changes
// late while the version joined.
func TestHostsOutOfStepWhileVersionsJoin(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := playOutOfStep(t, rapid.Uint64().Draw(rt, "seed"))
		for _, f := range s.failures {
			rt.Error(f)
		}
		rt.Logf("%d of %d went on", s.wentOn, s.resumed)
	})
}
