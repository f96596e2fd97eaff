package streamorigin

import (
	"sync"
	"time"
)

const (
	// HistoryTime is the time for which a host must have heard of all changes to know by itself where streams may
	// have begun that still go on.
	HistoryTime = time.Minute
	// historyRetryDelay is the least time between two attempts to read the record from the store.
	historyRetryDelay = time.Second
	// maxCheckPause is the time between two checks after which a host may have been suspended.
	maxCheckPause = 2 * time.Second
)

// History holds what the store says about the time before this host heard of all changes. It is safe for
// concurrent use.
type History struct {
	// Reading is held during a read of the store.
	Reading sync.Mutex

	mu sync.Mutex
	// since is when this host began to hear of all changes, and checkedAt when it last noticed that it did.
	since, checkedAt time.Time
	// record is what the store said after that; nil if it was not read. trusted reports that it has all.
	record  *Record
	trusted bool
	// failedAt is when a read last failed or found a record that is not complete.
	failedAt time.Time
}

// Check must be called regularly. missed reports that this host may have missed changes because it is cut off. One that
// has started or was suspended may have, too.
func (h *History) Check(now time.Time, missed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if missed || now.Sub(h.checkedAt) > maxCheckPause {
		h.since, h.record, h.trusted, h.failedAt = now, nil, false, time.Time{}
	}
	h.checkedAt = now
}

// Record returns what the store says, nil if that is not known or no longer needed.
func (h *History) Record(now time.Time) *Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.heardAll(now) {
		return nil
	}
	return h.record
}

// Complete reports whether it is known at which versions of the services streams may have begun.
func (h *History) Complete(now time.Time, services []string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.heardAll(now) {
		return true
	}
	if !h.trusted || now.Sub(h.checkedAt) > maxCheckPause {
		return false
	}
	for _, s := range services {
		// A record without versions is that of a store in which no host has written one yet.
		if h.record.Versions[s] == nil && len(h.record.Versions) > 0 {
			return false
		}
	}
	return true
}

// heardAll reports whether this host has heard of all changes for long enough. It must be called with mu held.
func (h *History) heardAll(now time.Time) bool {
	return now.Sub(h.checkedAt) <= maxCheckPause && now.Sub(h.since) >= HistoryTime
}

// Set records what the store says, in which era it is now.
func (h *History) Set(now time.Time, r Record, era int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record, h.trusted = &r, !r.Partial && r.Era == era
	h.failedAt = now
}

// Fail records that the store could not be read.
func (h *History) Fail(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failedAt = now
}

// Due reports whether the store may be read now, after the last attempt did not suffice.
func (h *History) Due(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failedAt.IsZero() || now.Sub(h.failedAt) >= historyRetryDelay
}
