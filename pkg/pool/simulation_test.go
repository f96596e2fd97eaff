package pool_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

const (
	testPool   = "p"
	customer   = "c"
	capacityMB = 100
)

// testingT is the common part of *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// simulation runs controllers on simulated hosts, a log and endpoints. Messages wait until they
// are delivered. Its checks use only the log and the replicas that the endpoints have loaded.
type simulation struct {
	t         testingT
	now       time.Time
	log       [][]byte
	hosts     []*host
	endpoints []*endpoint
	appends   []*appendMsg
	orders    []*orderMsg
	ids       int
	loads     int
	version   uint64
	// weights is added to every contract document.
	weights string
	// stale is an earlier observation of all endpoints.
	stale []pool.Observation
}

type host struct {
	ref  record.HostRef
	st   *state.State
	ctrl *pool.Controller
}

type appendMsg struct {
	from      *host
	data      []byte
	committed bool
}

type orderMsg struct {
	from *host
	pool.Order
	// abandoned is set if the order was reported as unknown. It may still arrive.
	abandoned bool
}

type endpoint struct {
	name         string
	fencing      bool
	incarnation  record.Incarnation
	highestFence record.Offset
	loaded       map[record.ReplicaID]pool.Order
}

// limits are the contract's limits by model.
type limits map[string]modelLimits

type modelLimits struct {
	max int
	mb  int64
}

func newSimulation(t testingT, fencing ...bool) *simulation {
	sim := &simulation{t: t, now: time.Unix(1_700_000_000, 0)}
	for i, f := range fencing {
		sim.endpoints = append(sim.endpoints, &endpoint{
			name:        fmt.Sprintf("e%d", i),
			fencing:     f,
			incarnation: record.Incarnation(sim.nextID("i")),
			loaded:      map[record.ReplicaID]pool.Order{},
		})
	}
	sim.stale = sim.observation()
	sim.publishContract(limits{"a": {2, 40}, "b": {1, 40}})
	for range 3 {
		sim.hosts = append(sim.hosts, nil)
		sim.startHost(len(sim.hosts) - 1)
	}
	return sim
}

func (sim *simulation) nextID(prefix string) string {
	sim.ids++
	return fmt.Sprintf("%s%04d", prefix, sim.ids)
}

// startHost starts a new incarnation of host i.
func (sim *simulation) startHost(i int) {
	ref := record.HostRef{Host: fmt.Sprintf("h%d", i), Incarnation: record.Incarnation(sim.nextID("i"))}
	h := &host{ref: ref, st: state.New()}
	h.ctrl = pool.NewController(pool.Config{
		Pool:            testPool,
		Self:            ref,
		StoreConcurrent: 4,
		StorePerSecond:  1000,
		NewReplicaID:    func() record.ReplicaID { return record.ReplicaID(sim.nextID("r")) },
	})
	sim.hosts[i] = h
	sim.commit(record.Record{Join: &record.SessionOpen{HostRef: ref}})
}

func (sim *simulation) encode(r record.Record) []byte {
	r.ID = record.ID(sim.nextID("rec"))
	data, err := record.Encode(r)
	if err != nil {
		sim.t.Fatal(err)
	}
	return data
}

func (sim *simulation) commit(r record.Record) { sim.log = append(sim.log, sim.encode(r)) }

func (sim *simulation) publishContract(l limits) {
	doc := "customer: c\ncredentials: [{sha256: " + fmt.Sprintf("%064d", 0) + "}]\n" + sim.weights + "models:\n"
	for _, m := range []string{"a", "b"} {
		doc += fmt.Sprintf("- {name: %s, pool: p, max_replicas: %d, weights_mb: %d, keep_alive: 1s}\n", m, l[m].max, l[m].mb)
	}
	sim.commit(record.Record{Contract: &record.Contract{Customer: customer, Base: sim.version, Document: []byte(doc)}})
	sim.version++
}

