// Package slotshare divides the slots of brittle endpoints among hosts, so that no endpoint gets more requests than it
// has slots. A brittle endpoint crashes if it has to reject too many requests in a second, and the rejections of
// all hosts count.
//
// A few hosts, which all hosts choose alike, own the slots of an endpoint. The others send their requests by way of an
// owner. What a host may do follows from the names of the hosts and endpoints and from its own requests alone, without
// a message about it. The package does no I/O; time is passed in or comes from a function.
package slotshare

import (
	"cmp"
	"slices"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// slotsPerOwner is the number of slots of an endpoint for each host that owns some of them. Fewer owners have a free
// slot more often; with more of them less is lost when one fails, or when hosts disagree about one.
const slotsPerOwner = 4

// maxSlots and maxRejections bound what an endpoint states, beyond what any endpoint has, so that its shares fit the
// memory and an int.
const (
	maxSlots      = 1 << 16
	maxRejections = 1 << 20
)

// boundRejections returns a stated number of rejections within its bounds.
func boundRejections(n float64) float64 {
	if !(n > 0) { // Also for a number that is not defined.
		return 0
	}
	return min(n, maxRejections)
}

// Share is a host's share of the slots of an endpoint.
type Share struct {
	Host  string
	Slots int
}

// ranked returns up to n of the hosts in the order in which they own slots of an endpoint.
func ranked(id fleet.EndpointID, hosts []string, n int) []string {
	type entry struct {
		host string
		rank uint64
	}
	all := make([]entry, len(hosts))
	for i, h := range hosts {
		all[i] = entry{h, fleet.HostRank(h, id)}
	}
	slices.SortFunc(all, func(a, b entry) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.host, b.host)) })
	out := make([]string, min(n, len(all)))
	for i := range out {
		out[i] = all[i].host
	}
	return out
}

// ownersShare is the share of the rejections that an endpoint can take which its owners may cause. The rest is for hosts
// that do not know yet that it is brittle.
const ownersShare = 0.75

// ownerCount returns the number of hosts that own the slots of an endpoint. Each of them may cause a rejection now and
// then, so that there are fewer where an endpoint can take few.
func ownerCount(slots int, rejections float64) int {
	return max(1, min(slots/slotsPerOwner, int(boundRejections(rejections)/2)))
}

// rejectionsPerOwner returns how many rejections in a second one of the owners may cause.
func rejectionsPerOwner(rejections float64, owners int) int {
	return max(1, int(ownersShare*boundRejections(rejections)/float64(max(1, owners))))
}

// divide divides slots among up to n of the ranked hosts.
func divide(slots, n int, order []string) []Share {
	n = min(n, len(order))
	out := make([]Share, n)
	for i := range out {
		out[i] = Share{order[i], slots / n}
		if i < slots%n {
			out[i].Slots++
		}
	}
	return out
}
