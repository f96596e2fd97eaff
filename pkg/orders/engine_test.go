package orders_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
)

// loadTime is the duration of a load from the endpoint's disk.
const loadTime = 500 * time.Millisecond

// adapterSlots is the number of adapters that an endpoint can hold, and adapterMB the memory that each takes.
const (
	adapterSlots = 2
	adapterMB    = 1
)

// engine is a simulated endpoint.
type engine struct {
	mu       sync.Mutex
	capacity float64
	weights  map[string]float64
	holds    map[string]map[string]bool
	loading  string
	sequence int64
	fence    int64
	// history holds past states, since reports lag by reportLag.
	history []pastReport
	faults  []string
	// nextLoss returns what happens to the next order.
	nextLoss func() loss
	// delay is how long after it was sent a delayed order is executed.
	delay time.Duration
	// drain is how long an unload waits for running requests. The endpoint is draining until
	// drainedAt, and reportTimes holds when it was asked for its state.
	drain       time.Duration
	drainedAt   time.Time
	reportTimes []time.Time
	// restarts counts the restarts.
	restarts int64
	// restarted is the time of the last restart.
	restarted time.Time
	// silent makes reports fail, down makes connections fail and limited makes orders fail
	// with ErrRateLimited.
	silent  bool
	down    bool
	limited bool
	orders  int
	// received holds the orders that hosts sent, including lost ones.
	received []orders.Order
	// statesStart makes reports fail for a former incarnation, as on platforms that state the start time.
	statesStart bool
	// unfenced makes the endpoint execute orders of former holders.
	unfenced bool
	transit  adapterTransit
}

type pastReport struct {
	at     time.Time
	report fleet.Report
}

type loss int

const (
	noLoss loss = iota
	lostOrder
	lostResponse
	delayedOrder
)

func newEngine(capacity float64, weights map[string]float64, holds ...string) *engine {
	e := &engine{capacity: capacity, weights: weights, holds: map[string]map[string]bool{}, nextLoss: func() loss { return noLoss }, delay: 3 * time.Second}
	for _, h := range holds {
		e.holds[h] = map[string]bool{}
	}
	e.record()
	return e
}

// record appends the current state to the history and checks the memory in use. mu must be
// held unless the engine is new.
func (e *engine) record() {
	r := fleet.Report{Busy: e.loading != "", Sequence: e.sequence}
	sum, slots := 0.0, 0
	for m, adapters := range e.holds {
		h := fleet.LoadedModel{Model: m}
		for a := range adapters {
			h.Adapters = append(h.Adapters, a)
		}
		r.Loaded = append(r.Loaded, h)
		sum += e.weights[m] + e.transit.sizeMB(m)*float64(len(adapters))
		slots += len(adapters)
	}
	for _, a := range e.transit.adapters {
		r.Loading = append(r.Loading, a.model+"/"+a.name+"@1")
		sum += e.transit.sizeMB(a.model)
		slots++
	}
	if slots > adapterSlots {
		e.faults = append(e.faults, fmt.Sprintf("%d adapters of %d", slots, adapterSlots))
	}
	sum += e.weights[e.loading]
	if sum > e.capacity {
		e.faults = append(e.faults, fmt.Sprintf("%v MB of %v", sum, e.capacity))
	}
	e.history = append(e.history, pastReport{time.Now(), r})
}

const reportLag = 200 * time.Millisecond

func (e *engine) Report(_ context.Context, to fleet.Endpoint) (fleet.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportTimes = append(e.reportTimes, time.Now())
	if e.silent {
		return fleet.Report{}, errors.New("no response")
	}
	if e.down {
		return fleet.Report{}, orders.ErrUnreachable
	}
	if e.statesStart && to.ID != e.idLocked() {
		return fleet.Report{}, orders.ErrRestarted
	}
	r := e.history[0].report
	for _, p := range e.history {
		if time.Since(p.at) >= reportLag {
			r = p.report
		}
	}
	return r, nil
}

func (e *engine) Order(ctx context.Context, _ fleet.Endpoint, o orders.Order) (orders.Result, error) {
	e.mu.Lock()
	e.orders++
	e.received = append(e.received, o)
	l, down, limited := e.nextLoss(), e.down, e.limited
	delay := e.delay
	e.mu.Unlock()
	if limited {
		return 0, orders.ErrRateLimited
	}
	if down {
		return 0, orders.ErrUnreachable
	}
	switch l {
	case lostOrder:
		<-ctx.Done()
		return 0, errors.Join(orders.ErrNoResponse, ctx.Err())
	case lostResponse:
		e.execute(o)
		<-ctx.Done()
		return 0, errors.Join(orders.ErrNoResponse, ctx.Err())
	case delayedOrder:
		time.AfterFunc(delay, func() { e.execute(o) })
		<-ctx.Done()
		return 0, errors.Join(orders.ErrNoResponse, ctx.Err())
	}
	return e.execute(o), nil
}

func (e *engine) execute(o orders.Order) orders.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Token < e.fence && !e.unfenced {
		return orders.Fenced
	}
	e.fence = o.Token
	if e.loading != "" || e.transit.unloading || time.Now().Before(e.drainedAt) || o.Expected != e.sequence {
		return orders.Conflict
	}
	if o.Adapter != "" {
		return e.executeAdapterOrder(o)
	}
	if _, held := e.holds[o.Model]; held == o.Load {
		return orders.Done
	}
	e.sequence++
	switch {
	case !o.Load:
		delete(e.holds, o.Model)
		e.transit.unloadModel(o.Model)
		e.drainedAt = time.Now().Add(e.drain)
	default:
		e.loading = o.Model
		restarts := e.restarts
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.restarts != restarts {
				return
			}
			e.loading = ""
			e.holds[o.Model] = map[string]bool{}
			e.record()
		})
	}
	e.record()
	return orders.Accepted
}

// restart empties the endpoint and resets its sequence, as a restart under the same name
// does.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restarts++
	e.restarted = time.Now()
	e.holds = map[string]map[string]bool{}
	e.loading = ""
	e.sequence = 0
	e.fence = 0
	e.drainedAt = time.Time{}
	e.transit.adapters, e.transit.unloading = nil, false
	e.history = nil
	e.record()
}

// loadingModel returns the model that is being loaded, or "".
func (e *engine) loadingModel() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loading
}

// firstReportAfter returns when the endpoint was first asked for its state after a time, or the zero
// time.
func (e *engine) firstReportAfter(at time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.reportTimes {
		if r.After(at) {
			return r
		}
	}
	return time.Time{}
}

// receivedOrders returns the orders for a model that hosts sent.
func (e *engine) receivedOrders(model string) []orders.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(e.received), func(o orders.Order) bool { return o.Model != model || o.Adapter != "" })
}

// orderCount returns the number of orders that were sent.
func (e *engine) orderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

// id identifies the current incarnation.
func (e *engine) id() fleet.EndpointID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.idLocked()
}

func (e *engine) idLocked() fleet.EndpointID { return fleet.NewEndpointID("e", e.restarts+1) }

func (e *engine) restartedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.restarted
}

func (e *engine) held() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []string
	for m := range e.holds {
		list = append(list, m)
	}
	slices.Sort(list)
	return list
}

func (e *engine) adapters(model string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.holds[model])
}

// set changes what nextLoss and other fields depend on.
func (e *engine) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// anyHeld returns one of the models that the endpoint holds, or "x" if it holds none.
func (e *engine) anyHeld(i int) string {
	if held := e.held(); len(held) > 0 {
		return held[i%len(held)]
	}
	return "x"
}
