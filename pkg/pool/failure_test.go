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

// pausedOwner returns a world in which host 0 has decided to load model a and
// was paused before its order arrived, and host 1 has taken the pool, loaded
// and unloaded the replica again, and now has new requests for the model.
func pausedOwner(t *testing.T, fencing bool) *world {
	w := newWorld(t, fencing, fencing)
	w.publish(limits{"a": {1, 40}, "b": {1, 40}})
	h0, h1 := w.hosts[0], w.hosts[1]
	w.fold(h0, len(w.log))
	w.claim(h0)
	w.work(h0, wantA, false)
	w.fold(h1, len(w.log))
	w.claim(h1)
	w.work(h1, idle, true)
	w.work(h1, idle, true)
	w.fold(h0, len(w.log))
	w.step(h0)
	w.landAll(h0)
	w.work(h1, wantA, true)
	return w
}

// An engine without fencing loads one replica too many. The owner is paused
// between decision and order; its successor unloads the replica, gives its
// place to another one, and then the first owner's order arrives.
func TestPausedOwnerWithoutFencing(t *testing.T) {
	is := is.New(t)
	w := pausedOwner(t, false)
	w.deliverFrom(w.hosts[0])
	is.True(w.loadedCount("a") <= 1)

	// Once the first owner has seen that it lost the pool, and its order has
	// ended, the held capacity is given back and the model is served again.
	w.step(w.hosts[0])
	w.landAll(w.hosts[0])
	w.work(w.hosts[1], idle, true)
	w.work(w.hosts[1], wantA, true)
	is.Equal(w.loadedCount("a"), 1)
}

// The same with an engine that checks fencing tokens: the successor does not
// wait for the paused owner, whose late order is refused.
func TestPausedOwnerWithFencing(t *testing.T) {
	is := is.New(t)
	w := pausedOwner(t, true)
	is.Equal(w.loadedCount("a"), 1)
	w.deliverFrom(w.hosts[0])
	is.Equal(w.loadedCount("a"), 1)
}

// A pool is handed over while a load order is under way. If the next owner
// took the pool to be free of orders, it would give the replica's place away,
// and the order would load one replica too many.
func TestHandoverWaitsForOrders(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, false)
	w.publish(limits{"a": {1, 40}, "b": {1, 40}})
	h0, h1 := w.hosts[0], w.hosts[1]
	w.fold(h0, len(w.log))
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
	w.fold(h1, len(w.log))
	is.Equal(len(h1.st.Pools.Get(testPool).Former), 0)
}

// A contract makes a model larger, or lowers its replicas, while the plan that
// places it is on its way to the log. The fold voids what no longer fits; the
// engine would run out of memory, or the limit be exceeded.
func TestPlanAgainstChangedContract(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, true)
	h := w.hosts[0]
	w.fold(h, len(w.log))
	w.claim(h)
	w.work(h, wantB, true)
	is.Equal(w.loadedCount("b"), 1)

	w.demand(h, map[string]int{"a": 40, "b": 1})
	w.step(h)
	w.publish(limits{"a": {2, 70}, "b": {1, 40}})
	w.landAll(h)
	w.work(h, map[string]int{"b": 1}, true)
	is.Equal(w.loadedCount("a"), 0)

	w.publish(limits{"a": {2, 20}, "b": {1, 40}})
	w.fold(h, len(w.log))
	w.demand(h, map[string]int{"a": 40, "b": 1})
	w.step(h)
	w.publish(limits{"a": {1, 20}, "b": {1, 40}})
	w.landAll(h)
	is.Equal(count(h, "a"), 1)
	w.work(h, map[string]int{"a": 1, "b": 1}, true)
	is.Equal(w.loadedCount("a"), 1)
}

func count(h *host, model string) int {
	p := h.st.Pools.Get(testPool)
	return p.Count(customer, model)
}

// A contract is lowered between the decision and the load order. The owner
// looks at the contract again before it sends, and retires the excess.
func TestLoweredBeforeOrder(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, true, true)
	h := w.hosts[0]
	w.fold(h, len(w.log))
	w.claim(h)
	for range 4 {
		w.fold(h, len(w.log))
		h.ctrl.Observe(w.observation())
		w.demand(h, map[string]int{"a": 40})
		if count(h, "a") == 2 {
			break
		}
		w.step(h)
		w.landAll(h)
	}
	is.Equal(count(h, "a"), 2)
	w.publish(limits{"a": {1, 40}, "b": {1, 40}})
	w.work(h, map[string]int{"a": 1}, true)
	is.Equal(w.loads, 1)
	is.Equal(count(h, "a"), 1)
}

// An endpoint drops out of the list for a moment, the owner decides that it
// is lost, and dies before its plan is in the log. The plan arrives in the
// next owner's time. If it took effect, the replica that is still loaded would
// be counted as gone and loaded a second time.
func TestDelayedPlanOfFormerOwner(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, true, true)
	w.publish(limits{"a": {1, 40}, "b": {1, 40}})
	h0, h1 := w.hosts[0], w.hosts[1]
	w.fold(h0, len(w.log))
	w.claim(h0)
	w.work(h0, wantA, true)
	is.Equal(w.loadedCount("a"), 1)
	old := h0.st.Pools.Get(testPool)
	w.kill(0, true)
	w.fold(h1, len(w.log))
	w.claim(h1)
	w.fold(h1, len(w.log))

	var lost []record.Decision
	for _, e := range old.Endpoints {
		lost = append(lost, record.Decision{Lost: &record.EndpointLost{Endpoint: e.Endpoint, Incarnation: e.Incarnation}})
	}
	w.land(record.Record{Plan: &record.Plan{Pool: testPool, Epoch: old.Epoch, Decisions: lost}})
	w.fold(h1, len(w.log))
	for _, r := range h1.st.Pools.Get(testPool).Replicas {
		is.Equal(r.Phase, state.Loaded)
	}
	w.work(h1, wantA, true)
	is.Equal(w.loadedCount("a"), 1)
}

// A load fails for good on one endpoint: it is tried a bounded number of
// times there and then placed anew, not repeated for ever.
func TestFailingLoadMovesOn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, true)
	h := w.hosts[0]
	w.fold(h, len(w.log))
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

// A model is used every 20 s and was kept loaded for 1 s by the contract's
// keep-alive. With weights in the contract the owner learns the gaps and keeps
// it, or loads it ahead, so that the next request finds it loaded.
func TestKeepAliveIsLearned(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, true)
	h := w.hosts[0]
	w.weights = "weights: {idle_hour: 1, cold_start_second: 1}\n"
	w.publish(limits{"a": {1, 40}, "b": {1, 40}})
	w.fold(h, len(w.log))
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
