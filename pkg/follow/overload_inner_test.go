package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// Guards against reads that go on at the same rate while the store rejects them, and against pauses that
// outlast the overload or grow with each read that was already in progress.
func TestOverloadPause(t *testing.T) {
	const limit = 4 * time.Second
	now := time.Unix(1000, 0)
	is := is.New(t)
	var p overloadPause
	p.record(now, now, fleet.ErrStoreUnavailable, limit)
	is.Equal(p.bound, time.Duration(0)) // a call without a response may be lost
	for _, want := range []time.Duration{minOverloadPause, 2 * minOverloadPause, 4 * minOverloadPause, 8 * minOverloadPause, limit, limit} {
		began := now.Add(time.Millisecond)
		now = now.Add(2 * time.Millisecond)
		p.record(now, began, fleet.ErrStoreRejected, limit)
		is.Equal(p.bound, want)
		is.True(p.remaining(now) < want)
	}
	p.record(now, now.Add(-time.Millisecond), fleet.ErrStoreRejected, 2*limit)
	is.Equal(p.bound, limit) // the read began before the pause
	for range 5 {
		p.record(now, now, nil, limit)
	}
	is.Equal(p.bound, time.Duration(0))
}
