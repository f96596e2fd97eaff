// Package pool is the aggregate of one pool's owner. It turns demand into
// plans for the log and into orders for endpoints.
//
// A Controller does no I/O. The host feeds it messages, carries out the
// effects of Step and reports their results. Every host has a controller for
// every pool; those that do not own the pool have no effects.
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
	// usageTTL is how long the report of a silent host counts. It exceeds a few
	// reporting periods, so that one lost report hides no waiting request.
	usageTTL = 3 * time.Second
	// retryDelay separates two attempts of a failed order.
	retryDelay = 500 * time.Millisecond
	// maxLoadAttempts bounds the loads of one replica; then it is placed anew.
	maxLoadAttempts = 3
	// recordRetry separates two attempts to append a record whose loss is harmless.
	recordRetry = time.Second
	// maxDecisions bounds one plan.
	maxDecisions = 256
)

// Config is the fixed part of a controller.
type Config struct {
	Pool string
	Self record.HostRef
	// StoreConcurrent and StorePerSecond are this pool's share of the weight store.
	StoreConcurrent int
	StorePerSecond  float64
	// NewReplicaID returns an ID that was never used.
	NewReplicaID func() record.ReplicaID
}

// Controller owns one pool while the fold says so. It is not safe for
// concurrent use.
type Controller struct {
	cfg       Config
	observed  map[string]Observation
	haveList  bool
	usage     map[usageKey]usageEntry
	lastUsed  map[modelKey]time.Time
	gaps      map[modelKey]*keepalive.Gaps
	plans     map[modelKey]keepalive.Plan
	orders    map[orderKey]*orderState
	store     *rate.Limiter
	epoch     record.Offset
	planning  bool
	confirmed map[record.ReplicaID]bool
	loaded    map[record.ReplicaID]bool
	successor *record.HostRef
	// recordAt is when Quiesced or Handover may be appended again.
	recordAt time.Time
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

// orderKey serializes the orders for each replica.
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

// NewController returns a controller for one pool.
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
	c.forget()
	return c
}

// Observe replaces what is known of the pool's endpoints.
func (c *Controller) Observe(list []Observation) {
	c.haveList = true
	c.observed = make(map[string]Observation, len(list))
	for _, o := range list {
		c.observed[o.Endpoint] = o
	}
}

// Report takes in one host's use of the pool's models.
func (c *Controller) Report(now time.Time, host string, list []Usage) {
	for _, u := range list {
		key := modelKey{u.Customer, u.Model}
		c.usage[usageKey{host, key}] = usageEntry{Usage: u, at: now}
		used := now.Add(-u.Idle)
		if u.Inflight > 0 || u.Waiting > 0 {
			used = now
		}
		if used.After(c.lastUsed[key]) {
			c.noteGap(key, used)
			c.lastUsed[key] = used
		}
	}
}

// minGap is the shortest gap that is noted; shorter ones are the distance
// between two reports of the same use.
const minGap = time.Second

