package state

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/record"
)

// chunkBytes is the size of a chunk; it leaves room for the record's envelope.
const chunkBytes = record.MaxBytes - 4<<10

// maxChunks bounds the memory used by the chunks of one snapshot.
const maxChunks = 4096

// ErrSnapshot is returned for chunks that do not form a complete snapshot.
var ErrSnapshot = errors.New("not a complete snapshot")

// snapshotState is the encoded form of the state. Its encoding is
// deterministic, so all hosts write the same chunks for the same offset. The
// field names are part of the encoding.
type snapshotState struct {
	Applied   record.Offset
	Horizon   time.Time
	Contracts []snapshotContract
	Sessions  []Session
	Pools     []Pool
	Keys      []snapshotKeyEntry
	Deferred  []DeferredRequest
	Crashes   []EndpointCrash
}

type snapshotContract struct {
	Customer string
	Version  uint64
	Offset   record.Offset
	Document []byte
}

// Snapshot encodes the state as records. It must not be called concurrently
// with Apply.
func (s *State) Snapshot() ([]record.Record, error) {
	encoded := snapshotState{
		Applied:  s.Applied(),
		Horizon:  s.Keys.Horizon(),
		Sessions: s.Hosts.Sessions(),
		Keys:     s.Keys.sorted(),
		Deferred: s.Deferred.sorted(),
		Crashes:  s.Crashes.After(0),
	}
	for _, customer := range s.Contracts.Customers() {
		e, _ := s.Contracts.Get(customer)
		encoded.Contracts = append(encoded.Contracts, snapshotContract{customer, e.Version, e.Offset, e.Document})
	}
	for _, name := range s.Pools.Names() {
		encoded.Pools = append(encoded.Pools, s.Pools.Get(name))
	}
	data, err := record.Marshal(encoded)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return splitChunks(encoded.Applied, data), nil
}

func splitChunks(asOf record.Offset, data []byte) []record.Record {
	chunks := slices.Collect(slices.Chunk(data, chunkBytes))
	digest := xxhash.Sum64(data)
	records := make([]record.Record, len(chunks))
	for i, chunk := range chunks {
		records[i] = record.Record{ID: record.NewID(), Snapshot: &record.Snapshot{
			AsOf:   asOf,
			Digest: digest,
			Index:  i,
			Count:  len(chunks),
			Data:   chunk,
		}}
	}
	return records
}

// Restore decodes the state from the chunks of one snapshot.
func Restore(chunks []record.Snapshot) (*State, error) {
	data, err := joinChunks(chunks)
	if err != nil {
		return nil, err
	}
	var decoded snapshotState
	if err := record.UnmarshalSnapshot(data, &decoded); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	s := New()
	s.applied.Store(uint64(decoded.Applied))
	s.Keys.horizon = decoded.Horizon
	for _, c := range decoded.Contracts {
		parsed, findings := contract.Parse("", c.Document)
		if err := findings.Err(); err != nil {
			return nil, errors.Wrapf(err, "contract of %q in snapshot", c.Customer)
		}
		s.Contracts.entries[c.Customer] = ContractEntry{c.Version, c.Offset, c.Document, parsed}
	}
	for _, session := range decoded.Sessions {
		s.Hosts.sessions[session.HostRef] = session
	}
	for _, p := range decoded.Pools {
		s.Pools.create(p.Name).Pool = p.withNonNilMaps()
	}
	for _, pair := range decoded.Keys {
		s.Keys.shard(pair.Key).entries[pair.Key] = pair.Entry
	}
	for _, r := range decoded.Deferred {
		s.Deferred.requests[r.ID] = r
	}
	s.Crashes.list = decoded.Crashes
	return s, nil
}

func (p Pool) withNonNilMaps() Pool {
	if p.Endpoints == nil {
		p.Endpoints = map[string]Endpoint{}
	}
	if p.Replicas == nil {
		p.Replicas = map[record.ReplicaID]Replica{}
	}
	return p
}

