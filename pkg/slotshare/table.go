package slotshare

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// handoverTime is how long a host does not use slots that it has come to own: the former owner may not
	// know yet, and its requests may still be running. listTime is added after a change of the list of hosts, which
	// reaches the hosts one after the other.
	handoverTime = time.Second
	listTime     = time.Second
	// spareRanks is the number of hosts beyond the owners whose order is kept, to take over from owners that are
	// down.
	spareRanks = 4
	// firstClosure is how long a host that had no slot is not asked again for one at the same endpoint. It doubles
	// with each further refusal up to maxClosure.
	firstClosure = 60 * time.Millisecond
	maxClosure   = time.Second
	// questionsPerGrant and questionsPerSecond bound the questions for slots to other hosts, and maxQuestions those that
	// may be asked at once.
	questionsPerGrant  = 3
	questionsPerSecond = 50
	maxQuestions       = 20
	// askedEndpoints is the number of endpoints of whose slots a host asks others for one.
	askedEndpoints = 32
	// probeInterval is the interval at which a host that is down is probed.
	probeInterval = 500 * time.Millisecond
)

// Reason is why a host has no slot for a request.
type Reason string

const (
	// NotOwner means that the host owns no slot of the endpoint, or does not use it yet.
	NotOwner Reason = "not_owner"
	// Full means that all of its slots are in use and as many requests wait for them.
	Full Reason = "full"
)

// Limit is what a host knows about a service whose endpoints are brittle.
type Limit struct {
	// MaxRejections is the number of requests that an endpoint can reject in a second without crashing.
	MaxRejections float64
	// Since is when this host learned of it.
	Since time.Time
}

// Claim is a request's claim to a slot.
type Claim struct {
	// Urgency orders requests that wait, 0 first.
	Urgency int
	// Wait is how long the request may wait.
	Wait time.Duration
	// MaxRejections is what the host that claims the slot knows, negative if nothing: the owner may not have
	// heard yet that the endpoint is brittle.
	MaxRejections float64
}

// Table tracks the slots that this host owns and the hosts that own others. It is safe for concurrent use.
type Table struct {
	now func() time.Time
	// limit returns the limit of a service, or false if its endpoints are not brittle.
	limit func(service string) (Limit, bool)
	// Apart is set if hosts do not send requests by way of one another. As many hosts as possible then own slots.
	// It must be set before first use.
	Apart bool

	mu   sync.Mutex
	self string
	// hosts includes this host. hostsChanged is when it last changed.
	hosts        []string
	hostsChanged time.Time
	ranks        map[fleet.EndpointID][]string
	parts        map[fleet.EndpointID]*part
	down         map[string]*downHost
	closed       map[ask]closure
	// questions is the number of questions that may be asked now, as of questionsAt.
	questions   float64
	questionsAt time.Time
}

// ask identifies an owner of slots of an endpoint.
type ask struct {
	host     string
	endpoint fleet.EndpointID
}

type closure struct {
	until    time.Time
	refusals int
}

// NewTable returns a table for a host that knows no others.
func NewTable(now func() time.Time, limit func(service string) (Limit, bool)) *Table {
	return &Table{
		now:    now,
		limit:  limit,
		hosts:  []string{""},
		ranks:  map[fleet.EndpointID][]string{},
		parts:  map[fleet.EndpointID]*part{},
		down:   map[string]*downHost{},
		closed: map[ask]closure{},

		hostsChanged: now(),
		questions:    maxQuestions,
		questionsAt:  now(),
	}
}

// SetHosts sets the name of this host and those of all others.
func (t *Table) SetHosts(self string, others []string) {
	hosts := append([]string{self}, others...)
	slices.Sort(hosts)
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(hosts, t.hosts) && self == t.self {
		return
	}
	t.self, t.hosts, t.hostsChanged = self, hosts, t.now()
	clear(t.ranks)
}

// Limited reports whether the endpoints of a service are brittle.
func (t *Table) Limited(service string) bool {
	_, ok := t.limit(service)
	return ok
}

// shares returns the shares of an endpoint's slots. since is when the last change that led to them was
// noticed. It must be called with mu held.
func (t *Table) shares(e fleet.Endpoint, l Limit) (shares []Share, since time.Time) {
	order := t.ranks[e.ID]
	slots := max(0, min(e.Slots, maxSlots))
	n := ownerCount(slots, l.MaxRejections)
	if t.Apart {
		n = max(1, slots)
	}
	if len(order) < min(n+spareRanks, len(t.hosts)) {
		order = ranked(e.ID, t.hosts, n+spareRanks)
		t.ranks[e.ID] = order
	}
	since = t.hostsChanged.Add(listTime)
	up := make([]string, 0, len(order))
	for _, h := range order {
		if d := t.down[h]; d != nil && !d.since.IsZero() {
			if len(up) < n && d.since.After(since) {
				since = d.since
			}
			continue
		}
		up = append(up, h)
	}
	return divide(slots, n, up), since
}

// ownPart returns this host's part of an endpoint, with the slots that it may use. It must be called with mu
// held.
func (t *Table) ownPart(now time.Time, e fleet.Endpoint, l Limit) *part {
	shares, since := t.shares(e, l)
	p := t.part(e.ID)
	slots := 0
	if i := slices.IndexFunc(shares, func(s Share) bool { return s.Host == t.self }); i >= 0 {
		slots = shares[i].Slots
	}
	if now.Sub(since) < handoverTime {
		slots = min(slots, p.slots)
	}
	if allowance := rejectionsPerOwner(l.MaxRejections, len(shares)); slots != p.slots || allowance != p.allowance {
		window := allowance
		if now.Sub(l.Since) < learnTime {
			window = slots
		}
		p.setShare(slots, allowance, window)
	}
	return p
}

