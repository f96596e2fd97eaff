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
	// suspectLife is how long a trial is remembered, as long as an end of an endpoint counts.
	suspectLife = crashLife
	// maxBlocks bounds the blocks that are kept, and the trials, some 50 bytes each:
	// every one has cost endpoints within the hour. Beyond it no new ones are taken.
	maxBlocks = 512
)

// Blocks are the requests that are kept from endpoints, and the trials of suspects. It is
// safe for concurrent use.
type Blocks struct {
	mu sync.Mutex
	// since is when each request was blocked, in Unix seconds.
	since map[fleet.BlockedRequest]int64
	// trials are by content.
	trials map[uint64]trial
	// version counts the changes, sum is the same wherever the same is known.
	version int64
	sum     uint64
	// changes is closed with the next change.
	changes chan struct{}
}

// NewBlocks returns no blocks.
func NewBlocks() *Blocks {
	return &Blocks{
		since:   map[fleet.BlockedRequest]int64{},
		trials:  map[uint64]trial{},
		changes: make(chan struct{}),
	}
}

// Add takes in blocks and trials and returns those that are new. A block that has ended here
// may come once more from a host whose clock is behind, and is not taken in again.
func (b *Blocks) Add(now time.Time, blocks []fleet.Block) []fleet.Block {
	b.mu.Lock()
	defer b.mu.Unlock()
	var added []fleet.Block
	for _, x := range blocks {
		if !over(now, x) && (x.Suspect && b.addTrial(now, x) || !x.Suspect && b.addBlock(x)) {
			added = append(added, x)
		}
	}
	return added
}

// addBlock tells whether a block is new. The blocks are locked.
func (b *Blocks) addBlock(x fleet.Block) bool {
	since, ok := b.since[x.Request]
	if !ok && len(b.since) >= maxBlocks {
		return false
	}
	b.since[x.Request] = max(since, x.Since)
	if !ok {
		b.changed(mix(x))
	}
	return !ok
}

// changed notes that something has come, has gone, or has taken the place of another, by what
// that does to the sum. The blocks are locked.
func (b *Blocks) changed(mixed uint64) {
	b.version++
	b.sum ^= mixed
	b.wake()
}

// wake ends all waits for a change. The blocks are locked.
func (b *Blocks) wake() {
	close(b.changes)
	b.changes = make(chan struct{})
}

// Wake ends all waits for a change.
func (b *Blocks) Wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wake()
}

// Changes is closed with the next change.
func (b *Blocks) Changes() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changes
}

// mix spreads a block over all bits, so that sums of different blocks differ.
func mix(x fleet.Block) uint64 {
	const odd1, odd2, odd3 = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9, 0x94d049bb133111eb
	sum := (x.Request.Content*odd1 ^ x.Request.Caller) * odd2
	if !x.Suspect {
		return sum
	}
	return (sum ^ mixTrial(x.Trial)) * odd3
}

// over tells whether a block or a trial has ended.
func over(now time.Time, x fleet.Block) bool {
	life := BlockLife
	if x.Suspect {
		life = suspectLife
	}
	return now.Unix()-x.Since > int64(life/time.Second)
}

// Expire ends blocks and trials that are old.
func (b *Blocks) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.all(now) {
		if !over(now, x) {
			continue
		}
		if x.Suspect {
			delete(b.trials, x.Request.Content)
		} else {
			delete(b.since, x.Request)
		}
		b.changed(mix(x))
	}
}

// all returns all blocks and trials. They are locked.
func (b *Blocks) all(now time.Time) []fleet.Block {
	var out []fleet.Block
	for r, since := range b.since {
		out = append(out, fleet.Block{Request: r, Since: since})
	}
	for content, t := range b.trials {
		out = append(out, t.block(now, content))
	}
	return out
}

// All returns all blocks and trials.
func (b *Blocks) All(now time.Time) []fleet.Block {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all(now)
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

// Sum is the same at hosts that know the same blocks and trials, 0 where there are none.
func (b *Blocks) Sum() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sum
}

// Blocked tells whether a request is kept from endpoints.
func (b *Blocks) Blocked(f fleet.Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, own := b.since[fleet.BlockedRequest(f)]
	_, any := b.since[fleet.BlockedRequest{Content: f.Content, Caller: fleet.AnyCaller}]
	return own || any
}
