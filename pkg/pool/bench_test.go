package pool_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

// ownedPool returns the owner's controller and replicated state for a pool in which every
// model has one loaded replica.
func ownedPool(b *testing.B, endpoints, models int) (*pool.Controller, *state.State) {
	b.Helper()
	st := state.New()
	apply := func(r record.Record) {
		data, err := record.Encode(r)
		if err != nil {
			b.Fatal(err)
		}
		if out, _, err := st.Apply(st.Applied()+1, data); err != nil || out.Rejected != nil {
			b.Fatal(err, out.Rejected)
		}
	}
	var doc strings.Builder
	fmt.Fprintf(&doc, "customer: c\ncredentials: [{sha256: %064d}]\nmodels:\n", 0)
	for i := range models {
		fmt.Fprintf(&doc, "- {name: m%d, pool: p, weights_mb: 8000, min_replicas: 1}\n", i)
	}
	self := record.HostRef{Host: "h", Incarnation: "1"}
	apply(record.Record{Contract: &record.Contract{Customer: "c", Document: []byte(doc.String())}})
	apply(record.Record{Join: &record.SessionOpen{HostRef: self}})
	apply(record.Record{Claim: &record.PoolClaim{Pool: "p", Owner: self}})
	epoch := st.Applied()
	var list []pool.Observation
	var decisions []record.Decision
	for i := range endpoints {
		registered := record.EndpointRegistered{Endpoint: fmt.Sprint("e", i), Incarnation: "i", MemoryMB: 80000}
		list = append(list, pool.Observation{EndpointRegistered: registered, Reachable: true})
		decisions = append(decisions, record.Decision{Endpoint: &registered})
	}
	for i := range models {
		id := record.ReplicaID(fmt.Sprint("r", i))
		decisions = append(decisions,
			record.Decision{Place: &record.Place{Replica: id, Customer: "c", Model: fmt.Sprint("m", i), Endpoint: fmt.Sprint("e", i%endpoints)}},
			record.Decision{Ready: &record.Ready{Replica: id}})
		list[i%endpoints].Loaded = append(list[i%endpoints].Loaded, id)
	}
	apply(record.Record{Plan: &record.Plan{Pool: "p", Epoch: epoch, Decisions: decisions}})
	c := pool.NewController(pool.Config{Pool: "p", Self: self, StoreConcurrent: 4, StorePerSecond: 8})
	c.Step(time.Unix(0, 0), st)
	c.Observe(list)
	return c, st
}

// BenchmarkStep measures one decision of an owner for different pool sizes.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ endpoints, models int }{{10, 10}, {25, 100}, {100, 100}, {100, 400}} {
		b.Run(fmt.Sprintf("endpoints=%d/models=%d", size.endpoints, size.models), func(b *testing.B) {
			c, st := ownedPool(b, size.endpoints, size.models)
			now := time.Unix(1, 0)
			var usage []pool.Usage
			for i := range size.models / 3 {
				usage = append(usage, pool.Usage{Customer: "c", Model: fmt.Sprint("m", i), Inflight: 1})
			}
			b.ReportAllocs()
			for range b.N {
				c.Report(now, "h2", usage)
				if effects := c.Step(now, st); len(effects) > 0 {
					b.Fatal(len(effects))
				}
			}
		})
	}
}

// BenchmarkUsageReport measures the size of a host's usage report per model.
func BenchmarkUsageReport(b *testing.B) {
	list := make([]pool.Usage, 100)
	for i := range list {
		list[i] = pool.Usage{Customer: "customer-1", Model: fmt.Sprint("model-name-", i), Waiting: 2, Inflight: 3, Remaining: time.Second, Idle: time.Minute}
	}
	size := 0
	for range b.N {
		data, err := record.Marshal(list)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size)/float64(len(list)), "bytes/model")
}
