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

// failer is the common part of *testing.T and *rapid.T.
type failer interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// world simulates hosts, a log and endpoints. Messages wait until they are delivered. Its
// checks use only the log and what the endpoints hold.
type world struct {
	t         failer
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
	name        string
	fencing     bool
	incarnation record.Incarnation
	token       record.Offset
	loaded      map[record.ReplicaID]pool.Order
}

// limits are the contract's limits by model.
type limits map[string]modelLimits

type modelLimits struct {
	max int
	mb  int64
}

func newWorld(t failer, fencing ...bool) *world {
	w := &world{t: t, now: time.Unix(1_700_000_000, 0)}
	for i, f := range fencing {
		w.endpoints = append(w.endpoints, &endpoint{
			name:        fmt.Sprintf("e%d", i),
			fencing:     f,
			incarnation: record.Incarnation(w.nextID("i")),
			loaded:      map[record.ReplicaID]pool.Order{},
		})
	}
	w.stale = w.observation()
	w.publish(limits{"a": {2, 40}, "b": {1, 40}})
	for range 3 {
		w.hosts = append(w.hosts, nil)
		w.startHost(len(w.hosts) - 1)
	}
	return w
}

func (w *world) nextID(prefix string) string {
	w.ids++
	return fmt.Sprintf("%s%04d", prefix, w.ids)
}

// startHost starts a new incarnation of host i.
func (w *world) startHost(i int) {
	ref := record.HostRef{Host: fmt.Sprintf("h%d", i), Incarnation: record.Incarnation(w.nextID("i"))}
	h := &host{ref: ref, st: state.New()}
	h.ctrl = pool.NewController(pool.Config{
		Pool:            testPool,
		Self:            ref,
		StoreConcurrent: 4,
		StorePerSecond:  1000,
		NewReplicaID:    func() record.ReplicaID { return record.ReplicaID(w.nextID("r")) },
	})
	w.hosts[i] = h
	w.commit(record.Record{Join: &record.SessionOpen{HostRef: ref}})
}

func (w *world) encode(r record.Record) []byte {
	r.ID = record.ID(w.nextID("rec"))
	data, err := record.Encode(r)
	if err != nil {
		w.t.Fatal(err)
	}
	return data
}

func (w *world) commit(r record.Record) { w.log = append(w.log, w.encode(r)) }

func (w *world) publish(l limits) {
	doc := "customer: c\ncredentials: [{sha256: " + fmt.Sprintf("%064d", 0) + "}]\n" + w.weights + "models:\n"
	for _, m := range []string{"a", "b"} {
		doc += fmt.Sprintf("- {name: %s, pool: p, max_replicas: %d, weights_mb: %d, keep_alive: 1s}\n", m, l[m].max, l[m].mb)
	}
	w.commit(record.Record{Contract: &record.Contract{Customer: customer, Base: w.version, Document: []byte(doc)}})
	w.version++
}

// step runs a host's decisions and queues the resulting messages.
func (w *world) step(h *host) {
	for _, e := range h.ctrl.Step(w.now, h.st) {
		if e.Order != nil {
			w.orders = append(w.orders, &orderMsg{from: h, Order: *e.Order})
			continue
		}
		r := record.Record{Plan: e.Plan, Quiesced: e.Quiesced, Handover: e.Handover}
		w.appends = append(w.appends, &appendMsg{from: h, data: w.encode(r)})
	}
}

// commitAll commits all pending appends of a host and completes its plan.
func (w *world) commitAll(h *host) {
	for _, a := range w.appends {
		if a.from == h && !a.committed {
			w.log = append(w.log, a.data)
			a.committed = true
		}
	}
	w.applyRecords(h, len(w.log))
	h.ctrl.PlanDone()
	// Keep some committed records, which may be committed again as delayed copies.
	w.appends = w.appends[max(0, len(w.appends)-10):]
}

func (w *world) applyRecords(h *host, n int) {
	for ; n > 0; n-- {
		next := int(h.st.Applied())
		if next >= len(w.log) {
			return
		}
		if _, _, err := h.st.Apply(record.Offset(next+1), w.log[next]); err != nil {
			w.t.Fatal(err)
		}
	}
}

// claim claims the pool without checking the lease.
func (w *world) claim(h *host) {
	_, epoch := h.st.Pools.Owner(testPool)
	w.commit(record.Record{Claim: &record.PoolClaim{Pool: testPool, PrevEpoch: epoch, Owner: h.ref}})
}

