package orders

import (
	"sync"
	"time"
)

// retransmissionTime is how long after a failed attempt its order may still arrive.
const retransmissionTime = 250 * time.Millisecond

// sentOrders tracks the orders that may still arrive at an endpoint. It is safe for concurrent use.
type sentOrders struct {
	mu       sync.Mutex
	attempts int
	// lateUntil is until when orders without a response may arrive.
	lateUntil time.Time
}

func (s *sentOrders) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts++
}

// end records the end of an attempt. settled is set if its order does not arrive later.
func (s *sentOrders) end(now time.Time, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts--
	if !settled {
		s.lateUntil = later(s.lateUntil, now.Add(retransmissionTime))
	}
}

// mayArrive reports whether an order may arrive from now on.
func (s *sentOrders) mayArrive(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts > 0 || now.Before(s.lateUntil)
}
