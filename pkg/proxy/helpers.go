package proxy

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// candidates is the number of hosts of this zone, and of all other zones, of which the least
	// loaded one helps. It bounds the connections between hosts.
	candidates = 2
	// zoneCost is the load, in requests per core, by which a host in another zone has to be less
	// loaded to be chosen, since bytes between zones are priced.
	zoneCost = 20
	// defaultCores is assumed for a host that does not state its number of cores.
	defaultCores = 0.2
	// firstAvoidance is how long a host that could not help is not asked again. It doubles with each
	// further time up to maxAvoidance.
	firstAvoidance = 500 * time.Millisecond
	maxAvoidance   = 4 * time.Second
	// busyAvoidance is how long a busy host is not asked again.
	busyAvoidance = 150 * time.Millisecond
	// zoneFailures is the number of hosts of a zone in a row that could not help after which hosts in
	// other zones come first.
	zoneFailures = 2
	// rankTTL is how long the order of hosts is kept.
	rankTTL = time.Second
)

// Host is a host that may send requests to endpoints for others.
type Host struct {
	Name, Addr, Zone string
	// Cores is the number of CPU cores, 0 if unknown.
	Cores float64
}

// helperState is what this host knows of another host.
type helperState struct {
	avoidUntil time.Time
	failures   int
	// load is the number of requests of other hosts that the host last reported, own the number of
	// this host's requests in progress there.
	load, own int
	// helpedAt is when the host last said that it reaches endpoints.
	helpedAt time.Time
}

// Helpers chooses the hosts that send requests for this one. It is safe for concurrent use.
type Helpers struct {
	self Host
	// hosts returns the other known hosts.
	hosts func() []Host

	mu     sync.Mutex
	states map[string]*helperState
	// failedInRow is the number of hosts that could not help since one could, by zone.
	failedInRow map[string]int
	ranked      []Host
	rankedAt    time.Time
}

// NewHelpers returns helpers for a host. hosts returns the other known hosts.
func NewHelpers(self Host, hosts func() []Host) *Helpers {
	return &Helpers{self: self, hosts: hosts, states: map[string]*helperState{}, failedInRow: map[string]int{}}
}

// rank returns the hosts in the order in which self prefers them. Each host has an order of its own, so
// that hosts that lose their links together spread over those that have not.
func rank(self Host, hosts []Host) []Host {
	type ranked struct {
		Host
		hash uint64
	}
	all := make([]ranked, 0, len(hosts))
	for _, h := range hosts {
		f := fnv.New64a()
		_, _ = f.Write([]byte(self.Name + " " + h.Name)) // It never fails.
		all = append(all, ranked{h, fleet.MixHash(f.Sum64())})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	out := make([]Host, len(all))
	for i, h := range all {
		out[i] = h.Host
	}
	return out
}

// Pick returns the host that should send the next request and counts it as in progress there. It leaves
// out the hosts in tried. It reports false if no host can help.
func (h *Helpers) Pick(now time.Time, tried map[string]bool) (Host, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ranked == nil || now.Sub(h.rankedAt) > rankTTL {
		h.ranked, h.rankedAt = rank(h.self, h.hosts()), now
		h.forgetOthers()
	}
	best, bestCost := Host{}, hostCost{}
	own, other := 0, 0
	for _, c := range h.ranked {
		s := h.states[c.Name]
		if tried[c.Name] || s != nil && now.Before(s.avoidUntil) {
			continue
		}
		counted := &other
		if c.Zone == h.self.Zone {
			counted = &own
		}
		if *counted++; *counted > candidates {
			continue
		}
		if cost := h.cost(c, s); best.Name == "" || cost.less(bestCost) {
			best, bestCost = c, cost
		}
		if own >= candidates && other >= candidates {
			break
		}
	}
	if best.Name == "" {
		return Host{}, false
	}
	h.state(best.Name).own++
	return best, true
}

// hostCost orders hosts: those in zones whose hosts could not help come last.
type hostCost struct {
	zoneFailed bool
	// load is in requests per core.
	load float64
}

func (c hostCost) less(o hostCost) bool {
	if c.zoneFailed != o.zoneFailed {
		return o.zoneFailed
	}
	return c.load < o.load
}

// cost returns the cost of a host. It must be called with mu held.
func (h *Helpers) cost(c Host, s *helperState) hostCost {
	cores := c.Cores
	if cores <= 0 {
		cores = defaultCores
	}
	cost := hostCost{zoneFailed: h.failedInRow[c.Zone] >= zoneFailures}
	if s != nil {
		cost.load = float64(max(s.load, s.own)) / cores
	}
	if c.Zone != h.self.Zone {
		cost.load += zoneCost
	}
	return cost
}

func (h *Helpers) state(name string) *helperState {
	s := h.states[name]
	if s == nil {
		s = &helperState{}
		h.states[name] = s
	}
	return s
}

// forgetOthers drops the states of hosts that are no longer known. It must be called with mu held.
func (h *Helpers) forgetOthers() {
	known := make(map[string]bool, len(h.ranked))
	for _, c := range h.ranked {
		known[c.Name] = true
	}
	for name, s := range h.states {
		if !known[name] && s.own == 0 {
			delete(h.states, name)
		}
	}
}

// Done records that a request at a host has ended.
func (h *Helpers) Done(c Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state(c.Name).own--
}

// RecordHelp records that a host reaches an endpoint, and its load.
func (h *Helpers) RecordHelp(now time.Time, c Host, load int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state(c.Name)
	s.load, s.failures, s.helpedAt = load, 0, now
	h.failedInRow[c.Zone] = 0
}

// RecordBusy records that a host has no room.
func (h *Helpers) RecordBusy(now time.Time, c Host, load int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state(c.Name)
	s.load, s.avoidUntil = load, now.Add(busyAvoidance)
}

// RecordUseless records that a host could not help: it does not answer, is stopping or has lost its own
// links to endpoints.
func (h *Helpers) RecordUseless(now time.Time, c Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state(c.Name)
	s.avoidUntil = now.Add(min(maxAvoidance, firstAvoidance<<min(s.failures, 8)))
	s.failures++
	h.failedInRow[c.Zone]++
}

// HelpedWithin reports whether any host has reached an endpoint for this one within a time.
func (h *Helpers) HelpedWithin(now time.Time, d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.states {
		if !s.helpedAt.IsZero() && now.Sub(s.helpedAt) < d {
			return true
		}
	}
	return false
}
