// Package journal connects the fold to the platform's log: it appends records
// and settles lost answers by reading, follows the log and, while the log is
// out of reach, the other hosts, and restores the state from snapshots.
package journal

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

var (
	// ErrUnsettled means that a record may or may not take effect.
	ErrUnsettled = errors.New("append is not settled")
	// ErrNotAppended means that a record will never take effect.
	ErrNotAppended = errors.New("not appended")
)

const (
	readLimit    = 1000
	readWait     = 5 * time.Second
	retryPause   = 200 * time.Millisecond
	recentLimit  = 20_000
	recentBytes  = 16 << 20
	peerReadWait = 500 * time.Millisecond
)

// Peers reads the log's tail from another host.
type Peers interface {
	external.LogReader
	// Snapshot returns the chunks of another host's newest state.
	Snapshot(ctx context.Context) ([]record.Snapshot, error)
}

// Journal follows one log into one state.
type Journal struct {
	log   external.Log
	peers Peers
	state *state.State

	// applyMu keeps snapshots of the state apart from changes to it.
	applyMu sync.Mutex
	mu      sync.Mutex
	waiters map[record.ID]chan state.Outcome
	changed chan struct{}
	recent  []external.Entry
	bytes   int
	// reset is closed when the state jumped over records.
	reset chan struct{}

	readable atomic.Bool
	writable atomic.Bool
	caughtUp atomic.Bool
	observe  func(state.Outcome)
}

// New returns a journal. observe is called for each folded record, in order;
// it must not block.
func New(log external.Log, peers Peers, st *state.State, observe func(state.Outcome)) *Journal {
	j := &Journal{
		log:     log,
		peers:   peers,
		state:   st,
		waiters: map[record.ID]chan state.Outcome{},
		changed: make(chan struct{}),
		reset:   make(chan struct{}),
		observe: observe,
	}
	j.writable.Store(true)
	return j
}

// Readable tells whether the last read of the log itself succeeded.
func (j *Journal) Readable() bool { return j.readable.Load() }

// Writable tells whether the last append was answered.
func (j *Journal) Writable() bool { return j.writable.Load() }

// CaughtUp tells whether the state has once reached the end of the log, or of
// what another host had.
func (j *Journal) CaughtUp() bool { return j.caughtUp.Load() }

// Changed returns a channel that is closed at the next change of the state.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed
}

// Append adds a record and returns what the fold decided about it. A lost
// answer is settled by reading; retries repeat the record ID, and the fold's
// preconditions make a second copy harmless. The error wraps ErrUnsettled when
// ctx ends first, or ErrNotAppended.
func (j *Journal) Append(ctx context.Context, r record.Record) (state.Outcome, error) {
	if r.ID == "" {
		r.ID = record.NewID()
	}
	data, err := record.Encode(r)
	if err != nil {
		return state.Outcome{}, errors.Wrapf(ErrNotAppended, "%v", err)
	}
	waiter, reset := j.watch(r.ID)
	defer j.unwatch(r.ID)
	for attempt := 0; ; attempt++ {
		_, err := j.log.Append(ctx, data)
		j.writable.Store(err == nil || ctx.Err() != nil && j.writable.Load())
		if attempt == 0 && errors.Is(err, external.ErrInvalid) {
			return state.Outcome{}, errors.Wrapf(ErrNotAppended, "%v", err)
		}
		var retry <-chan time.Time
		if err != nil {
			retry = time.After(retryPause)
		}
		select {
		case out := <-waiter:
			return out, nil
		case <-reset:
			return state.Outcome{}, errors.Wrap(ErrUnsettled, "the state was restored from a snapshot")
		case <-ctx.Done():
			return state.Outcome{}, errors.Wrapf(ErrUnsettled, "%v", context.Cause(ctx))
		case <-retry:
		}
	}
}

func (j *Journal) watch(id record.ID) (<-chan state.Outcome, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := make(chan state.Outcome, 1)
	j.waiters[id] = c
	return c, j.reset
}

func (j *Journal) unwatch(id record.ID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.waiters, id)
}

// Run follows the log until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := j.follow(ctx, j.log, readWait); err == nil {
			j.readable.Store(true)
			continue
		}
		j.readable.Store(false)
		if j.peers != nil {
			if err := j.follow(ctx, j.peers, peerReadWait); err == nil {
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// follow reads once and folds what it got.
func (j *Journal) follow(ctx context.Context, from external.LogReader, wait time.Duration) error {
	if !j.CaughtUp() {
		wait = 0
	}
	entries, err := from.Read(ctx, j.state.Applied()+1, readLimit, wait)
	var trimmed *external.TrimmedError
	if errors.As(err, &trimmed) {
		return j.restore(ctx, from, trimmed.First)
	}
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := j.apply(e); err != nil {
			return err
		}
	}
	if len(entries) < readLimit {
		j.caughtUp.Store(true)
	}
	return nil
}

func (j *Journal) apply(e external.Entry) error {
	j.applyMu.Lock()
	defer j.applyMu.Unlock()
	out, ok, err := j.state.Apply(e.Offset, e.Data)
	if err != nil || !ok {
		return err
	}
	if j.observe != nil {
		j.observe(out)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if c := j.waiters[out.ID]; c != nil {
		delete(j.waiters, out.ID)
		c <- out
	}
	j.remember(e)
	close(j.changed)
	j.changed = make(chan struct{})
	return nil
}

// remember keeps recent records for other hosts that cannot reach the log.
func (j *Journal) remember(e external.Entry) {
	j.recent = append(j.recent, e)
	j.bytes += len(e.Data)
	for len(j.recent) > recentLimit || j.bytes > recentBytes {
		j.bytes -= len(j.recent[0].Data)
		j.recent = j.recent[1:]
	}
}

// Recent serves the tail to other hosts, as the log would.
func (j *Journal) Recent(from record.Offset, limit int) ([]external.Entry, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	next := j.state.Applied() + 1
	if from >= next {
		return nil, nil
	}
	if len(j.recent) == 0 || from < j.recent[0].Offset {
		return nil, &external.TrimmedError{First: next}
	}
	tail := j.recent[from-j.recent[0].Offset:]
	return tail[:min(limit, len(tail))], nil
}
