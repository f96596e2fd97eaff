package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/quarantine"
	"github.com/tealvane/tealvane/pkg/record"
)

const (
	// keepPeriod is how often a host looks whether the store lacks what it knows of crashes: a
	// small part of the three seconds in which a host that is cut off has to know.
	keepPeriod = 200 * time.Millisecond
	// backupDelay is how long after a block a host that does not give orders looks whether the
	// one that does has written it: that one may be cut off from the store.
	backupDelay = 1500 * time.Millisecond
	// keptEnds is under how many ends a request is written to the store, before it is blocked:
	// what only one end speaks for is lost if all hosts lose power at once.
	keptEnds = 2
	// keptTrial is for how long after the last end a request has to be on trial to be written
	// too: those that harm nobody have most often been cleared.
	keptTrial = 2 * time.Second
	// untoldEnds is the same for a host that is told nothing by others. It may be cut off from
	// them, and the store is the only way to tell the end that it has seen.
	untoldEnds = 1
	// cutOffFor is after how long without news a host takes itself for cut off: a controller
	// that has died is replaced within this time.
	cutOffFor = 2 * time.Second
	// maxKept bounds the records that a host writes at a time, a fifth of the calls that it may
	// make at once.
	maxKept = 4
	// keepLooking is for how long after something new a host looks whether it has to be
	// written: it may take over meanwhile, or find the store away.
	keepLooking = 30 * time.Second
)

// crashRecord is what the store keeps of one content. It outlives a loss of power of all
// hosts.
type crashRecord struct {
	// Written is when, in Unix milliseconds; the ages of the crashes are as of then.
	Written int64         `cbor:"1,keyasint"`
	Crashes []fleet.Crash `cbor:"2,keyasint,omitempty"`
	Blocks  []fleet.Block `cbor:"3,keyasint,omitempty"`
}

// over tells whether a record counts no more: a block that it holds has ended.
func (r crashRecord) over(now time.Time) bool {
	return now.UnixMilli()-r.Written > quarantine.BlockLife.Milliseconds()
}

// keptCrashes is what of each content the store is known to hold. It is safe for concurrent
// use.
type keptCrashes struct {
	mu        sync.Mutex
	byContent map[uint64]crashRecord
	// stale are the keys of records that count no more.
	stale map[string]bool
}

func newKeptCrashes() *keptCrashes {
	return &keptCrashes{byContent: map[uint64]crashRecord{}, stale: map[string]bool{}}
}

// set notes what the store holds of a content. A record that was written anew is not removed
// for the age of the one before.
func (k *keptCrashes) set(content uint64, r crashRecord) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.byContent[content] = r
	delete(k.stale, fleet.Hex(content))
}

// removed notes that another host has removed the record under a key. What still counts of
// it is written again.
func (k *keptCrashes) removed(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.stale, key)
	maps.DeleteFunc(k.byContent, func(content uint64, _ crashRecord) bool { return fleet.Hex(content) == key })
}

// lacks tells whether a record says more than the store's: more ends while they can
// still decide, or more blocks.
func (k *keptCrashes) lacks(content uint64, r crashRecord) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	have := k.byContent[content]
	return len(r.Blocks) > len(have.Blocks) || len(have.Blocks) == 0 && len(r.Crashes) > len(have.Crashes)
}

func (k *keptCrashes) markStale(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stale[key] = true
}

// prune forgets records that count no more, and marks their keys for removal. Keyed topics
// keep the newest record of each key for ever.
func (k *keptCrashes) prune(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for content, r := range k.byContent {
		if r.over(now) {
			delete(k.byContent, content)
			k.stale[fleet.Hex(content)] = true
		}
	}
}

// takeStale returns the keys of records that count no more, once.
func (k *keptCrashes) takeStale() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for key := range k.stale {
		out = append(out, key)
	}
	clear(k.stale)
	return out
}

// followCrashes reads what the store keeps of crashes: at relays, and at hosts that are
// told nothing by others.
func (g *Gateway) followCrashes(ctx context.Context) {
	g.restAtStart(ctx, g.toldOfCrashes)
	f := g.follower(fleet.TopicCrashes, g.takeCrashRecords, g.takeCrashRecords)
	f.Told = g.toldOfCrashes
	f.Run(ctx)
}

// toldOfCrashes tells whether this host learns of crashes from another. A claim that was just
// read is no sign of that, as for other topics: a host that is cut off from the others reads
// one after the other, and has to know of a block within seconds.
func (g *Gateway) toldOfCrashes() bool {
	return !g.mesh.relaying() && g.news.silence(g.Now()) < cutOffFor || g.expectsNews()
}

