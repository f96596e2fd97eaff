package orders

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// sentOrdersPollInterval is how often a release checks for orders that may still arrive.
const sentOrdersPollInterval = 10 * time.Millisecond

// ReleaseOutcome is the result of an attempt to release a claim.
type ReleaseOutcome string

// The outcomes of a release.
const (
	// Released means that the store has accepted the release.
	Released ReleaseOutcome = "released"
	// ReleaseUnknown means that the release may have taken effect, so that the claim is given up.
	ReleaseUnknown ReleaseOutcome = "unknown"
	// NotReleased means that the release has no effect and the claim is still held.
	NotReleased ReleaseOutcome = "not_released"
)

// Release stops the orders under a held claim, waits until none may arrive any more, and appends a
// released holder to the claims by put, which must do so right after the held claim only. Errors of
// put that are marked as fleet.ErrStoreRejected mean that it had no effect, unless another claim was in
// its place.
func (c *Controller) Release(ctx context.Context, token int64, put func(context.Context, Holder) error) (ReleaseOutcome, error) {
	if !c.Election.BeginRelease(token) {
		return NotReleased, nil
	}
	for c.sent.mayArrive(c.Now()) {
		if !wait.For(ctx, sentOrdersPollInterval) {
			c.Election.CancelRelease(token)
			return NotReleased, ctx.Err()
		}
	}
	released, held := c.Election.releasedHolder(c.Now(), token)
	if !held {
		return NotReleased, nil // Another host has claimed meanwhile.
	}
	err := put(ctx, released)
	if errors.Is(err, fleet.ErrStoreRejected) && !errors.Is(err, fleet.ErrStoreConflict) {
		c.Election.CancelRelease(token)
		return NotReleased, err
	}
	c.Election.Vacate(token)
	if err != nil {
		return ReleaseUnknown, err
	}
	return Released, nil
}

// BeginRelease stops the orders under a claim, before its release is sent to the store: another host may
// claim and send orders as soon as the store has executed the release, which this host may learn late or
// never. It reports whether this host holds the claim. CancelRelease or Vacate must follow.
func (e *Election) BeginRelease(token int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releasing = token != 0 && e.held == token
	return e.releasing
}

// releasedHolder returns the holder for the record of the release of a claim, unless the claim is no longer
// held.
func (e *Election) releasedHolder(now time.Time, token int64) (Holder, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.self
	h.Released = true
	h.Former = e.former.encode(now)
	return h, e.held == token
}

// CancelRelease resumes the orders under a claim whose release certainly has no effect.
func (e *Election) CancelRelease(token int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held == token {
		e.releasing = false
	}
}

// Vacate gives up a claim whose release has taken effect or may do so. Hosts that learn of this
// can claim at once.
func (e *Election) Vacate(token int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held != token {
		return
	}
	e.dropHeld()
	if e.newest.Token == token {
		e.newest.Holder.Released = true
		e.goneSince = e.ownOrdersUntil
	}
}

// dropHeld ends the use of this host's claim. It must be called with e.mu held.
func (e *Election) dropHeld() {
	e.held = 0
	e.releasing = false
}

// Supersedes reports whether a claim tells more than the newest known one: it is newer, or its holder
// has given it up.
func (c Claim) Supersedes(known Claim) bool {
	return c.Token > known.Token || c.Token == known.Token && c.Holder.Released && !known.Holder.Released
}
