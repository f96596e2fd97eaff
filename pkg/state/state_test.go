package state_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
	"pgregory.net/rapid"
)

// fixture applies records to a state one at a time.
type fixture struct {
	t  *testing.T
	st *state.State
}

func (f fixture) apply(r record.Record) state.Outcome {
	f.t.Helper()
	data, err := record.Encode(r)
	if err != nil {
		f.t.Fatal(err)
	}
	out, ok, err := f.st.Apply(f.st.Applied()+1, data)
	if err != nil || !ok {
		f.t.Fatal(ok, err)
	}
	return out
}

func newFixture(t *testing.T) fixture { return fixture{t, state.New()} }

func contractRecord(base uint64, customer string) record.Record {
	document := fmt.Sprintf("customer: %s\ncredentials: [{sha256: %064d}]\nmodels: [{name: m, pool: p, weights_mb: 10}]\n", customer, 0)
	return record.Record{Contract: &record.Contract{Customer: customer, Base: base, Document: []byte(document)}}
}

// Guards against a concurrent or delayed publication replacing a newer contract.
func TestContractPublishIsCompareAndSet(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	is.NoErr(f.apply(contractRecord(0, "c")).Rejected)
	is.True(errors.Is(f.apply(contractRecord(0, "c")).Rejected, state.ErrStale))
	is.NoErr(f.apply(contractRecord(1, "c")).Rejected)
	is.True(errors.Is(f.apply(contractRecord(0, "c")).Rejected, state.ErrStale))
	e, _ := f.st.Contracts.Get("c")
	is.Equal(e.Version, uint64(2))
	mismatch := contractRecord(0, "d")
	mismatch.Contract.Customer = "other"
	is.True(errors.Is(f.apply(mismatch).Rejected, state.ErrInvalid))
}

// Guards against two hosts claiming the same epoch, and against a delayed copy
// of a claim taking the pool back.
func TestPoolClaimRequiresCurrentEpoch(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a, b := record.HostRef{Host: "a", Incarnation: "1"}, record.HostRef{Host: "b", Incarnation: "2"}
	claim := func(prev record.Offset, owner record.HostRef) record.Record {
		return record.Record{Claim: &record.PoolClaim{Pool: "p", PrevEpoch: prev, Owner: owner}}
	}
	is.True(errors.Is(f.apply(claim(0, a)).Rejected, state.ErrUnknown))
	f.apply(record.Record{Join: &record.SessionOpen{HostRef: a}})
	f.apply(record.Record{Join: &record.SessionOpen{HostRef: b}})
	is.NoErr(f.apply(claim(0, a)).Rejected)
	epoch := f.st.Applied()
	is.True(errors.Is(f.apply(claim(0, b)).Rejected, state.ErrStale))
	is.NoErr(f.apply(claim(epoch, b)).Rejected)
	is.True(errors.Is(f.apply(claim(0, a)).Rejected, state.ErrStale))
	owner, _ := f.st.Pools.Owner("p")
	is.Equal(owner, b)
	is.Equal(f.st.Pools.Get("p").Former, []state.FormerOwner{{Epoch: epoch, Owner: a}})
	f.apply(record.Record{Gone: &record.SessionClose{HostRef: a}})
	is.Equal(len(f.st.Pools.Get("p").Former), 0)
}

func newKey() record.Key {
	return record.Key{Customer: "c", Value: uuid.Must(uuid.NewV7()).String()}
}

func keyClaimRecord(host string, key record.Key, attempt uint32) record.Record {
	return record.Record{KeyBatch: &record.KeyBatch{
		Holder: record.HostRef{Host: host},
		Claims: []record.KeyClaim{{Key: key, Attempt: attempt}},
	}}
}

// Guards against a delayed copy of a claim holding a key that has been released.
func TestStaleKeyClaimAfterReleaseIsRejected(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	key := newKey()
	f.apply(keyClaimRecord("a", key, 0))
	is.Equal(f.st.Keys.Get(key).State, state.KeyClaimed)
	f.apply(record.Record{KeyBatch: &record.KeyBatch{
		Holder:   record.HostRef{Host: "a"},
		Releases: []record.KeyRelease{{Key: key}},
	}})
	f.apply(keyClaimRecord("a", key, 0))
	is.Equal(f.st.Keys.Get(key).State, state.KeyFree)
	f.apply(keyClaimRecord("b", key, 1))
	is.Equal(f.st.Keys.Get(key).Holder.Host, "b")
}

