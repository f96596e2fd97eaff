package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// checkInterval is the interval between two checks of an endpoint. confirmCrashed is how many
	// consecutive checks must find the endpoint down: a live endpoint may reset a connection when
	// it has too many.
	checkInterval  = 120 * time.Millisecond
	confirmCrashed = 2
	// confirmAlive is how many checks must find the endpoint alive to end the series of checks.
	confirmAlive = 3
	// checkTimeout bounds a single check and the series of checks after a suspected crash. The
	// process may take a moment to exit, and packets may be lost.
	checkTimeout = 1500 * time.Millisecond
)

// checker checks whether an endpoint has crashed after a run on it broke off, since runs also break
// off for other reasons. It is safe for concurrent use.
type checker struct {
	cfg  Config
	runs *RecentRuns
	// onCrash is called with the requests that were running at an endpoint when it crashed.
	onCrash func([]fleet.CrashReport)

	mu sync.Mutex
	// suspicions holds the endpoints that are being checked.
	suspicions map[fleet.EndpointID]*suspicion
}

func newChecker(cfg Config, onCrash func([]fleet.CrashReport)) *checker {
	return &checker{cfg: cfg, runs: NewRecentRuns(), onCrash: onCrash, suspicions: map[fleet.EndpointID]*suspicion{}}
}

// suspicion is a suspected crash of an endpoint.
type suspicion struct {
	// since is when the first run broke off since the endpoint was last found alive.
	since time.Time
	// aliveChecks is the number of checks that found the endpoint alive since the last run broke
	// off.
	aliveChecks int
}

// RecordBroken records a run that broke off. If suspected is set, it starts checks of the endpoint.
func (c *checker) RecordBroken(e fleet.Endpoint, f fleet.Fingerprint, id fleet.CopyID, suspected bool) {
	now := c.cfg.Now()
	if crashes := c.runs.RecordBroken(now, e.ID, f, id); len(crashes) > 0 {
		c.report(e.ID, crashes)
		return
	}
	if suspected && c.addSuspicion(now, e.ID) {
		go c.checkUntilKnown(e)
	}
}

// RecordUnbegun records a run that broke off before its response had begun.
func (c *checker) RecordUnbegun(e fleet.Endpoint, p fleet.Prompt) {
	if crashes := c.runs.RecordUnbegun(c.cfg.Now(), e.ID, p); len(crashes) > 0 {
		c.report(e.ID, crashes)
	}
}

// RecordUnreachable records a refused connection. It starts checks if a run at the endpoint
// has ended recently.
func (c *checker) RecordUnreachable(e fleet.Endpoint) {
	now := c.cfg.Now()
	if c.runs.RanRecently(now, e.ID) && c.addSuspicion(now, e.ID) {
		go c.checkUntilKnown(e)
	}
}

// addSuspicion records a suspected crash and reports whether no checks of the endpoint are running
// yet. If a check has found the endpoint alive, it restarts the suspicion, since the endpoint may
// have crashed after that check.
func (c *checker) addSuspicion(now time.Time, id fleet.EndpointID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.suspicions[id]; s != nil {
		if s.aliveChecks > 0 {
			*s = suspicion{since: now}
		}
		return false
	}
	c.suspicions[id] = &suspicion{since: now}
	return true
}

// suspectedSince returns the earliest time at which the suspected endpoint may have crashed.
func (c *checker) suspectedSince(id fleet.EndpointID) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspicions[id].since
}

// recordAlive records a check that found the endpoint alive, and reports whether that ends the
// suspicion.
func (c *checker) recordAlive(id fleet.EndpointID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.suspicions[id]
	s.aliveChecks++
	if s.aliveChecks < confirmAlive {
		return false
	}
	delete(c.suspicions, id)
	return true
}

// clearSuspicion removes the suspicion.
func (c *checker) clearSuspicion(id fleet.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.suspicions, id)
}

// checkUntilKnown checks the suspected endpoint until the checks agree or checkTimeout has passed.
func (c *checker) checkUntilKnown(e fleet.Endpoint) {
	ctx := context.Background()
	for confirmed := 0; c.cfg.Now().Sub(c.suspectedSince(e.ID)) < checkTimeout; wait.For(ctx, checkInterval) {
		terminated, err := c.checkOnce(ctx, e)
		switch {
		case err != nil:
			continue // The result is unknown; check again.
		case !terminated:
			confirmed = 0
			c.runs.RecordAlive(c.cfg.Now(), e.ID)
			if c.recordAlive(e.ID) {
				return
			}
			continue
		}
		if confirmed++; confirmed == confirmCrashed {
			c.recordCrash(e, c.suspectedSince(e.ID))
			break
		}
	}
	c.clearSuspicion(e.ID)
}

// checkOnce reports whether the endpoint has terminated, by a single check with a timeout.
func (c *checker) checkOnce(ctx context.Context, e fleet.Endpoint) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return c.cfg.Terminated(ctx, e)
}

// recordCrash records that the endpoint crashed at the given time.
func (c *checker) recordCrash(e fleet.Endpoint, at time.Time) {
	crashes := c.runs.RecordCrash(c.cfg.Now(), at, e.ID)
	contents, parts := []string{}, []string{}
	for _, x := range crashes {
		if x.PromptPart > 0 {
			parts = append(parts, fleet.Hex(x.Request.Content))
		} else {
			contents = append(contents, fleet.Hex(x.Request.Content))
		}
	}
	c.cfg.Log.Info("endpoint crashed while running requests", "endpoint", e.ID, "announced", c.cfg.ShutdownAnnounced(e.ID), "contents", contents, "prompt_parts", parts)
	c.report(e.ID, crashes)
}

// report passes on the crashes, unless the endpoint had announced its shutdown.
func (c *checker) report(id fleet.EndpointID, crashes []fleet.CrashReport) {
	if len(crashes) > 0 && !c.cfg.ShutdownAnnounced(id) {
		c.onCrash(crashes)
	}
}
