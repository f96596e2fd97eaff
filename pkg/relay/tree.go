// Package relay decides which host asks which for what the controller tells, and sums
// what hosts report of their demand on the way up. It does no I/O.
//
// The load pattern: hundreds of hosts, each with a few requests a second for any of
// hundreds of models. Where each tells the controller of each arrival, and the
// controller tells each host of each change, messages grow with hosts times events, and
// most of them cross availability zones. So hosts ask relays of their own zone, and the
// relays ask the controller.
package relay

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// childrenPerCore is how many hosts a relay answers for each core that it has. A
	// host asks some five times a second, and an answer takes about a third of a
	// millisecond, so that they take an eighth of the relay's processor.
	childrenPerCore = 80
	// minChildren is how many hosts the weakest relay answers.
	minChildren = 8
	// leastCores is assumed of a host that does not state its processor.
	leastCores = 0.2
	// backups is how many relays a host knows beside its own before it asks the
	// controller itself: two may be lost at once.
	backups = 2
)

// Member is an entry host as the tree sees it.
type Member struct {
	Name string
	Addr string
	Zone string
	// Cores is the processor that the host has, 0 if it does not state it.
	Cores float64
}

// Children is how many other hosts a host with some cores answers.
func Children(cores float64) int {
	if cores <= 0 {
		cores = leastCores
	}
	return max(minChildren, int(childrenPerCore*cores))
}

// Upstreams returns the hosts that a host asks, best first; the controller is the last.
// Each host finds them by itself from the list of hosts: one that is asked stands
// before the asker in the order of their zone, so that no two ask each other. Without a
// controller relays are asked also where hosts are few: they know first who it is.
func Upstreams(self Member, controller Member, hosts []Member) []Member {
	if controller.Name != "" && len(hosts) <= Children(controller.Cores) {
		return []Member{controller}
	}
	zone := inOrder(self.Zone, controller.Name, hosts)
	relays := zone[:relayCount(zone)]
	rank := slices.IndexFunc(zone, func(m Member) bool { return m.Name == self.Name })
	if rank < len(relays) {
		return []Member{controller}
	}
	out := []Member{relays[hash(self.Name)%uint64(len(relays))]}
	for _, m := range zone[:min(rank, len(relays)+backups)] {
		if len(out) <= backups && m.Name != out[0].Name {
			out = append(out, m)
		}
	}
	return append(out, controller)
}

// Relaying tells whether a host is among the relays of its zone, or among those that take
// a relay's place.
func Relaying(self Member, hosts []Member) bool {
	zone := inOrder(self.Zone, "", hosts)
	rank := slices.IndexFunc(zone, func(m Member) bool { return m.Name == self.Name })
	return rank < relayCount(zone)+backups
}

// inOrder returns the hosts of a zone but the controller, the strongest first. Hosts that
// are alike are ordered by a hash of their names, which all hosts find alike.
func inOrder(zone, controller string, hosts []Member) []Member {
	var out []Member
	for _, m := range hosts {
		if m.Zone == zone && m.Name != controller {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(-cmp.Compare(a.Cores, b.Cores), cmp.Compare(hash(a.Name), hash(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// relayCount is how many of the hosts of a zone, the strongest first, answer all others.
func relayCount(zone []Member) int {
	served := 0
	for i, m := range zone {
		if served >= len(zone)-i {
			return i
		}
		served += Children(m.Cores)
	}
	return len(zone)
}

func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // It never fails.
	return h.Sum64()
}
