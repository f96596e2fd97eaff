package signals

import (
	"hash/fnv"
	"io"
	"math"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// quietTime is how long the responses of a service have to state nothing until its endpoints are no
	// longer taken for brittle. It doubles up to maxQuietTime if they state it again soon afterwards, since
	// then only some of them do.
	quietTime    = 2 * time.Second
	maxQuietTime = 30 * time.Second
)

// Brittleness is what a response says about whether its endpoint is brittle.
type Brittleness struct {
	// Stated reports that the endpoint is brittle. MaxRejections is the number of requests that it can
	// reject in a second without crashing.
	Stated        bool
	MaxRejections float64
	// Malformed reports that what is stated could not be read, which changes nothing.
	Malformed bool
}

// BrittleServices tracks the services whose endpoints are brittle. All endpoints of a service state the same, so
// that one response tells about those that no host has heard of yet. It is safe for concurrent use.
type BrittleServices struct {
	mu        sync.Mutex
	byService map[string]*brittleState
	version   int64
	checksum  uint64
	// Changed is called without the lock when a response to this host has changed what is known. It may be
	// nil, and must be set before first use.
	Changed func(fleet.BrittleService)
}

type brittleState struct {
	fleet.BrittleService
	// learnedAt is when this host learned of the current state.
	learnedAt time.Time
	// quietSince is when the first response came that did not state the state, since the last one that did;
	// zero if none has come.
	quietSince time.Time
	// quiet is how long that has to last until the state ends.
	quiet time.Duration
}

// NewBrittleServices returns a table without brittle services.
func NewBrittleServices() *BrittleServices {
	return &BrittleServices{byService: map[string]*brittleState{}}
}

// Observe applies what the response to a request that was sent at a time says about a service.
func (b *BrittleServices) Observe(now time.Time, service string, said Brittleness, sent time.Time) {
	if changed, ok := b.observe(now, service, said, sent); ok && b.Changed != nil {
		b.Changed(changed)
	}
}

func (b *BrittleServices) observe(now time.Time, service string, said Brittleness, sent time.Time) (fleet.BrittleService, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byService[service]
	switch {
	case said.Malformed, s == nil && !said.Stated:
		return fleet.BrittleService{}, false
	case s == nil:
		s = &brittleState{quiet: quietTime}
		s.Service = service
		b.byService[service] = s
	}
	next := s.BrittleService
	next.Version++
	if said.Stated {
		s.quietSince = time.Time{}
		if s.Brittle && s.MaxRejections == said.MaxRejections {
			return fleet.BrittleService{}, false
		}
		if !s.Brittle && !s.learnedAt.IsZero() && now.Sub(s.learnedAt) < 2*s.quiet {
			s.quiet = min(2*s.quiet, maxQuietTime)
		}
		next.Brittle, next.MaxRejections = true, said.MaxRejections
		b.store(now, s, next)
		return next, true
	}
	if !s.Brittle || !sent.After(s.learnedAt) {
		return fleet.BrittleService{}, false // Responses may arrive late.
	}
	if s.quietSince.IsZero() {
		s.quietSince = now
	}
	if now.Sub(s.quietSince) < s.quiet {
		return fleet.BrittleService{}, false
	}
	next.Brittle, next.MaxRejections = false, 0
	b.store(now, s, next)
	return next, true
}

// store replaces a state. It must be called with mu held.
func (b *BrittleServices) store(now time.Time, s *brittleState, next fleet.BrittleService) {
	b.checksum ^= hashBrittle(s.BrittleService) ^ hashBrittle(next)
	s.BrittleService, s.learnedAt, s.quietSince = next, now, time.Time{}
	b.version++
}

// Merge merges the state of another host and returns what changed.
func (b *BrittleServices) Merge(now time.Time, received []fleet.BrittleService) []fleet.BrittleService {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changed []fleet.BrittleService
	for _, r := range received {
		s := b.byService[r.Service]
		if s == nil {
			s = &brittleState{quiet: quietTime}
			s.Service = r.Service
			b.byService[r.Service] = s
		}
		if r.NewerThan(s.BrittleService) {
			b.store(now, s, r)
			changed = append(changed, r)
		}
	}
	return changed
}

// Find returns how many requests an endpoint of a service can reject in a second without crashing, and since when this
// host knows; ok is false if the endpoints of the service are not brittle.
func (b *BrittleServices) Find(service string) (maxRejections float64, since time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byService[service]
	if s == nil || !s.Brittle {
		return 0, time.Time{}, false
	}
	return s.MaxRejections, s.learnedAt, true
}

// All returns the state of all services that are or were brittle.
func (b *BrittleServices) All() []fleet.BrittleService {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []fleet.BrittleService
	for _, s := range b.byService {
		if s.Version > 0 {
			out = append(out, s.BrittleService)
		}
	}
	return out
}

// Count returns the number of services whose endpoints are brittle.
func (b *BrittleServices) Count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.byService {
		if s.Brittle {
			n++
		}
	}
	return n
}

// Checksum returns a checksum of all states, 0 if there are none.
func (b *BrittleServices) Checksum() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.checksum
}

// Version returns the number of changes at this host.
func (b *BrittleServices) Version() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// hashBrittle returns a hash of a state for the checksum, 0 for one that no host has observed.
func hashBrittle(s fleet.BrittleService) uint64 {
	if s.Version == 0 {
		return 0
	}
	const odd = 0x9e3779b97f4a7c15
	h := fnv.New64a()
	_, _ = io.WriteString(h, s.Service) // A hash never returns an error.
	hash := (h.Sum64() + uint64(s.Version)*odd) ^ math.Float64bits(s.MaxRejections)*odd
	if s.Brittle {
		hash = ^hash * odd
	}
	return hash
}
