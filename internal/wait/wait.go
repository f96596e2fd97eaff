// Package wait provides sleeps that a context or a channel can interrupt.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For blocks for d or until ctx is done. It reports whether d elapsed.
func For(ctx context.Context, d time.Duration) bool { return ForOrWake(ctx, d, nil) }

// ForOrWake is like For, but also returns when wake is closed or receives a value.
func ForOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
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

// jitterDivisor is the ratio of a duration to its maximum jitter.
const jitterDivisor = 4

// Jitter returns d plus or minus up to a quarter, so that hosts that started at the
// same time do not stay synchronized.
func Jitter(d time.Duration) time.Duration {
	return d - d/jitterDivisor + rand.N(2*d/jitterDivisor)
}

// Every calls f periodically until ctx is done.
func Every(ctx context.Context, period time.Duration, f func()) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}
