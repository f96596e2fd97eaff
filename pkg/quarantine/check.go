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
	// checkTime bounds a look, and the looks after one suspicion: it may take a moment until
	// the process has ended, and packets may be lost. Crashed ones come back after some seconds.
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

	mu sync.Mutex
	// looking holds the endpoints that are looked at; each look reads its own entry.
	looking map[fleet.EndpointID]*suspicion
}

// suspicion is that an endpoint has ended.
type suspicion struct {
	// at is when the first run broke off since the endpoint last showed that it lives.
	at time.Time
	// lives counts the looks since a run broke off that found it alive.
	lives int
}

// Broke takes in that a run broke off. A suspected end of its endpoint is looked into.
func (c *Checker) Broke(e fleet.Endpoint, f fleet.Fingerprint, suspected bool) {
	now := c.Now()
	if late := c.Runs.Broke(now, e.ID, f); len(late) > 0 {
		c.found(e.ID, late)
		return
	}
	if suspected && c.suspect(now, e.ID) {
		go c.look(e)
	}
}

// Refused takes in that nobody listens at an endpoint.
func (c *Checker) Refused(e fleet.Endpoint) {
	now := c.Now()
	if c.Runs.EndedLately(now, e.ID) && c.suspect(now, e.ID) {
		go c.look(e)
	}
}

// suspect notes a suspicion and tells whether it is the first one of its endpoint. Another run
// that breaks off renews it: the endpoint may have ended just after the last look at it.
func (c *Checker) suspect(now time.Time, id fleet.EndpointID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.looking[id]; s != nil {
		if s.lives > 0 {
			*s = suspicion{at: now}
		}
		return false
	}
	if c.looking == nil {
		c.looking = map[fleet.EndpointID]*suspicion{}
	}
	c.looking[id] = &suspicion{at: now}
	return true
}

// since is when a suspected endpoint may have ended.
func (c *Checker) since(id fleet.EndpointID) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.looking[id].at
}

// alive notes that an endpoint was found alive, and tells whether that ends the suspicion.
func (c *Checker) alive(id fleet.EndpointID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.looking[id]
	s.lives++
	if s.lives < checkLives {
		return false
	}
	delete(c.looking, id)
	return true
}

// over ends a suspicion.
func (c *Checker) over(id fleet.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.looking, id)
}

// look looks at a suspected endpoint until it is clear what has become of it.
func (c *Checker) look(e fleet.Endpoint) {
	ctx := context.Background()
	for hits := 0; c.Now().Sub(c.since(e.ID)) < checkTime; wait.For(ctx, checkPause) {
		ended, err := c.askOnce(ctx, e)
		switch {
		case err != nil:
			continue // Nothing is known; the next look may tell more.
		case !ended:
			hits = 0
			c.Runs.Lives(c.Now(), e.ID)
			if c.alive(e.ID) {
				return
			}
			continue
		}
		if hits++; hits == checkHits {
			c.ended(e, c.since(e.ID))
			break
		}
	}
	c.over(e.ID)
}

// askOnce looks at an endpoint once.
func (c *Checker) askOnce(ctx context.Context, e fleet.Endpoint) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTime)
	defer cancel()
	return c.Ended(ctx, e)
}

// ended takes in that an endpoint has ended at a time.
func (c *Checker) ended(e fleet.Endpoint, at time.Time) {
	crashes := c.Runs.Ended(c.Now(), at, e.ID)
	contents := make([]string, len(crashes))
	for i, x := range crashes {
		contents[i] = fleet.Hex(x.Request.Content)
	}
	c.Log.Info("endpoint has ended under requests", "endpoint", e.ID, "announced", c.Announced(e.ID), "contents", contents)
	c.found(e.ID, crashes)
}

// found passes crashes on, unless the endpoint had announced its end.
func (c *Checker) found(id fleet.EndpointID, crashes []fleet.Crash) {
	if len(crashes) > 0 && !c.Announced(id) {
		c.Found(crashes)
	}
}
