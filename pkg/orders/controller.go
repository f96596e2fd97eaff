package orders

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/residency"
)

const (
	// reportLag is the maximum age of the state in an endpoint's report.
	reportLag = 250 * time.Millisecond
	// listLag is the maximum age of an entry in the list of endpoints.
	listLag = 2500 * time.Millisecond
	// orderTimeout limits one attempt to send an order. It leaves time for a
	// retransmission. Orders may safely be sent twice.
	orderTimeout = 250 * time.Millisecond
	// reportTimeout limits one request for a report.
	reportTimeout = 700 * time.Millisecond
	// maxReportRequests limits the report requests in progress, so that a controller that asks
	// thousands of endpoints still answers other hosts, and its requests do not time out.
	maxReportRequests = 32
	// conflictTimeout limits the attempts to send an order. Requests that run on a model
	// that is unloaded end within this time.
	conflictTimeout = 4 * time.Second
	// failureBackoff is how long an endpoint gets no orders after a failed swap.
	failureBackoff = 500 * time.Millisecond
	// loadMargin is added to the expected time of a load before requests are sent.
	// Endpoints reject requests that arrive too early.
	loadMargin = 15 * time.Millisecond
	// loadPollInterval is the interval between reports while a load is not confirmed.
	loadPollInterval = 120 * time.Millisecond
	// unconfirmedReadyIn is the time until a model is ready that is sent to other hosts while
	// the load is not confirmed. It exceeds reportLag.
	unconfirmedReadyIn = 300 * time.Millisecond
	// unloadTime is how long an endpoint takes to unload an idle model.
	unloadTime = 62 * time.Millisecond
	// adapterLoadTime is how long after its order an adapter can be used: 5 to 10 ms are
	// stated, and a margin.
	adapterLoadTime = 12 * time.Millisecond
	// ratePerReplica is how many requests per second one replica should serve. An endpoint that
	// processes prompts of 650 tokens at 38 tokens per millisecond is saturated at about 30; half
	// of that leaves capacity for what shares its batch.
	ratePerReplica = 15
)

// firstToken is the token of the first claim. No orders were sent before it, so endpoints hold what
// they list, which hosts know without notices.
const firstToken = 1

// Controller sends orders while this host holds the claim. It is safe for concurrent use.
type Controller struct {
	Election *Election
	Client   EndpointClient
	Log      *slog.Logger
	Now      func() time.Time
	// Config returns the current configuration, or nil before the first is read.
	Config func() *fleet.Config
	// Endpoints returns the live endpoints.
	Endpoints func(now time.Time) []fleet.View
	// OrdersAllowed is called before each order. Orders are sent only while it returns true.
	OrdersAllowed func() bool
	// Throttled reports whether an endpoint states a request rate limit or has asked this host
	// to back off. Such an endpoint gets no models, and the models it holds do not count as
	// replicas. It may be nil.
	Throttled func(id fleet.EndpointID) bool
	// FormerStoreLoadLimit returns the number of concurrent loads that a former controller
	// found the weight store to run at full speed, or 0 if unknown. It may be nil.
	FormerStoreLoadLimit func() int
	// Contention reports whether requests for a service are scheduled for contention, and
	// AccountWeight returns the weight of a client account. Both may be nil.
	Contention    func(service string) bool
	AccountWeight func(account string) float64

	mu    sync.Mutex
	token int64
	// ordersSince is when this host began to send orders under its claim.
	ordersSince time.Time
	trackers    map[fleet.EndpointID]*endpointTracker
	demand      *Demand
	// levels is nil while no service is scheduled for contention.
	levels *modelLevels
	// coldModels are the requested models that no endpoint has a copy of.
	coldModels []fleet.ColdModel
	// storeLimit limits concurrent loads from the weight store.
	storeLimit      loadLimiter
	unansweredLoads unansweredLoads
	sent            sentOrders
	tasks           sync.WaitGroup
	// reportSlots holds an element for each report request in progress.
	reportSlots chan struct{}
}

// Report records a host's demand.
func (c *Controller) Report(now time.Time, r fleet.DemandReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.demand == nil {
		c.demand = NewDemand(now)
	}
	c.demand.AddReport(now, r)
	if c.levels != nil && !r.Unchanged {
		c.levels.add(now, r, c.Contention)
	}
	for _, id := range r.BackoffRequested {
		if t := c.trackers[id]; t != nil {
			t.recordPeerBackoff(now)
		}
	}
	for _, id := range r.Unreachable {
		if t := c.trackers[id]; t != nil && (r.Host != c.Election.self.Host || c.demand.singleHost()) {
			t.recordPeerUnreachable(now)
		}
	}
}