func (g *Gateway) takeCrashRecords(b fleet.Batch) {
	for _, e := range b.Entries {
		if len(e.Value) == 0 {
			g.crashesKept.removed(e.Key)
			continue
		}
		g.takeCrashRecord(e)
	}
}

func (g *Gateway) takeCrashRecord(e fleet.Entry) {
	var r crashRecord
	if err := record.Unmarshal(e.Value, &r); err != nil {
		g.log.Error("record of crashes is not understood", "key", e.Key, "offset", e.Offset, "error", err.Error())
		return
	}
	now := g.Now()
	if r.over(now) {
		g.crashesKept.markStale(e.Key)
		return
	}
	age := now.UnixMilli() - r.Written
	content := contentOf(r)
	g.crashesKept.set(content, r)
	for i := range r.Crashes {
		r.Crashes[i].Ago += max(0, age)
	}
	if g.guard.Ledger.Add(now, r.Crashes) {
		g.wantReport()
	}
	g.takeBlocks(now, r.Blocks)
}

// contentOf is the content that a record is about, 0 for an empty one.
func contentOf(r crashRecord) uint64 {
	switch {
	case len(r.Blocks) > 0:
		return r.Blocks[0].Request.Content
	case len(r.Crashes) > 0:
		return r.Crashes[0].Request.Content
	}
	return 0
}

// keepCrashes writes to the store what has to outlive the hosts, or cannot reach others.
func (g *Gateway) keepCrashes(ctx context.Context) {
	var k keeping
	every(ctx, keepPeriod, func() {
		now := g.Now()
		g.crashesKept.prune(now)
		if g.election.Held() != 0 {
			g.dropStaleRecords(ctx)
		}
		if !k.due(now, g.guard.Ledger.Version(), g.guard.Blocks.Version()) {
			return
		}
		for _, r := range g.recordsToKeep(now, now.Sub(k.blocksAt) >= backupDelay) {
			g.keep(ctx, r)
		}
	})
}

// keeping is when a host has to look whether the store lacks something.
type keeping struct {
	ledger, blocks int64
	// changed is when it last learned something, blocksAt when of a block.
	changed, blocksAt time.Time
}

func (k *keeping) due(now time.Time, ledger, blocks int64) bool {
	if blocks != k.blocks {
		k.blocksAt = now
	}
	if ledger != k.ledger || blocks != k.blocks {
		k.changed = now
	}
	k.ledger, k.blocks = ledger, blocks
	return now.Sub(k.changed) < keepLooking
}

// dropStaleRecords removes records that count no more. Those that the store does not take
// away now are tried again with the next look.
func (g *Gateway) dropStaleRecords(ctx context.Context) {
	for _, key := range g.crashesKept.takeStale() {
		if _, err := g.store.Put(ctx, fleet.TopicCrashes, key, nil, fleet.AnyOffset); err != nil {
			g.crashesKept.markStale(key)
		}
	}
}

// recordsToKeep returns records that this host has to write, a few at a time.
func (g *Gateway) recordsToKeep(now time.Time, backup bool) []crashRecord {
	controls, cutOff := g.election.Held() != 0, g.news.silence(now) > cutOffFor
	byContent := map[uint64]crashRecord{}
	if controls || cutOff {
		least := keptEnds
		if cutOff && !controls {
			least = untoldEnds
		}
		for content, crashes := range g.guard.Unexplained(now, least, keptTrial) {
			byContent[content] = crashRecord{Written: now.UnixMilli(), Crashes: crashes}
		}
	}
	if controls || cutOff || backup && g.mesh.relaying() {
		for _, b := range g.guard.Blocks.All(now) {
			if b.Suspect {
				continue // The ends in the record tell that.
			}
			r := byContent[b.Request.Content]
			r.Written = now.UnixMilli()
			r.Blocks = append(r.Blocks, b)
			byContent[b.Request.Content] = r
		}
	}
	var out []crashRecord
	for content, r := range byContent {
		if len(out) < maxKept && g.crashesKept.lacks(content, r) {
			out = append(out, r)
		}
	}
	return out
}

func (g *Gateway) keep(ctx context.Context, r crashRecord) {
	value, err := record.Marshal(r)
	if err != nil {
		g.log.Error("record of crashes", "error", err.Error())
		return
	}
	content := contentOf(r)
	if _, err := g.store.Put(ctx, fleet.TopicCrashes, fleet.Hex(content), value, fleet.AnyOffset); err != nil {
		return // The next look tries again; reads of the topic log that the store is away.
	}
	g.crashesKept.set(content, r)
}