// step runs a host's decisions and queues the resulting messages.
func (sim *simulation) step(h *host) {
	for _, e := range h.ctrl.Step(sim.now, h.st) {
		if e.Order != nil {
			sim.orders = append(sim.orders, &orderMsg{from: h, Order: *e.Order})
			continue
		}
		r := record.Record{Plan: e.Plan, Quiesced: e.Quiesced, Handover: e.Handover}
		sim.appends = append(sim.appends, &appendMsg{from: h, data: sim.encode(r)})
	}
}

// commitAll commits all pending appends of a host and completes its plan.
func (sim *simulation) commitAll(h *host) {
	for _, a := range sim.appends {
		if a.from == h && !a.committed {
			sim.log = append(sim.log, a.data)
			a.committed = true
		}
	}
	sim.applyRecords(h, len(sim.log))
	h.ctrl.PlanDone()
	// Keep some committed records, which may be committed again as delayed copies.
	sim.appends = sim.appends[max(0, len(sim.appends)-10):]
}

func (sim *simulation) applyRecords(h *host, n int) {
	for ; n > 0; n-- {
		next := int(h.st.Applied())
		if next >= len(sim.log) {
			return
		}
		if _, _, err := h.st.Apply(record.Offset(next+1), sim.log[next]); err != nil {
			sim.t.Fatal(err)
		}
	}
}

// claim claims the pool without checking the lease.
func (sim *simulation) claim(h *host) {
	_, epoch := h.st.Pools.Owner(testPool)
	sim.commit(record.Record{Claim: &record.PoolClaim{Pool: testPool, PrevEpoch: epoch, Owner: h.ref}})
}

// kill ends a host and starts its next incarnation. Its orders in transit are lost with its
// connections, but endpoints that check fencing tokens may still receive them.
func (sim *simulation) kill(i int, closeSession bool) {
	h := sim.hosts[i]
	sim.orders = slices.DeleteFunc(sim.orders, func(o *orderMsg) bool {
		return o.from == h && !sim.endpoint(o.Endpoint).fencing
	})
	for _, o := range sim.orders {
		o.abandoned = o.abandoned || o.from == h
	}
	if closeSession {
		sim.commit(record.Record{Gone: &record.SessionClose{HostRef: h.ref}})
	}
	sim.startHost(i)
}

func (sim *simulation) endpoint(name string) *endpoint {
	i := slices.IndexFunc(sim.endpoints, func(e *endpoint) bool { return e.name == name })
	return sim.endpoints[i]
}

// restart empties an endpoint and resets its fencing token.
func (sim *simulation) restart(e *endpoint) {
	sim.stale = sim.observation()
	e.incarnation = record.Incarnation(sim.nextID("i"))
	e.highestFence = 0
	clear(e.loaded)
}

func (sim *simulation) observation() []pool.Observation {
	var list []pool.Observation
	for _, e := range sim.endpoints {
		var loaded []record.ReplicaID
		for id := range e.loaded {
			loaded = append(loaded, id)
		}
		slices.Sort(loaded)
		list = append(list, pool.Observation{
			EndpointRegistered: record.EndpointRegistered{
				Endpoint:      e.name,
				Incarnation:   e.incarnation,
				MemoryMB:      capacityMB,
				ChecksFencing: e.fencing,
			},
			Reachable: true,
			Loaded:    loaded,
		})
	}
	return list
}

// reportDemand reports waiting requests for all models to a host.
func (sim *simulation) reportDemand(h *host, waiting map[string]int) {
	var list []pool.Usage
	for _, model := range []string{"a", "b"} {
		list = append(list, pool.Usage{
			Customer:  customer,
			Model:     model,
			Waiting:   waiting[model],
			Remaining: time.Second,
			Idle:      24 * time.Hour,
		})
	}
	h.ctrl.Report(sim.now, "x", list)
}