// kill ends a host and starts its next incarnation. Orders that no endpoint has read are
// lost with its connections. Endpoints that check tokens may still read them.
func (w *world) kill(i int, recordedAsGone bool) {
	h := w.hosts[i]
	w.orders = slices.DeleteFunc(w.orders, func(o *orderMsg) bool {
		return o.from == h && !w.endpoint(o.Endpoint).fencing
	})
	for _, o := range w.orders {
		o.abandoned = o.abandoned || o.from == h
	}
	if recordedAsGone {
		w.commit(record.Record{Gone: &record.SessionClose{HostRef: h.ref}})
	}
	w.startHost(i)
}

func (w *world) endpoint(name string) *endpoint {
	i := slices.IndexFunc(w.endpoints, func(e *endpoint) bool { return e.name == name })
	return w.endpoints[i]
}

// restart empties an endpoint and resets its fencing token.
func (w *world) restart(e *endpoint) {
	w.stale = w.observation()
	e.incarnation = record.Incarnation(w.nextID("i"))
	e.token = 0
	clear(e.loaded)
}

func (w *world) observation() []pool.Observation {
	var list []pool.Observation
	for _, e := range w.endpoints {
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

// demand reports waiting requests for all models to a host.
func (w *world) demand(h *host, waiting map[string]int) {
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
	h.ctrl.Report(w.now, "x", list)
}

// work runs a host for several rounds: it observes, decides and appends. Its orders arrive
// if deliver is set.
func (w *world) work(h *host, waiting map[string]int, deliver bool) {
	for range 8 {
		w.now = w.now.Add(200 * time.Millisecond)
		w.applyRecords(h, len(w.log))
		h.ctrl.Observe(w.observation())
		w.demand(h, waiting)
		w.step(h)
		w.commitAll(h)
		if deliver {
			w.deliverFrom(h)
		}
	}
}

func (w *world) deliverFrom(h *host) {
	for _, o := range slices.Clone(w.orders) {
		if o.from == h && !o.abandoned {
			w.deliver(o, false)
		}
	}
}

// deliver executes an order and reports its result, or OrderUnknown if the response is
// lost.
func (w *world) deliver(o *orderMsg, responseLost bool) {
	w.orders = slices.DeleteFunc(w.orders, func(x *orderMsg) bool { return x == o })
	result := w.execute(o.Order)
	if o.abandoned {
		return
	}
	if responseLost {
		result = pool.OrderUnknown
	}
	o.from.ctrl.OrderDone(w.now, o.Order, result)
}

// abandon ends the connection of an order before its response. An endpoint that checks
// tokens may still read the order later.
func (w *world) abandon(o *orderMsg) {
	o.abandoned = true
	o.from.ctrl.OrderDone(w.now, o.Order, pool.OrderUnknown)
	if !w.endpoint(o.Endpoint).fencing {
		w.orders = slices.DeleteFunc(w.orders, func(x *orderMsg) bool { return x == o })
	}
}

func (w *world) execute(o pool.Order) pool.OrderResult {
	e := w.endpoint(o.Endpoint)
	if e.incarnation != o.Incarnation {
		return pool.OrderRejected
	}
	if e.fencing && o.Fence < e.token {
		return pool.OrderRejected
	}
	e.token = max(e.token, o.Fence)
	switch o.Kind {
	case pool.OrderUnload:
		delete(e.loaded, o.Replica)
	case pool.OrderLoad:
		e.loaded[o.Replica] = o
		w.loads++
		w.checkLoad(e, o)
	}
	return pool.OrderOK
}

// checkLoad checks the memory and replica limits after a load.
func (w *world) checkLoad(e *endpoint, o pool.Order) {
	w.t.Helper()
	memory := int64(0)
	for _, l := range e.loaded {
		memory += l.MemoryMB
	}
	if memory > capacityMB {
		w.t.Fatalf("endpoint %s holds %d MB, capacity %d MB", e.name, memory, capacityMB)
	}
	count := w.loadedCount(o.Model)
	if limit := w.limitSince(o); count > limit {
		w.t.Fatalf("%d replicas of %s loaded, contract allows %d", count, o.Model, limit)
	}
}

func (w *world) loadedCount(model string) int {
	count := 0
	for _, e := range w.endpoints {
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
func (w *world) limitSince(o pool.Order) int {
	limit, decided := 0, false
	for _, data := range w.log {
		r, err := record.Decode(data)
		if err != nil {
			w.t.Fatal(err)
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
