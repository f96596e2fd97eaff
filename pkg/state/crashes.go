package state

import (
	"slices"
	"sync"

	"github.com/tealvane/tealvane/pkg/record"
)

// maxCrashes bounds the ends of endpoints that are kept, the newest ones. With full
// batches of some tens of requests they take about 200 KB of each snapshot.
const maxCrashes = 256

// EndpointCrash is an end of an endpoint under requests, as the log tells it.
type EndpointCrash struct {
	Offset record.Offset
	record.Crashed
}

// Crashes holds the last ends of endpoints under requests.
type Crashes struct {
	mu   sync.RWMutex
	list []EndpointCrash
}

func newCrashes() *Crashes { return &Crashes{} }

// add keeps an end. A host tells what ran there on its own, so that one end may come from several.
func (c *Crashes) add(off record.Offset, r record.Crashed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, EndpointCrash{Offset: off, Crashed: r})
	if len(c.list) > maxCrashes {
		c.list = slices.Delete(c.list, 0, len(c.list)-maxCrashes)
	}
}

// After returns the ends that the log has told after an offset.
func (c *Crashes) After(off record.Offset) []EndpointCrash {
	c.mu.RLock()
	defer c.mu.RUnlock()
	i := slices.IndexFunc(c.list, func(e EndpointCrash) bool { return e.Offset > off })
	if i < 0 {
		return nil
	}
	return slices.Clone(c.list[i:])
}
