package quarantine

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// blockLife is how long a block holds. Clients have given up long before, and an
	// engine that was mended meanwhile gets the request again.
	blockLife = time.Hour
	// maxBlocks bounds the blocks that are kept, some 50 bytes each: every one has cost
	// three endpoints within the hour. Beyond it no new ones are taken.
	maxBlocks = 512
	// maxServed is how many requests that were served are remembered, some 50 bytes each:
	// about a minute of a busy host.
	maxServed = 8192
)

// Blocks are the requests that are kept from endpoints, and those that are known to do no
// harm. It is safe for concurrent use.
type Blocks struct {
	mu sync.Mutex
	// since is when each request was found, in Unix seconds.
	since map[fleet.BlockedRequest]int64
	// version counts the changes, sum is the same wherever the same requests are blocked.
	version int64
	sum     uint64
	// served are requests that endpoints have answered to the end; next is the place of
	// the oldest in ring once that is full.
	served map[fleet.Fingerprint]bool
	ring   []fleet.Fingerprint
	next   int
}

// NewBlocks returns no blocks.
func NewBlocks() *Blocks {
	return &Blocks{since: map[fleet.BlockedRequest]int64{}, served: map[fleet.Fingerprint]bool{}}
}

// Add takes in blocks and returns those that are new. One that has ended here may come
// once more from a host whose clock is behind, and is not taken in again.
func (b *Blocks) Add(now time.Time, blocks []fleet.Block) []fleet.Block {
	b.mu.Lock()
	defer b.mu.Unlock()
	var added []fleet.Block
	for _, x := range blocks {
		since, known := b.since[x.Request]
		if over(now, x.Since) || !known && len(b.since) >= maxBlocks {
			continue
		}
		b.since[x.Request] = max(since, x.Since)
		if !known {
			b.changed(x.Request)
			added = append(added, x)
		}
	}
	return added
}

// changed notes that a request is blocked, or is so no longer. The blocks are locked.
func (b *Blocks) changed(r fleet.BlockedRequest) {
	b.version++
	b.sum ^= mix(r)
}

// mix spreads a request over all bits, so that sums of different blocks differ.
func mix(r fleet.BlockedRequest) uint64 {
	const odd1, odd2 = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9
	return (r.Content*odd1 ^ r.Caller) * odd2
}

func over(now time.Time, since int64) bool {
	return now.Unix()-since > int64(blockLife/time.Second)
}

// Expire ends blocks that are old.
func (b *Blocks) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for r, since := range b.since {
		if over(now, since) {
			delete(b.since, r)
			b.changed(r)
		}
	}
}

// All returns all blocks.
func (b *Blocks) All() []fleet.Block {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]fleet.Block, 0, len(b.since))
	for r, since := range b.since {
		out = append(out, fleet.Block{Request: r, Since: since})
	}
	return out
}

// Count returns how many requests are blocked.
func (b *Blocks) Count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.since)
}

// Has tells whether a block holds.
func (b *Blocks) Has(r fleet.BlockedRequest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.since[r]
	return ok
}

// Version counts the changes at this host.
func (b *Blocks) Version() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// Sum is the same at hosts that know the same blocks, 0 where there are none.
func (b *Blocks) Sum() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sum
}

// Blocked tells whether a request is kept from endpoints. One that was served here crashes
// none, whatever ended beside it.
func (b *Blocks) Blocked(f fleet.Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.since) == 0 || b.served[f] {
		return false
	}
	_, own := b.since[fleet.BlockedRequest(f)]
	_, any := b.since[fleet.BlockedRequest{Content: f.Content, Caller: fleet.AnyCaller}]
	return own || any
}

// Serve notes that an endpoint has answered a request to the end.
func (b *Blocks) Serve(f fleet.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.served[f] {
		return
	}
	b.served[f] = true
	if len(b.ring) < maxServed {
		b.ring = append(b.ring, f)
		return
	}
	delete(b.served, b.ring[b.next])
	b.ring[b.next] = f
	b.next = (b.next + 1) % maxServed
}

// Served tells whether an endpoint has answered a request to the end.
func (b *Blocks) Served(f fleet.Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.served[f]
}
