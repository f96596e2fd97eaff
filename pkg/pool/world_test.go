package pool_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
	"pgregory.net/rapid"
)

const (
	testPool   = "p"
	customer   = "c"
	capacityMB = 100
	modelMB    = 40
)

// world is a set of hosts, a log and endpoints whose messages are delivered
// in any order. Its checks look only at the log's bytes and at what the
// endpoints really hold.
type world struct {
	t         *rapid.T
	now       time.Time
	log       [][]byte
	hosts     []*host
	endpoints []*endpoint
	appends   []*appendMsg
	orders    []*orderMsg
	ids       int
	loads     int
}

type host struct {
	ref  record.HostRef
	st   *state.State
	ctrl *pool.Controller
}

type appendMsg struct {
	from   *host
	data   []byte
	isPlan bool
	landed bool
}

type orderMsg struct {
	from *host
	pool.Order
	// abandoned orders were reported as unknown and may still arrive.
	abandoned bool
}

type endpoint struct {
	name        string
	fencing     bool
	incarnation record.Incarnation
	token       record.Offset
	loaded      map[record.ReplicaID]pool.Order
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1_700_000_000, 0)}
	for i := range 3 {
		w.endpoints = append(w.endpoints, &endpoint{
			name:        fmt.Sprintf("e%d", i),
			fencing:     i%2 == 0,
			incarnation: record.Incarnation(w.nextID("i")),
			loaded:      map[record.ReplicaID]pool.Order{},
		})
	}
	w.publish(map[string]int{"a": 2, "b": 1})
	for range 3 {
		w.hosts = append(w.hosts, nil)
		w.boot(len(w.hosts) - 1)
	}
	return w
}

func (w *world) nextID(prefix string) string {
	w.ids++
	return fmt.Sprintf("%s%04d", prefix, w.ids)
}

// boot starts a new run of host i; a former run is gone with its connections.
func (w *world) boot(i int) {
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
	w.land(record.Record{Join: &record.HostJoin{HostRef: ref}})
}

func (w *world) land(r record.Record) {
	r.ID = record.ID(w.nextID("rec"))
	data, err := record.Encode(r)
	if err != nil {
		w.t.Fatal(err)
	}
	w.log = append(w.log, data)
}

func contractYAML(limits map[string]int) []byte {
	doc := "customer: c\ncredentials: [{sha256: " + fmt.Sprintf("%064d", 0) + "}]\nmodels:\n"
	for _, m := range []string{"a", "b"} {
		doc += fmt.Sprintf("- {name: %s, pool: p, max_replicas: %d, weights_mb: %d, keep_alive: 1s}\n", m, limits[m], modelMB)
	}
	return []byte(doc)
}

func (w *world) publish(limits map[string]int) {
	version := uint64(0)
	for _, data := range w.log {
		if r, err := record.Decode(data); err == nil && r.Contract != nil {
			version++
		}
	}
	w.land(record.Record{Contract: &record.Contract{Customer: customer, Base: version, Document: contractYAML(limits)}})
}

func pick[T any](w *world, list []T, label string) T {
	if len(list) == 0 {
		w.t.Skip("nothing to pick")
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(w.t, label)]
}

func (w *world) step() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(w.t, "ms")) * time.Millisecond)
	h := pick(w, w.hosts, "host")
	for _, e := range h.ctrl.Step(w.now, h.st) {
		w.carryOut(h, e)
	}
}

func (w *world) carryOut(h *host, e pool.Effect) {
	r := record.Record{ID: record.ID(w.nextID("rec")), Plan: e.Plan, Quiesced: e.Quiesced, Handover: e.Handover}
	if e.Order != nil {
		w.orders = append(w.orders, &orderMsg{from: h, Order: *e.Order})
		return
	}
	data, err := record.Encode(r)
	if err != nil {
		w.t.Fatal(err)
	}
	w.appends = append(w.appends, &appendMsg{from: h, data: data, isPlan: e.Plan != nil})
}

