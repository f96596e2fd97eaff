package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// BlockTTL is how long a block stays in force. After it, the request is tried again, since the
	// endpoint software may have been fixed.
	BlockTTL = time.Hour
	// trialTTL is how long a trial is kept, the same as the crashes that led to it.
	trialTTL = crashTTL
	// maxBlocks bounds the number of blocks and, separately, of trials. Beyond it, none are added.
	maxBlocks = 512
)

// Blocklist holds the blocked requests and the trials of suspect requests. It is safe for
// concurrent use.
type Blocklist struct {
	mu sync.Mutex
	// blockedAt maps each blocked request to when it was blocked, in Unix seconds.
	blockedAt map[fleet.BlockedRequest]int64
	// parts holds the positions of the blocked prompt parts, by digest.
	parts map[uint64]int
	// trials maps content digests to trials.
	trials map[uint64]trial
	// watches holds the requests that wait to be sent.
	watches map[*blockWatch]struct{}
	// version is incremented on each local change. checksum is an order-independent hash of all
	// blocks and trials, which hosts compare.
	version  int64
	checksum uint64
	// changes is closed on the next change.
	changes chan struct{}
}

// NewBlocklist returns an empty blocklist.
func NewBlocklist() *Blocklist {
	return &Blocklist{
		blockedAt: map[fleet.BlockedRequest]int64{},
		parts:     map[uint64]int{},
		watches:   map[*blockWatch]struct{}{},
		trials:    map[uint64]trial{},
		changes:   make(chan struct{}),
	}
}

// Add merges blocks and trials and returns those that are new. Expired ones are ignored, so that a
// host whose clock is behind cannot restore them.
func (b *Blocklist) Add(now time.Time, blocks []fleet.Block) []fleet.Block {
	b.mu.Lock()
	defer b.mu.Unlock()
	var added []fleet.Block
	for _, x := range blocks {
		if !expired(now, x) && (x.Suspect && b.addTrial(now, x) || !x.Suspect && b.addBlock(x)) {
			added = append(added, x)
		}
	}
	if slices.ContainsFunc(added, func(x fleet.Block) bool { return !x.Suspect }) {
		b.notifyWatches()
	}
	return added
}

// blockWatch is a request that waits to be sent. blocked is called at most once, with the lock of the blocklist held.
type blockWatch struct {
	fingerprint fleet.Fingerprint
	prompt      fleet.Prompt
	blocked     func()
}

// Watch calls blocked when a request with this fingerprint and prompt is blocked, now or later, unless stop is called
// before. blocked must not call the blocklist.
func (b *Blocklist) Watch(f fleet.Fingerprint, p fleet.Prompt, blocked func()) (stop func()) {
	w := &blockWatch{f, p, blocked}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watches[w] = struct{}{}
	b.notifyIfBlocked(w)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.watches, w)
	}
}

// notifyWatches calls the watches of requests that are blocked now. It must be called with b.mu held.
func (b *Blocklist) notifyWatches() {
	for w := range b.watches {
		b.notifyIfBlocked(w)
	}
}

// notifyIfBlocked calls the watch if its request is blocked. It must be called with b.mu held.
func (b *Blocklist) notifyIfBlocked(w *blockWatch) {
	_, blocked := b.blockedPartLocked(w.prompt)
	if blocked || b.blockedLocked(w.fingerprint) {
		delete(b.watches, w)
		w.blocked()
	}
}

// addBlock reports whether the block is new. It must be called with b.mu held.
func (b *Blocklist) addBlock(x fleet.Block) bool {
	blockedAt, ok := b.blockedAt[x.Request]
	if !ok && len(b.blockedAt) >= maxBlocks {
		return false
	}
	b.blockedAt[x.Request] = max(blockedAt, x.Since)
	if x.PromptPart > 0 {
		b.parts[x.Request.Content] = x.PromptPart
	}
	if !ok {
		b.recordChange(hashBlock(x))
	}
	return !ok
}

// recordChange records an addition, a removal or a replacement. delta is the change of the
// checksum. It must be called with b.mu held.
func (b *Blocklist) recordChange(delta uint64) {
	b.version++
	b.checksum ^= delta
	b.notifyLocked()
}

// notifyLocked wakes all waiters. It must be called with b.mu held.
func (b *Blocklist) notifyLocked() {
	close(b.changes)
	b.changes = make(chan struct{})
}