// Step decides on swaps and starts orders. It returns the notice for other hosts, or nil
// while this host holds no claim.
func (c *Controller) Step(ctx context.Context, now time.Time, full bool) *fleet.Notice {
	held := c.Election.HeldToken()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reportSlots == nil {
		c.reportSlots = make(chan struct{}, maxReportRequests)
	}
	if held != c.token || c.trackers == nil {
		// A new holder starts from the reports of the endpoints.
		c.token = held
		c.ordersSince = time.Time{}
		c.trackers = map[fleet.EndpointID]*endpointTracker{}
		c.demand = NewDemand(now)
		c.levels = nil
		if c.FormerStoreLoadLimit != nil {
			c.storeLimit.restore(c.FormerStoreLoadLimit())
		}
	}
	cfg := c.Config()
	if held == 0 || cfg == nil {
		return nil
	}
	byService := c.syncTrackers(now, cfg)
	if token := c.Election.OrderToken(now); token != 0 && c.OrdersAllowed() {
		if c.ordersSince.IsZero() {
			c.ordersSince = now
		}
		totals := c.demand.totals(now)
		c.coldModels = nil
		for _, name := range sortedKeys(byService) {
			service := cfg.Services[name]
			c.holdLoads(byService[name])
			c.requestReports(ctx, now, byService[name])
			for _, t := range byService[name] {
				c.requestRefresh(ctx, now, t)
			}
			if now.Sub(c.demand.since) < warmupTime {
				continue
			}
			reachable := slices.DeleteFunc(slices.Clone(byService[name]), c.excluded)
			c.startSwaps(ctx, now, token, service, reachable, totals)
			c.loadAdapters(ctx, now, token, service, reachable, totals)
		}
	}
	n := c.buildNotice(now, held, cfg.Version, full)
	n.Levels = c.decideLevels(now, held, byService)
	return n
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// syncTrackers creates or updates the tracker of each live endpoint that runs models,
// removes the others and returns those that take requests, by service.
func (c *Controller) syncTrackers(now time.Time, cfg *fleet.Config) map[string][]*endpointTracker {
	live := map[fleet.EndpointID]bool{}
	byService := map[string][]*endpointTracker{}
	for _, v := range c.Endpoints(now) {
		if cfg.Services[v.Service].Engine == nil {
			continue
		}
		live[v.ID] = true
		t := c.trackers[v.ID]
		if t == nil {
			t = newEndpointTracker(v, &c.unansweredLoads)
			c.unansweredLoads.recordRestart(v.ID) // It may have restarted while it was not listed.
			t.changed = c.token != firstToken
			c.trackers[v.ID] = t
		} else {
			t.update(now, v)
		}
		if v.TakesRequests() {
			byService[v.Service] = append(byService[v.Service], t)
		}
	}
	for id, t := range c.trackers {
		if !live[id] {
			t.markReplaced()
			delete(c.trackers, id)
		}
	}
	return byService
}

func (c *Controller) buildNotice(now time.Time, token, version int64, full bool) *fleet.Notice {
	n := &fleet.Notice{StoreLoadLimit: c.storeLimit.allowed(), Cold: c.coldModels, Holder: c.Election.self.Host, Token: token, Full: full, ConfigVersion: version}
	for _, t := range c.trackers {
		if t.takeChanged() || full && t.wasSent() {
			n.Endpoints = append(n.Endpoints, t.placement(now))
		}
	}
	return n
}

// requestReports requests a report from each endpoint whose state is not known.
func (c *Controller) requestReports(ctx context.Context, now time.Time, trackers []*endpointTracker) {
	for _, t := range trackers {
		t.mu.Lock()
		due := !t.synced && t.idle() && !now.Before(t.retryAt) && !now.Before(t.busyUntil)
		if due {
			t.busy = true
			t.lastReportRequest = now
		}
		e := t.endpoint
		t.mu.Unlock()
		if !due {
			continue
		}
		c.tasks.Go(func() {
			c.withReportSlot(ctx, func() { c.requestReport(ctx, t, e) })
			t.mu.Lock()
			t.busy = false
			t.mu.Unlock()
		})
	}
}

// withReportSlot calls request once fewer than maxReportRequests are in progress, unless ctx is done before.
func (c *Controller) withReportSlot(ctx context.Context, request func()) {
	select {
	case c.reportSlots <- struct{}{}:
		request()
		<-c.reportSlots
	case <-ctx.Done():
	}
}

func (c *Controller) requestReport(ctx context.Context, t *endpointTracker, e fleet.Endpoint) {
	r, err := c.report(ctx, e)
	now := c.Now()
	if err != nil {
		c.Log.Info("endpoint report request failed; retrying", "endpoint", e.ID, "error", err)
		if errors.Is(err, ErrUnreachable) {
			t.markUnreachable(c.Now())
		}
		t.mu.Lock()
		t.retryAt = now.Add(failureBackoff)
		t.mu.Unlock()
		return
	}
	c.logReport("endpoint report applied", e, r)
	if t.recordRestart(now, r.Sequence) {
		c.unansweredLoads.recordRestart(e.ID)
	}
	t.applyReport(now, r)
}

// logReport logs what an endpoint has reported.
func (c *Controller) logReport(message string, e fleet.Endpoint, r fleet.Report, args ...any) {
	var models, adapters []string
	for _, h := range r.Loaded {
		models = append(models, h.Model)
		for _, a := range h.Adapters {
			adapters = append(adapters, h.Model+"/"+a)
		}
	}
	c.Log.Info(message, append(args, "endpoint", e.ID, "sequence", r.Sequence, "busy", r.Busy, "loaded", models, "adapters", adapters, "in_transit", r.Loading)...)
}

// excluded reports whether an endpoint gets no models and its models do not count as
// replicas.
func (c *Controller) excluded(t *endpointTracker) bool {
	t.mu.Lock()
	id, unavailable := t.endpoint.ID, t.reach.lost || c.Now().Sub(t.backoffReported) < peerReportTTL
	t.mu.Unlock()
	return unavailable || c.Throttled != nil && c.Throttled(id)
}

// startSwaps starts the swaps that package residency decides on.
func (c *Controller) startSwaps(ctx context.Context, now time.Time, token int64, service fleet.Service, trackers []*endpointTracker, totals map[demandKey]*modelDemand) {
	engine := service.Engine
	snap := residency.Snapshot{
		Now:    now,
		Models: models(service, totals),
		Limits: residency.Limits{
			Slots:          engine.Slots,
			RatePerReplica: ratePerReplica,
		},
	}
	byID := map[fleet.EndpointID]*endpointTracker{}
	for _, t := range trackers {
		e := t.snapshot(now, engine)
		byID[e.ID] = t
		snap.Endpoints = append(snap.Endpoints, e)
	}
	slots := residency.StoreSlots(snap.Endpoints, min(c.storeLimit.allowed(), max(1, int(engine.LoadsPerSecond))))
	loading := c.storeLimit.inProgress(now)
	snap.Limits.StoreLoads = slots - loading
	for _, f := range residency.ColdModels(snap, loading, slots) {
		c.coldModels = append(c.coldModels, fleet.ColdModel{Service: service.Name, Model: f.Model, ReadyIn: f.ReadyIn.Milliseconds()})
	}
	for _, s := range residency.Decide(snap) {
		t := byID[s.Endpoint]
		t.mu.Lock()
		t.busy = true
		t.incoming = s.Load
		for _, v := range s.Evict {
			t.models[v].unloading = true
		}
		t.changed = true
		t.mu.Unlock()
		var load *storeLoad
		if s.From == residency.InStore {
			load = c.storeLimit.begin(now, engine.Models[s.Load])
		}
		c.tasks.Go(func() { c.executeSwap(ctx, t, token, engine, s, load) })
	}
}

// models returns the demand for each model of a service. Requests for an adapter count for
// its model.
func models(service fleet.Service, totals map[demandKey]*modelDemand) []residency.Model {
	byName := map[string]*residency.Model{}
	for key, d := range totals {
		m, ok := service.Engine.Models[key.model]
		if key.service != service.Name || !ok {
			continue
		}
		r := byName[key.model]
		if r == nil {
			r = &residency.Model{Model: m}
			byName[key.model] = r
		}
		if d.waiting > 0 {
			r.Due = firstDue(r.Due, r.Waiting, r.OnTime, d.due, d.onTime)
		}
		for _, v := range d.requiredVersions() {
			if !v.Set {
				continue
			}
			r.WaitingForVersion += d.versions[v]
			if !slices.Contains(r.Versions, v.Version) {
				r.Versions = append(r.Versions, v.Version)
			}
		}
		r.Waiting += d.waiting
		r.OnTime += d.onTime
		r.Inflight += d.inflight
		r.FastRate += d.fast
		r.SlowRate += d.slow
		r.AwaitingFirstByte += d.awaitingFirstByte
	}
	out := make([]residency.Model, 0, len(byName))
	for _, name := range sortedKeys(byName) {
		slices.Sort(byName[name].Versions)
		out = append(out, *byName[name])
	}
	return out
}

// Wait blocks until no order is in progress.
func (c *Controller) Wait() { c.tasks.Wait() }

// splitAdapter splits a name of the form MODEL/NAME@VERSION and drops the version.
func splitAdapter(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	adapter, _, _ = strings.Cut(adapter, "@")
	return model, adapter
}