// part returns the state of an endpoint. It must be called with mu held.
func (t *Table) part(id fleet.EndpointID) *part {
	p := t.parts[id]
	if p == nil {
		p = &part{}
		t.parts[id] = p
	}
	return p
}

// Slot is a request of this host at an endpoint.
type Slot struct {
	table *Table
	to    fleet.Endpoint
	once  sync.Once
}

// End ends the use of the slot, which may be nil. Only the first call counts.
func (s *Slot) End(o Outcome) {
	if s == nil {
		return
	}
	s.once.Do(func() {
		t := s.table
		t.mu.Lock()
		defer t.mu.Unlock()
		l, limited := t.limit(s.to.Service)
		if !limited {
			p := t.part(s.to.ID)
			p.inUse--
			p.grant(t.now())
			return
		}
		t.ownPart(t.now(), s.to, l).release(t.now(), o)
	})
}

// Rejecting reports whether the endpoint has just rejected a request of this host; see Table.Rejecting. The slot may be
// nil.
func (s *Slot) Rejecting() bool { return s != nil && s.table.Rejecting(s.to) }

// Refusal is why there is no slot for a request. It implements error.
type Refusal struct {
	Reason Reason
}

// Error implements error.
func (r *Refusal) Error() string { return "no slot of the brittle endpoint: " + string(r.Reason) }

// Acquire takes a slot of an endpoint for a request that this host is about to send. Where the endpoint is not
// brittle the request is only counted.
func (t *Table) Acquire(ctx context.Context, e fleet.Endpoint, c Claim) (*Slot, *Refusal) {
	t.mu.Lock()
	now := t.now()
	l, limited := t.limit(e.Service)
	if !limited && c.MaxRejections >= 0 {
		l, limited = Limit{MaxRejections: c.MaxRejections, Since: now}, true
	}
	slot := &Slot{table: t, to: e}
	if !limited {
		t.part(e.ID).inUse++
		t.mu.Unlock()
		return slot, nil
	}
	p := t.ownPart(now, e, l)
	if p.slots == 0 {
		t.suspectOwners(e, l)
		t.mu.Unlock()
		return nil, &Refusal{NotOwner}
	}
	if p.take(now) {
		t.mu.Unlock()
		return slot, nil
	}
	w := &waiter{urgency: c.Urgency, granted: make(chan struct{}), refused: make(chan struct{})}
	if c.Wait <= 0 || p.inUse == 0 || !p.enqueue(w) {
		t.mu.Unlock()
		return nil, &Refusal{Full}
	}
	t.mu.Unlock()
	timer := time.NewTimer(c.Wait)
	defer timer.Stop()
	select {
	case <-w.granted:
		return slot, nil
	case <-w.refused:
		return nil, &Refusal{Full}
	case <-timer.C:
	case <-ctx.Done():
	}
	t.mu.Lock()
	waited := p.remove(w)
	t.mu.Unlock()
	if !waited {
		select {
		case <-w.granted:
			return slot, nil
		default:
		}
	}
	return nil, &Refusal{Full}
}

// Free reports whether this host has a free slot of an endpoint, so that a request needs no other host.
func (t *Table) Free(e fleet.Endpoint) bool {
	l, limited := t.limit(e.Service)
	if !limited {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.ownPart(t.now(), e, l)
	return len(p.waiting) == 0 && p.free(t.now())
}

// RejectionMemory is how long after a rejection the loss of a brittle endpoint is taken for its consequence: the endpoint counts
// rejections over a second, and its connections break within another half.
const RejectionMemory = 1500 * time.Millisecond

// ErrRejecting marks failures of runs at a brittle endpoint that has just rejected requests for lack of room. Its
// crash is not the fault of what it was running.
var ErrRejecting = errors.New("the endpoint has just rejected requests for lack of room")

// Rejecting reports whether a brittle endpoint has rejected a request within RejectionMemory that this host has sent.
func (t *Table) Rejecting(e fleet.Endpoint) bool {
	if !t.Limited(e.Service) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.parts[e.ID]
	return p != nil && !p.rejectedAt.IsZero() && t.now().Sub(p.rejectedAt) < RejectionMemory
}

// Retain removes the state of endpoints that are not in live and have no requests of this host.
func (t *Table) Retain(live map[fleet.EndpointID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.parts {
		if !live[id] && p.inUse <= 0 && len(p.waiting) == 0 {
			delete(t.parts, id)
			delete(t.ranks, id)
		}
	}
	for a := range t.closed {
		if !live[a.endpoint] {
			delete(t.closed, a)
		}
	}
}

// Use is the use of the slots that this host owns.
type Use struct {
	// Slots, InUse and Waiting are sums over all endpoints.
	Slots, InUse, Waiting int
	// Rejections is the number of rejections in the last second.
	Rejections int
}

// Use returns the use of the slots that this host owns.
func (t *Table) Use() Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, out := t.now(), Use{}
	for _, p := range t.parts {
		if p.slots > 0 {
			out.Slots += p.slots
			out.InUse += p.inUse
			out.Waiting += len(p.waiting)
		}
		out.Rejections += p.recentRejections(now)
	}
	return out
}
