// Package relay determines from which host each host receives updates of the controller, and
// aggregates the demand reports that hosts send in return. It does no I/O.
//
// With hundreds of hosts and models, messages between each host and the controller would grow with
// hosts times events, and most of them would cross availability zones. Therefore hosts poll
// relays in their own zone, and the relays poll the controller.
package relay

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// childrenPerCore is the number of hosts that a relay serves for each of its cores.
	childrenPerCore = 80
	// minChildren is the number of hosts that the smallest relay serves.
	minChildren = 8
	// defaultCores is assumed for a host that does not state its number of cores.
	defaultCores = 0.2
	// fallbackRelays is the number of fallback relays that a host tries before it polls
	// the controller.
	fallbackRelays = 2
)

// Member is a host in the relay tree.
type Member struct {
	Name string
	Addr string
	Zone string
	// Cores is the number of CPU cores of the host, 0 if unknown.
	Cores float64
}

// Children returns how many other hosts a host with the given number of cores can serve.
func Children(cores float64) int {
	if cores <= 0 {
		cores = defaultCores
	}
	return max(minChildren, int(childrenPerCore*cores))
}

// Upstreams returns the hosts that self polls, in order of preference; the last one is the
// controller. Each host computes this from the list of hosts. A host polls only hosts that precede
// it in the order of their zone, so there are no cycles. If the controller is unknown, relays are
// used even if there are few hosts, since relays learn first which host it is.
func Upstreams(self Member, controller Member, hosts []Member) []Member {
	if controller.Name != "" && len(hosts) <= Children(controller.Cores) {
		return []Member{controller}
	}
	zone := zoneOrder(self.Zone, controller.Name, hosts)
	relays := zone[:relayCount(zone)]
	rank := slices.IndexFunc(zone, func(m Member) bool { return m.Name == self.Name })
	if rank < len(relays) {
		return []Member{controller}
	}
	out := []Member{relays[hash(self.Name)%uint64(len(relays))]}
	for _, m := range zone[:min(rank, len(relays)+fallbackRelays)] {
		if len(out) <= fallbackRelays && m.Name != out[0].Name {
			out = append(out, m)
		}
	}
	return append(out, controller)
}

// IsRelay reports whether the host is a relay or a fallback relay of its zone.
func IsRelay(self Member, hosts []Member) bool {
	zone := zoneOrder(self.Zone, "", hosts)
	rank := slices.IndexFunc(zone, func(m Member) bool { return m.Name == self.Name })
	return rank < relayCount(zone)+fallbackRelays
}

// Count returns the number of relays and fallback relays of all zones.
func Count(hosts []Member) int {
	byZone := map[string][]Member{}
	for _, m := range hosts {
		byZone[m.Zone] = append(byZone[m.Zone], m)
	}
	n := 0
	for _, zone := range byZone {
		slices.SortFunc(zone, compareStrength)
		n += min(len(zone), relayCount(zone)+fallbackRelays)
	}
	return n
}

// zoneOrder returns the hosts of a zone without the controller, by descending number of cores.
// Equal hosts are ordered by a hash of their names, so that all hosts compute the same order.
func zoneOrder(zone, controller string, hosts []Member) []Member {
	var out []Member
	for _, m := range hosts {
		if m.Zone == zone && m.Name != controller {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, compareStrength)
	return out
}

// compareStrength orders hosts by descending number of cores, and equal ones by a hash of their
// names.
func compareStrength(a, b Member) int {
	return cmp.Or(-cmp.Compare(a.Cores, b.Cores), cmp.Compare(hash(a.Name), hash(b.Name)), cmp.Compare(a.Name, b.Name))
}

// Rank returns how many hosts other than excluded have more cores than self, or as many and a
// lower hash. No two hosts that know the same hosts have the same rank.
func Rank(self Member, excluded string, hosts []Member) int {
	rank := 0
	for _, m := range hosts {
		if m.Name != excluded && compareStrength(m, self) < 0 {
			rank++
		}
	}
	return rank
}

// relayCount returns how many of the sorted hosts of a zone are needed as relays for the others.
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
	_, _ = h.Write([]byte(name)) // A hash never returns an error.
	return h.Sum64()
}
