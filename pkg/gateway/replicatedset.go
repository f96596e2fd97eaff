package gateway

import (
	"sync/atomic"
	"time"
)

// replicatedSet exchanges a set between hosts in pulls and their responses. Both carry a
// checksum, and the set itself only if the checksums differ. It is safe for concurrent use.
type replicatedSet[T any] struct {
	checksum func() uint64
	all      func(now time.Time) []T
	// peerBehind is set while the last upstream host may lack items that this host has.
	peerBehind atomic.Bool
}

// forRequest returns the checksum and, if the upstream host may lack items, the set to send in
// a pull.
func (s *replicatedSet[T]) forRequest(now time.Time) (sum uint64, all []T) {
	if s.peerBehind.Load() {
		all = s.all(now)
	}
	return s.checksum(), all
}

// forResponse returns the checksum and, if it differs from the child's, the set to send in a
// response.
func (s *replicatedSet[T]) forResponse(now time.Time, known uint64) (sum uint64, all []T) {
	if sum = s.checksum(); sum != known {
		all = s.all(now)
	}
	return sum, all
}

// acknowledge records the checksum in a response. If it differs, the next pull carries the set.
func (s *replicatedSet[T]) acknowledge(sum uint64) { s.peerBehind.Store(s.checksum() != sum) }
