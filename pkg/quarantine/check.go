package quarantine

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// checkPause separates two looks at an endpoint, checkHits is how many have to find that
	// it has ended: a live one may reset a connection that is one too many.
	checkPause = 120 * time.Millisecond
	checkHits  = 2
	// checkLives is how many looks that find an endpoint alive end the search: answers that
	// break off at live endpoints are the usual case, and each look is a call.
	checkLives = 3
	// checkTime bounds the looks at one endpoint: it may take a moment until its
	// process has ended, and packets may be lost. Crashed ones come back after some seconds.
	checkTime = 1500 * time.Millisecond
)

// Checker looks whether an endpoint has ended at which runs broke off: a run may break off for
// many other reasons. It is safe for concurrent use.
type Checker struct {
	// Ended tells whether an incarnation of an endpoint has ended; an error says that this
	// is not known.
	Ended func(ctx context.Context, e fleet.Endpoint) (bool, error)
	// Announced tells whether the endpoint has announced its leaving. Its end is then
	// no request's fault.
	Announced func(id fleet.EndpointID) bool
	// Found is told which requests ran at an endpoint when it ended.
	Found func([]fleet.Crash)
	Now   func() time.Time
	Log   *slog.Logger
	Runs  *Runs

	mu      sync.Mutex
	looking map[fleet.EndpointID]bool
}

// Broke takes in that a run broke off. A suspected end of its endpoint is looked into.
func (c *Checker) Broke(e fleet.Endpoint, f fleet.Fingerprint, suspected bool) {
	now := c.Now()
	if late := c.Runs.Broke(now, e.ID, f); len(late) > 0 {
		c.Found(late)
		return
	}
	if suspected && c.begin(e.ID) {
		go c.look(e, now)
	}
}

func (c *Checker) begin(id fleet.EndpointID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.looking[id] {
		return false
	}
	if c.looking == nil {
		c.looking = map[fleet.EndpointID]bool{}
	}
	c.looking[id] = true
	return true
}

func (c *Checker) done(id fleet.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.looking, id)
}

// look looks at an endpoint at which a run broke off at a time.
func (c *Checker) look(e fleet.Endpoint, at time.Time) {
	defer c.done(e.ID)
	ctx, cancel := context.WithTimeout(context.Background(), checkTime)
	defer cancel()
	for hits, lives := 0, 0; ctx.Err() == nil && lives < checkLives; wait.For(ctx, checkPause) {
		ended, err := c.Ended(ctx, e)
		switch {
		case err != nil:
			continue
		case !ended:
			hits = 0
			lives++ // It may still be about to end.
			continue
		}
		if hits++; hits == checkHits {
			c.ended(e, at)
			return
		}
	}
}

func (c *Checker) ended(e fleet.Endpoint, at time.Time) {
	announced := c.Announced(e.ID)
	crashes := c.Runs.Ended(c.Now(), at, e.ID)
	contents := make([]string, len(crashes))
	for i, x := range crashes {
		contents[i] = fleet.Hex(x.Request.Content)
	}
	c.Log.Info("endpoint has ended under requests", "endpoint", e.ID, "announced", announced, "contents", contents)
	if !announced && len(crashes) > 0 {
		c.Found(crashes)
	}
}
