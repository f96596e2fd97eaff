package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/quarantine"
	"github.com/tealvane/tealvane/pkg/record"
)

const (
	// crashStoreInterval is how often a host checks whether the store lacks crash data that
	// this host has.
	crashStoreInterval = 200 * time.Millisecond
	// backupWriteDelay is how long after a block other relays check that the controller has
	// written it. The controller may be unable to reach the store.
	backupWriteDelay = 1500 * time.Millisecond
	// minStoredCrashes is how many endpoints a request must have crashed for the crashes to be
	// written to the store before it is blocked. A crash known to a single host is lost if all
	// hosts lose power at once.
	minStoredCrashes = 2
	// minStoredTrialAge is how long after its last crash a request must still be on trial to be
	// written to the store. Most harmless requests are cleared by then.
	minStoredTrialAge = 2 * time.Second
	// minStoredCrashesIsolated replaces minStoredCrashes on a host that receives no updates.
	// The store may be its only way to report a crash.
	minStoredCrashesIsolated = 1
	// isolationTimeout is the time without updates after which a host considers itself isolated
	// from the others. A failed controller is replaced within this time.
	isolationTimeout = 2 * time.Second
	// maxRecordsPerWrite bounds the records written in one pass.
	maxRecordsPerWrite = 4
	// crashStoreActivePeriod is how long after new crash data a host keeps checking whether to
	// write it: it may become the controller meanwhile, or the store may be unavailable.
	crashStoreActivePeriod = 30 * time.Second
)

// crashRecord is the stored form of the crashes and blocks of one content. It survives a loss
// of power of all hosts.
type crashRecord struct {
	// Written is the Unix time in milliseconds that the ages of the crashes refer to.
	Written int64               `cbor:"1,keyasint"`
	Crashes []fleet.CrashReport `cbor:"2,keyasint,omitempty"`
	Blocks  []fleet.Block       `cbor:"3,keyasint,omitempty"`
	// PartCrashes replaces Crashes if the content is a prompt part. Hosts of former versions ignore it.
	PartCrashes []fleet.CrashReport `cbor:"4,keyasint,omitempty"`
}

// crashes returns the crashes of the content or prompt part.
func (r crashRecord) crashes() []fleet.CrashReport { return slices.Concat(r.Crashes, r.PartCrashes) }

// expired reports whether the record is too old to count: any block in it has expired.
func (r crashRecord) expired(now time.Time) bool {
	return now.UnixMilli()-r.Written > quarantine.BlockTTL.Milliseconds()
}

// storedCrashes tracks what the store holds of each content. It is safe for concurrent use.
type storedCrashes struct {
	mu        sync.Mutex
	byContent map[uint64]crashRecord
	// stale holds the keys of expired records.
	stale map[string]bool
	// losses counts the listings that lacked a record which the store held before.
	losses int64
}

func newStoredCrashes() *storedCrashes {
	return &storedCrashes{byContent: map[uint64]crashRecord{}, stale: map[string]bool{}}
}

// set records what the store holds of a content. It cancels a pending removal of the previous
// record.
func (s *storedCrashes) set(content uint64, r crashRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byContent[content] = r
	delete(s.stale, fleet.Hex(content))
}

// retain records that the store holds no other records than those with the given keys.
func (s *storedCrashes) retain(keys map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.byContent)
	maps.DeleteFunc(s.byContent, func(content uint64, _ crashRecord) bool { return !keys[fleet.Hex(content)] })
	if len(s.byContent) < before {
		s.losses++
	}
}

// lossCount returns the number of listings that lacked a record which the store held before.
func (s *storedCrashes) lossCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.losses
}

// removed records that another host has removed the record under a key. Data of it that still
// counts is written again.
func (s *storedCrashes) removed(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.stale, key)
	maps.DeleteFunc(s.byContent, func(content uint64, _ crashRecord) bool { return fleet.Hex(content) == key })
}

// needsWrite reports whether a record has more crashes or blocks than the store's. Further
// crashes no longer matter once there is a block.
func (s *storedCrashes) needsWrite(content uint64, r crashRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.byContent[content]
	return len(r.Blocks) > len(stored.Blocks) || len(stored.Blocks) == 0 && len(r.crashes()) > len(stored.crashes())
}

func (s *storedCrashes) markStale(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale[key] = true
}

// prune drops expired records and marks their keys for removal, since keyed topics keep the
// newest record of each key forever.
func (s *storedCrashes) prune(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for content, r := range s.byContent {
		if r.expired(now) {
			delete(s.byContent, content)
			s.stale[fleet.Hex(content)] = true
		}
	}
}

// drainStale returns the keys of expired records and clears them.
func (s *storedCrashes) drainStale() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.stale {
		out = append(out, key)
	}
	clear(s.stale)
	return out
}

// followCrashes reads crash records from the store, on relays and on hosts that receive no
// updates from others.
func (g *Gateway) followCrashes(ctx context.Context) {
	g.deferFirstRead(ctx, g.receivesCrashes)
	f := g.follower(fleet.TopicCrashes, g.replaceCrashRecords, g.applyCrashRecords)
	f.Relayed = g.receivesCrashes
	f.Run(ctx)
}

// receivesCrashes reports whether this host learns of crashes from another host. Unlike for
// other topics, a recent claim does not count: an isolated host may still read new claims from
// the store, and must learn of a block within seconds.
func (g *Gateway) receivesCrashes() bool {
	return !g.mesh.isRelay() && g.notices.Age(g.Now()) < isolationTimeout || g.expectsUpdates()
}

