package streamversions

import (
	"context"
	"slices"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/streamorigin"
)

const (
	// streamBatchDelay is how long streams are collected before the hosts that keep them are told.
	streamBatchDelay = 3 * time.Millisecond
	// maxStreamBatch bounds the streams in one message.
	maxStreamBatch = 512
	// streamKeeperBackoff is how long a host that did not respond is not told of streams.
	streamKeeperBackoff = time.Second
)

// tell queues streams for the hosts that keep them.
func (v *Directory) tell(starts ...fleet.StreamStart) {
	v.mu.Lock()
	v.pending = append(v.pending, starts...)
	v.mu.Unlock()
	wake(v.wake)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// keepTelling tells other hosts of streams until ctx is done.
func (v *Directory) keepTelling(ctx context.Context) {
	for {
		select {
		case <-v.wake:
		case <-ctx.Done():
			return
		}
		if !wait.For(ctx, streamBatchDelay) {
			return
		}
		v.flush(ctx)
	}
}

// flush tells the hosts that keep the pending streams of them, and the one that writes them to the store.
func (v *Directory) flush(ctx context.Context) {
	v.mu.Lock()
	starts := v.pending
	v.pending = nil
	v.mu.Unlock()
	if len(starts) == 0 {
		return
	}
	batches := map[streamorigin.Host][]fleet.StreamStart{}
	for _, s := range starts {
		told := 0
		for _, k := range v.keepers(s.Attempt, askedKeepers) {
			if told < streamKeepers && !v.backedOff(k.Name) {
				batches[k] = append(batches[k], s)
				told++
			}
		}
	}
	for host, batch := range batches {
		for part := range slices.Chunk(batch, maxStreamBatch) {
			go v.send(ctx, host, part)
		}
	}
	go v.sendToWriter(ctx, starts)
}

// send tells another host of streams. What is lost is kept by one host less.
func (v *Directory) send(ctx context.Context, to streamorigin.Host, starts []fleet.StreamStart) {
	v.Count("stream_starts_told", int64(len(starts)), nil)
	if _, err := v.Send(ctx, to.Addr, peer.Request{StreamStarts: starts}); err != nil {
		v.Count("stream_starts_lost", int64(len(starts)), nil)
		v.backOff(to.Name)
	}
}

func (v *Directory) backOff(host string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.backoffUntil[host] = v.Now().Add(streamKeeperBackoff)
}

func (v *Directory) backedOff(host string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.Now().Before(v.backoffUntil[host])
}

// keepers returns up to n other hosts that keep a stream, in the order in which all hosts choose them.
func (v *Directory) keepers(attempt string, n int) []streamorigin.Host {
	self, others := v.Hosts()
	chosen := streamorigin.Keepers(attempt, append([]streamorigin.Host{self}, others...), n+1)
	chosen = slices.DeleteFunc(chosen, func(h streamorigin.Host) bool { return h.Name == self.Name })
	return chosen[:min(n, len(chosen))]
}
