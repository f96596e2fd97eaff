package quarantine

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// BlockLife is how long a block holds. Clients have given up long before, and an
	// engine that was mended meanwhile gets the request again.
	BlockLife = time.Hour
	// suspectLife is how long a request is suspect, as long as an end of an endpoint counts.
	suspectLife = crashLife
	// maxBlocks bounds the blocks that are kept, and the suspects, some 50 bytes each:
	// every one has cost endpoints within the hour. Beyond it no new ones are taken.
	maxBlocks = 512
)

// Blocks are the requests that are kept from endpoints, and suspects. It is safe for concurrent
// use.
type Blocks struct {
	mu sync.Mutex
	// since is when each request was found, in Unix seconds, by whether it is suspect only.
	since map[bool]map[fleet.BlockedRequest]int64
	// version counts the changes, sum is the same wherever the same requests are blocked.
	version int64
	sum     uint64
}

// NewBlocks returns no blocks.
func NewBlocks() *Blocks {
	since := map[bool]map[fleet.BlockedRequest]int64{false: {}, true: {}}
	return &Blocks{since: since}
}

// Add takes in blocks and returns those that are new. One that has ended here may come
// once more from a host whose clock is behind, and is not taken in again.
func (b *Blocks) Add(now time.Time, blocks []fleet.Block) []fleet.Block {
	b.mu.Lock()
	defer b.mu.Unlock()
	var added []fleet.Block
	for _, x := range blocks {
		known := b.since[x.Suspect]
		since, ok := known[x.Request]
		if over(now, x) || !ok && len(known) >= maxBlocks {
			continue
		}
		known[x.Request] = max(since, x.Since)
		if !ok {
			b.changed(x)
			added = append(added, x)
		}
	}
	return added
}

// changed notes that a block has come, or has ended. The blocks are locked.
func (b *Blocks) changed(x fleet.Block) {
	b.version++
	b.sum ^= mix(x)
}

// mix spreads a block over all bits, so that sums of different blocks differ.
func mix(x fleet.Block) uint64 {
	const odd1, odd2, odd3 = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9, 0x94d049bb133111eb
	sum := (x.Request.Content*odd1 ^ x.Request.Caller) * odd2
	if x.Suspect {
		sum *= odd3
	}
	return sum
}

// over tells whether a block has ended.
func over(now time.Time, x fleet.Block) bool {
	life := BlockLife
	if x.Suspect {
		life = suspectLife
	}
	return now.Unix()-x.Since > int64(life/time.Second)
}

// Expire ends blocks that are old.
func (b *Blocks) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.all() {
		if over(now, x) {
			delete(b.since[x.Suspect], x.Request)
			b.changed(x)
		}
	}
}

// all returns all blocks. They are locked.
func (b *Blocks) all() []fleet.Block {
	var out []fleet.Block
	for suspect, known := range b.since {
		for r, since := range known {
			out = append(out, fleet.Block{Request: r, Since: since, Suspect: suspect})
		}
	}
	return out
}

// All returns all blocks, those of suspects too.
func (b *Blocks) All() []fleet.Block {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all()
}

// Count returns how many requests are blocked.
func (b *Blocks) Count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.since[false])
}

// Has tells whether a block holds, or a request is suspect.
func (b *Blocks) Has(r fleet.BlockedRequest, suspect bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.since[suspect][r]
	return ok
}

// Suspected tells whether a request may run only once for each attempt of its client.
func (b *Blocks) Suspected(f fleet.Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.since[true][fleet.BlockedRequest{Content: f.Content, Caller: fleet.AnyCaller}]
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

// Blocked tells whether a request is kept from endpoints.
func (b *Blocks) Blocked(f fleet.Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	blocked := b.since[false]
	_, own := blocked[fleet.BlockedRequest(f)]
	_, any := blocked[fleet.BlockedRequest{Content: f.Content, Caller: fleet.AnyCaller}]
	return own || any
}