// noteGap learns from the time between two uses of a model.
func (c *Controller) noteGap(key modelKey, used time.Time) {
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

// keepPlan says how long a model stays loaded, and when it is loaded ahead.
// Without weights in the contract its keep-alive counts.
func (c *Controller) keepPlan(key modelKey, m state.PoolModel) keepalive.Plan {
	gaps := c.gaps[key]
	if gaps == nil || m.Weights == (contract.Weights{}) {
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

// HandOver stops new work; the pool passes to the successor as soon as no
// order is under way.
func (c *Controller) HandOver(to record.HostRef) { c.successor = &to }

// Busy tells whether an order or a plan is under way.
func (c *Controller) Busy() bool { return c.planning || c.pendingOrders("") > 0 }

// PlanDone reports that the plan in flight is settled or given up. Given up
// is safe: of two plans with the same sequence number one is void.
func (c *Controller) PlanDone() { c.planning = false }

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
		c.confirmed[o.Replica] = true
	}
}

// Step returns what to do now, by one copy of the pool from this host's fold.
func (c *Controller) Step(now time.Time, st *state.State) []Effect {
	p := st.Pools.Get(c.cfg.Pool)
	if p.Epoch != c.epoch {
		c.forget()
		c.epoch = p.Epoch
	}
	quiesced := c.stepFormer(now, p)
	if p.Owner != c.cfg.Self {
		return quiesced
	}
	if c.successor != nil {
		return append(quiesced, c.stepHandover(now, p)...)
	}
	if !c.haveList {
		return quiesced
	}
	c.prune(now, p)
	s := &step{c: c, now: now, pool: p, models: map[modelKey]state.PoolModel{}}
	for _, m := range st.Contracts.Models(c.cfg.Pool) {
		s.models[modelKey{m.Customer, m.Name}] = m
		s.order = append(s.order, m)
	}
	return append(quiesced, s.run()...)
}

// prune drops old reports and the order state of replicas that are gone.
func (c *Controller) prune(now time.Time, p state.Pool) {
	maps.DeleteFunc(c.usage, func(_ usageKey, u usageEntry) bool { return now.Sub(u.at) > usageTTL })
	maps.DeleteFunc(c.orders, func(key orderKey, s *orderState) bool {
		_, known := p.Replicas[key.replica]
		return !known && !s.pending && now.After(s.retryAt)
	})
}

// forget drops what was learned as owner of the last epoch. Pending orders
// stay, because they may still take effect. The endpoints are observed anew,
// since what a former owner loaded may be missing from an old observation.
func (c *Controller) forget() {
	c.confirmed = map[record.ReplicaID]bool{}
	c.loaded = map[record.ReplicaID]bool{}
	c.haveList = false
	c.recordAt = time.Time{}
	maps.DeleteFunc(c.orders, func(_ orderKey, s *orderState) bool { return !s.pending })
}

// stepFormer states that this host sends nothing more from epochs that it
// lost, once its last order of them has ended. Until then the capacity of
// retired replicas on endpoints without fencing stays held.
func (c *Controller) stepFormer(now time.Time, p state.Pool) []Effect {
	former := slices.ContainsFunc(p.Former, func(f state.Former) bool { return f.Owner == c.cfg.Self })
	if !former || c.pendingBefore(p.Epoch) || now.Before(c.recordAt) {
		return nil
	}
	c.recordAt = now.Add(recordRetry)
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

// stepHandover freezes the pool and then transfers it: the record is the end
// of this host's decisions, and the fold up to it is the final state. It is
// not sent while an order is under way, since the fold takes a handed over
// pool to have no order of the former owner left.
func (c *Controller) stepHandover(now time.Time, p state.Pool) []Effect {
	if c.Busy() || now.Before(c.recordAt) || *c.successor == c.cfg.Self {
		return nil
	}
	c.recordAt = now.Add(recordRetry)
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

// demand sums the fresh reports of all hosts by model.
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

// placementModel joins a model's limits with its demand.
func (c *Controller) placementModel(now time.Time, m state.PoolModel, demand placement.Model) placement.Model {
	key := modelKey{m.Customer, m.Name}
	if _, known := c.lastUsed[key]; !known {
		// A new owner knows no use yet; a replica then counts as just used, or
		// every takeover would unload the whole pool.
		c.lastUsed[key] = now
	}
	demand.Customer = m.Customer
	demand.Name = m.Name
	demand.MemoryMB = m.MemoryMB()
	demand.Min = m.MinReplicas
	demand.Max = m.MaxReplicas
	demand.Concurrency = m.Concurrency
	demand.LastUsed = c.lastUsed[key]
	plan := c.keepPlan(key, m)
	demand.KeepAlive = plan.Keep
	demand.Ahead = plan.Ahead(now.Sub(demand.LastUsed))
	if m.Kind == contract.Adapter {
		demand.BaseModel = m.BaseModel
	}
	return demand
}
