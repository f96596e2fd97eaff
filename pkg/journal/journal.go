// Package journal keeps the replicated state up to date with the platform's log. It
// appends records, reads new records from the log or, if the log is unavailable,
// from other hosts, and restores the state from snapshots.
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
	// ErrOutcomeUnknown means that it is unknown whether the record takes effect.
	ErrOutcomeUnknown = errors.New("outcome of append is unknown")
	// ErrNotAppended means that the record was not appended and has no effect.
	ErrNotAppended = errors.New("record not appended")
)

const (
	maxReadRecords   = 1000
	logReadWait      = 5 * time.Second
	retryInterval    = 200 * time.Millisecond
	maxRecentRecords = 20_000
	maxRecentBytes   = 16 << 20
	peerReadWait     = 500 * time.Millisecond
)

// Peers reads recent records and snapshots from other hosts.
type Peers interface {
	external.LogReader
	// Snapshot returns the chunks of a snapshot of another host's state.
	Snapshot(ctx context.Context) ([]record.Snapshot, error)
}

// Journal applies the records of a log to a state.
type Journal struct {
	log   external.Log
	peers Peers
	state *state.State

	// applyMu serializes snapshots of the state and changes to it.
	applyMu sync.Mutex
	mu      sync.Mutex
	waiters map[record.ID]chan state.Outcome
	changed chan struct{}
	// recent holds the newest applied records, for hosts that cannot reach the log.
	recent      []external.Entry
	recentBytes int
	// reset is closed when the state is replaced by a snapshot.
	reset chan struct{}

	logReadable atomic.Bool
	logWritable atomic.Bool
	caughtUp    atomic.Bool
	onApplied   func(state.Outcome)
}

// New returns a journal. onApplied is called for each applied record in log
// order and must not block.
func New(log external.Log, peers Peers, st *state.State, onApplied func(state.Outcome)) *Journal {
	j := &Journal{
		log:       log,
		peers:     peers,
		state:     st,
		waiters:   map[record.ID]chan state.Outcome{},
		changed:   make(chan struct{}),
		reset:     make(chan struct{}),
		onApplied: onApplied,
	}
	j.logWritable.Store(true)
	return j
}

// LogReadable reports whether the last read of the log succeeded.
func (j *Journal) LogReadable() bool { return j.logReadable.Load() }

// LogWritable reports whether the last append to the log succeeded.
func (j *Journal) LogWritable() bool { return j.logWritable.Load() }

// CaughtUp reports whether the state has ever reached the end of the log, or of
// the records of another host.
func (j *Journal) CaughtUp() bool { return j.caughtUp.Load() }

// Changed returns a channel that is closed at the next change of the state.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed
}

// Append appends a record and blocks until it has been applied. It returns the
// outcome.
//
// If the response to an append is lost, Append retries with the same record ID
// until it reads the record back from the log. The preconditions of the record
// ensure that a second copy has no effect. The error wraps ErrNotAppended, or
// ErrOutcomeUnknown if ctx ends first or the state is replaced by a snapshot.
func (j *Journal) Append(ctx context.Context, r record.Record) (state.Outcome, error) {
	if r.ID == "" {
		r.ID = record.NewID()
	}
	data, err := record.Encode(r)
	if err != nil {
		return state.Outcome{}, errors.Wrapf(ErrNotAppended, "%v", err)
	}
	waiter, reset := j.addWaiter(r.ID)
	defer j.removeWaiter(r.ID)
	for attempt := 0; ; attempt++ {
		_, err := j.log.Append(ctx, data)
		j.logWritable.Store(err == nil || ctx.Err() != nil && j.logWritable.Load())
		if attempt == 0 && errors.Is(err, external.ErrInvalid) {
			return state.Outcome{}, errors.Wrapf(ErrNotAppended, "%v", err)
		}
		var retry <-chan time.Time
		if err != nil {
			retry = time.After(retryInterval)
		}
		select {
		case out := <-waiter:
			return out, nil
		case <-reset:
			return state.Outcome{}, errors.Wrap(ErrOutcomeUnknown, "state was replaced by a snapshot")
		case <-ctx.Done():
			return state.Outcome{}, errors.Wrapf(ErrOutcomeUnknown, "%v", context.Cause(ctx))
		case <-retry:
		}
	}
}

func (j *Journal) addWaiter(id record.ID) (<-chan state.Outcome, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := make(chan state.Outcome, 1)
	j.waiters[id] = c
	return c, j.reset
}

func (j *Journal) removeWaiter(id record.ID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.waiters, id)
}

// Run reads and applies records until ctx ends. If a read from the log fails, it
// reads from another host.
func (j *Journal) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := j.readAndApply(ctx, j.log, logReadWait); err == nil {
			j.logReadable.Store(true)
			continue
		}
		j.logReadable.Store(false)
		if j.peers != nil {
			if err := j.readAndApply(ctx, j.peers, peerReadWait); err == nil {
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// readAndApply reads once and applies the records. It restores the state from a
// snapshot if the next record has been trimmed.
func (j *Journal) readAndApply(ctx context.Context, from external.LogReader, wait time.Duration) error {
	if !j.CaughtUp() {
		wait = 0
	}
	entries, err := from.Read(ctx, j.state.Applied()+1, maxReadRecords, wait)
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
	if len(entries) < maxReadRecords {
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
	if j.onApplied != nil {
		j.onApplied(out)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if c := j.waiters[out.ID]; c != nil {
		delete(j.waiters, out.ID)
		c <- out
	}
	j.appendRecent(e)
	close(j.changed)
	j.changed = make(chan struct{})
	return nil
}

// appendRecent adds a record to recent and drops the oldest ones above the limits.
// It must be called with mu held.
func (j *Journal) appendRecent(e external.Entry) {
	j.recent = append(j.recent, e)
	j.recentBytes += len(e.Data)
	for len(j.recent) > maxRecentRecords || j.recentBytes > maxRecentBytes {
		j.recentBytes -= len(j.recent[0].Data)
		j.recent = j.recent[1:]
	}
}

// Recent returns up to limit applied records from an offset on, for other hosts.
// It returns external.TrimmedError if that offset is no longer held.
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
