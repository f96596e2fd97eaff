package state_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

// contractDocument returns a contract with the given number of models and adapters.
func contractDocument(models, adapters int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "customer: c\ncredentials: [{sha256: %064d}]\nmodels:\n", 0)
	for i := range models {
		fmt.Fprintf(&b, "- {name: m%d, pool: p%d, weights_mb: 8000, max_replicas: 4}\n", i, i%100)
	}
	for i := range adapters {
		base := i % models
		fmt.Fprintf(&b, "- {name: a%d, kind: adapter, base_model: m%d, pool: p%d, weights_mb: 100}\n", i, base, base%100)
	}
	return []byte(b.String())
}

func mustApply(b *testing.B, st *state.State, r record.Record) {
	b.Helper()
	data, err := record.Encode(r)
	if err != nil {
		b.Fatal(err)
	}
	out, _, err := st.Apply(st.Applied()+1, data)
	if err != nil || out.Rejected != nil {
		b.Fatal(err, out.Rejected)
	}
}

// publishContracts publishes models and adapters in contracts of up to 500
// entries, so that each record stays below record.MaxBytes.
func publishContracts(b *testing.B, st *state.State, models, adapters int) {
	const perContract = 500
	for i := 0; i*perContract < models+adapters; i++ {
		n := min(perContract, models+adapters-i*perContract)
		document := contractDocument(max(1, n*models/(models+adapters)), n*adapters/(models+adapters))
		customer := fmt.Sprintf("c%d", i)
		document = []byte(strings.Replace(string(document), "customer: c\n", "customer: "+customer+"\n", 1))
		mustApply(b, st, record.Record{Contract: &record.Contract{Customer: customer, Document: document}})
	}
}

func addKeys(b *testing.B, st *state.State, n int) {
	for range n / 100 {
		d := record.KeyBatch{Holder: record.HostRef{Host: "h"}}
		for range 100 {
			key := record.Key{Customer: "c", Value: uuid.Must(uuid.NewV7()).String()}
			d.Claims = append(d.Claims, record.KeyClaim{Key: key})
			d.Outcomes = append(d.Outcomes, record.KeyOutcome{Key: key, Status: 200, Body: make([]byte, 100)})
		}
		mustApply(b, st, record.Record{KeyBatch: &d})
	}
}

// BenchmarkRestore measures restoring the state from a snapshot, by the number
// of contract entries and idempotency keys.
func BenchmarkRestore(b *testing.B) {
	for _, size := range []struct{ models, adapters, keys int }{
		{10, 100, 0}, {31, 1100, 0}, {310, 11000, 0}, {310, 11000, 10_000}, {310, 11000, 100_000},
	} {
		b.Run(fmt.Sprintf("models=%d/adapters=%d/keys=%d", size.models, size.adapters, size.keys), func(b *testing.B) {
			st := state.New()
			publishContracts(b, st, size.models, size.adapters)
			addKeys(b, st, size.keys)
			records, err := st.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			var chunks []record.Snapshot
			total := 0
			for _, r := range records {
				chunks = append(chunks, *r.Snapshot)
				total += len(r.Snapshot.Data)
			}
			b.ResetTimer()
			for range b.N {
				if _, err := state.Restore(chunks); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(total)/1024, "snapshot-KiB")
			b.ReportMetric(float64(len(chunks)), "records")
		})
	}
}

// BenchmarkApply measures applying each kind of record.
func BenchmarkApply(b *testing.B) {
	st := state.New()
	ref := record.HostRef{Host: "h", Incarnation: "i"}
	mustApply(b, st, record.Record{Join: &record.SessionOpen{HostRef: ref}})
	renew, _ := record.Encode(record.Record{ID: record.NewID(), Renew: &record.SessionRenew{HostRef: ref}})
	document := contractDocument(5, 45)
	b.Run("renew", func(b *testing.B) {
		for range b.N {
			if _, _, err := st.Apply(st.Applied()+1, renew); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("claims=50", func(b *testing.B) {
		var batches [][]byte
		for range b.N {
			d := record.KeyBatch{Holder: ref}
			for range 50 {
				d.Claims = append(d.Claims, record.KeyClaim{Key: record.Key{Customer: "c", Value: uuid.Must(uuid.NewV7()).String()}})
			}
			data, _ := record.Encode(record.Record{ID: record.NewID(), KeyBatch: &d})
			batches = append(batches, data)
		}
		b.ResetTimer()
		for _, data := range batches {
			if _, _, err := st.Apply(st.Applied()+1, data); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("contract=50", func(b *testing.B) {
		e, _ := st.Contracts.Get("c")
		for i := range b.N {
			r := record.Record{ID: record.NewID(), Contract: &record.Contract{Customer: "c", Base: e.Version + uint64(i), Document: document}}
			data, _ := record.Encode(r)
			if _, _, err := st.Apply(st.Applied()+1, data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkMemory reports the heap size of the state, by the number of contract
// entries and idempotency keys.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ models, adapters, keys int }{{31, 1100, 0}, {310, 11000, 0}, {310, 11000, 100_000}} {
		b.Run(fmt.Sprintf("models=%d/adapters=%d/keys=%d", size.models, size.adapters, size.keys), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				st := state.New()
				publishContracts(b, st, size.models, size.adapters)
				addKeys(b, st, size.keys)
				b.ReportMetric(float64(heapBytes()-before)/(1<<20), "heap-MiB")
				runtime.KeepAlive(st)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
