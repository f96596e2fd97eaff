package follow

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// minOverloadPause bounds the random pause after a first rejected read. The bound doubles with each
	// further rejection.
	minOverloadPause = 250 * time.Millisecond
	// defaultMaxPause is the bound on the pause of a store that few hosts read.
	defaultMaxPause = 700 * time.Millisecond
)

// overloadPause holds back all reads of a host after the store has rejected one, since the hosts may together
// ask for more than it can answer. Lost connections and calls without a response do not count: a store that is
// not overloaded causes them too.
type overloadPause struct {
	// bound is the bound on the last pause. It shrinks to 0 with successful reads.
	bound time.Duration
	// until is the end of the last pause.
	until time.Time
	// setAt is when the bound last grew.
	setAt time.Time
}

// remaining returns how long reads must still wait.
func (p *overloadPause) remaining(now time.Time) time.Duration { return max(0, p.until.Sub(now)) }

// record records the result of a read that began at a time, and reports whether it starts a pause. limit
// bounds the pause.
func (p *overloadPause) record(now, began time.Time, err error, limit time.Duration) (paused bool) {
	switch {
	case err == nil:
		if p.bound /= 2; p.bound < minOverloadPause {
			p.bound = 0
		}
	case errors.Is(err, fleet.ErrStoreRejected) && began.After(p.setAt):
		// Reads that were in progress when the pause began do not lengthen it.
		p.bound = min(max(minOverloadPause, 2*p.bound), limit)
		p.setAt = now
		p.until = now.Add(rand.N(p.bound))
		return true
	}
	return false
}
