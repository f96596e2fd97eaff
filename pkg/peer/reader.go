package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/record"
)

// Sender sends requests to other hosts. Node implements it.
type Sender interface {
	Send(ctx context.Context, addr string, r Request) ([]Response, error)
}

// Reader reads the tail of the log from other hosts.
type Reader struct {
	Peers Sender
	// Addrs returns the addresses of the other hosts in order of preference.
	Addrs func() []string
}

// ErrNoPeer means that no other host responded.
var ErrNoPeer = errors.Wrap(external.ErrUnavailable, "no peer responded")

// tailPoll is the interval between reads while the peers have no new records.
const tailPoll = 50 * time.Millisecond

// Read implements external.LogReader. Hosts may lag behind, so it queries all of them and
// returns the longest tail.
func (r Reader) Read(ctx context.Context, from record.Offset, limit int, wait time.Duration) ([]external.Entry, error) {
	end := time.Now().Add(wait)
	for {
		entries, err := r.readOnce(ctx, from, limit)
		if err != nil || len(entries) > 0 || time.Now().After(end) {
			return entries, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(tailPoll):
		}
	}
}

func (r Reader) readOnce(ctx context.Context, from record.Offset, limit int) ([]external.Entry, error) {
	var best []external.Entry
	err := error(ErrNoPeer)
	for _, addr := range r.Addrs() {
		responses, sendErr := r.Peers.Send(ctx, addr, Request{Tail: &TailRequest{From: from, Limit: limit}})
		if sendErr != nil {
			continue
		}
		if first := responses[0].TrimmedFirst; first != 0 {
			if len(best) == 0 {
				err = &external.TrimmedError{First: first}
			}
			continue
		}
		if entries := responses[0].Entries; best == nil || len(entries) > len(best) {
			best, err = entries, nil
		}
	}
	return best, err
}

// Snapshot returns the chunks of the newest snapshot among the other hosts.
func (r Reader) Snapshot(ctx context.Context) ([]record.Snapshot, error) {
	var best []record.Snapshot
	for _, addr := range r.Addrs() {
		responses, err := r.Peers.Send(ctx, addr, Request{Snapshot: true})
		if err != nil || responses[0].Chunk == nil {
			continue
		}
		chunks := make([]record.Snapshot, 0, len(responses))
		for _, response := range responses {
			if response.Chunk != nil {
				chunks = append(chunks, *response.Chunk)
			}
		}
		if best == nil || chunks[0].AsOf > best[0].AsOf {
			best = chunks
		}
	}
	if best == nil {
		return nil, ErrNoPeer
	}
	return best, nil
}
