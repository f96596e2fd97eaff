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
	// reportLag is how old an endpoint's report of itself may be.
	reportLag = 250 * time.Millisecond
	// listLag is how old an entry of the list may be, about two heartbeats.
	listLag = 2500 * time.Millisecond
	// orderTimeout is how long an order may take. A round trip takes a few
	// milliseconds, a lost packet a fifth of a second more; the endpoint does nothing
	// else meanwhile. A repeat does no harm.
	orderTimeout = 250 * time.Millisecond
	// reportTimeout is how long a report may take.
	reportTimeout = 700 * time.Millisecond
	// conflictPause is the pause before an order is sent again that met another
	// order under way: half of the shortest order, an unload.
	conflictPause = 30 * time.Millisecond
	// conflictLimit is how long an order is tried; the runs of a model that is
	// unloaded end by then.
	conflictLimit = 4 * time.Second
	// failurePause is how long an endpoint is left alone after a failed swap, two
	// lags of its report.
	failurePause = 500 * time.Millisecond
	// loadMargin is added to the stated time of a load before requests are sent;
	// a request that comes too early is rejected and counts as a retry.
	loadMargin = 15 * time.Millisecond
	// confirmPause is the pause between two questions about a load, half of the
	// lag of the answers.
	confirmPause = 120 * time.Millisecond
	// unsureReady is what is told of a load whose end is not known, a little more
	// than the lag of reports.
	unsureReady = 300 * time.Millisecond
	// unloadTime is how long an endpoint takes to unload an idle model.
	unloadTime = 62 * time.Millisecond
	// adapterTime is how long an adapter takes from order to use: 5 to 10 ms are
	// stated, and a margin.
	adapterTime = 12 * time.Millisecond
	// ratePerReplica is how many requests a second one replica is to serve. An
	// endpoint that reads prompts of 650 tokens at 38 a millisecond and makes
	// tokens between them is at its end at about 30; half of that leaves room for
	// what shares its batch.
	ratePerReplica = 15
)

// Controller gives orders while this host holds the claim. It is safe for concurrent use.
type Controller struct {
	Election *Election
	Orderer  Orderer
	Log      *slog.Logger
	Now      func() time.Time
	// Config returns the configuration in force, nil before the first.
	Config func() *fleet.Config
	// Endpoints returns the live endpoints.
	Endpoints func(now time.Time) []fleet.View
	// MayOrder is asked before each order, for what this package does not know.
	MayOrder func() bool
	// InNeed tells whether an endpoint states how many requests a second it takes, or has asked
	// for a pause: it is given no models, and what it holds does not count as a replica. It
	// may be nil.
	InNeed func(id fleet.EndpointID) bool
	// LearnedStoreLoads returns how many loads from the weight store a former
	// controller has found to run at full speed, 0 if that is not known. It may be nil.
	LearnedStoreLoads func() int

	mu     sync.Mutex
	token  int64
	tracks map[fleet.EndpointID]*track
	demand *Demand
	// far names the models without a copy that are asked for.
	far []fleet.FarModel
	// store learns how many loads the weight store does at full speed.
	store  storeLoads
	strays strays
	work   sync.WaitGroup
}

// Report takes in a host's demand.
func (g *Controller) Report(now time.Time, r fleet.DemandReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.demand == nil {
		g.demand = NewDemand(now)
	}
	g.demand.Take(now, r)
	for _, id := range r.Pausing {
		if t := g.tracks[id]; t != nil {
			t.pauses(now)
		}
	}
	for _, id := range r.Unreachable {
		if t := g.tracks[id]; t != nil && (r.Host != g.Election.self.Host || g.demand.alone()) {
			t.reported(now)
		}
	}
}

