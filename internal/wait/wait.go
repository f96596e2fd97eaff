// Package wait lets loops rest until a time is over or something ends the rest.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits and tells whether the whole time has passed; the end of the context ends
// the wait.
func For(ctx context.Context, d time.Duration) bool { return Or(ctx, d, nil) }

// Or waits like For, and ends when wake is closed or brings a value, too.
func Or(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-wake:
	case <-ctx.Done():
	}
	return false
}

// jitterParts is the part, as a divisor, by which Jitter shortens or lengthens a time.
const jitterParts = 4

// Jitter returns a time that is up to a quarter shorter or longer, so that hosts which
// began together do not go on together.
func Jitter(d time.Duration) time.Duration {
	return d - d/jitterParts + rand.N(2*d/jitterParts)
}
