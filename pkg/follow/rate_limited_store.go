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
	// streamCallsPerSecond is that of the calls for the origins of streams, which are written while the streams begin.
	streamCallsPerSecond = 60
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
	// OnPause, if not nil, is called when a rejected read starts a pause.
	OnPause func()
	// OnMalformed, if not nil, is called with each record of a read that is no entry.
	OnMalformed func(fleet.Topic, fleet.MalformedRecord)
	// MaxPause returns the bound on the pause after rejected reads; nil means defaultMaxPause.
	MaxPause func() time.Duration

	// rate is the sustained rate of calls per second.
	rate float64

	mu sync.Mutex
	// overload holds reads back after rejections.
	overload overloadPause
	// tokens is the number of available tokens at the time asOf.
	tokens float64
	asOf   time.Time
}

// NewRateLimitedStore returns a store that limits the calls to s.
func NewRateLimitedStore(s fleet.Store) *RateLimitedStore {
	return newRateLimitedStore(s, callsPerSecond)
}

// ForStreams returns a store for the origins of streams. It has a rate of its own, so that they do not delay other calls.
func (c *RateLimitedStore) ForStreams() *RateLimitedStore {
	out := newRateLimitedStore(c.Store, streamCallsPerSecond)
	out.OnCall, out.OnPause, out.OnMalformed, out.MaxPause = c.OnCall, c.OnPause, c.OnMalformed, c.MaxPause
	return out
}

func newRateLimitedStore(s fleet.Store, rate float64) *RateLimitedStore {
	return &RateLimitedStore{Store: s, rate: rate, tokens: callBurst, asOf: time.Now()}
}

// Newest implements fleet.Store.
func (c *RateLimitedStore) Newest(ctx context.Context, t fleet.Topic) (fleet.Batch, error) {
	began, err := c.beginRead(ctx, t)
	if err != nil {
		return fleet.Batch{}, err
	}
	b, err := c.Store.Newest(ctx, t)
	c.endRead(began, err)
	c.reportMalformed(t, b)
	return b, err
}

// Page implements fleet.Store.
func (c *RateLimitedStore) Page(ctx context.Context, t fleet.Topic, after string) (fleet.Batch, bool, error) {
	began, err := c.beginRead(ctx, t)
	if err != nil {
		return fleet.Batch{}, false, err
	}
	b, more, err := c.Store.Page(ctx, t, after)
	c.endRead(began, err)
	c.reportMalformed(t, b)
	return b, more, err
}

// Read implements fleet.Store.
func (c *RateLimitedStore) Read(ctx context.Context, t fleet.Topic, from fleet.Position, wait time.Duration) (fleet.Batch, error) {
	began, err := c.beginRead(ctx, t)
	if err != nil {
		return fleet.Batch{}, err
	}
	b, err := c.Store.Read(ctx, t, from, wait)
	c.endRead(began, err)
	c.reportMalformed(t, b)
	return b, err
}

// Extent implements fleet.Store.
func (c *RateLimitedStore) Extent(ctx context.Context, t fleet.Topic) (first, end fleet.Position, err error) {
	began, err := c.beginRead(ctx, t)
	if err != nil {
		return 0, 0, err
	}
	first, end, err = c.Store.Extent(ctx, t)
	c.endRead(began, err)
	return first, end, err
}

// Put implements fleet.Store.
func (c *RateLimitedStore) Put(ctx context.Context, t fleet.Topic, key string, value []byte, at fleet.Position) (fleet.Position, error) {
	if err := c.acquire(ctx, 0); err != nil {
		return 0, err
	}
	c.count(t)
	return c.Store.Put(ctx, t, key, value, at)
}

// beginRead blocks until a read may begin, and returns when it does.
func (c *RateLimitedStore) beginRead(ctx context.Context, t fleet.Topic) (began time.Time, err error) {
	for {
		if err := c.acquire(ctx, writeReserve); err != nil {
			return time.Time{}, err
		}
		now := time.Now()
		c.mu.Lock()
		d := c.overload.remaining(now)
		if d > 0 {
			c.tokens++ // Returned: the read does not begin yet.
		}
		c.mu.Unlock()
		if d == 0 {
			c.count(t)
			return now, nil
		}
		if !wait.For(ctx, d) {
			return time.Time{}, ctx.Err()
		}
	}
}

// endRead records the result of a read.
func (c *RateLimitedStore) endRead(began time.Time, err error) {
	limit := defaultMaxPause
	if c.MaxPause != nil {
		limit = c.MaxPause()
	}
	c.mu.Lock()
	paused := c.overload.record(time.Now(), began, err, limit)
	c.mu.Unlock()
	if paused && c.OnPause != nil {
		c.OnPause()
	}
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
	c.tokens = min(callBurst, c.tokens+now.Sub(c.asOf).Seconds()*c.rate)
	c.asOf = now
	if deficit := reserve + 1 - c.tokens; deficit > 0 {
		return time.Duration(deficit/c.rate*float64(time.Second)) + time.Millisecond
	}
	c.tokens--
	return 0
}
