package serve

import (
	"cmp"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// AccountShare is the use of one account of the services that are scheduled for contention.
type AccountShare struct {
	// Account is empty for requests without an account.
	Account string
	// Work is the work granted since the last call of Dispatcher.AccountShares, and Share its share
	// of the work of all accounts.
	Work  float64
	Share float64
	// Waiting is the number of waiting requests.
	Waiting int
}

// accountWork is the work of one account at one service.
type accountWork struct{ granted float64 }

// estimateWork returns the estimated work of a request.
func (d *Dispatcher) estimateWork(r *Request) float64 {
	if d.EstimateWork == nil {
		return 1
	}
	return d.EstimateWork(r)
}

// acquireNow grants a slot to a new request if one is free. Under contention, requests that wait
// already get free slots first, as their shares require. It must be called with s.mu held.
func (d *Dispatcher) acquireNow(now time.Time, s *shard, w *waiter) (fleet.Endpoint, bool) {
	// The condition may change while the request waits, so its work is always estimated.
	w.work = d.estimateWork(w.request)
	if !s.waiting.isFair() || s.waiting.len() == 0 || w.resumed {
		d.rankWaiting(now, s)
		e, ok := d.pick(now, s, w)
		if ok {
			s.recordGrantedWork(w)
		}
		return e, ok
	}
	s.waiting.push(w)
	d.dispatch(now, s)
	if s.waiting.remove(w) {
		return fleet.Endpoint{}, false
	}
	return (<-w.granted).endpoint, true
}

// dispatch grants free slots to waiting requests. It must be called with s.mu held.
func (d *Dispatcher) dispatch(now time.Time, s *shard) {
	d.rankWaiting(now, s)
	shared := d.sharedView(now, s.service, s.serviceTime) != nil
	// Later requests with the same demand are skipped once one found no slot.
	noSlot := map[slotDemand]bool{}
	exhausted := map[Need]bool{}
	s.waiting.serve(exhausted, func(w *waiter) bool {
		demand := slotDemand{w.need, shared && maySpare(now, s.serviceTime, w.request)}
		if noSlot[demand] && !w.resumed {
			return false
		}
		e, ok := d.pick(now, s, w)
		if !ok {
			if len(w.avoid) == 0 && !w.resumed {
				noSlot[demand] = true
				// A request that may spare gets each slot that others of its need get.
				if demand.maySpare || !shared {
					exhausted[w.need] = true
				}
			}
			return false
		}
		if s.waiting.isFair() {
			s.recordGrant(now, w)
		}
		s.recordGrantedWork(w)
		w.granted <- grant{endpoint: e}
		return true
	})
}

// recordGrantedWork counts the work of a granted request if the service is scheduled for contention. A
// request that did not wait is not charged. It must be called before the request is charged.
func (s *shard) recordGrantedWork(w *waiter) {
	w.request.charge, w.request.work = nil, 0
	if !s.waiting.isFair() {
		return
	}
	w.request.work = w.work
	a := s.shares[w.request.Account]
	if a == nil {
		a = &accountWork{}
		s.shares[w.request.Account] = a
	}
	a.granted += w.work
}

// refund takes back the charge of a request that did not run in its slot.
func (s *shard) refund(r *Request) {
	if a := s.shares[r.Account]; a != nil {
		a.granted = max(0, a.granted-r.work)
	}
	if r.charge != nil && s.waiting.isFair() {
		s.waiting.fair.Refund(r.charge)
	}
	r.charge, r.work = nil, 0
}

// AccountShares returns the use of all accounts since the last call, those with the most work first.
func (d *Dispatcher) AccountShares() []AccountShare {
	byAccount := map[string]*AccountShare{}
	for _, s := range d.allShards() {
		s.addShares(byAccount)
	}
	total := 0.0
	for _, a := range byAccount {
		total += a.Work
	}
	list := make([]AccountShare, 0, len(byAccount))
	for _, a := range byAccount {
		if total > 0 {
			a.Share = a.Work / total
		}
		list = append(list, *a)
	}
	slices.SortFunc(list, func(a, b AccountShare) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Account, b.Account))
	})
	return list
}

// addShares adds the use of the service to byAccount and resets it.
func (s *shard) addShares(byAccount map[string]*AccountShare) {
	s.mu.Lock()
	defer s.mu.Unlock()
	of := func(account string) *AccountShare {
		a := byAccount[account]
		if a == nil {
			a = &AccountShare{Account: account}
			byAccount[account] = a
		}
		return a
	}
	for account, work := range s.shares {
		of(account).Work += work.granted
	}
	clear(s.shares)
	if !s.waiting.isFair() {
		return
	}
	for w := range s.waiting.all() {
		of(w.request.Account).Waiting++
	}
}