// replaceCrashRecords applies a complete listing. Records that it lacks, for example after a restore of
// the store, are written again.
func (g *Gateway) replaceCrashRecords(b fleet.Batch) {
	keys := make(map[string]bool, len(b.Entries))
	for _, e := range b.Entries {
		keys[e.Key] = true
	}
	g.applyCrashRecords(b)
	g.storedCrashes.retain(keys)
}

func (g *Gateway) applyCrashRecords(b fleet.Batch) {
	for _, e := range b.Entries {
		if len(e.Value) == 0 {
			g.storedCrashes.removed(e.Key)
			continue
		}
		g.applyCrashRecord(e)
	}
}

func (g *Gateway) applyCrashRecord(e fleet.Entry) {
	var r crashRecord
	if err := record.Unmarshal(e.Value, &r); err != nil {
		g.log.Error("decoding crash record failed; record ignored", "key", e.Key, "offset", e.Offset, "error", err.Error())
		return
	}
	now := g.Now()
	if r.expired(now) {
		g.storedCrashes.markStale(e.Key)
		return
	}
	age := now.UnixMilli() - r.Written
	content := contentOf(r)
	g.storedCrashes.set(content, r)
	crashes := r.crashes()
	for i := range crashes {
		crashes[i].Ago += max(0, age)
	}
	if g.guard.CrashLog.Add(now, crashes) {
		g.requestReport()
	}
	g.mergeBlocks(now, r.Blocks)
}

// contentOf returns the content that a record refers to, or 0 for an empty record.
func contentOf(r crashRecord) uint64 {
	switch {
	case len(r.Blocks) > 0:
		return r.Blocks[0].Request.Content
	case len(r.crashes()) > 0:
		return r.crashes()[0].Request.Content
	}
	return 0
}

// storeCrashes writes to the store crash data that must survive a loss of power, or that this
// host cannot send to others.
func (g *Gateway) storeCrashes(ctx context.Context) {
	var schedule crashStoreSchedule
	wait.Every(ctx, crashStoreInterval, func() {
		now := g.Now()
		g.storedCrashes.prune(now)
		if g.election.HeldToken() != 0 {
			g.removeStaleRecords(ctx)
		}
		if !schedule.update(now, g.guard.CrashLog.Version(), g.guard.Blocklist.Version(), g.storedCrashes.lossCount()) {
			return
		}
		for _, r := range g.recordsToWrite(now, now.Sub(schedule.blocksAt) >= backupWriteDelay) {
			g.writeCrashRecord(ctx, r)
		}
	})
}

// crashStoreSchedule decides when a host checks whether the store lacks crash data.
type crashStoreSchedule struct {
	crashLog, blocks, losses int64
	// changedAt is when crash data last changed or was lost, blocksAt when blocks were.
	changedAt, blocksAt time.Time
}

// update records the current versions and reports whether a check is due.
func (s *crashStoreSchedule) update(now time.Time, crashLog, blocks, losses int64) bool {
	if blocks != s.blocks || losses != s.losses {
		s.blocksAt = now
	}
	if crashLog != s.crashLog || blocks != s.blocks || losses != s.losses {
		s.changedAt = now
	}
	s.crashLog, s.blocks, s.losses = crashLog, blocks, losses
	return now.Sub(s.changedAt) < crashStoreActivePeriod
}

// removeStaleRecords removes expired records from the store. Failed removals are retried on the
// next pass.
func (g *Gateway) removeStaleRecords(ctx context.Context) {
	for _, key := range g.storedCrashes.drainStale() {
		if _, err := g.store.Put(ctx, fleet.TopicCrashes, key, nil, fleet.AnyOffset); err != nil {
			g.storedCrashes.markStale(key)
		}
	}
}

// recordsToWrite returns up to maxRecordsPerWrite records that this host must write.
func (g *Gateway) recordsToWrite(now time.Time, backup bool) []crashRecord {
	isController, isolated := g.election.HeldToken() != 0, g.notices.Age(now) > isolationTimeout
	byContent := map[uint64]crashRecord{}
	if isController || isolated {
		minCrashes := minStoredCrashes
		if isolated && !isController {
			minCrashes = minStoredCrashesIsolated
		}
		for content, crashes := range g.guard.CrashesToPersist(now, minCrashes, minStoredTrialAge) {
			r := crashRecord{Written: now.UnixMilli()}
			r.Crashes, r.PartCrashes = fleet.SplitCrashes(crashes)
			byContent[content] = r
		}
	}
	if isController || isolated || backup && g.mesh.isRelay() {
		for _, b := range g.guard.Blocklist.All(now) {
			if b.Suspect {
				continue // The crashes in the record imply it.
			}
			r := byContent[b.Request.Content]
			r.Written = now.UnixMilli()
			r.Blocks = append(r.Blocks, b)
			byContent[b.Request.Content] = r
		}
	}
	var out []crashRecord
	for content, r := range byContent {
		if len(out) < maxRecordsPerWrite && g.storedCrashes.needsWrite(content, r) {
			out = append(out, r)
		}
	}
	return out
}

func (g *Gateway) writeCrashRecord(ctx context.Context, r crashRecord) {
	value, err := record.Marshal(r)
	if err != nil {
		g.log.Error("encoding crash record failed", "error", err.Error())
		return
	}
	content := contentOf(r)
	if _, err := g.store.Put(ctx, fleet.TopicCrashes, fleet.Hex(content), value, fleet.AnyOffset); err != nil {
		return // Retried on the next pass; the follower logs that the store is unavailable.
	}
	g.storedCrashes.set(content, r)
}
