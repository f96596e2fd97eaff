// Package pool contains the controller of a pool's owner. It turns demand into plans for
// the log and orders for endpoints.
//
// A Controller does no I/O. The host passes messages to it, executes the effects that Step
// returns and reports their results. Every host has a controller for every pool.
// The controller of a host that does not own the pool only reports when the host's orders of
// former epochs have ended.
package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/keepalive"
	"github.com/tealvane/tealvane/pkg/placement"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
	"golang.org/x/time/rate"
)

const (
	// usageTTL is how long a host's last usage report counts. It exceeds several reporting
	// periods, so that a lost report does not hide waiting requests.
	usageTTL = 3 * time.Second
	// retryDelay is the delay before a failed order is sent again.
	retryDelay = 500 * time.Millisecond
	// maxLoadAttempts is the number of load attempts after which a replica is retired, so
	// that a new one is placed.
	maxLoadAttempts = 3
	// recordRetryInterval is the interval between attempts to append a record that may be
	// lost.
	recordRetryInterval = time.Second
	// maxDecisions is the maximum number of decisions in a plan.
	maxDecisions = 256
)

// Config is the configuration of a controller.
type Config struct {
	Pool string
	Self record.HostRef
	// StoreConcurrent and StorePerSecond limit this pool's loads from the weight store.
	StoreConcurrent int
	StorePerSecond  float64
	// NewReplicaID returns a unique ID.
	NewReplicaID func() record.ReplicaID
}

// Controller makes the decisions for a pool while this host owns it according to the
// replicated state. It is not safe for concurrent use.
type Controller struct {
	cfg             Config
	observed        map[string]Observation
	hasObservations bool
	usage           map[usageKey]usageEntry
	lastUsed        map[modelKey]time.Time
	gaps            map[modelKey]*keepalive.Gaps
	plans           map[modelKey]keepalive.Plan
	orders          map[orderKey]*orderState
	store           *rate.Limiter
	epoch           record.Offset
	planPending     bool
	unloaded        map[record.ReplicaID]bool
	loaded          map[record.ReplicaID]bool
	successor       *record.HostRef
	// nextRecordAt is the earliest time at which Quiesced or Handover is appended again.
	nextRecordAt time.Time
}

type modelKey struct{ customer, model string }

type usageKey struct {
	host string
	modelKey
}

type usageEntry struct {
	Usage
	at time.Time
}

// orderKey identifies a replica on an endpoint. At most one order per key is in progress.
type orderKey struct {
	endpoint string
	replica  record.ReplicaID
}

type orderState struct {
	epoch    record.Offset
	pending  bool
	attempts int
	retryAt  time.Time
}

// NewController returns a controller for a pool.
func NewController(cfg Config) *Controller {
	c := &Controller{
		cfg:      cfg,
		observed: map[string]Observation{},
		usage:    map[usageKey]usageEntry{},
		lastUsed: map[modelKey]time.Time{},
		gaps:     map[modelKey]*keepalive.Gaps{},
		plans:    map[modelKey]keepalive.Plan{},
		orders:   map[orderKey]*orderState{},
		store:    rate.NewLimiter(rate.Limit(cfg.StorePerSecond), max(1, cfg.StoreConcurrent)),
	}
	c.reset()
	return c
}

// Observe replaces the observations of the pool's endpoints.
func (c *Controller) Observe(list []Observation) {
	c.hasObservations = true
	c.observed = make(map[string]Observation, len(list))
	for _, o := range list {
		c.observed[o.Endpoint] = o
	}
}

// Report records a host's usage of the pool's models.
func (c *Controller) Report(now time.Time, host string, list []Usage) {
	for _, u := range list {
		key := modelKey{u.Customer, u.Model}
		c.usage[usageKey{host, key}] = usageEntry{Usage: u, at: now}
		used := now.Add(-u.Idle)
		if u.Inflight > 0 || u.Waiting > 0 {
			used = now
		}
		if used.After(c.lastUsed[key]) {
			c.recordGap(key, used)
			c.lastUsed[key] = used
		}
	}
}