// landAppend lands any append under way, perhaps for the second time.
func (w *world) landAppend() {
	a := pick(w, w.appends, "append")
	w.log = append(w.log, a.data)
	a.landed = true
	if rapid.Bool().Draw(w.t, "again later") {
		return
	}
	w.appends = slices.DeleteFunc(w.appends, func(b *appendMsg) bool { return a == b })
}

// settlePlan ends the wait for a plan: settled, or given up when its answer
// was lost while its record may still land.
func (w *world) settlePlan() {
	pick(w, w.hosts, "host").ctrl.PlanDone()
}

func (w *world) fold() {
	h := pick(w, w.hosts, "host")
	n := rapid.IntRange(1, 20).Draw(w.t, "records")
	for range n {
		next := int(h.st.Applied())
		if next >= len(w.log) {
			return
		}
		if _, _, err := h.st.Apply(record.Offset(next+1), w.log[next]); err != nil {
			w.t.Fatal(err)
		}
	}
}

// claim takes the pool at any time: no lease is looked at.
func (w *world) claim() {
	h := pick(w, w.hosts, "host")
	_, epoch := h.st.Pools.Owner(testPool)
	w.land(record.Record{Claim: &record.PoolClaim{Pool: testPool, PrevEpoch: epoch, Owner: h.ref}})
}

func (w *world) handOver() {
	pick(w, w.hosts, "from").ctrl.HandOver(pick(w, w.hosts, "to").ref)
}

// kill ends a host. Its requests that no endpoint has read are lost with its
// connections; an endpoint that checks tokens may still read them.
func (w *world) kill() {
	i := rapid.IntRange(0, len(w.hosts)-1).Draw(w.t, "host")
	h := w.hosts[i]
	w.orders = slices.DeleteFunc(w.orders, func(o *orderMsg) bool {
		return o.from == h && !w.endpoint(o.Endpoint).fencing
	})
	for _, o := range w.orders {
		o.abandoned = o.abandoned || o.from == h
	}
	if rapid.Bool().Draw(w.t, "listed as gone") {
		w.land(record.Record{Gone: &record.HostGone{HostRef: h.ref}})
	}
	w.boot(i)
}

func (w *world) endpoint(name string) *endpoint {
	i := slices.IndexFunc(w.endpoints, func(e *endpoint) bool { return e.name == name })
	return w.endpoints[i]
}

// restart empties an endpoint; it also forgets its fencing token.
func (w *world) restart() {
	e := pick(w, w.endpoints, "endpoint")
	e.incarnation = record.Incarnation(w.nextID("i"))
	e.token = 0
	clear(e.loaded)
}

func (w *world) observe() { w.observeFor(pick(w, w.hosts, "host")) }

func (w *world) observeFor(h *host) {
	var list []pool.Observation
	for _, e := range w.endpoints {
		var loaded []record.ReplicaID
		for id := range e.loaded {
			loaded = append(loaded, id)
		}
		slices.Sort(loaded)
		list = append(list, pool.Observation{
			EndpointSeen: record.EndpointSeen{
				Endpoint:      e.name,
				Incarnation:   e.incarnation,
				MemoryMB:      capacityMB,
				ChecksFencing: e.fencing,
			},
			Reachable: true,
			Loaded:    loaded,
		})
	}
	h.ctrl.Observe(list)
}

func (w *world) demand(h *host) {
	var list []pool.Usage
	for _, model := range []string{"a", "b"} {
		waiting := rapid.SampledFrom([]int{0, 5, 20, 40}).Draw(w.t, "waiting "+model)
		list = append(list, pool.Usage{Customer: customer, Model: model, Waiting: waiting, Remaining: time.Second, Idle: time.Hour})
	}
	h.ctrl.Report(w.now, "x", list)
}

