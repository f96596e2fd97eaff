package streamorigin

import (
	"slices"
	"sync"
	"time"
)

const (
	// HistoryTime is the time after its start from which a host knows which versions there were lately.
	HistoryTime = time.Minute
	// historyRetryDelay is the least time between two attempts to read them from the store.
	historyRetryDelay = time.Second
)

// History holds the software versions that services had before this host started, as the store says. A host
// that has run for HistoryTime knows them itself. It is safe for concurrent use.
type History struct {
	// Reading is held during a read of the store.
	Reading sync.Mutex

	mu       sync.Mutex
	read     bool
	versions map[string][]string
	// failedAt is when a read last failed.
	failedAt time.Time
}

// Of returns the versions of a service that the store says it had.
func (h *History) Of(service string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.versions[service]
}

// Complete reports whether the versions that services have had lately are known.
func (h *History) Complete(now, startedAt time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.read || now.Sub(startedAt) >= HistoryTime
}

// Set records what the store says.
func (h *History) Set(versions map[string][]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.read, h.versions = true, versions
}

// Fail records that the store could not be read.
func (h *History) Fail(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failedAt = now
}

// Due reports whether the store should be read now.
func (h *History) Due(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.read && now.Sub(h.failedAt) >= historyRetryDelay
}

// VersionsToStore returns the software versions of a service to store, none to remove them, and whether the store
// has others.
func VersionsToStore(recent, stored []string) (write []string, due bool) {
	if len(recent) <= 1 {
		return nil, len(stored) > 0
	}
	return recent, !slices.Equal(recent, stored)
}
