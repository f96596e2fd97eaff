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
	demandA  = map[string]int{"a": 5}
	demandB  = map[string]int{"b": 5}
	noDemand = map[string]int{}
)

// pausedOwner returns a simulation in which host 0 has decided to load model a and is paused
// before its order arrives. Host 1 has claimed the pool, loaded and unloaded the replica, and
// then received new requests for the model.
func pausedOwner(t *testing.T, fencing bool) *simulation {
	sim := newSimulation(t, fencing, fencing)
	sim.publishContract(limits{"a": {1, 40}, "b": {1, 40}})
	h0, h1 := sim.hosts[0], sim.hosts[1]
	sim.applyRecords(h0, len(sim.log))
	sim.claim(h0)
	sim.runRounds(h0, demandA, false)
	sim.applyRecords(h1, len(sim.log))
	sim.claim(h1)
	sim.runRounds(h1, noDemand, true)
	sim.runRounds(h1, noDemand, true)
	sim.applyRecords(h0, len(sim.log))
	sim.step(h0)
	sim.commitAll(h0)
	sim.runRounds(h1, demandA, true)
	return sim
}

// Guards against a delayed load order of a paused former owner that adds a replica beyond
// the limit, on an endpoint without fencing.
func TestPausedOwnerWithoutFencing(t *testing.T) {
	is := is.New(t)
	sim := pausedOwner(t, false)
	sim.deliverFrom(sim.hosts[0])
	is.True(sim.loadedCount("a") <= 1)

	// Once the first owner has seen that it lost the pool and its order has ended, the
	// reserved memory is released and the model is loaded.
	sim.step(sim.hosts[0])
	sim.commitAll(sim.hosts[0])
	sim.runRounds(sim.hosts[1], noDemand, true)
	sim.runRounds(sim.hosts[1], demandA, true)
	is.Equal(sim.loadedCount("a"), 1)
}

// Guards against waiting for a paused former owner if the endpoint checks fencing tokens
// and rejects its delayed order.
func TestPausedOwnerWithFencing(t *testing.T) {
	is := is.New(t)
	sim := pausedOwner(t, true)
	is.Equal(sim.loadedCount("a"), 1)
	sim.deliverFrom(sim.hosts[0])
	is.Equal(sim.loadedCount("a"), 1)
}

// Guards against handing a pool over while a load order is in progress. The next owner
// would place another replica.
func TestHandoverWaitsForOrders(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, false)
	sim.publishContract(limits{"a": {1, 40}, "b": {1, 40}})
	h0, h1 := sim.hosts[0], sim.hosts[1]
	sim.applyRecords(h0, len(sim.log))
	sim.claim(h0)
	sim.runRounds(h0, demandA, false)
	h0.ctrl.HandOver(h1.ref)
	sim.runRounds(h0, demandA, false)
	owner, _ := h0.st.Pools.Owner(testPool)
	is.Equal(owner, h0.ref)

	sim.deliverFrom(h0)
	sim.runRounds(h0, demandA, false)
	owner, _ = h0.st.Pools.Owner(testPool)
	is.Equal(owner, h1.ref)
	sim.applyRecords(h1, len(sim.log))
	is.Equal(len(h1.st.Pools.Get(testPool).Former), 0)
}

// Guards against a plan that exceeds memory or limits because the contract changed before
// it was applied.
func TestPlanAgainstChangedContract(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, true)
	h := sim.hosts[0]
	sim.applyRecords(h, len(sim.log))
	sim.claim(h)
	sim.runRounds(h, demandB, true)
	is.Equal(sim.loadedCount("b"), 1)

	sim.reportDemand(h, map[string]int{"a": 40, "b": 1})
	sim.step(h)
	sim.publishContract(limits{"a": {2, 70}, "b": {1, 40}})
	sim.commitAll(h)
	sim.runRounds(h, map[string]int{"b": 1}, true)
	is.Equal(sim.loadedCount("a"), 0)

	sim.publishContract(limits{"a": {2, 20}, "b": {1, 40}})
	sim.applyRecords(h, len(sim.log))
	sim.reportDemand(h, map[string]int{"a": 40, "b": 1})
	sim.step(h)
	sim.publishContract(limits{"a": {1, 20}, "b": {1, 40}})
	sim.commitAll(h)
	is.Equal(replicaCount(h, "a"), 1)
	sim.runRounds(h, map[string]int{"a": 1, "b": 1}, true)
	is.Equal(sim.loadedCount("a"), 1)
}

