package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/relay"
)

const (
	// unreachableBackoff is how long a host is not contacted after it failed to respond. It
	// doubles with each further failure up to maxUnreachableBackoff, since entries of removed
	// hosts stay in the store and each request to one costs a timeout.
	unreachableBackoff    = 2 * time.Second
	maxUnreachableBackoff = 32 * time.Second
	// unavailableBackoff is how long a host that responds but cannot help is not contacted. It
	// is about the time a host needs to read the host entries.
	unavailableBackoff = 400 * time.Millisecond
)

// reachable returns the addresses of the hosts that are not in backoff, or of all hosts if all
// are.
func (m *mesh) reachable(now time.Time) []string {
	all := m.addrs()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.DeleteFunc(slices.Clone(all), func(addr string) bool { return now.Before(m.backoffUntil[addr]) })
	if len(out) == 0 {
		return all
	}
	return out
}

// sample returns up to limit random addresses of reachable hosts.
func (m *mesh) sample(now time.Time, limit int) []string {
	all := m.reachable(now)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(limit, len(all))]
}

// sampleWithUnreachable returns up to limit random addresses of other hosts. Hosts in backoff come last, but are not
// left out: for a question about all hosts, one that is not asked must not count as one that has answered.
func (m *mesh) sampleWithUnreachable(now time.Time, limit int) []string {
	out := m.sample(now, limit)
	for _, addr := range m.addrs() {
		if len(out) < limit && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	return out
}

// crossZoneDivisor is the fraction, as a divisor, of requests to arbitrary hosts that go to
// another availability zone. A zone without access to the store learns its contents from other
// zones.
const crossZoneDivisor = 4

// pickPeer returns the address of a random reachable host, usually in this host's availability
// zone, since traffic between zones is billed. It returns "" if no other host is known.
func (m *mesh) pickPeer(now time.Time) string {
	all := m.reachable(now)
	if len(all) == 0 {
		return ""
	}
	zone := m.sameZone(all)
	if len(zone) == 0 || rand.IntN(crossZoneDivisor) == 0 {
		zone = all
	}
	return zone[rand.IntN(len(zone))]
}

// sameZone returns the addresses in addrs that are in this host's availability zone.
func (m *mesh) sameZone(addrs []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := make(map[string]string, len(m.peers))
	for _, e := range m.peers {
		zones[e.Addr] = e.Zone
	}
	var out []string
	for _, addr := range addrs {
		if zones[addr] == m.member.Zone {
			out = append(out, addr)
		}
	}
	return out
}

// markUnavailable records that a host responded but cannot help, because it does not know this
// host yet or is isolated itself. Both are short-lived, so the backoff does not grow: otherwise,
// after a restart of all hosts, most would avoid their relays and overload the controller.
func (m *mesh) markUnavailable(now time.Time, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backoffUntil[addr] = now.Add(unavailableBackoff)
}

// markUnreachable records that a host did not respond.
func (m *mesh) markUnreachable(now time.Time, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backoffUntil[addr] = now.Add(min(maxUnreachableBackoff, unreachableBackoff<<min(m.failures[addr], 4)))
	m.failures[addr]++
}

// markReachable records that a host has responded.
func (m *mesh) markReachable(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.backoffUntil, addr)
	delete(m.failures, addr)
}

// members returns all hosts, including this one. It must be called with mu held.
func (m *mesh) members() []relay.Member {
	out := []relay.Member{m.member}
	for name, e := range m.peers {
		out = append(out, relay.Member{Name: name, Addr: e.Addr, Zone: e.Zone, Cores: e.Cores})
	}
	return out
}

// others returns all other hosts.
func (m *mesh) others() []relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members()[1:]
}

// upstreams returns the hosts to pull from, best first. The controller is left out while its
// address is unknown.
func (m *mesh) upstreams(controller relay.Member) []relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := controller.Name + " " + controller.Addr
	if list, ok := m.upstreamCache[key]; ok {
		return list
	}
	controller.Cores = m.peers[controller.Name].Cores
	list := relay.Upstreams(m.member, controller, m.members())
	list = slices.DeleteFunc(list, func(u relay.Member) bool { return u.Addr == "" || u.Name == m.self })
	m.upstreamCache[key] = list
	return list
}

// isRelay reports whether this host is a relay or would become one if a relay failed.
func (m *mesh) isRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.relayRoles().self
}

// relays returns the number of hosts that are relays or would become one if a relay failed.
func (m *mesh) relays() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.relayRoles().count
}

// relayRoles holds whether this host is a relay and the number of relays.
type relayRoles struct {
	self  bool
	count int
}

// relayRoles returns the roles for the known hosts. It must be called with mu held.
func (m *mesh) relayRoles() relayRoles {
	if m.roles == nil {
		all := m.members()
		m.roles = &relayRoles{self: relay.IsRelay(m.member, all), count: relay.Count(all)}
	}
	return *m.roles
}

// fanOut returns the maximum number of children of a host with some cores.
func (m *mesh) fanOut(cores float64) int { return min(m.hosts(), relay.Children(cores)) }

// firstReachable returns the first host that is not in backoff. If all are, it returns the last
// one, which is the controller.
func (m *mesh) firstReachable(now time.Time, hosts []relay.Member) relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range hosts {
		if !now.Before(m.backoffUntil[h.Addr]) {
			return h
		}
	}
	return hosts[len(hosts)-1]
}
