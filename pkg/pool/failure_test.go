package pool_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

var (
	wantA = map[string]int{"a": 5}
	wantB = map[string]int{"b": 5}
	idle  = map[string]int{}
)

// pausedOwner returns a world in which host 0 has decided to load model a and is paused
// before its order arrives. Host 1 has taken the pool, loaded and unloaded the replica, and
// then has new requests for the model.
func pausedOwner(t *testing.T, fencing bool) *world {
	w := newWorld(t, fencing, fencing)
	w.publish(limits{"a": {1, 40}, "b": {1, 40}})
	h0, h1 := w.hosts[0], w.hosts[1]
	w.applyRecords(h0, len(w.log))
	w.claim(h0)
	w.work(h0, wantA, false)
	w.applyRecords(h1, len(w.log))
	w.claim(h1)
	w.work(h1, idle, true)
	w.work(h1, idle, true)
	w.applyRecords(h0, len(w.log))
	w.step(h0)
	w.commitAll(h0)
	w.work(h1, wantA, true)
	return w
}

// Guards against a delayed load order of a paused former owner that adds a replica beyond
// the limit, on an endpoint without fencing.
func TestPausedOwnerWithoutFencing(t *testing.T) {
	is := is.New(t)
	w := pausedOwner(t, false)
	w.deliverFrom(w.hosts[0])
	is.True(w.loadedCount("a") <= 1)

	// Once the first owner has seen that it lost the pool and its order has ended, the
	// reserved memory is released and the model is loaded.
	w.step(w.hosts[0])
	w.commitAll(w.hosts[0])
	w.work(w.hosts[1], idle, true)
	w.work(w.hosts[1], wantA, true)
	is.Equal(w.loadedCount("a"), 1)
}

// Guards against waiting for a paused former owner if the endpoint checks fencing tokens
// and rejects its delayed order.
func TestPausedOwnerWithFencing(t *testing.T) {
	is := is.New(t)
	w := pausedOwner(t, true)
	is.Equal(w.loadedCount("a"), 1)
	w.deliverFrom(w.hosts[0])
	is.Equal(w.loadedCount("a"), 1)
}

// Guards against handing a pool over while a load order is in progress. The next owner
// would place another replica.
func TestHandoverWaitsForOrders(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, false)
	w.publish(limits{"a": {1, 40}, "b": {1, 40}})
	h0, h1 := w.hosts[0], w.hosts[1]
	w.applyRecords(h0, len(w.log))
	w.claim(h0)
	w.work(h0, wantA, false)
	h0.ctrl.HandOver(h1.ref)
	w.work(h0, wantA, false)
	owner, _ := h0.st.Pools.Owner(testPool)
	is.Equal(owner, h0.ref)

	w.deliverFrom(h0)
	w.work(h0, wantA, false)
	owner, _ = h0.st.Pools.Owner(testPool)
	is.Equal(owner, h1.ref)
	w.applyRecords(h1, len(w.log))
	is.Equal(len(h1.st.Pools.Get(testPool).Former), 0)
}

// Guards against a plan that exceeds memory or limits because the contract changed before
// it was applied.
func TestPlanAgainstChangedContract(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, true)
	h := w.hosts[0]
	w.applyRecords(h, len(w.log))
	w.claim(h)
	w.work(h, wantB, true)
	is.Equal(w.loadedCount("b"), 1)

	w.demand(h, map[string]int{"a": 40, "b": 1})
	w.step(h)
	w.publish(limits{"a": {2, 70}, "b": {1, 40}})
	w.commitAll(h)
	w.work(h, map[string]int{"b": 1}, true)
	is.Equal(w.loadedCount("a"), 0)

	w.publish(limits{"a": {2, 20}, "b": {1, 40}})
	w.applyRecords(h, len(w.log))
	w.demand(h, map[string]int{"a": 40, "b": 1})
	w.step(h)
	w.publish(limits{"a": {1, 20}, "b": {1, 40}})
	w.commitAll(h)
	is.Equal(count(h, "a"), 1)
	w.work(h, map[string]int{"a": 1, "b": 1}, true)
	is.Equal(w.loadedCount("a"), 1)
}

