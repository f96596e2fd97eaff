// Package streamorigin remembers which service and software version began the stream of a client attempt, and
// decides which hosts remember it for the others.
package streamorigin

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// generationTime is the least time for which a stream is remembered, the longest that clients try to finish
	// one. It is remembered for twice that time at most.
	generationTime = 30 * time.Second
	// maxAttemptBytes bounds the IDs of attempts, which clients choose.
	maxAttemptBytes = 128
	// maxGenerationStreams bounds the streams of a generation. Beyond it, older ones are forgotten sooner.
	maxGenerationStreams = 1 << 16
)

// Table holds the origins of streams by the attempt that began them. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// current and previous are two generations of streams.
	current, previous map[string]entry
	rotatedAt         time.Time
}

type entry struct {
	origin  fleet.StreamOrigin
	addedAt time.Time
	// conflict reports that several origins were added.
	conflict bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{current: map[string]entry{}, previous: map[string]entry{}} }

// Add adds the origin of a stream. A stream with two different origins has none that is known. Attempts without
// an ID, or with a very long one, are not remembered.
func (t *Table) Add(now time.Time, s fleet.StreamStart) {
	if s.Attempt == "" || len(s.Attempt) > maxAttemptBytes {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.rotatedAt) >= generationTime || len(t.current) >= maxGenerationStreams {
		t.current, t.previous, t.rotatedAt = map[string]entry{}, t.current, now
	}
	e := entry{origin: s.Origin, addedAt: now}
	if old, ok := t.find(s.Attempt); ok {
		e.addedAt = old.addedAt
		e.conflict = old.conflict || old.origin != s.Origin
	}
	t.current[s.Attempt] = e
}

// find must be called with mu held.
func (t *Table) find(attempt string) (entry, bool) {
	e, ok := t.current[attempt]
	if !ok {
		e, ok = t.previous[attempt]
	}
	return e, ok
}

// Find returns what is known of a stream. Its Origin is nil if the table does not have it.
func (t *Table) Find(now time.Time, attempt string) fleet.StreamLookupResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.find(attempt)
	if !ok || e.conflict {
		return fleet.StreamLookupResult{Conflict: e.conflict}
	}
	origin := e.origin
	return fleet.StreamLookupResult{Origin: &origin, Age: now.Sub(e.addedAt).Milliseconds()}
}

// Of returns the streams that a service began since a time, at most limit.
func (t *Table) Of(service string, since time.Time, limit int) []fleet.StreamStart {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fleet.StreamStart
	for _, generation := range []map[string]entry{t.current, t.previous} {
		for attempt, e := range generation {
			if len(out) == limit {
				return out
			}
			if e.origin.Service == service && !e.conflict && !e.addedAt.Before(since) {
				out = append(out, fleet.StreamStart{Attempt: attempt, Origin: e.origin})
			}
		}
	}
	return out
}

// Len returns the number of streams in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.current) + len(t.previous)
}
