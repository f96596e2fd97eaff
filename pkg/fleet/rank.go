package fleet

import (
	"hash/fnv"
	"io"
)

// HostRank returns the rank of a host for an endpoint, by rendezvous hashing. It is the same at all
// hosts.
func HostRank(host string, id EndpointID) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, host+"/"+string(id)) // A hash never returns an error.
	return MixHash(h.Sum64())
}

// MixHash spreads the bits of a hash. Without it, names that differ in few characters would give similar
// orders.
func MixHash(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
