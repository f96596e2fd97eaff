package follow

import (
	"context"
	"sync"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// callsPerSecond is how many calls a host makes at most in the long run: twice what
	// the controller needs, which reads the list every 0.35 s.
	callsPerSecond = 6
	// callsAtOnce is how many it may make without a pause: a start takes five, and the
	// store's return some more on each topic.
	callsAtOnce = 20
	// reserved calls are left to writes: a claim does not wait behind reads.
	reserved = 3
)

// Calls bounds a host's calls to the store for any state of its loops, so that no
// mistake in one of them costs the platform more than that. Calls beyond the bound
// wait. It implements fleet.Store and is safe for concurrent use.
type Calls struct {
	Store fleet.Store
	// Count is told of each call; it may be nil.
	Count func(fleet.Topic)

	mu sync.Mutex
	// left is how many calls may be made now, as of at.
	left float64
	at   time.Time
}

// NewCalls bounds the calls to a store.
func NewCalls(s fleet.Store) *Calls { return &Calls{Store: s, left: callsAtOnce, at: time.Now()} }

// Newest implements fleet.Store.
func (c *Calls) Newest(ctx context.Context, t fleet.Topic) (fleet.Batch, error) {
	if err := c.wait(ctx, reserved); err != nil {
		return fleet.Batch{}, err
	}
	c.count(t)
	return c.Store.Newest(ctx, t)
}

// Read implements fleet.Store.
func (c *Calls) Read(ctx context.Context, t fleet.Topic, from int64, wait time.Duration) (fleet.Batch, error) {
	if err := c.wait(ctx, reserved); err != nil {
		return fleet.Batch{}, err
	}
	c.count(t)
	return c.Store.Read(ctx, t, from, wait)
}

// Put implements fleet.Store.
func (c *Calls) Put(ctx context.Context, t fleet.Topic, key string, value []byte, at int64) (int64, error) {
	if err := c.wait(ctx, 0); err != nil {
		return 0, err
	}
	c.count(t)
	return c.Store.Put(ctx, t, key, value, at)
}

func (c *Calls) count(t fleet.Topic) {
	if c.Count != nil {
		c.Count(t)
	}
}

// wait takes a call, once more than some are left.
func (c *Calls) wait(ctx context.Context, keep float64) error {
	for {
		d := c.take(time.Now(), keep)
		if d == 0 {
			return nil
		}
		if !wait.For(ctx, d) {
			return ctx.Err()
		}
	}
}

// take takes a call, or returns how long to wait for one.
func (c *Calls) take(now time.Time, keep float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = min(callsAtOnce, c.left+now.Sub(c.at).Seconds()*callsPerSecond)
	c.at = now
	if missing := keep + 1 - c.left; missing > 0 {
		return time.Duration(missing/callsPerSecond*float64(time.Second)) + time.Millisecond
	}
	c.left--
	return 0
}
