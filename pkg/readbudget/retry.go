package readbudget

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// Retry holds the delay between the attempts at a call of a starting host. The delay is constant while
// connections to the store are lost, until the burst of the rate limit is used up.
type Retry struct {
	// First is the delay after the first failure, Slow that after Quick failures, and Max the bound if
	// the store seems to be overloaded.
	First, Slow, Max time.Duration
	Quick            int
	// Window is the time over which all hosts spread the call. After a sign of overload, the delay is a
	// random part of it, which doubles with each failure.
	Window time.Duration

	failures int
	delay    time.Duration
}

// Next returns the delay after a failure with err.
func (r *Retry) Next(err error) time.Duration {
	r.failures++
	switch {
	case !errors.Is(err, fleet.ErrStoreConnectionLost):
		r.delay = min(max(r.First, 2*r.delay), r.Max)
		if r.Window > 0 {
			r.Window *= 2
			return max(wait.Jitter(r.delay), rand.N(r.Window))
		}
	case r.failures < r.Quick:
		r.delay = r.First
	default:
		r.delay = max(r.delay, r.Slow)
	}
	return wait.Jitter(r.delay)
}

// Reset starts over after a success.
func (r *Retry) Reset() { r.failures, r.delay = 0, 0 }
