package streamorigin

import (
	"cmp"
	"hash/fnv"
	"io"
	"math/bits"
	"slices"
)

// Host is a host that may remember streams for others.
type Host struct {
	Name string
	Addr string
	Zone string
}

// ranked is a host with its rank for one stream.
type ranked struct {
	host Host
	rank uint64
}

// compare orders hosts by descending rank.
func (r ranked) compare(o ranked) int {
	return cmp.Or(cmp.Compare(o.rank, r.rank), cmp.Compare(r.host.Name, o.host.Name))
}

// Keepers returns up to n hosts that remember the stream of an attempt, in order, by rendezvous hashing: hosts that
// know the same others choose the same, and a host that is added or removed changes few streams. The first two are
// in different zones if there are several.
func Keepers(attempt string, hosts []Host, n int) []Host {
	of := hash(attempt)
	best := make([]ranked, 0, n+1)
	for _, h := range hosts {
		best = insert(best, ranked{h, mix(of ^ hash(h.Name))}, n)
	}
	if len(best) > 1 && best[1].host.Zone == best[0].host.Zone {
		best = preferOtherZone(of, best, hosts)
	}
	out := make([]Host, len(best))
	for i, r := range best {
		out[i] = r.host
	}
	return out
}

// insert inserts r into the n best hosts.
func insert(best []ranked, r ranked, n int) []ranked {
	at, _ := slices.BinarySearchFunc(best, r, ranked.compare)
	if at == n {
		return best
	}
	best = slices.Insert(best, at, r)
	return best[:min(n, len(best))]
}

// preferOtherZone makes the best host outside the zone of the first one the second.
func preferOtherZone(of uint64, best []ranked, hosts []Host) []ranked {
	var other []ranked
	for _, h := range hosts {
		if h.Zone != best[0].host.Zone {
			other = insert(other, ranked{h, mix(of ^ hash(h.Name))}, 1)
		}
	}
	if len(other) == 0 {
		return best
	}
	rest := slices.DeleteFunc(slices.Clone(best[1:]), func(r ranked) bool { return r.host.Name == other[0].host.Name })
	return slices.Concat(best[:1], other, rest)[:len(best)]
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, s) // A hash never returns an error.
	return h.Sum64()
}

// mix spreads the bits of a hash, since those of similar names differ in few bits.
func mix(x uint64) uint64 {
	hi, lo := bits.Mul64(x, 0x9e3779b97f4a7c15)
	return hi ^ lo
}
