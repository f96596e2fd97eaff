// Package idempotency ensures that non-idempotent requests run at most once. A request is sent
// to an endpoint only after its idempotency key was claimed by a record in the log. The first
// claim in the log is valid for all hosts. Claims and outcomes are appended in batches.
package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

const (
	// maxBatch limits the operations of one record, maxBatchBytes the size of its outcomes.
	maxBatch = 200
	// MaxOutcomeBytes limits the size of a response body that is kept for repeated requests.
	MaxOutcomeBytes = 32 << 10
	maxBatchBytes   = 128 << 10
	// batchStallTimeout is how long a batch may be pending before new claims are refused at once.
	batchStallTimeout = time.Second
)

var (
	// ErrUnavailable is returned if the key could not be claimed. The request must not be
	// sent.
	ErrUnavailable = errors.New("the log is out of reach")
	// ErrClaimed is returned if another attempt holds the key. Its outcome is unknown.
	ErrClaimed = errors.New("the key is taken, its outcome is unknown")
	// ErrExpired is returned if the key is older than the retention period of keys.
	ErrExpired = errors.New("the key is older than the kept keys")
	// ErrMismatch is returned if the key was used for a different request.
	ErrMismatch = errors.New("the key was used for another request")
)

// Appender appends a record to the log and returns the outcome of applying it to the state.
type Appender interface {
	Append(ctx context.Context, r record.Record) (state.Outcome, error)
}

// Claims claims idempotency keys for one host and records the outcomes of their requests. It is
// safe for concurrent use.
type Claims struct {
	self     record.HostRef
	appender Appender
	keys     *state.Keys
	now      func() time.Time

	mu           sync.Mutex
	queue        []*operation
	wake         chan struct{}
	active       map[record.Key]bool
	pendingSince time.Time
	batches      int
	interval     time.Duration
}

// operation is one entry of a batch. done is closed when the batch is committed. It is nil if
// no caller waits.
type operation struct {
	claim     *record.KeyClaim
	outcome   *record.KeyOutcome
	release   *record.KeyRelease
	done      chan struct{}
	abandoned bool
}

// NewClaims returns a Claims that appends at most one record per interval.
func NewClaims(self record.HostRef, appender Appender, keys *state.Keys, interval time.Duration, now func() time.Time) *Claims {
	return &Claims{
		self:     self,
		appender: appender,
		keys:     keys,
		now:      now,
		wake:     make(chan struct{}, 1),
		active:   map[record.Key]bool{},
		interval: interval,
	}
}

// Claim claims a key for a request with the given digest. If the request was completed before,
// Claim returns its outcome. If both results are nil, the caller owns the key and must call
// Finish or Release.
func (c *Claims) Claim(ctx context.Context, key record.Key, digest uint64) (*record.KeyOutcome, error) {
	if outcome, err := c.lookup(key, digest); outcome != nil || err != nil {
		return outcome, err
	}
	op := &operation{
		claim: &record.KeyClaim{Key: key, Attempt: c.keys.Get(key).Attempt, Digest: digest},
		done:  make(chan struct{}),
	}
	if err := c.submitClaim(op); err != nil {
		return nil, err
	}
	select {
	case <-op.done:
	case <-ctx.Done():
		if c.abandon(op) {
			return nil, errors.Wrapf(ErrUnavailable, "%v", context.Cause(ctx))
		}
	}
	entry := c.keys.Get(key)
	if entry.State == state.KeyClaimed && entry.Holder == c.self && entry.Attempt == op.claim.Attempt {
		return nil, nil
	}
	c.deactivate(key)
	outcome, err := c.lookup(key, digest)
	if outcome == nil && err == nil {
		// The claim had no effect and the key is free again: another attempt claimed and
		// released it concurrently.
		err = ErrUnavailable
	}
	return outcome, err
}

// lookup returns the outcome or error of a key according to the state, or nil for both if the
// key is free.
func (c *Claims) lookup(key record.Key, digest uint64) (*record.KeyOutcome, error) {
	entry := c.keys.Get(key)
	if entry.State == state.KeyExpired {
		return nil, ErrExpired
	}
	if entry.State == state.KeyFree {
		return nil, nil
	}
	if entry.Digest != digest {
		return nil, ErrMismatch
	}
	if entry.State == state.KeyDone {
		return &entry.Outcome, nil
	}
	return nil, ErrClaimed
}