// Guards against running a request again after its key has been deleted.
func TestKeyOlderThanHorizonIsRejected(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	key := newKey()
	f.apply(keyClaimRecord("a", key, 0))
	created, _ := key.Time()
	f.apply(record.Record{Horizon: &record.KeyHorizon{Before: created.Add(time.Second)}})
	is.Equal(f.st.Keys.Len(), 0)
	is.Equal(f.st.Keys.Get(key).State, state.KeyExpired)
	f.apply(keyClaimRecord("b", key, 0))
	is.Equal(f.st.Keys.Get(key).State, state.KeyExpired)
	is.True(errors.Is(f.apply(record.Record{Horizon: &record.KeyHorizon{Before: created}}).Rejected, state.ErrStale))
}

// Checks that a state restored from a snapshot at any offset stays equal to one
// that applied all records.
func TestRestoredStateMatchesReplayedState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		reference, restored := newFixture(t), newFixture(t)
		keys := []record.Key{newKey(), newKey(), newKey()}
		n := rapid.IntRange(1, 40).Draw(rt, "records")
		at := rapid.IntRange(0, n).Draw(rt, "snapshot at")
		for i := range n {
			if i == at {
				restored.st = restore(t, restored.st)
			}
			r := drawRecord(rt, reference.st, keys)
			reference.apply(r)
			restored.apply(r)
		}
		if snapshotDigest(t, reference.st) != snapshotDigest(t, restored.st) {
			rt.Fatal("digest of the restored state differs from the reference")
		}
	})
}

func drawRecord(t *rapid.T, st *state.State, keys []record.Key) record.Record {
	host := record.HostRef{Host: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host")}
	_, epoch := st.Pools.Owner("p")
	key := rapid.SampledFrom(keys).Draw(t, "key")
	p := st.Pools.Get("p")
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		e, _ := st.Contracts.Get("c")
		return contractRecord(e.Version, "c")
	case 1:
		return record.Record{Join: &record.SessionOpen{HostRef: host}}
	case 2:
		return record.Record{Claim: &record.PoolClaim{Pool: "p", PrevEpoch: epoch, Owner: host}}
	case 3:
		return keyClaimRecord(host.Host, key, st.Keys.Get(key).Attempt)
	case 4:
		return record.Record{KeyBatch: &record.KeyBatch{Holder: host, Outcomes: []record.KeyOutcome{{Key: key, Status: 200}}}}
	case 5:
		return record.Record{KeyBatch: &record.KeyBatch{Holder: host, Releases: []record.KeyRelease{{Key: key}}}}
	case 8:
		return record.Record{Crashed: &record.EndpointCrash{Endpoint: key.Value, Requests: []record.CrashedRequest{{Content: 1}}}}
	case 6:
		return record.Record{Defer: &record.DeferredRequest{ID: key.Value, Customer: "c"}}
	default:
		return record.Record{Plan: &record.Plan{Pool: "p", Epoch: epoch, Seq: p.Seq, Decisions: []record.Decision{
			{Endpoint: &record.EndpointRegistered{Endpoint: "e", Incarnation: "i", MemoryMB: 100}},
			{Place: &record.Place{Replica: record.ReplicaID(fmt.Sprint(st.Applied())), Customer: "c", Model: "m", Endpoint: "e"}},
		}}}
	}
}

func snapshotChunks(t *testing.T, st *state.State) []record.Snapshot {
	records, err := st.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var chunks []record.Snapshot
	for _, r := range records {
		chunks = append(chunks, *r.Snapshot)
	}
	return chunks
}

func restore(t *testing.T, st *state.State) *state.State {
	restored, err := state.Restore(snapshotChunks(t, st))
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

func snapshotDigest(t *testing.T, st *state.State) uint64 { return snapshotChunks(t, st)[0].Digest }

// Guards against an older snapshot restoring an outdated contract.
func TestReplaceRejectsOlderSnapshot(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.apply(contractRecord(0, "c"))
	old := restore(t, f.st)
	f.apply(contractRecord(1, "c"))
	is.True(errors.Is(f.st.Replace(old), state.ErrStale))
	e, _ := f.st.Contracts.Get("c")
	is.Equal(e.Version, uint64(2))
	f.apply(record.Record{Crashed: &record.EndpointCrash{Endpoint: "e"}})
	newer := restore(t, f.st)
	is.NoErr(old.Replace(newer))
	is.Equal(len(old.Crashes.After(0)), 1)
	e, _ = old.Contracts.Get("c")
	is.Equal(e.Version, uint64(2))
}

// Guards against unbounded growth of the state when endpoints crash repeatedly.
func TestCrashesAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	for range 1000 {
		f.apply(record.Record{Crashed: &record.EndpointCrash{Endpoint: "e"}})
	}
	kept := f.st.Crashes.After(0)
	is.Equal(len(kept), 256)
	is.Equal(kept[len(kept)-1].Offset, f.st.Applied())
}
