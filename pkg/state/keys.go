package state

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/record"
)

// KeyState is the state of an idempotency key.
type KeyState int

// The states of an idempotency key.
const (
	// KeyFree means that the key was never claimed or has been released.
	KeyFree KeyState = iota
	// KeyClaimed means that the request may be running or may have run.
	KeyClaimed
	// KeyDone means that the response is recorded.
	KeyDone
	// KeyExpired means that the key was created before the horizon.
	KeyExpired
)

// KeyEntry is the state of an idempotency key with its holder and response.
type KeyEntry struct {
	State   KeyState
	Holder  record.HostRef
	Attempt uint32
	Digest  uint64
	Outcome record.KeyOutcome
}

const keyShards = 64

// Keys holds the idempotency keys created since the horizon, sharded by key.
type Keys struct {
	shards    [keyShards]keyShard
	horizonMu sync.RWMutex
	horizon   time.Time
}

type keyShard struct {
	mu      sync.RWMutex
	entries map[record.Key]KeyEntry
}

func newKeys() *Keys {
	k := &Keys{}
	for i := range k.shards {
		k.shards[i].entries = map[record.Key]KeyEntry{}
	}
	return k
}

func (k *Keys) shard(key record.Key) *keyShard {
	return &k.shards[xxhash.Sum64String(key.Customer+"\x00"+key.Value)%keyShards]
}

// Horizon returns the creation time before which keys are rejected.
func (k *Keys) Horizon() time.Time {
	k.horizonMu.RLock()
	defer k.horizonMu.RUnlock()
	return k.horizon
}

// Get returns the entry of a key.
func (k *Keys) Get(key record.Key) KeyEntry {
	if k.expired(key) {
		return KeyEntry{State: KeyExpired}
	}
	s := k.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.entries[key]
}

// Len returns the number of keys held.
func (k *Keys) Len() int {
	n := 0
	for i := range k.shards {
		k.shards[i].mu.RLock()
		n += len(k.shards[i].entries)
		k.shards[i].mu.RUnlock()
	}
	return n
}

// expired reports whether a key was created before the horizon. The creation
// time is part of the key, so a retry is rejected even after its entry has been
// deleted.
func (k *Keys) expired(key record.Key) bool {
	created, ok := key.Time()
	return !ok || created.Before(k.Horizon())
}

func (k *Keys) applyBatch(d record.KeyBatch) {
	for _, c := range d.Claims {
		k.update(c.Key, func(e KeyEntry) KeyEntry { return claimKey(e, c, d.Holder) })
	}
	for _, o := range d.Outcomes {
		k.update(o.Key, func(e KeyEntry) KeyEntry { return recordOutcome(e, o, d.Holder) })
	}
	for _, r := range d.Releases {
		k.update(r.Key, func(e KeyEntry) KeyEntry { return releaseKey(e, r, d.Holder) })
	}
}

func (k *Keys) update(key record.Key, change func(KeyEntry) KeyEntry) {
	if k.expired(key) {
		return
	}
	s := k.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.entries[key]
	after := change(before)
	if before.State != after.State || before.Attempt != after.Attempt {
		s.entries[key] = after
	}
}

// claimKey applies a claim; the first claim of a free key wins. The attempt
// number rejects a delayed copy of a claim that has since been released, which
// would otherwise hold the key with no request running.
func claimKey(e KeyEntry, c record.KeyClaim, holder record.HostRef) KeyEntry {
	if e.State != KeyFree || e.Attempt != c.Attempt {
		return e
	}
	return KeyEntry{State: KeyClaimed, Holder: holder, Attempt: c.Attempt, Digest: c.Digest}
}

func recordOutcome(e KeyEntry, o record.KeyOutcome, holder record.HostRef) KeyEntry {
	if e.State != KeyClaimed || e.Holder != holder {
		return e
	}
	e.State = KeyDone
	e.Outcome = o
	return e
}

func releaseKey(e KeyEntry, r record.KeyRelease, holder record.HostRef) KeyEntry {
	if e.State != KeyClaimed || e.Holder != holder || e.Attempt != r.Attempt {
		return e
	}
	return KeyEntry{State: KeyFree, Attempt: e.Attempt + 1}
}

// advanceHorizon moves the horizon forward and deletes the keys before it.
func (k *Keys) advanceHorizon(before time.Time) error {
	if !before.After(k.Horizon()) {
		return errors.Wrapf(ErrStale, "horizon %s is not after the current one", before)
	}
	k.horizonMu.Lock()
	k.horizon = before
	k.horizonMu.Unlock()
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		maps.DeleteFunc(s.entries, func(key record.Key, _ KeyEntry) bool { return k.expired(key) })
		s.mu.Unlock()
	}
	return nil
}

// snapshotKeyEntry is the entry of one idempotency key in a snapshot.
type snapshotKeyEntry struct {
	Key   record.Key
	Entry KeyEntry
}

func (k *Keys) sorted() []snapshotKeyEntry {
	var all []snapshotKeyEntry
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.RLock()
		for key, e := range s.entries {
			all = append(all, snapshotKeyEntry{key, e})
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b snapshotKeyEntry) int {
		return cmp.Or(cmp.Compare(a.Key.Customer, b.Key.Customer), cmp.Compare(a.Key.Value, b.Key.Value))
	})
	return all
}
