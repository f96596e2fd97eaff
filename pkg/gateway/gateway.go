// Package gateway assembles an entry host for the platform: it follows the platform's store,
// exchanges state with the other hosts and serves requests. While it holds the claim it is the
// controller, which orders endpoints to load and unload models.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/tealvane/tealvane/internal/boottime"
	"github.com/tealvane/tealvane/pkg/admission"
	"github.com/tealvane/tealvane/pkg/bodybudget"
	"github.com/tealvane/tealvane/pkg/entrycache"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/follow"
	"github.com/tealvane/tealvane/pkg/links"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/proxy"
	"github.com/tealvane/tealvane/pkg/quarantine"
	"github.com/tealvane/tealvane/pkg/readbudget"
	"github.com/tealvane/tealvane/pkg/relay"
	"github.com/tealvane/tealvane/pkg/retry"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/slotshare"
	"github.com/tealvane/tealvane/pkg/streamversions"
	"github.com/tealvane/tealvane/pkg/upstream"
	"go.opentelemetry.io/otel/trace"
)

const (
	// retryShare is the fraction of the retry budget that the hosts use. The rest allows for
	// retry windows that are not aligned between hosts.
	retryShare = 0.7
	// connectionShare is the fraction of an endpoint's connection limit that the hosts use
	// together. Endpoints accept fewer connections while their queue is long.
	connectionShare = 0.8
	// minConnections is the minimum number of connections of one host to an endpoint, so that
	// reports and orders are not blocked by requests.
	minConnections = 4
)

// EndpointClient is the client of the endpoints.
type EndpointClient interface {
	serve.Backend
	orders.EndpointClient
	// Terminated reports whether an incarnation of an endpoint has terminated. An error
	// means that this is unknown.
	Terminated(ctx context.Context, e fleet.Endpoint) (bool, error)
	// Rejected reports whether a response rejects a request for lack of room.
	Rejected(header http.Header, status int) bool
	// OwnResponse returns a function that reports whether a response belongs to the request with
	// the given header.
	OwnResponse(request http.Header) func(http.Header, int) bool
}

// Config holds the dependencies of a host.
type Config struct {
	Settings Settings
	Store    fleet.Store
	Codec    fleet.Codec
	// NewEndpointClient creates the client of the endpoints.
	NewEndpointClient func(EndpointTransport) EndpointClient
	// Dial opens connections to endpoints. If it is nil, upstream.Dial does.
	Dial upstream.Dialer
	// NewHandler creates the handler of client requests.
	NewHandler func(*Gateway) http.Handler
	Logger     *slog.Logger
	Tracer     trace.TracerProvider
}

// Gateway is an entry host.
type Gateway struct {
	settings  Settings
	self      orders.Holder
	store     fleet.Store
	codec     fleet.Codec
	log       *slog.Logger
	metrics   *metrics
	endpoints EndpointClient
	transport *upstream.Transport
	// bodies is the memory for the bodies of clients' requests.
	bodies *bodybudget.Budget
	// links tracks this host's links to endpoints, proxy sends requests to endpoints for other hosts.
	links   *links.HostLinks
	prober  *links.Prober
	proxy   *proxy.Server
	helpers *proxy.Helpers
	// slots divides the slots of brittle endpoints among the hosts, endpointTransport keeps within them.
	slots             *slotshare.Table
	endpointTransport *proxy.SlotTransport

	config atomic.Pointer[fleet.Config]
	// listMu is held while a batch of list entries is applied and while a response is built
	// from the list. A response that includes an entry must include all changes before it,
	// since its receiver then considers its list complete up to that entry.
	listMu sync.Mutex
	cache  *entrycache.Cache
	// listArchive is the copy of the list for hosts that start.
	listArchive listArchive
	storeReads  *follow.State
	// reads is what all hosts together may read of the store.
	reads     readbudget.Budget
	era       *storeEra
	directory *fleet.Directory
	locator   *fleet.Locator

	health     *serve.Health
	dispatcher *serve.Dispatcher
	levels     admission.Table
	// levelMetrics is used by maintain only.
	levelMetrics levelMetrics
	server       *serve.Server
	budget       *retry.Budget

	election   *orders.Election
	lease      *orders.HolderLease
	controller *orders.Controller
	mesh       *mesh
	// children tracks the hosts that pull from this one, demandAggregator their demand, and notices
	// the notices received from the upstream host.
	children         *children
	demandAggregator *relay.Aggregator
	notices          relay.NoticeTracker
	// occupancy is the view of the requests of all hosts.
	occupancy *sharedOccupancy
	// guard blocks requests that crash endpoints. crashCursors tracks which crashes other hosts
	// have received, storedCrashes what the store holds.
	guard         *quarantine.Guard
	crashCursors  *crashCursors
	storedCrashes *storedCrashes
	// blocks and signals replicate the blocked requests and the endpoint signals to other
	// hosts.
	blocks  replicatedSet[fleet.Block]
	signals replicatedSet[fleet.EndpointSignal]
	// brittle replicates the services whose endpoints are brittle.
	brittle replicatedSet[fleet.BrittleService]
	// streams knows which software versions began streams.
	streams *streamversions.Directory
	// accounts enforces the rate limits of client accounts.
	accounts *accounts
	// reportSeq is the sequence number of the last demand report. lastStamp is the last
	// controller stamp received, and startedAt is the origin of this host's own stamps.
	reportSeq atomic.Int64
	lastStamp atomic.Pointer[stamp]
	startedAt time.Time
	// reportNow triggers a demand report.
	reportNow chan struct{}
	// stepNow triggers a step of the controller.
	stepNow chan struct{}
	// listReadNow triggers a read of the list of endpoints.
	listReadNow chan struct{}
	// missedConfigVersion is the newest configuration version that another host has but failed
	// to send in time.
	missedConfigVersion atomic.Int64
	// serving is set once client requests are served, stopping once shutdown begins.
	serving  atomic.Bool
	stopping atomic.Bool
	// announced is set once the entry of this incarnation is in the store.
	announced atomic.Bool
	startup   *startup
	// bootTime returns the time since boot, including time spent suspended.
	bootTime func() time.Duration

	clientListener    net.Listener
	readinessListener net.Listener
	metricsListener   net.Listener
	handler           http.Handler
}