// runRounds runs a host for several rounds: it observes, decides and appends. Its orders
// arrive if deliver is set.
func (sim *simulation) runRounds(h *host, waiting map[string]int, deliver bool) {
	for range 8 {
		sim.now = sim.now.Add(200 * time.Millisecond)
		sim.applyRecords(h, len(sim.log))
		h.ctrl.Observe(sim.observation())
		sim.reportDemand(h, waiting)
		sim.step(h)
		sim.commitAll(h)
		if deliver {
			sim.deliverFrom(h)
		}
	}
}

func (sim *simulation) deliverFrom(h *host) {
	for _, o := range slices.Clone(sim.orders) {
		if o.from == h && !o.abandoned {
			sim.deliver(o, false)
		}
	}
}

// deliver executes an order and reports its result, or OrderUnknown if the response is
// lost.
func (sim *simulation) deliver(o *orderMsg, responseLost bool) {
	sim.orders = slices.DeleteFunc(sim.orders, func(x *orderMsg) bool { return x == o })
	result := sim.execute(o.Order)
	if o.abandoned {
		return
	}
	if responseLost {
		result = pool.OrderUnknown
	}
	o.from.ctrl.OrderDone(sim.now, o.Order, result)
}

// abandon ends the connection of an order before its response. An endpoint that checks
// fencing tokens may still receive the order later.
func (sim *simulation) abandon(o *orderMsg) {
	o.abandoned = true
	o.from.ctrl.OrderDone(sim.now, o.Order, pool.OrderUnknown)
	if !sim.endpoint(o.Endpoint).fencing {
		sim.orders = slices.DeleteFunc(sim.orders, func(x *orderMsg) bool { return x == o })
	}
}

func (sim *simulation) execute(o pool.Order) pool.OrderResult {
	e := sim.endpoint(o.Endpoint)
	if e.incarnation != o.Incarnation {
		return pool.OrderRejected
	}
	if e.fencing && o.Fence < e.highestFence {
		return pool.OrderRejected
	}
	e.highestFence = max(e.highestFence, o.Fence)
	switch o.Kind {
	case pool.OrderUnload:
		delete(e.loaded, o.Replica)
	case pool.OrderLoad:
		e.loaded[o.Replica] = o
		sim.loads++
		sim.checkLoad(e, o)
	}
	return pool.OrderOK
}

// checkLoad checks the memory and replica limits after a load.
func (sim *simulation) checkLoad(e *endpoint, o pool.Order) {
	sim.t.Helper()
	memory := int64(0)
	for _, l := range e.loaded {
		memory += l.MemoryMB
	}
	if memory > capacityMB {
		sim.t.Fatalf("endpoint %s holds %d MB, capacity %d MB", e.name, memory, capacityMB)
	}
	count := sim.loadedCount(o.Model)
	if limit := sim.limitSince(o); count > limit {
		sim.t.Fatalf("%d replicas of %s loaded, contract allows %d", count, o.Model, limit)
	}
}

func (sim *simulation) loadedCount(model string) int {
	count := 0
	for _, e := range sim.endpoints {
		for _, l := range e.loaded {
			if l.Model == model {
				count++
			}
		}
	}
	return count
}

// limitSince returns the highest replica limit since the replica was placed. A load that
// was decided before the contract was lowered may end after it.
func (sim *simulation) limitSince(o pool.Order) int {
	limit, decided := 0, false
	for _, data := range sim.log {
		r, err := record.Decode(data)
		if err != nil {
			sim.t.Fatal(err)
		}
		if r.Contract != nil {
			c, _ := contract.Parse("", r.Contract.Document)
			m, _ := c.Model(o.Model)
			if !decided {
				limit = 0
			}
			limit = max(limit, m.MaxReplicas)
		}
		if r.Plan != nil {
			decided = decided || slices.ContainsFunc(r.Plan.Decisions, func(d record.Decision) bool {
				return d.Place != nil && d.Place.Replica == o.Replica
			})
		}
	}
	return limit
}
