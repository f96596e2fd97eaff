package state

import (
	"slices"
	"sync"

	"github.com/tealvane/tealvane/pkg/record"
)

// maxCrashes bounds the retained crashes, and with them the size of a snapshot.
const maxCrashes = 256

// EndpointCrash is a crash of an endpoint that had requests in flight.
type EndpointCrash struct {
	Offset record.Offset
	record.EndpointCrash
}

// Crashes holds the most recent endpoint crashes.
type Crashes struct {
	mu   sync.RWMutex
	list []EndpointCrash
}

func newCrashes() *Crashes { return &Crashes{} }

// add records a crash and drops the oldest above maxCrashes. Each host reports
// its own requests, so one crash may be added several times.
func (c *Crashes) add(off record.Offset, r record.EndpointCrash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, EndpointCrash{Offset: off, EndpointCrash: r})
	if len(c.list) > maxCrashes {
		c.list = slices.Delete(c.list, 0, len(c.list)-maxCrashes)
	}
}

// After returns the crashes recorded after an offset.
func (c *Crashes) After(off record.Offset) []EndpointCrash {
	c.mu.RLock()
	defer c.mu.RUnlock()
	i := slices.IndexFunc(c.list, func(e EndpointCrash) bool { return e.Offset > off })
	if i < 0 {
		return nil
	}
	return slices.Clone(c.list[i:])
}