// New creates a host and opens its listeners. Run serves them.
func New(cfg Config) (*Gateway, error) {
	g := newGateway(cfg, newMetrics())
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.initController()
	g.handler = cfg.NewHandler(g)
	return g, nil
}

// newGateway creates a host without listeners.
func newGateway(cfg Config, m *metrics) *Gateway {
	s := cfg.Settings
	g := &Gateway{
		settings:         s,
		codec:            cfg.Codec,
		metrics:          m,
		directory:        fleet.NewDirectory(),
		health:           serve.NewHealth(),
		budget:           retry.NewBudget(s.retryLimits(), retryShare),
		reportNow:        make(chan struct{}, 1),
		stepNow:          make(chan struct{}, 1),
		listReadNow:      make(chan struct{}, 1),
		cache:            entrycache.New(),
		storeReads:       follow.NewState(),
		reads:            readbudget.Budget{BytesPerSecond: s.Store.ReadMBPerSecond * 1e6},
		era:              newStoreEra(),
		startup:          newStartup(),
		bootTime:         boottime.Since,
		children:         newChildren(),
		demandAggregator: relay.NewAggregator(),
		occupancy:        newSharedOccupancy(s.Host),

		crashCursors:  newCrashCursors(),
		storedCrashes: newStoredCrashes(),
	}
	store := follow.NewRateLimitedStore(cfg.Store)
	store.OnCall = func(t fleet.Topic) { g.metrics.count("store_calls", map[string]string{"topic": t.String()}) }
	store.OnPause = func() { g.metrics.count("store_reads_paused", nil) }
	store.MaxPause = g.maxOverloadPause
	g.store = store
	g.self = orders.Holder{Host: s.Host, Incarnation: uuid.Must(uuid.NewV7()).String()}
	g.log = cfg.Logger.With("host", s.Host, "incarnation", g.self.Incarnation)
	store.OnMalformed = follow.LogMalformed(g.log, g.metrics.count)
	g.locator = fleet.NewLocator(g.directory)
	g.health.Signals.Changed = g.signalChanged
	g.health.Brittle.Changed = g.brittleChanged
	dial := cfg.Dial
	if dial == nil {
		dial = upstream.Dial
	}
	g.transport = upstream.NewTransport(g.Now, g.connectionLimit, dial)
	g.bodies = bodybudget.New(s.Limits.MemoryMB << 20 / bodyMemoryDivisor)
	g.links = links.NewHostLinks()
	g.prober = g.newProber()
	g.helpers = proxy.NewHelpers(proxy.Host{Name: s.Host, Zone: s.Zone}, g.proxyHosts)
	g.slots = slotshare.NewTable(g.Now, g.slotLimit)
	g.directory.HeartbeatInterval = s.Timing.EndpointHeartbeat
	g.slots.Apart = !s.Endpoints.ViaPeers
	g.endpointTransport = g.newEndpointTransport()
	g.endpoints = rateLimitedEndpoints{cfg.NewEndpointClient(g.endpointTransport), g.allowCall}
	g.endpointTransport.Rejected = g.endpoints.Rejected
	g.proxy = g.newProxyServer()
	g.dispatcher = serve.NewDispatcher(s.Zone, placementLocator{g.locator, g.config.Load}, g.health, g.Now, g.requestReport)
	g.dispatcher.Contention = g.contention
	g.dispatcher.Occupancy = g.occupancy.local
	g.dispatcher.Levels = &g.levels
	g.dispatcher.Slots = g.slots
	g.dispatcher.EstimateWork = estimateWork
	g.server = &serve.Server{
		Backend: g.endpoints,
		Queue:   g.dispatcher,
		Health:  g.health,
		Budget:  g.budget,
		Now:     g.Now,
		Tracer:  cfg.Tracer.Tracer("github.com/tealvane/tealvane"),
	}
	g.streams = g.newStreamVersions(store)
	g.server.Versions = g.streams
	g.budget.SetHosts(maxAssumedHosts) // until the hosts are read
	g.guard = g.newGuard()
	g.server.Guard = g.guard
	g.initReplicatedSets()
	g.accounts = newAccounts(s.tolerance(), g.requestReport, g.Now)
	g.server.AccountLimiter = g.accounts
	return g
}

