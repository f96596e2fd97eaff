package gateway

import (
	"sync/atomic"
	"time"
)

// shared tells a set that all hosts keep with the questions and answers between them. Each names
// the sum over what it knows, and the whole set only where sums differ. It is safe for
// concurrent use.
type shared[T any] struct {
	sum func() uint64
	all func(now time.Time) []T
	// differs is whether the host that was asked last may lack something that this one knows.
	differs atomic.Bool
}

// inQuestion is what a question tells.
func (s *shared[T]) inQuestion(now time.Time) (sum uint64, all []T) {
	if s.differs.Load() {
		all = s.all(now)
	}
	return s.sum(), all
}

// inAnswer is what an answer tells a host that knows a sum.
func (s *shared[T]) inAnswer(now time.Time, known uint64) (sum uint64, all []T) {
	if sum = s.sum(); sum != known {
		all = s.all(now)
	}
	return sum, all
}

// answered takes in the sum of an answer. If the host that gave it still lacks something, the
// next question tells it.
func (s *shared[T]) answered(sum uint64) { s.differs.Store(s.sum() != sum) }
