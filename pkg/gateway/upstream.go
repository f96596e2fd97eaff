package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/relay"
)

const (
	// silentFor is how long a host that gave no answer is not asked again; it doubles
	// with each further time up to silentMost. Hosts that are gone for good stay in
	// the store, and each question to one costs its timeout.
	silentFor  = 2 * time.Second
	silentMost = 32 * time.Second
	// passOverFor is how long a host that answers but cannot help is not asked again:
	// about as long as it takes to read the entries of hosts.
	passOverFor = 400 * time.Millisecond
)

// answering returns the hosts that have not failed to answer lately, or all.
func (m *mesh) answering(now time.Time) []string {
	all := m.addrs()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.DeleteFunc(slices.Clone(all), func(addr string) bool { return now.Before(m.silent[addr]) })
	if len(out) == 0 {
		return all
	}
	return out
}

// some returns a few of the hosts that have not failed to answer lately, at random.
func (m *mesh) some(now time.Time, most int) []string {
	all := m.answering(now)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(most, len(all))]
}

// farQuestions is how often, as one in so many, a question to any host goes to another
// zone: a zone that is cut off from the store as a whole learns from others.
const farQuestions = 4

// anyNear returns a host that has not failed to answer lately, mostly one of this host's
// zone: bytes between zones have a price. It is empty if no other host is known.
func (m *mesh) anyNear(now time.Time) string {
	all := m.answering(now)
	if len(all) == 0 {
		return ""
	}
	near := m.nearOf(all)
	if len(near) == 0 || rand.IntN(farQuestions) == 0 {
		near = all
	}
	return near[rand.IntN(len(near))]
}

// nearOf returns those of some addresses that are of this host's zone.
func (m *mesh) nearOf(addrs []string) []string {
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

// passOver takes in that a host answers and cannot help: it does not know this one yet, or
// is cut off itself. Both pass soon. Counted as silence, they kept hosts away from
// their relays for up to half a minute after all had lost power, and all of them asked the
// controller, which had no time left to decide.
func (m *mesh) passOver(now time.Time, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silent[addr] = now.Add(passOverFor)
}

// noteSilent takes in that a host gave no answer.
func (m *mesh) noteSilent(now time.Time, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silent[addr] = now.Add(min(silentMost, silentFor<<min(m.failures[addr], 4)))
	m.failures[addr]++
}

// noteAnswer takes in that a host has answered.
func (m *mesh) noteAnswer(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.silent, addr)
	delete(m.failures, addr)
}

// members returns all hosts, this one included, as the tree sees them. It is called with
// the lock held.
func (m *mesh) members() []relay.Member {
	out := []relay.Member{m.member}
	for name, e := range m.peers {
		out = append(out, relay.Member{Name: name, Addr: e.Addr, Zone: e.Zone, Cores: e.Cores})
	}
	return out
}

// upstreams returns the hosts that this one asks, best first. The controller is left
// out while its address is not known.
func (m *mesh) upstreams(controller relay.Member) []relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := controller.Name + " " + controller.Addr
	if list, ok := m.tree[key]; ok {
		return list
	}
	controller.Cores = m.peers[controller.Name].Cores
	list := relay.Upstreams(m.member, controller, m.members())
	list = slices.DeleteFunc(list, func(u relay.Member) bool { return u.Addr == "" || u.Name == m.self })
	m.tree[key] = list
	return list
}

// relaying tells whether this host is one that others ask, or would ask next.
func (m *mesh) relaying() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.relay == nil {
		is := relay.Relaying(m.member, m.members())
		m.relay = &is
	}
	return *m.relay
}

// fanOut is how many hosts at most ask a host with some cores.
func (m *mesh) fanOut(cores float64) int { return min(m.hosts(), relay.Children(cores)) }

// firstAnswering returns the first host that has not failed to answer lately; the last
// one, which is the controller, if all have.
func (m *mesh) firstAnswering(now time.Time, hosts []relay.Member) relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range hosts {
		if !now.Before(m.silent[h.Addr]) {
			return h
		}
	}
	return hosts[len(hosts)-1]
}
