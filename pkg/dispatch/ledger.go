// Package dispatch makes non-idempotent requests run at most once. A request
// is sent to an endpoint only after its idempotency key was claimed by a
// record in the log; the first claim wins on all hosts. Many claims and
// outcomes share one record.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

const (
	// maxBatch bounds the entries of one record; outcomes are bounded by bytes too.
	maxBatch = 200
	// MaxOutcomeBytes bounds an answer that is kept for repeats.
	MaxOutcomeBytes = 32 << 10
	maxBatchBytes   = 128 << 10
	// stuckAfter is how long a batch may stay unsettled before new claims are
	// refused at once instead of waiting behind it.
	stuckAfter = time.Second
)

var (
	// ErrUnavailable means that the key was not claimed for this request, and
	// the request must not be sent.
	ErrUnavailable = errors.New("the log is out of reach")
	// ErrTaken means that another attempt holds the key; its outcome is unknown.
	ErrTaken = errors.New("the key is taken, its outcome is unknown")
	// ErrExpired means that the key is older than what is kept.
	ErrExpired = errors.New("the key is older than the kept keys")
	// ErrMismatch means that the key was used for another request.
	ErrMismatch = errors.New("the key was used for another request")
)

// Appender appends a record and returns what the fold decided.
type Appender interface {
	Append(ctx context.Context, r record.Record) (state.Outcome, error)
}

// Ledger claims keys for one host.
type Ledger struct {
	self     record.HostRef
	appender Appender
	keys     *state.Keys
	now      func() time.Time

	mu       sync.Mutex
	queue    []*operation
	wake     chan struct{}
	active   map[record.Key]bool
	sentAt   time.Time
	batches  int
	interval time.Duration
}

// operation is one entry of a batch. done is nil when nobody waits.
type operation struct {
	claim     *record.KeyClaim
	outcome   *record.KeyOutcome
	release   *record.KeyRelease
	done      chan struct{}
	abandoned bool
}

// NewLedger returns a ledger that appends at most one record per interval.
func NewLedger(self record.HostRef, appender Appender, keys *state.Keys, interval time.Duration, now func() time.Time) *Ledger {
	return &Ledger{
		self:     self,
		appender: appender,
		keys:     keys,
		now:      now,
		wake:     make(chan struct{}, 1),
		active:   map[record.Key]bool{},
		interval: interval,
	}
}

// Claim takes a key for a request with the given digest. When the request was
// answered before, its outcome is returned. With a nil error and outcome the
// caller owns the key and must call Finish or Release.
func (l *Ledger) Claim(ctx context.Context, key record.Key, digest uint64) (*record.KeyOutcome, error) {
	if outcome, err := l.known(key, digest); outcome != nil || err != nil {
		return outcome, err
	}
	op := &operation{
		claim: &record.KeyClaim{Key: key, Attempt: l.keys.Get(key).Attempt, Digest: digest},
		done:  make(chan struct{}),
	}
	if err := l.submitClaim(op); err != nil {
		return nil, err
	}
	select {
	case <-op.done:
	case <-ctx.Done():
		if l.abandon(op) {
			return nil, errors.Wrapf(ErrUnavailable, "%v", context.Cause(ctx))
		}
	}
	entry := l.keys.Get(key)
	if entry.State == state.KeyClaimed && entry.Holder == l.self && entry.Attempt == op.claim.Attempt {
		return nil, nil
	}
	l.leave(key)
	outcome, err := l.known(key, digest)
	if outcome == nil && err == nil {
		// The claim was void and the key is free again: another attempt claimed
		// and released it in between. Nobody has claimed it for this request.
		err = ErrUnavailable
	}
	return outcome, err
}

// known tells what the fold says of a key; all is nil for a free key.
func (l *Ledger) known(key record.Key, digest uint64) (*record.KeyOutcome, error) {
	entry := l.keys.Get(key)
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
	return nil, ErrTaken
}

// submitClaim queues a claim unless the same key is in use on this host: both
// would see the one claim in the fold as their own and run the request twice.
func (l *Ledger) submitClaim(op *operation) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active[op.claim.Key] {
		return ErrTaken
	}
	if !l.sentAt.IsZero() && l.now().Sub(l.sentAt) > stuckAfter {
		return ErrUnavailable
	}
	l.active[op.claim.Key] = true
	l.enqueue(op)
	return nil
}

// abandon gives a claim up whose request ended first. It reports false when
// the claim was settled in the meantime.
func (l *Ledger) abandon(op *operation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-op.done:
		return false
	default:
		op.abandoned = true
		return true
	}
}

// Finish records the outcome of a request that was sent.
func (l *Ledger) Finish(outcome record.KeyOutcome) {
	if len(outcome.Body) > MaxOutcomeBytes {
		outcome.Body = nil
		outcome.Omitted = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.active, outcome.Key)
	l.enqueue(&operation{outcome: &outcome})
}

// Release gives a key back whose request was certainly not sent.
func (l *Ledger) Release(key record.Key) {
	attempt := l.keys.Get(key).Attempt
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.active, key)
	l.enqueue(&operation{release: &record.KeyRelease{Key: key, Attempt: attempt}})
}

func (l *Ledger) leave(key record.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.active, key)
}

func (l *Ledger) enqueue(op *operation) {
	l.queue = append(l.queue, op)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Pending counts the operations that are not in the log yet.
func (l *Ledger) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.queue)
	if !l.sentAt.IsZero() {
		n++
	}
	return n
}

// Batches counts the records appended.
func (l *Ledger) Batches() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.batches
}

// Run appends batches until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for batch := l.take(); len(batch) > 0; batch = l.take() {
			if !l.append(ctx, batch) {
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(l.interval):
			}
		}
	}
}

func (l *Ledger) take() []*operation {
	l.mu.Lock()
	defer l.mu.Unlock()
	bytes, n := 0, 0
	for n < len(l.queue) && n < maxBatch && bytes < maxBatchBytes {
		if o := l.queue[n].outcome; o != nil {
			bytes += len(o.Body)
		}
		n++
	}
	batch := l.queue[:n:n]
	l.queue = l.queue[n:]
	if n > 0 {
		l.sentAt = l.now()
		l.batches++
	}
	return batch
}

// append settles one batch. It keeps trying with the same record until the
// fold has seen it, since its operations depend on it.
func (l *Ledger) append(ctx context.Context, batch []*operation) bool {
	d := record.Dispatch{Holder: l.self}
	for _, op := range batch {
		switch {
		case op.claim != nil:
			d.Claims = append(d.Claims, *op.claim)
		case op.outcome != nil:
			d.Outcomes = append(d.Outcomes, *op.outcome)
		case op.release != nil:
			d.Releases = append(d.Releases, *op.release)
		}
	}
	r := record.Record{ID: record.NewID(), Dispatch: &d}
	for {
		_, err := l.appender.Append(ctx, r)
		if ctx.Err() != nil {
			return false
		}
		if err == nil {
			break
		}
	}
	l.settle(batch)
	return true
}

// settle wakes the waiting requests and gives back the keys of those that
// ended before.
func (l *Ledger) settle(batch []*operation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentAt = time.Time{}
	for _, op := range batch {
		if op.done == nil {
			continue
		}
		close(op.done)
		if !op.abandoned {
			continue
		}
		delete(l.active, op.claim.Key)
		entry := l.keys.Get(op.claim.Key)
		if entry.State == state.KeyClaimed && entry.Holder == l.self && entry.Attempt == op.claim.Attempt {
			l.enqueue(&operation{release: &record.KeyRelease{Key: op.claim.Key, Attempt: op.claim.Attempt}})
		}
	}
}
