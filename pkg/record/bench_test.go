package record_test

import (
	"testing"

	"github.com/google/uuid"
	"github.com/tealvane/tealvane/pkg/record"
)

// BenchmarkSize reports the encoded size of the most frequent records.
func BenchmarkSize(b *testing.B) {
	ref := record.HostRef{Host: "entry-host-123", Incarnation: record.Incarnation(uuid.NewString())}
	key := record.Key{Customer: "customer-12", Value: uuid.Must(uuid.NewV7()).String()}
	replica := record.ReplicaID(record.NewID())
	for name, r := range map[string]record.Record{
		"renew":   {Renew: &record.SessionRenew{HostRef: ref}},
		"claim":   {KeyBatch: &record.KeyBatch{Holder: ref, Claims: []record.KeyClaim{{Key: key, Digest: 1 << 60}}}},
		"outcome": {KeyBatch: &record.KeyBatch{Holder: ref, Outcomes: []record.KeyOutcome{{Key: key, Status: 200, Body: make([]byte, 100)}}}},
		"place": {Plan: &record.Plan{Pool: "pool-12", Epoch: 1 << 30, Seq: 1000, Decisions: []record.Decision{
			{Place: &record.Place{Replica: replica, Customer: "customer-12", Model: "model-1234", Endpoint: "endpoint-1234"}},
		}}},
		"ready": {Plan: &record.Plan{Pool: "pool-12", Epoch: 1 << 30, Seq: 1000, Decisions: []record.Decision{
			{Ready: &record.Ready{Replica: replica}},
		}}},
	} {
		b.Run(name, func(b *testing.B) {
			r.ID = record.NewID()
			size := 0
			for range b.N {
				data, err := record.Encode(r)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
