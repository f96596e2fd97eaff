package streamversions

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/streamorigin"
)

const (
	// originWriteInterval is the pause between two writes of streams to the store. All hosts send theirs to one of
	// them, so that the calls do not grow with the number of hosts. What is not written yet when all hosts are lost
	// cannot be resumed.
	originWriteInterval = 20 * time.Millisecond
	// maxOriginBatch bounds the streams in one write, and maxUnwrittenOrigins those that wait for one.
	maxOriginBatch      = 4096
	maxUnwrittenOrigins = 4 * maxOriginBatch
	// originReadInterval is the least time between two reads of them.
	originReadInterval = 250 * time.Millisecond
	// originWriters is the number of hosts that are considered for writing, in order.
	originWriters = 4
	// originKey is the key of all writes. The store keeps their history for longer than clients try to finish a stream.
	originKey = "streams"
)

// writtenStreams is the stored form of streams that began at the same version.
type writtenStreams struct {
	Origin   fleet.StreamOrigin `cbor:"1,keyasint"`
	Attempts []string           `cbor:"2,keyasint"`
}

// originReader reads the streams in the store.
type originReader struct {
	// mu is held during a read.
	mu     sync.Mutex
	next   fleet.Position
	readAt time.Time
}

// writers returns the hosts that may write streams to the store, in the order in which all hosts choose them.
func (v *Directory) writers() []streamorigin.Host {
	self, others := v.Hosts()
	return streamorigin.Keepers(originKey, append([]streamorigin.Host{self}, others...), originWriters)
}

// sendToWriter sends streams to the host that writes them to the store, which may be this one.
func (v *Directory) sendToWriter(ctx context.Context, starts []fleet.StreamStart) {
	self, _ := v.Hosts()
	for _, h := range v.writers() {
		if v.backedOff(h.Name) {
			continue
		}
		if h.Name == self.Name {
			v.Write(starts)
			return
		}
		for part := range slices.Chunk(starts, maxStreamBatch) {
			if _, err := v.Send(ctx, h.Addr, peer.Request{StreamStarts: part, WriteStreams: true}); err != nil {
				v.backOff(h.Name)
				break
			}
		}
		if !v.backedOff(h.Name) {
			return
		}
	}
	v.Count("stream_starts_unwritten", int64(len(starts)), nil)
}

// Write queues streams to be written to the store by this host.
func (v *Directory) Write(starts []fleet.StreamStart) {
	v.mu.Lock()
	v.unwritten = append(v.unwritten, starts...)
	if over := len(v.unwritten) - maxUnwrittenOrigins; over > 0 {
		v.unwritten = slices.Clone(v.unwritten[over:])
	}
	v.mu.Unlock()
	wake(v.wakeWriter)
}

// keepWriting writes the queued streams to the store until ctx is done.
func (v *Directory) keepWriting(ctx context.Context) {
	for {
		select {
		case <-v.wakeWriter:
		case <-ctx.Done():
			return
		}
		for v.writeOrigins(ctx) {
			if !wait.For(ctx, originWriteInterval) {
				return
			}
		}
	}
}

// writeOrigins writes the queued streams to the store, or passes them on to another host if the store does not take
// them from this one. It reports whether there were any.
func (v *Directory) writeOrigins(ctx context.Context) bool {
	v.mu.Lock()
	batch := v.unwritten[:min(len(v.unwritten), maxOriginBatch)]
	v.unwritten = v.unwritten[len(batch):]
	v.mu.Unlock()
	if len(batch) == 0 {
		return false
	}
	err := v.putOrigins(ctx, batch)
	if err == nil {
		v.Count("stream_starts_written", int64(len(batch)), nil)
		return true
	}
	v.Log.Info("writing the origins of streams failed; another host is to write them", "streams", len(batch), "error", err.Error())
	self, _ := v.Hosts()
	v.backOff(self.Name)
	v.sendToWriter(ctx, batch)
	return true
}

func (v *Directory) putOrigins(ctx context.Context, starts []fleet.StreamStart) error {
	byOrigin := map[fleet.StreamOrigin][]string{}
	for _, s := range starts {
		byOrigin[s.Origin] = append(byOrigin[s.Origin], s.Attempt)
	}
	out := make([]writtenStreams, 0, len(byOrigin))
	for origin, attempts := range byOrigin {
		out = append(out, writtenStreams{origin, attempts})
	}
	value, err := record.Marshal(out)
	if err != nil {
		return errors.Wrap(err, "encode the origins of streams")
	}
	_, err = v.StreamStore.Put(ctx, fleet.TopicStreams, originKey, value, fleet.AnyOffset)
	return err
}

// readOrigins adds the streams that were written to the store since the last read.
func (v *Directory) readOrigins(ctx context.Context) error {
	r := &v.originReader
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.Now().Sub(r.readAt) < originReadInterval {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, streamLookupTimeout)
	defer cancel()
	for {
		from := r.next
		b, err := v.StreamStore.Read(ctx, fleet.TopicStreams, from, 0)
		var compacted *fleet.CompactedError
		switch {
		case errors.As(err, &compacted) && compacted.First != from:
			r.next = compacted.First
			continue
		case errors.Is(err, fleet.ErrStoreRestored) && from.Era() != v.Era():
			r.next = fleet.NewPosition(v.Era(), 0)
			continue
		case err != nil:
			return errors.Wrap(err, "read the origins of streams")
		}
		for _, e := range b.Entries {
			v.addWritten(e)
		}
		r.next = b.Next
		if b.Next == from {
			r.readAt = v.Now()
			return nil
		}
	}
}

func (v *Directory) addWritten(e fleet.Entry) {
	var batch []writtenStreams
	if err := record.Unmarshal(e.Value, &batch); err != nil {
		v.Log.Error("decoding the origins of streams failed", "offset", e.Offset, "error", err.Error())
		return
	}
	now := v.Now()
	for _, w := range batch {
		for _, attempt := range w.Attempts {
			v.table.Add(now, fleet.StreamStart{Attempt: attempt, Origin: w.Origin})
		}
	}
}
