package follow

import (
	"context"
	"sync"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// callsPerSecond is the sustained rate of store calls per host.
	callsPerSecond = 6
	// callBurst is the maximum number of calls without a pause. It covers the calls at startup
	// and after a store outage.
	callBurst = 20
	// writeReserve is the number of tokens that only writes may use, so that claims do not
	// wait behind reads.
	writeReserve = 3
)

// RateLimitedStore is a fleet.Store that limits the rate of calls with a token bucket. Calls beyond
// the limit block until a token is available. It protects the store from callers that retry too
// fast, and is safe for concurrent use.
type RateLimitedStore struct {
	Store fleet.Store
	// OnCall, if not nil, is called before each call.
	OnCall func(fleet.Topic)

	mu sync.Mutex
	// tokens is the number of available tokens at the time asOf.
	tokens float64
	asOf   time.Time
}

// NewRateLimitedStore returns a store that limits the calls to s.
func NewRateLimitedStore(s fleet.Store) *RateLimitedStore {
	return &RateLimitedStore{Store: s, tokens: callBurst, asOf: time.Now()}
}

// Newest implements fleet.Store.
func (c *RateLimitedStore) Newest(ctx context.Context, t fleet.Topic) (fleet.Batch, error) {
	if err := c.acquire(ctx, writeReserve); err != nil {
		return fleet.Batch{}, err
	}
	c.count(t)
	return c.Store.Newest(ctx, t)
}

// Page implements fleet.Store.
func (c *RateLimitedStore) Page(ctx context.Context, t fleet.Topic, after string) (fleet.Batch, bool, error) {
	if err := c.acquire(ctx, writeReserve); err != nil {
		return fleet.Batch{}, false, err
	}
	c.count(t)
	return c.Store.Page(ctx, t, after)
}

// Read implements fleet.Store.
func (c *RateLimitedStore) Read(ctx context.Context, t fleet.Topic, from fleet.Position, wait time.Duration) (fleet.Batch, error) {
	if err := c.acquire(ctx, writeReserve); err != nil {
		return fleet.Batch{}, err
	}
	c.count(t)
	return c.Store.Read(ctx, t, from, wait)
}

// Put implements fleet.Store.
func (c *RateLimitedStore) Put(ctx context.Context, t fleet.Topic, key string, value []byte, at fleet.Position) (fleet.Position, error) {
	if err := c.acquire(ctx, 0); err != nil {
		return 0, err
	}
	c.count(t)
	return c.Store.Put(ctx, t, key, value, at)
}

func (c *RateLimitedStore) count(t fleet.Topic) {
	if c.OnCall != nil {
		c.OnCall(t)
	}
}

// acquire blocks until it has taken a token, leaving at least reserve tokens in the bucket.
func (c *RateLimitedStore) acquire(ctx context.Context, reserve float64) error {
	for {
		d := c.tryAcquire(time.Now(), reserve)
		if d == 0 {
			return nil
		}
		if !wait.For(ctx, d) {
			return ctx.Err()
		}
	}
}

// tryAcquire takes a token and returns 0, or returns the time until one is available.
func (c *RateLimitedStore) tryAcquire(now time.Time, reserve float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens = min(callBurst, c.tokens+now.Sub(c.asOf).Seconds()*callsPerSecond)
	c.asOf = now
	if deficit := reserve + 1 - c.tokens; deficit > 0 {
		return time.Duration(deficit/callsPerSecond*float64(time.Second)) + time.Millisecond
	}
	c.tokens--
	return 0
}