// submitClaim queues a claim unless the same key is in use on this host. Otherwise two
// requests would treat the same claim as their own, and both would run.
func (c *Claims) submitClaim(op *operation) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active[op.claim.Key] {
		return ErrClaimed
	}
	if !c.pendingSince.IsZero() && c.now().Sub(c.pendingSince) > batchStallTimeout {
		return ErrUnavailable
	}
	c.active[op.claim.Key] = true
	c.enqueue(op)
	return nil
}

// abandon marks a claim whose request was canceled. It returns false if the claim was
// committed in the meantime.
func (c *Claims) abandon(op *operation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-op.done:
		return false
	default:
		op.abandoned = true
		return true
	}
}

// Finish records the outcome of a request that was sent.
func (c *Claims) Finish(outcome record.KeyOutcome) {
	if len(outcome.Body) > MaxOutcomeBytes {
		outcome.Body = nil
		outcome.Omitted = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, outcome.Key)
	c.enqueue(&operation{outcome: &outcome})
}

// Release releases the key of a request that was certainly not sent.
func (c *Claims) Release(key record.Key) {
	attempt := c.keys.Get(key).Attempt
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, key)
	c.enqueue(&operation{release: &record.KeyRelease{Key: key, Attempt: attempt}})
}

func (c *Claims) deactivate(key record.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, key)
}

func (c *Claims) enqueue(op *operation) {
	c.queue = append(c.queue, op)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Pending returns the number of queued operations, plus one if a batch is being appended.
func (c *Claims) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.queue)
	if !c.pendingSince.IsZero() {
		n++
	}
	return n
}

// Batches returns the number of batches that were started.
func (c *Claims) Batches() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.batches
}

// Run appends batches until ctx is done.
func (c *Claims) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for batch := c.nextBatch(); len(batch) > 0; batch = c.nextBatch() {
			if !c.append(ctx, batch) {
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(c.interval):
			}
		}
	}
}

func (c *Claims) nextBatch() []*operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes, n := 0, 0
	for n < len(c.queue) && n < maxBatch && bytes < maxBatchBytes {
		if o := c.queue[n].outcome; o != nil {
			bytes += len(o.Body)
		}
		n++
	}
	batch := c.queue[:n:n]
	c.queue = c.queue[n:]
	if n > 0 {
		c.pendingSince = c.now()
		c.batches++
	}
	return batch
}

// append appends one batch and reports whether it was committed. It retries with the same
// record until it succeeds or ctx is done.
func (c *Claims) append(ctx context.Context, batch []*operation) bool {
	keyBatch := record.KeyBatch{Holder: c.self}
	for _, op := range batch {
		switch {
		case op.claim != nil:
			keyBatch.Claims = append(keyBatch.Claims, *op.claim)
		case op.outcome != nil:
			keyBatch.Outcomes = append(keyBatch.Outcomes, *op.outcome)
		case op.release != nil:
			keyBatch.Releases = append(keyBatch.Releases, *op.release)
		}
	}
	r := record.Record{ID: record.NewID(), KeyBatch: &keyBatch}
	for {
		_, err := c.appender.Append(ctx, r)
		if ctx.Err() != nil {
			return false
		}
		if err == nil {
			break
		}
	}
	c.complete(batch)
	return true
}

// complete notifies the waiting callers of a committed batch and releases the keys of
// abandoned claims.
func (c *Claims) complete(batch []*operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingSince = time.Time{}
	for _, op := range batch {
		if op.done == nil {
			continue
		}
		close(op.done)
		if !op.abandoned {
			continue
		}
		delete(c.active, op.claim.Key)
		entry := c.keys.Get(op.claim.Key)
		if entry.State == state.KeyClaimed && entry.Holder == c.self && entry.Attempt == op.claim.Attempt {
			c.enqueue(&operation{release: &record.KeyRelease{Key: op.claim.Key, Attempt: op.claim.Attempt}})
		}
	}
}
