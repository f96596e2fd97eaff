package gateway

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
)

// maxArchiveAge is how long a compressed copy of the list is sent to further hosts. They learn of
// later changes by their pulls.
const maxArchiveAge = time.Second

// listArchive is a compressed copy of the list of endpoints, which many hosts request at about the
// same time when they start together. It is safe for concurrent use.
type listArchive struct {
	mu      sync.Mutex
	builtAt time.Time
	parts   []peer.Archive
	next    fleet.Position
	// available is how many bytes may be sent at the time asOf, negative after a large copy.
	available float64
	asOf      time.Time
}

// get returns the copy and the position up to which it is complete. It builds a new one from
// entries if the last one is too old. It returns no parts while the earlier copies take up
// bytesPerSecond, so that they do not delay other messages.
func (a *listArchive) get(now time.Time, bytesPerSecond float64, entries func() ([]fleet.Entry, fleet.Position)) ([]peer.Archive, fleet.Position, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.asOf.IsZero() {
		a.available = bytesPerSecond
	} else {
		a.available = min(bytesPerSecond, a.available+now.Sub(a.asOf).Seconds()*bytesPerSecond)
	}
	a.asOf = now
	if a.available < 0 {
		return nil, 0, nil
	}
	if a.parts == nil || now.Sub(a.builtAt) > maxArchiveAge {
		list, next := entries()
		parts, err := peer.NewArchives(list)
		if err != nil {
			return nil, 0, err
		}
		a.parts, a.next, a.builtAt = parts, next, now
	}
	for _, p := range a.parts {
		a.available -= float64(len(p))
	}
	return a.parts, a.next, nil
}
