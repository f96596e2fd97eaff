package journal

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

// ErrNoSnapshot means that the records kept hold no usable snapshot.
var ErrNoSnapshot = errors.New("no complete snapshot")

// Snapshot encodes the present state as records.
func (j *Journal) Snapshot() ([]record.Record, error) {
	j.applyMu.Lock()
	defer j.applyMu.Unlock()
	return j.state.Snapshot()
}

// WriteSnapshot appends a snapshot of the present state to the log.
func (j *Journal) WriteSnapshot(ctx context.Context) error {
	records, err := j.Snapshot()
	if err != nil {
		return err
	}
	for _, r := range records {
		if _, err := j.Append(ctx, r); err != nil {
			return errors.Wrap(err, "write snapshot")
		}
	}
	return nil
}

// restore replaces a state whose next record was trimmed by a snapshot.
func (j *Journal) restore(ctx context.Context, from external.LogReader, first record.Offset) error {
	chunks, err := j.findSnapshot(ctx, from, first)
	if err != nil {
		return err
	}
	restored, err := state.Restore(chunks)
	if err != nil {
		return err
	}
	j.applyMu.Lock()
	defer j.applyMu.Unlock()
	if restored.Applied()+1 < first && from == external.LogReader(j.log) {
		return errors.Wrapf(ErrNoSnapshot, "newest is at %d, the log starts at %d", restored.Applied(), first)
	}
	if err := j.state.Replace(restored); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.recent, j.bytes = nil, 0
	close(j.reset)
	j.reset = make(chan struct{})
	close(j.changed)
	j.changed = make(chan struct{})
	return nil
}

// findSnapshot returns the newest complete snapshot of a log, or the state of
// another host.
func (j *Journal) findSnapshot(ctx context.Context, from external.LogReader, first record.Offset) ([]record.Snapshot, error) {
	if peers, ok := from.(Peers); ok {
		return peers.Snapshot(ctx)
	}
	var found = state.New().Snapshots
	for next := first; ; {
		entries, err := from.Read(ctx, next, readLimit, 0)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if r, err := record.Decode(e.Data); err == nil && r.Snapshot != nil {
				found.Add(e.Offset, *r.Snapshot)
			}
			next = e.Offset + 1
		}
		if len(entries) < readLimit {
			break
		}
	}
	if chunks := found.Newest(); len(chunks) > 0 {
		return chunks, nil
	}
	return nil, ErrNoSnapshot
}