// Step decides and starts orders. It returns what other hosts have to be told;
// nothing while this host holds no claim.
func (g *Controller) Step(ctx context.Context, now time.Time, full bool) *fleet.Notice {
	held := g.Election.Held()
	g.mu.Lock()
	defer g.mu.Unlock()
	if held != g.token || g.tracks == nil {
		// A new claim starts from what the endpoints say themselves.
		g.token = held
		g.tracks = map[fleet.EndpointID]*track{}
		g.demand = NewDemand(now)
		if g.LearnedStoreLoads != nil {
			g.store.assume(g.LearnedStoreLoads())
		}
	}
	cfg := g.Config()
	if held == 0 || cfg == nil {
		return nil
	}
	byService := g.follow(now, cfg)
	if token := g.Election.Token(now); token != 0 && g.MayOrder() {
		totals := g.demand.totals(now)
		g.far = nil
		for _, name := range sortedKeys(byService) {
			service := cfg.Services[name]
			g.survey(ctx, now, byService[name])
			if now.Sub(g.demand.since) < learnTime {
				continue
			}
			reachable := slices.DeleteFunc(byService[name], g.unfit)
			g.swap(ctx, now, token, service, reachable, totals)
			g.adapters(ctx, now, token, service, reachable, totals)
		}
	}
	return g.notice(now, held, cfg.Version, full)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// follow keeps a track for each live endpoint that runs models.
func (g *Controller) follow(now time.Time, cfg *fleet.Config) map[string][]*track {
	live := map[fleet.EndpointID]bool{}
	byService := map[string][]*track{}
	for _, v := range g.Endpoints(now) {
		if cfg.Services[v.Service].Engine == nil {
			continue
		}
		live[v.ID] = true
		t := g.tracks[v.ID]
		if t == nil {
			t = newTrack(v)
			g.tracks[v.ID] = t
		} else {
			t.update(now, v)
		}
		if v.TakesRequests() {
			byService[v.Service] = append(byService[v.Service], t)
		}
	}
	for id := range g.tracks {
		if !live[id] {
			delete(g.tracks, id)
		}
	}
	return byService
}

func (g *Controller) notice(now time.Time, token, version int64, full bool) *fleet.Notice {
	n := &fleet.Notice{StoreLoads: g.store.allowed(), Far: g.far, Holder: g.Election.self.Host, Token: token, Full: full, ConfigVersion: version}
	for _, t := range g.tracks {
		if t.takeChanged() || full {
			n.Endpoints = append(n.Endpoints, t.placement(now))
		}
	}
	return n
}

// survey asks endpoints for their state of which nothing certain is known.
func (g *Controller) survey(ctx context.Context, now time.Time, tracks []*track) {
	for _, t := range tracks {
		t.mu.Lock()
		due := !t.known && !t.working && !now.Before(t.pause) && !now.Before(t.busyUntil)
		if due {
			t.working = true
			t.asked = now
		}
		e := t.endpoint
		t.mu.Unlock()
		if !due {
			continue
		}
		g.work.Go(func() {
			g.ask(ctx, t, e)
			t.mu.Lock()
			t.working = false
			t.mu.Unlock()
		})
	}
}

func (g *Controller) ask(ctx context.Context, t *track, e fleet.Endpoint) {
	r, err := g.report(ctx, e)
	now := g.Now()
	if err != nil {
		g.Log.Info("endpoint gave no report", "endpoint", e.ID, "error", err)
		if errors.Is(err, ErrUnreachable) {
			t.markUnreachable(g.Now())
		}
		t.mu.Lock()
		t.pause = now.Add(failurePause)
		t.mu.Unlock()
		return
	}
	t.settle(now, r)
}

// unfit endpoints get no models, and others have to hold what they do.
func (g *Controller) unfit(t *track) bool {
	t.mu.Lock()
	id, out := t.endpoint.ID, t.reach.lost || g.Now().Sub(t.pausing) < toldFor
	t.mu.Unlock()
	return out || g.InNeed != nil && g.InNeed(id)
}

// swap starts the swaps that the decision asks for.
func (g *Controller) swap(ctx context.Context, now time.Time, token int64, service fleet.Service, tracks []*track, totals map[need]*total) {
	engine := service.Engine
	snap := residency.Snapshot{
		Now:    now,
		Models: models(service, totals),
		Limits: residency.Limits{
			Slots:          engine.Slots,
			RatePerReplica: ratePerReplica,
		},
	}
	byID := map[fleet.EndpointID]*track{}
	for _, t := range tracks {
		e := t.snapshot(now, engine)
		e.CapacityMB -= g.strayRoom(now, t)
		byID[e.ID] = t
		snap.Endpoints = append(snap.Endpoints, e)
	}
	slots := residency.StoreSlots(snap.Endpoints, min(g.store.allowed(), max(1, int(engine.LoadsPerSecond))))
	loading := g.store.underWay(now)
	snap.Limits.StoreLoads = slots - loading
	for _, f := range residency.Far(snap, loading, slots) {
		g.far = append(g.far, fleet.FarModel{Service: service.Name, Model: f.Model, ReadyIn: f.ReadyIn.Milliseconds()})
	}
	for _, s := range residency.Decide(snap) {
		t := byID[s.Endpoint]
		t.mu.Lock()
		t.working = true
		t.coming = s.Load
		for _, v := range s.Evict {
			t.models[v].leaving = true
		}
		t.changed = true
		t.mu.Unlock()
		var load *storeLoad
		if s.From == residency.InStore {
			load = g.store.begin(now, engine.Models[s.Load])
		}
		g.work.Go(func() { g.carryOut(ctx, t, token, engine, s, load) })
	}
}

// models returns the demand for each model of a service; requests for an
// adapter need its model too.
func models(service fleet.Service, totals map[need]*total) []residency.Model {
	byName := map[string]*residency.Model{}
	for key, x := range totals {
		m, ok := service.Engine.Models[key.model]
		if key.service != service.Name || !ok {
			continue
		}
		r := byName[key.model]
		if r == nil {
			r = &residency.Model{Model: m}
			byName[key.model] = r
		}
		if x.waiting > 0 {
			r.Due = firstDue(r.Due, r.Waiting, r.InTime, x.due, x.inTime)
		}
		r.Waiting += x.waiting
		r.InTime += x.inTime
		r.Inflight += x.inflight
		r.Rate += x.fast
		r.Slow += x.slow
		r.Starting += x.starting
	}
	out := make([]residency.Model, 0, len(byName))
	for _, name := range sortedKeys(byName) {
		out = append(out, *byName[name])
	}
	return out
}

// Wait returns when no order is under way.
func (g *Controller) Wait() { g.work.Wait() }

// splitAdapter splits MODEL/NAME@VERSION.
func splitAdapter(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	adapter, _, _ = strings.Cut(adapter, "@")
	return model, adapter
}
