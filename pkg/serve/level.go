package serve

import (
	"math"
	"time"

	"github.com/tealvane/tealvane/pkg/admission"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// maxFlows bounds the flows that a host counts for one model. Further accounts count as one.
const maxFlows = 256

// contendedStats counts the requests for one Need of a service that is scheduled for contention.
type contendedStats struct {
	local admission.Local
	// completed, rejected and flows count events since the last report.
	completed, rejected int
	flows               map[flowKey]int
	// grantInterval is the moving average of the time between grants to waiting requests, and
	// grantedAt the time of the last one.
	grantInterval time.Duration
	grantedAt     time.Time
	// returnRate is the moving average of the share of requests that are returns.
	returnRate float64
}

type flowKey struct {
	priority int
	account  string
}

func (s *shard) contendedOf(n Need) *contendedStats {
	n = n.anyVersion()
	st := s.contended[n]
	if st == nil {
		if s.contended == nil {
			s.contended = map[Need]*contendedStats{}
		}
		st = &contendedStats{flows: map[flowKey]int{}}
		s.contended[n] = st
	}
	return st
}

// addFlow counts a received request by priority and account.
func (c *contendedStats) addFlow(r *Request) {
	key := flowKey{r.Route.Priority, r.Account}
	if _, known := c.flows[key]; !known && len(c.flows) >= maxFlows {
		key.account = ""
	}
	c.flows[key]++
}

// recordContended counts a received request of a service that is scheduled for contention. It must
// be called with s.mu held.
func (d *Dispatcher) recordContended(s *shard, r *Request) {
	now := d.now()
	st := s.contendedOf(r.Need())
	st.local.Arrive(now)
	if _, known := d.Levels.Find(now, r.Service, r.Model); known {
		st.addFlow(r)
	}
}

// releaseContended counts the result of a slot. It must be called with s.mu held.
func (d *Dispatcher) releaseContended(s *shard, n Need, result SlotResult) {
	st := s.contendedOf(n)
	switch {
	case result.Duration > 0:
		st.completed++
	case result.Rejected:
		st.rejected++
		st.local.Reject(d.now())
	}
}

// AdmitNew implements ContentionQueue.
func (d *Dispatcher) AdmitNew(r *Request) *Refusal {
	if !d.contention(r.Service) {
		return nil
	}
	now := d.now()
	r.returned = d.returns.Take(now, r.Fingerprint)
	r.share = d.admittedShare(now, r)
	r.limited = r.share < fleet.FullShare
	if admission.Admits(r.ID, r.share) {
		return nil
	}
	after, _ := d.RoomAfter(r)
	return &Refusal{Cause: CauseContention, NotRun: true, RetryAfter: after}
}

// admittedShare returns the share of requests like r that are admitted, in units of
// 1/fleet.FullShare. Without a known level, it follows from the rejections of this host's own
// requests.
func (d *Dispatcher) admittedShare(now time.Time, r *Request) int {
	level, known := d.Levels.Find(now, r.Service, r.Model)
	s := d.shard(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.contendedOf(r.Need())
	st.recordReturn(r.returned)
	share, above := 0, fleet.FullShare
	if known {
		share, above = level.Share(r.Route.Priority, r.Account), level.LeastAbove(r.Route.Priority)
	} else {
		share = st.local.Share(now)
		if r.Route.Priority > 0 {
			above = share // All priorities have the same share.
		}
	}
	fresh, returning := admittedShares(share, above, st.returnRate)
	if r.returned {
		return returning
	}
	return fresh
}

// recordReturn updates the share of requests that are returns.
func (c *contendedStats) recordReturn(returned bool) {
	now := 0.0
	if returned {
		now = 1
	}
	c.returnRate += (now - c.returnRate) * returnRateWeight
}

// addContended adds what was counted for services that are scheduled for contention to the demand,
// and resets the counts. It must be called with mu held.
func (s *shard) addContended(now time.Time, byNeed map[Need]*Demand) {
	for n, st := range s.contended {
		if st.completed == 0 && st.rejected == 0 && len(st.flows) == 0 {
			if st.local.Idle(now) {
				delete(s.contended, n)
			}
			continue
		}
		if n.Model != "" {
			d := byNeed[n]
			if d == nil {
				d = &Demand{Need: n, Priority: math.MaxInt}
				byNeed[n] = d
			}
			d.Completed, d.Rejected = st.completed, st.rejected
			for key, count := range st.flows {
				d.Flows = append(d.Flows, fleet.Flow{Priority: key.priority, Account: key.account, Arrived: count})
			}
		}
		st.completed, st.rejected = 0, 0
		clear(st.flows)
	}
}