func count(h *host, model string) int {
	p := h.st.Pools.Get(testPool)
	return p.Count(customer, model)
}

// Guards against sending a load order after the contract was lowered. The excess replica
// must be retired.
func TestContractLoweredBeforeOrder(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, true, true)
	h := w.hosts[0]
	w.applyRecords(h, len(w.log))
	w.claim(h)
	for range 4 {
		w.applyRecords(h, len(w.log))
		h.ctrl.Observe(w.observation())
		w.demand(h, map[string]int{"a": 40})
		if count(h, "a") == 2 {
			break
		}
		w.step(h)
		w.commitAll(h)
	}
	is.Equal(count(h, "a"), 2)
	w.publish(limits{"a": {1, 40}, "b": {1, 40}})
	w.work(h, map[string]int{"a": 1}, true)
	is.Equal(w.loads, 1)
	is.Equal(count(h, "a"), 1)
}

// Guards against applying a plan of a former owner that declares an endpoint lost: its
// replicas would be loaded a second time.
func TestDelayedPlanOfFormerOwner(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, true, true)
	w.publish(limits{"a": {1, 40}, "b": {1, 40}})
	h0, h1 := w.hosts[0], w.hosts[1]
	w.applyRecords(h0, len(w.log))
	w.claim(h0)
	w.work(h0, wantA, true)
	is.Equal(w.loadedCount("a"), 1)
	old := h0.st.Pools.Get(testPool)
	w.kill(0, true)
	w.applyRecords(h1, len(w.log))
	w.claim(h1)
	w.applyRecords(h1, len(w.log))

	var lost []record.Decision
	for _, e := range old.Endpoints {
		lost = append(lost, record.Decision{Lost: &record.EndpointRemoved{Endpoint: e.Endpoint, Incarnation: e.Incarnation}})
	}
	w.commit(record.Record{Plan: &record.Plan{Pool: testPool, Epoch: old.Epoch, Decisions: lost}})
	w.applyRecords(h1, len(w.log))
	for _, r := range h1.st.Pools.Get(testPool).Replicas {
		is.Equal(r.Phase, state.Loaded)
	}
	w.work(h1, wantA, true)
	is.Equal(w.loadedCount("a"), 1)
}

// Guards against retrying a failing load forever. After a few attempts a new replica must
// be placed.
func TestFailingLoadIsReplaced(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, true)
	h := w.hosts[0]
	w.applyRecords(h, len(w.log))
	w.claim(h)
	attempts := map[record.ReplicaID]int{}
	for range 10 {
		w.work(h, wantA, false)
		for _, o := range slices.Clone(w.orders) {
			if o.Kind == pool.OrderUnload {
				w.deliver(o, false)
				continue
			}
			attempts[o.Replica]++
			w.abandon(o)
		}
		w.orders = nil
	}
	is.True(len(attempts) > 1)
	for _, n := range attempts {
		is.True(n <= 3)
	}
}

// Guards against unloading a model between regular uses because of the contract's short
// keep-alive. With weights in the contract, the learned gaps keep it loaded or load it in
// advance.
func TestKeepAliveIsLearned(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, true)
	h := w.hosts[0]
	w.weights = "weights: {idle_hour: 1, cold_start_second: 1}\n"
	w.publish(limits{"a": {1, 40}, "b": {1, 40}})
	w.applyRecords(h, len(w.log))
	w.claim(h)
	loadsBefore := 0
	for i := range 20 {
		loadsBefore = w.loads
		w.work(h, wantA, true)
		for range 10 {
			w.work(h, idle, true)
		}
		if i > 10 {
			is.Equal(w.loads, loadsBefore)
		}
	}
}
