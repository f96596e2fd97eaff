package slotshare

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Owner is a host that owns slots of an endpoint.
type Owner struct {
	Name string
	// Self is set for this host.
	Self bool
}

// Owners returns the hosts that may have a slot of an endpoint, in the order in which to ask them. It leaves out
// those that have refused one lately. This host comes first if it has a free slot, and else last.
func (t *Table) Owners(e fleet.Endpoint) []Owner {
	l, _ := t.limit(e.Service)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	shares, _ := t.shares(e, l)
	var out []Owner
	for _, s := range shares {
		if s.Host != t.self && !now.Before(t.closed[ask{s.Host, e.ID}].until) {
			out = append(out, Owner{Name: s.Host})
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	switch p := t.ownPart(now, e, l); {
	case p.slots == 0:
	case len(p.waiting) == 0 && p.free(now):
		out = slices.Insert(out, 0, Owner{t.self, true})
	case len(p.waiting) < p.slots:
		out = append(out, Owner{t.self, true})
	}
	return out
}

// RecordRefusal records that another host had no slot of an endpoint.
func (t *Table) RecordRefusal(host string, id fleet.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.closed[ask{host, id}]
	closed := min(maxClosure, firstClosure<<min(c.refusals, 8))
	t.closed[ask{host, id}] = closure{t.now().Add(closed/2 + rand.N(closed)), c.refusals + 1}
}

// RecordGrant records that another host had a slot of an endpoint, and so that it is up.
func (t *Table) RecordGrant(host string, id fleet.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addQuestions(questionsPerGrant)
	delete(t.closed, ask{host, id})
	delete(t.down, host)
}

// MayAsk reports whether this host may ask another one for a slot now. While slots are short, a host asks hardly more
// often than it gets one.
func (t *Table) MayAsk() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addQuestions(0)
	return t.questions >= 1
}

// Asks reports whether this host asks others for slots of an endpoint, given the number of endpoints that can serve the
// request. It asks for about askedEndpoints of them, so that it needs no connections to all hosts.
func (t *Table) Asks(e fleet.Endpoint, endpoints int) bool {
	t.mu.Lock()
	self := t.self
	t.mu.Unlock()
	return float64(fleet.HostRank(self, e.ID)>>11)/(1<<53)*float64(endpoints) < askedEndpoints
}

// RecordQuestion counts a question to another host.
func (t *Table) RecordQuestion() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addQuestions(-1)
}

// addQuestions adds to the number of questions that may be asked. It must be called with mu held.
func (t *Table) addQuestions(n float64) {
	now := t.now()
	n += questionsPerSecond * now.Sub(t.questionsAt).Seconds()
	t.questions = min(t.questions+n, maxQuestions)
	t.questionsAt = now
}

// NextAttempt returns how long a request that found no slot of an endpoint should not try again.
func (t *Table) NextAttempt(e fleet.Endpoint) time.Duration {
	l, _ := t.limit(e.Service)
	t.mu.Lock()
	defer t.mu.Unlock()
	now, next := t.now(), maxClosure
	shares, _ := t.shares(e, l)
	for _, s := range shares {
		wait := firstClosure
		if s.Host != t.self {
			wait = t.closed[ask{s.Host, e.ID}].until.Sub(now)
		}
		next = min(next, wait)
	}
	return max(next, firstClosure/2)
}
