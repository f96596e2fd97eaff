package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// checkPause separates two looks at an endpoint, some tens of round trips. checkHits is how
	// many have to find that it has ended: a live one may reset a connection that is one too
	// many.
	checkPause = 120 * time.Millisecond
	checkHits  = 2
	// checkLives is how many looks that find an endpoint alive end the search: answers that
	// break off at live endpoints are the usual case, and each look is a call.
	checkLives = 3
	// checkTime bounds a look, and the looks after one suspicion: it may take a moment until
	// the process has ended, and packets may be lost. Crashed ones come back after some seconds.
	checkTime = 1500 * time.Millisecond
)

// checker looks whether an endpoint has ended at which runs broke off: a run may break off for
// many other reasons. It is safe for concurrent use.
type checker struct {
	cfg  Config
	runs *Runs
	// found is told which requests ran at an endpoint when it ended.
	found func([]fleet.Crash)

	mu sync.Mutex
	// looking holds the endpoints that are looked at; each look reads its own entry.
	looking map[fleet.EndpointID]*suspicion
}

func newChecker(cfg Config, found func([]fleet.Crash)) *checker {
	return &checker{cfg: cfg, runs: NewRuns(), found: found, looking: map[fleet.EndpointID]*suspicion{}}
}

// suspicion is that an endpoint has ended.
type suspicion struct {
	// at is when the first run broke off since the endpoint last showed that it lives.
	at time.Time
	// lives counts the looks since a run broke off that found it alive.
	lives int
}

// Broke takes in that a run broke off. A suspected end of its endpoint is looked into.
func (c *checker) Broke(e fleet.Endpoint, f fleet.Fingerprint, id fleet.CopyID, suspected bool) {
	now := c.cfg.Now()
	if late := c.runs.Broke(now, e.ID, f, id); len(late) > 0 {
		c.tell(e.ID, late)
		return
	}
	if suspected && c.suspect(now, e.ID) {
		go c.look(e)
	}
}

// Refused takes in that nobody listens at an endpoint.
func (c *checker) Refused(e fleet.Endpoint) {
	now := c.cfg.Now()
	if c.runs.EndedLately(now, e.ID) && c.suspect(now, e.ID) {
		go c.look(e)
	}
}

// suspect notes a suspicion and tells whether it is the first one of its endpoint. Another run
// that breaks off renews it: the endpoint may have ended just after the last look at it.
func (c *checker) suspect(now time.Time, id fleet.EndpointID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.looking[id]; s != nil {
		if s.lives > 0 {
			*s = suspicion{at: now}
		}
		return false
	}
	c.looking[id] = &suspicion{at: now}
	return true
}

// since is when a suspected endpoint may have ended.
func (c *checker) since(id fleet.EndpointID) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.looking[id].at
}

// alive notes that an endpoint was found alive, and tells whether that ends the suspicion.
func (c *checker) alive(id fleet.EndpointID) bool {
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
func (c *checker) over(id fleet.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.looking, id)
}

// look looks at a suspected endpoint until it is clear what has become of it.
func (c *checker) look(e fleet.Endpoint) {
	ctx := context.Background()
	for hits := 0; c.cfg.Now().Sub(c.since(e.ID)) < checkTime; wait.For(ctx, checkPause) {
		ended, err := c.askOnce(ctx, e)
		switch {
		case err != nil:
			continue // Nothing is known; the next look may tell more.
		case !ended:
			hits = 0
			c.runs.Lives(c.cfg.Now(), e.ID)
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
func (c *checker) askOnce(ctx context.Context, e fleet.Endpoint) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTime)
	defer cancel()
	return c.cfg.Ended(ctx, e)
}

// ended takes in that an endpoint has ended at a time.
func (c *checker) ended(e fleet.Endpoint, at time.Time) {
	crashes := c.runs.Ended(c.cfg.Now(), at, e.ID)
	contents := make([]string, len(crashes))
	for i, x := range crashes {
		contents[i] = fleet.Hex(x.Request.Content)
	}
	c.cfg.Log.Info("endpoint has ended under requests", "endpoint", e.ID, "announced", c.cfg.Announced(e.ID), "contents", contents)
	c.tell(e.ID, crashes)
}

// tell passes crashes on, unless the endpoint had announced its end.
func (c *checker) tell(id fleet.EndpointID, crashes []fleet.Crash) {
	if len(crashes) > 0 && !c.cfg.Announced(id) {
		c.found(crashes)
	}
}