func replicaCount(h *host, model string) int {
	p := h.st.Pools.Get(testPool)
	return p.Count(customer, model)
}

// Guards against sending a load order after the contract was lowered. The excess replica
// must be retired.
func TestContractLoweredBeforeOrder(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, true, true)
	h := sim.hosts[0]
	sim.applyRecords(h, len(sim.log))
	sim.claim(h)
	for range 4 {
		sim.applyRecords(h, len(sim.log))
		h.ctrl.Observe(sim.observation())
		sim.reportDemand(h, map[string]int{"a": 40})
		if replicaCount(h, "a") == 2 {
			break
		}
		sim.step(h)
		sim.commitAll(h)
	}
	is.Equal(replicaCount(h, "a"), 2)
	sim.publishContract(limits{"a": {1, 40}, "b": {1, 40}})
	sim.runRounds(h, map[string]int{"a": 1}, true)
	is.Equal(sim.loads, 1)
	is.Equal(replicaCount(h, "a"), 1)
}

// Guards against applying a plan of a former owner that declares an endpoint lost: its
// replicas would be loaded a second time.
func TestDelayedPlanOfFormerOwner(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, true, true)
	sim.publishContract(limits{"a": {1, 40}, "b": {1, 40}})
	h0, h1 := sim.hosts[0], sim.hosts[1]
	sim.applyRecords(h0, len(sim.log))
	sim.claim(h0)
	sim.runRounds(h0, demandA, true)
	is.Equal(sim.loadedCount("a"), 1)
	old := h0.st.Pools.Get(testPool)
	sim.kill(0, true)
	sim.applyRecords(h1, len(sim.log))
	sim.claim(h1)
	sim.applyRecords(h1, len(sim.log))

	var lost []record.Decision
	for _, e := range old.Endpoints {
		lost = append(lost, record.Decision{Lost: &record.EndpointRemoved{Endpoint: e.Endpoint, Incarnation: e.Incarnation}})
	}
	sim.commit(record.Record{Plan: &record.Plan{Pool: testPool, Epoch: old.Epoch, Decisions: lost}})
	sim.applyRecords(h1, len(sim.log))
	for _, r := range h1.st.Pools.Get(testPool).Replicas {
		is.Equal(r.Phase, state.Loaded)
	}
	sim.runRounds(h1, demandA, true)
	is.Equal(sim.loadedCount("a"), 1)
}

// Guards against retrying a failing load forever. After a few attempts a new replica must
// be placed.
func TestFailingLoadIsReplaced(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, true)
	h := sim.hosts[0]
	sim.applyRecords(h, len(sim.log))
	sim.claim(h)
	attempts := map[record.ReplicaID]int{}
	for range 10 {
		sim.runRounds(h, demandA, false)
		for _, o := range slices.Clone(sim.orders) {
			if o.Kind == pool.OrderUnload {
				sim.deliver(o, false)
				continue
			}
			attempts[o.Replica]++
			sim.abandon(o)
		}
		sim.orders = nil
	}
	is.True(len(attempts) > 1)
	for _, n := range attempts {
		is.True(n <= 3)
	}
}

// Guards against unloading a model between regular uses because of the contract's short
// keep-alive. With cost weights in the contract, the learned gaps keep it loaded or load it in
// advance.
func TestKeepAliveIsLearned(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, true)
	h := sim.hosts[0]
	sim.weights = "weights: {idle_hour: 1, cold_start_second: 1}\n"
	sim.publishContract(limits{"a": {1, 40}, "b": {1, 40}})
	sim.applyRecords(h, len(sim.log))
	sim.claim(h)
	loadsBefore := 0
	for i := range 20 {
		loadsBefore = sim.loads
		sim.runRounds(h, demandA, true)
		for range 10 {
			sim.runRounds(h, noDemand, true)
		}
		if i > 10 {
			is.Equal(sim.loads, loadsBefore)
		}
	}
}