// initController creates the election and the controller. The host's peer address must be known.
func (g *Gateway) initController() {
	g.election = orders.NewElection(g.self, orders.Timing{Lease: g.settings.Timing.Lease, Takeover: g.takeoverTimeout(), Handoff: g.takeoverDelay()}, g.Now())
	g.lease = orders.NewHolderLease(g.settings.Timing.Lease)
	g.controller = &orders.Controller{
		Election:      g.election,
		Client:        g.endpoints,
		Log:           g.log,
		Now:           g.Now,
		Config:        g.config.Load,
		Endpoints:     g.directory.Live,
		Contention:    g.contention,
		AccountWeight: g.settings.AccountWeight,
		OrdersAllowed: g.ordersAllowed,

		Throttled: func(id fleet.EndpointID) bool { return g.health.Signals.Throttled(g.Now(), id) },

		FormerStoreLoadLimit: g.locator.StoreLoadLimit,
	}
}

// initReplicatedSets connects the sets that are replicated to other hosts to their sources.
func (g *Gateway) initReplicatedSets() {
	g.blocks.checksum, g.blocks.all = g.guard.Blocklist.Checksum, g.guard.Blocklist.All
	g.signals.checksum = g.health.Signals.Checksum
	g.brittle.checksum = g.health.Brittle.Checksum
	g.brittle.all = func(time.Time) []fleet.BrittleService { return g.health.Brittle.All() }
	g.signals.all = func(time.Time) []fleet.EndpointSignal { return g.health.Signals.All() }
}

// Now returns the host's time. Only differences are used, so that wall clock changes have no
// effect.
func (g *Gateway) Now() time.Time { return time.Now() }

// connectionLimit returns this host's share of an endpoint's connection limit.
func (g *Gateway) connectionLimit(e fleet.Endpoint) int {
	limit := 0
	if c := g.config.Load(); c != nil {
		limit = c.Services[e.Service].ConnectionLimit
	}
	return max(minConnections, int(float64(limit)*connectionShare)/g.sharingHosts())
}

// placementLocator adapts fleet.Locator to serve.Placement.
type placementLocator struct {
	locator *fleet.Locator
	config  func() *fleet.Config
}

// Find implements serve.Placement.
func (l placementLocator) Find(now time.Time, n serve.Need) serve.Location {
	at := l.locator.LocateVersion(now, n.Service, n.Model, n.Adapter, n.Version)
	c := l.config()
	return serve.Location{
		Ready:         at.Ready,
		ReadyAt:       at.ReadyAt,
		ColdReadyAt:   at.ColdReadyAt,
		HasEndpoints:  at.HasEndpoints,
		LoadsAdapter:  at.LoadsAdapter,
		LoadsModel:    at.LoadsModel,
		NotConfigured: c != nil && !c.HasModel(n.Service, n.Model, n.Adapter),
	}
}

// ordersAllowed reports whether this host may issue orders. It always may where endpoints check
// fencing tokens; elsewhere it needs a valid lease.
func (g *Gateway) ordersAllowed() bool {
	if g.settings.Orders.EndpointsCheckTokens {
		return true
	}
	now := g.Now()
	return g.lease.Valid(now, g.election.HeldToken(), g.readAge(now, fleet.TopicClaims), g.mesh.names())
}

// takeoverTimeout returns how long after the last heartbeat of the holder another host may
// take over. Where endpoints check fencing tokens, half of the lease is enough, since the
// orders of a former holder are rejected.
func (g *Gateway) takeoverTimeout() time.Duration {
	if g.settings.Orders.EndpointsCheckTokens {
		return g.settings.Timing.Lease / 2
	}
	return g.settings.Timing.Lease
}

// takeoverDelay returns how long a former holder that does not know of a newer claim may still
// issue orders. It is 0 where endpoints check fencing tokens.
func (g *Gateway) takeoverDelay() time.Duration {
	if g.settings.Orders.EndpointsCheckTokens {
		return 0
	}
	return orders.HandoffDelay(g.settings.Timing.Lease)
}

// requestReport triggers a demand report.
func (g *Gateway) requestReport() { trySend(g.reportNow) }

// trySend sends on c unless that would block.
func trySend(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