// round lets one host work for a while without a failure, so that schedules
// get far enough for failures to matter.
func (w *world) round() {
	h := pick(w, w.hosts, "host")
	w.foldAll(h)
	owner, epoch := h.st.Pools.Owner(testPool)
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.ref == owner })
	switch {
	case i >= 0 && rapid.IntRange(0, 4).Draw(w.t, "same owner") > 0:
		h = w.hosts[i]
		w.foldAll(h)
	case owner != h.ref:
		w.land(record.Record{Claim: &record.PoolClaim{Pool: testPool, PrevEpoch: epoch, Owner: h.ref}})
		w.foldAll(h)
	}
	w.observeFor(h)
	w.demand(h)
	for range 8 {
		for _, e := range h.ctrl.Step(w.now, h.st) {
			w.carryOut(h, e)
		}
		for _, a := range w.appends {
			if a.from == h && !a.landed {
				w.log = append(w.log, a.data)
				a.landed = true
			}
		}
		w.foldAll(h)
		h.ctrl.PlanDone()
		w.now = w.now.Add(200 * time.Millisecond)
		if rapid.Bool().Draw(w.t, "orders arrive") {
			w.deliverFrom(h)
		}
	}
	// Keep a few landed records as delayed copies.
	w.appends = w.appends[max(0, len(w.appends)-10):]
}

func (w *world) deliverFrom(h *host) {
	for _, o := range slices.Clone(w.orders) {
		if o.from == h && !o.abandoned {
			w.deliverOne(o)
		}
	}
}

func (w *world) foldAll(h *host) {
	for next := int(h.st.Applied()); next < len(w.log); next++ {
		if _, _, err := h.st.Apply(record.Offset(next+1), w.log[next]); err != nil {
			w.t.Fatal(err)
		}
	}
}

// rarely skips most calls of an action that sets everything back.
func (w *world) rarely(action func()) {
	if rapid.IntRange(0, 3).Draw(w.t, "rarely") > 0 {
		w.t.Skip("not this time")
	}
	action()
}

func (w *world) lowerOrRaise() {
	w.publish(map[string]int{
		"a": rapid.IntRange(1, 3).Draw(w.t, "max a"),
		"b": rapid.IntRange(1, 3).Draw(w.t, "max b"),
	})
}

// deliver lets an order arrive, and reports its result unless it gets lost.
func (w *world) deliver() {
	w.deliverOne(pick(w, w.orders, "order"))
}

func (w *world) deliverOne(o *orderMsg) {
	w.orders = slices.DeleteFunc(w.orders, func(x *orderMsg) bool { return x == o })
	result := w.execute(o.Order)
	if o.abandoned {
		return
	}
	if rapid.IntRange(0, 9).Draw(w.t, "answer lost") == 0 {
		result = pool.OrderUnknown
	}
	o.from.ctrl.OrderDone(w.now, o.Order, result)
}

// abandon breaks the connection of an order before its answer. An endpoint
// that checks tokens may read the order later all the same.
func (w *world) abandon() {
	o := pick(w, w.orders, "order")
	if o.abandoned {
		w.t.Skip("abandoned before")
	}
	o.abandoned = true
	o.from.ctrl.OrderDone(w.now, o.Order, pool.OrderUnknown)
	if !w.endpoint(o.Endpoint).fencing {
		w.orders = slices.DeleteFunc(w.orders, func(x *orderMsg) bool { return x == o })
	}
}

func (w *world) execute(o pool.Order) pool.OrderResult {
	e := w.endpoint(o.Endpoint)
	if e.incarnation != o.Incarnation {
		return pool.OrderRefused
	}
	if e.fencing && o.Fence < e.token {
		return pool.OrderRefused
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

// checkLoad verifies the promises at the moment in which they can break.
func (w *world) checkLoad(e *endpoint, o pool.Order) {
	memory := int64(0)
	for _, l := range e.loaded {
		memory += l.MemoryMB
	}
	if memory > capacityMB {
		w.t.Fatalf("endpoint %s holds %d MB of %d", e.name, memory, capacityMB)
	}
	count := 0
	for _, e := range w.endpoints {
		for _, l := range e.loaded {
			if l.Model == o.Model {
				count++
			}
		}
	}
	if limit := w.limitSince(o); count > limit {
		w.t.Fatalf("%d replicas of %s are loaded, the contract allows %d", count, o.Model, limit)
	}
}

// limitSince is the largest limit in force since the replica was decided:
// lowering a contract drains, so a load that was decided before may end after.
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