func joinChunks(chunks []record.Snapshot) ([]byte, error) {
	if len(chunks) == 0 || len(chunks) != chunks[0].Count {
		return nil, errors.Wrapf(ErrSnapshot, "got %d chunks, expected all chunks of one snapshot", len(chunks))
	}
	var data bytes.Buffer
	for i, c := range chunks {
		if c.Index != i {
			return nil, errors.Wrapf(ErrSnapshot, "chunk %d is missing", i)
		}
		data.Write(c.Data)
	}
	if xxhash.Sum64(data.Bytes()) != chunks[0].Digest {
		return nil, errors.Wrap(ErrSnapshot, "digest mismatch")
	}
	return data.Bytes(), nil
}

// Replace replaces the contents of s with those of from. It returns ErrStale if
// from is older than s, because that would restore outdated contracts.
func (s *State) Replace(from *State) error {
	if from.Applied() < s.Applied() {
		return errors.Wrapf(ErrStale, "snapshot is at offset %d, state at %d", from.Applied(), s.Applied())
	}
	s.Contracts.mu.Lock()
	s.Contracts.entries = from.Contracts.entries
	s.Contracts.mu.Unlock()
	s.Hosts.mu.Lock()
	s.Hosts.sessions = from.Hosts.sessions
	s.Hosts.mu.Unlock()
	s.Pools.mu.Lock()
	s.Pools.pools = from.Pools.pools
	s.Pools.mu.Unlock()
	s.Keys.horizonMu.Lock()
	s.Keys.horizon = from.Keys.horizon
	s.Keys.horizonMu.Unlock()
	for i := range s.Keys.shards {
		s.Keys.shards[i].mu.Lock()
		s.Keys.shards[i].entries = from.Keys.shards[i].entries
		s.Keys.shards[i].mu.Unlock()
	}
	s.Deferred.mu.Lock()
	s.Deferred.requests = from.Deferred.requests
	s.Deferred.mu.Unlock()
	s.Crashes.mu.Lock()
	s.Crashes.list = from.Crashes.list
	s.Crashes.mu.Unlock()
	s.applied.Store(uint64(from.Applied()))
	return nil
}

// snapshotID identifies a snapshot; chunks with the same ID are interchangeable.
type snapshotID struct {
	asOf   record.Offset
	digest uint64
}

// Snapshots collects snapshot chunks from the log to find the newest complete
// snapshot. It is not part of the snapshotted state.
type Snapshots struct {
	mu     sync.RWMutex
	chunks map[snapshotID]map[int]record.Snapshot
	newest []record.Snapshot
}

func newSnapshots() *Snapshots {
	return &Snapshots{chunks: map[snapshotID]map[int]record.Snapshot{}}
}

// Add collects a chunk read from the log without applying the record.
func (s *Snapshots) Add(off record.Offset, c record.Snapshot) { s.add(off, c) }

func (s *Snapshots) add(off record.Offset, c record.Snapshot) {
	if c.AsOf >= off || c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.newest) > 0 && c.AsOf <= s.newest[0].AsOf {
		return
	}
	key := snapshotID{c.AsOf, c.Digest}
	if s.chunks[key] == nil {
		s.chunks[key] = map[int]record.Snapshot{}
	}
	s.chunks[key][c.Index] = c
	if len(s.chunks[key]) < c.Count {
		return
	}
	newest := sortChunks(s.chunks[key])
	if _, err := joinChunks(newest); err != nil {
		// Keep the last complete snapshot when a newer one is corrupt.
		delete(s.chunks, key)
		return
	}
	s.newest = newest
	maps.DeleteFunc(s.chunks, func(k snapshotID, _ map[int]record.Snapshot) bool { return k.asOf <= c.AsOf })
}

func sortChunks(chunks map[int]record.Snapshot) []record.Snapshot {
	ordered := make([]record.Snapshot, 0, len(chunks))
	for _, i := range slices.Sorted(maps.Keys(chunks)) {
		ordered = append(ordered, chunks[i])
	}
	return ordered
}

// Newest returns the chunks of the newest complete snapshot.
func (s *Snapshots) Newest() []record.Snapshot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Clone(s.newest)
}

// NewestAsOf returns the offset of the newest complete snapshot, or 0 if there is none.
func (s *Snapshots) NewestAsOf() record.Offset {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.newest) == 0 {
		return 0
	}
	return s.newest[0].AsOf
}