// minGap is the shortest gap that is recorded. Shorter gaps lie between two reports of the
// same use.
const minGap = time.Second

// recordGap records the time between two uses of a model.
func (c *Controller) recordGap(key modelKey, used time.Time) {
	last, known := c.lastUsed[key]
	gap := used.Sub(last)
	if !known || gap < minGap {
		return
	}
	if c.gaps[key] == nil {
		c.gaps[key] = &keepalive.Gaps{}
	}
	c.gaps[key].Observe(gap)
	delete(c.plans, key)
}

// keepAlivePlan returns how long an idle model stays loaded and when it is preloaded. The
// keep-alive of the contract applies if no gaps are recorded or the contract has no cost
// weights.
func (c *Controller) keepAlivePlan(key modelKey, m state.PoolModel) keepalive.Plan {
	gaps := c.gaps[key]
	if gaps == nil || m.Weights == (contract.CostWeights{}) {
		return keepalive.Plan{Keep: m.KeepAlive}
	}
	plan, known := c.plans[key]
	if !known {
		cost := keepalive.Cost{
			IdleHour:        m.Weights.IdleHour,
			ColdStartSecond: m.Weights.ColdStartSecond,
			Load:            m.LoadEstimate,
		}
		plan = gaps.Choose(cost, m.KeepAlive)
		c.plans[key] = plan
	}
	return plan
}

// HandOver stops new decisions and transfers the pool to another host once no order is in
// progress.
func (c *Controller) HandOver(to record.HostRef) { c.successor = &to }

// Busy reports whether an order or a plan is in progress.
func (c *Controller) Busy() bool { return c.planPending || c.pendingOrders("") > 0 }

// PlanDone reports that the last plan was applied or abandoned. Abandoning is safe, because at
// most one of several plans with the same sequence number is applied.
func (c *Controller) PlanDone() { c.planPending = false }

// OrderDone reports the result of an order.
func (c *Controller) OrderDone(now time.Time, o Order, result OrderResult) {
	key := orderKey{o.Endpoint, o.Replica}
	s := c.orders[key]
	if s == nil {
		return
	}
	s.pending = false
	if o.Epoch != c.epoch {
		delete(c.orders, key)
		return
	}
	if result != OrderOK {
		s.attempts++
		s.retryAt = now.Add(retryDelay)
		return
	}
	delete(c.orders, key)
	switch o.Kind {
	case OrderLoad:
		c.loaded[o.Replica] = true
	case OrderUnload:
		c.unloaded[o.Replica] = true
	}
}

// Step returns the effects to execute now, based on this host's replicated state.
func (c *Controller) Step(now time.Time, st *state.State) []Effect {
	p := st.Pools.Get(c.cfg.Pool)
	if p.Epoch != c.epoch {
		c.reset()
		c.epoch = p.Epoch
	}
	quiesced := c.quiesce(now, p)
	if p.Owner != c.cfg.Self {
		return quiesced
	}
	if c.successor != nil {
		return append(quiesced, c.transfer(now, p)...)
	}
	if !c.hasObservations {
		return quiesced
	}
	c.prune(now, p)
	s := &step{c: c, now: now, pool: p, models: map[modelKey]state.PoolModel{}}
	for _, m := range st.Contracts.Models(c.cfg.Pool) {
		s.models[modelKey{m.Customer, m.Name}] = m
		s.modelList = append(s.modelList, m)
	}
	return append(quiesced, s.run()...)
}

// prune drops expired usage reports and the order state of replicas that no longer exist.
func (c *Controller) prune(now time.Time, p state.Pool) {
	maps.DeleteFunc(c.usage, func(_ usageKey, u usageEntry) bool { return now.Sub(u.at) > usageTTL })
	maps.DeleteFunc(c.orders, func(key orderKey, s *orderState) bool {
		_, known := p.Replicas[key.replica]
		return !known && !s.pending && now.After(s.retryAt)
	})
}