// Notify wakes all waiters as if something had changed.
func (b *Blocklist) Notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notifyLocked()
}

// Changes returns a channel that is closed on the next change.
func (b *Blocklist) Changes() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changes
}

// hashBlock returns a hash of the block for the checksum.
func hashBlock(x fleet.Block) uint64 {
	const odd1, odd2, odd3 = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9, 0x94d049bb133111eb
	hash := (x.Request.Content*odd1 ^ x.Request.Caller) * odd2
	if !x.Suspect {
		return hash
	}
	return (hash ^ hashTrial(x.Trial)) * odd3
}

// expired reports whether the block or trial has expired.
func expired(now time.Time, x fleet.Block) bool {
	ttl := BlockTTL
	if x.Suspect {
		ttl = trialTTL
	}
	return now.Unix()-x.Since > int64(ttl/time.Second)
}

// Expire removes expired blocks and trials.
func (b *Blocklist) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.pruneParts()
	for _, x := range b.all(now) {
		if !expired(now, x) {
			continue
		}
		if x.Suspect {
			delete(b.trials, x.Request.Content)
		} else {
			delete(b.blockedAt, x.Request)
		}
		b.recordChange(hashBlock(x))
	}
}

// pruneParts forgets the positions of prompt parts that are not blocked any more. It must be called with b.mu
// held.
func (b *Blocklist) pruneParts() {
	blocked := map[uint64]bool{}
	for r := range b.blockedAt {
		blocked[r.Content] = true
	}
	maps.DeleteFunc(b.parts, func(part uint64, _ int) bool { return !blocked[part] })
}

// all returns all blocks and trials. It must be called with b.mu held.
func (b *Blocklist) all(now time.Time) []fleet.Block {
	var out []fleet.Block
	for r, since := range b.blockedAt {
		out = append(out, fleet.Block{Request: r, Since: since, PromptPart: b.parts[r.Content]})
	}
	for content, t := range b.trials {
		out = append(out, t.toBlock(now, content))
	}
	return out
}

// All returns all blocks and trials.
func (b *Blocklist) All(now time.Time) []fleet.Block {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all(now)
}

// Count returns how many requests are blocked.
func (b *Blocklist) Count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.blockedAt)
}

// Has reports whether there is a block for exactly this content and caller.
func (b *Blocklist) Has(r fleet.BlockedRequest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.blockedAt[r]
	return ok
}

// Version returns the number of changes at this host.
func (b *Blocklist) Version() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// Checksum returns a checksum of all blocks and trials, 0 if there are none. It is equal at
// hosts that hold the same ones.
func (b *Blocklist) Checksum() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.checksum
}

// BlockedPart returns the first blocked part of a prompt.
func (b *Blocklist) BlockedPart(p fleet.Prompt) (part uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.blockedPartLocked(p)
}

// blockedPartLocked is BlockedPart with b.mu held.
func (b *Blocklist) blockedPartLocked(p fleet.Prompt) (part uint64, ok bool) {
	if len(b.parts) == 0 {
		return 0, false
	}
	for _, part := range p.Parts {
		if b.parts[part] > 0 && b.blockedLocked(fleet.Fingerprint{Content: part, Caller: p.Caller}) {
			return part, true
		}
	}
	return 0, false
}

// EndsIn returns the time until no block applies any more to a request with this fingerprint and prompt.
func (b *Blocklist) EndsIn(now time.Time, f fleet.Fingerprint, p fleet.Prompt) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var last int64
	for _, digest := range append([]uint64{f.Content}, p.Parts...) {
		for _, caller := range []uint64{f.Caller, fleet.AnyCaller} {
			last = max(last, b.blockedAt[fleet.BlockedRequest{Content: digest, Caller: caller}])
		}
	}
	return max(0, time.Unix(last, 0).Add(BlockTTL).Sub(now))
}

// Blocked reports whether the request is blocked for its caller or for all callers.
func (b *Blocklist) Blocked(f fleet.Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.blockedLocked(f)
}

// blockedLocked is Blocked with b.mu held.
func (b *Blocklist) blockedLocked(f fleet.Fingerprint) bool {
	_, byCaller := b.blockedAt[fleet.BlockedRequest(f)]
	_, byAnyCaller := b.blockedAt[fleet.BlockedRequest{Content: f.Content, Caller: fleet.AnyCaller}]
	return byCaller || byAnyCaller
}
