package journal

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

// ErrNoSnapshot means that the log holds no complete snapshot that is recent enough.
var ErrNoSnapshot = errors.New("no usable snapshot in the log")

// Snapshot encodes the current state as records.
func (j *Journal) Snapshot() ([]record.Record, error) {
	j.applyMu.Lock()
	defer j.applyMu.Unlock()
	return j.state.Snapshot()
}

// WriteSnapshot appends a snapshot of the current state to the log.
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

// restore replaces the state with the newest snapshot. It is called when the next
// record has been trimmed; first is the first offset that is still readable.
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
		return errors.Wrapf(ErrNoSnapshot, "newest snapshot is at offset %d, the log starts at %d", restored.Applied(), first)
	}
	if err := j.state.Replace(restored); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.recent, j.recentBytes = nil, 0
	close(j.reset)
	j.reset = make(chan struct{})
	close(j.changed)
	j.changed = make(chan struct{})
	return nil
}

// findSnapshot returns the newest complete snapshot in the log, or a snapshot of
// another host's state if from reads from peers.
func (j *Journal) findSnapshot(ctx context.Context, from external.LogReader, first record.Offset) ([]record.Snapshot, error) {
	if peers, ok := from.(Peers); ok {
		return peers.Snapshot(ctx)
	}
	var snapshots = state.New().Snapshots
	for next := first; ; {
		entries, err := from.Read(ctx, next, maxReadRecords, 0)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if r, err := record.Decode(e.Data); err == nil && r.Snapshot != nil {
				snapshots.Add(e.Offset, *r.Snapshot)
			}
			next = e.Offset + 1
		}
		if len(entries) < maxReadRecords {
			break
		}
	}
	if chunks := snapshots.Newest(); len(chunks) > 0 {
		return chunks, nil
	}
	return nil, ErrNoSnapshot
}