// reset drops the state of the former epoch. Pending orders are kept, because they may
// still take effect. Observations are dropped, because they may not include replicas that a
// former owner loaded.
func (c *Controller) reset() {
	c.unloaded = map[record.ReplicaID]bool{}
	c.loaded = map[record.ReplicaID]bool{}
	c.hasObservations = false
	c.nextRecordAt = time.Time{}
	maps.DeleteFunc(c.orders, func(_ orderKey, s *orderState) bool { return !s.pending })
}

// quiesce records that this host sends no more orders of former epochs, once the last of
// them has ended. Until then the memory of retired replicas on endpoints without fencing
// stays reserved.
func (c *Controller) quiesce(now time.Time, p state.Pool) []Effect {
	former := slices.ContainsFunc(p.Former, func(f state.FormerOwner) bool { return f.Owner == c.cfg.Self })
	if !former || c.pendingBefore(p.Epoch) || now.Before(c.nextRecordAt) {
		return nil
	}
	c.nextRecordAt = now.Add(recordRetryInterval)
	return []Effect{{Quiesced: &record.Quiesced{Pool: p.Name, Epoch: p.Epoch, Owner: c.cfg.Self}}}
}

func (c *Controller) pendingBefore(epoch record.Offset) bool {
	for _, s := range c.orders {
		if s.pending && s.epoch < epoch {
			return true
		}
	}
	return false
}

// transfer hands the pool over to the successor. It waits until no order is in progress,
// because the replicated state assumes that no order of the former owner is in progress after
// a handover.
func (c *Controller) transfer(now time.Time, p state.Pool) []Effect {
	if c.Busy() || now.Before(c.nextRecordAt) || *c.successor == c.cfg.Self {
		return nil
	}
	c.nextRecordAt = now.Add(recordRetryInterval)
	return []Effect{{Handover: &record.Handover{Pool: p.Name, Epoch: p.Epoch, To: *c.successor}}}
}

func (c *Controller) pendingOrders(endpoint string) int {
	n := 0
	for key, s := range c.orders {
		if s.pending && (endpoint == "" || key.endpoint == endpoint) {
			n++
		}
	}
	return n
}

// demand sums the usage reports of all hosts by model.
func (c *Controller) demand() map[modelKey]placement.Model {
	sums := map[modelKey]placement.Model{}
	for key, u := range c.usage {
		sum := sums[key.modelKey]
		sum.Waiting += u.Waiting
		sum.Inflight += u.Inflight
		deadline := u.at.Add(u.Remaining)
		if u.Waiting > 0 && (sum.Deadline.IsZero() || deadline.Before(sum.Deadline)) {
			sum.Deadline = deadline
		}
		sums[key.modelKey] = sum
	}
	return sums
}

// placementModel combines a model's limits with its demand.
func (c *Controller) placementModel(now time.Time, m state.PoolModel, demand placement.Model) placement.Model {
	key := modelKey{m.Customer, m.Name}
	if _, known := c.lastUsed[key]; !known {
		// A new owner does not know when the model was last used. The model counts as just
		// used, so that a change of owner does not unload its replicas.
		c.lastUsed[key] = now
	}
	demand.Customer = m.Customer
	demand.Name = m.Name
	demand.MemoryMB = m.MemoryMB()
	demand.Min = m.MinReplicas
	demand.Max = m.MaxReplicas
	demand.Concurrency = m.Concurrency
	demand.LastUsed = c.lastUsed[key]
	plan := c.keepAlivePlan(key, m)
	demand.KeepAlive = plan.Keep
	demand.Preload = plan.Preload(now.Sub(demand.LastUsed))
	if m.Kind == contract.Adapter {
		demand.BaseModel = m.BaseModel
	}
	return demand
}
