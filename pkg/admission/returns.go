package admission

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// maxReturns bounds the refused requests that a host remembers. The oldest are forgotten first.
	maxReturns = 4096
	// returnTTL is how long after the told time a request still counts as a return.
	returnTTL = 5 * time.Second
)

// Returns remembers refused requests with the times at which their clients were told to return. It
// is safe for concurrent use.
type Returns struct {
	mu       sync.Mutex
	requests map[fleet.Fingerprint]refused
	// ring holds the fingerprints in the order of their refusals; next is the oldest entry.
	ring []fleet.Fingerprint
	next int
}

// refused is a refused request.
type refused struct {
	due time.Time
	// slot is the position in the ring. An entry of the ring with another position is outdated.
	slot int
}

// Add remembers a refused request whose client was told to return at the given time.
func (r *Returns) Add(f fleet.Fingerprint, due time.Time) {
	if f.Content == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests == nil {
		r.requests = map[fleet.Fingerprint]refused{}
	}
	if len(r.ring) < maxReturns {
		r.requests[f] = refused{due, len(r.ring)}
		r.ring = append(r.ring, f)
		return
	}
	if old := r.ring[r.next]; r.requests[old].slot == r.next {
		delete(r.requests, old)
	}
	r.ring[r.next] = f
	r.requests[f] = refused{due, r.next}
	r.next = (r.next + 1) % maxReturns
}

// Take reports whether a request is one that was refused and returns no earlier than told. It
// forgets the refusal in any case.
func (r *Returns) Take(now time.Time, f fleet.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, known := r.requests[f]
	delete(r.requests, f)
	return known && !now.Before(entry.due) && now.Sub(entry.due) <= returnTTL
}

// len returns the number of remembered requests.
func (r *Returns) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}
