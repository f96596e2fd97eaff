// Package gateway assembles one entry host on the platform: it follows the
// platform's store, speaks with the other hosts, takes requests and, while it
// holds the claim, gives orders to endpoints.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/follow"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/quarantine"
	"github.com/tealvane/tealvane/pkg/relay"
	"github.com/tealvane/tealvane/pkg/retry"
	"github.com/tealvane/tealvane/pkg/serve"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"
)

const (
	// retryShare is the part of the retry budget that hosts use together. The
	// rest covers windows that hosts cut differently.
	retryShare = 0.7
	// connectionShare is the part of an endpoint's connections that hosts open
	// together. Endpoints accept fewer while their queue is long.
	connectionShare = 0.8
	// minConnections is the least number of connections of one host, so that
	// reports and orders go through beside requests.
	minConnections = 4
)

// Endpoints calls endpoints.
type Endpoints interface {
	serve.Backend
	orders.Orderer
	// Ended tells whether an incarnation of an endpoint has ended. An error says that
	// this is not known.
	Ended(ctx context.Context, e fleet.Endpoint) (bool, error)
	// Retain closes the connections to endpoints that are gone.
	Retain(live map[fleet.EndpointID]bool)
	// Opened is the number of connections made to the endpoints in use.
	Opened() int
}

// Config is what a host needs from outside.
type Config struct {
	Settings Settings
	Store    fleet.Store
	Codec    fleet.Codec
	// Endpoints makes the client of endpoints.
	Endpoints func(now func() time.Time, limit func(fleet.Endpoint) int) Endpoints
	// Door makes the handler of clients' requests.
	Door   func(*Gateway) http.Handler
	Logger *slog.Logger
	Tracer trace.TracerProvider
}

// Gateway is one entry host.
type Gateway struct {
	settings  Settings
	self      orders.Holder
	store     fleet.Store
	codec     fleet.Codec
	log       *slog.Logger
	metrics   *metrics
	endpoints Endpoints

	config atomic.Pointer[fleet.Config]
	// listMu is held while a batch of the list of endpoints is taken in, and while an
	// answer is made of it. An answer that names an entry has to name all changes
	// before it, or its host takes its list for complete and never hears of them.
	listMu    sync.Mutex
	feed      *feed
	reads     *follow.State
	directory *fleet.Directory
	board     *fleet.Board

	health     *serve.Health
	dispatcher *serve.Dispatcher
	server     *serve.Server
	budget     *retry.Budget

	election   *orders.Election
	lease      *orders.HolderLease
	controller *orders.Controller
	mesh       *mesh
	// children are the hosts that ask this one, sums what they need, and news what this
	// one was told itself.
	children *children
	sums     *relay.Sums
	news     news
	// guard keeps requests that crash endpoints from them; crashesTold is which crashes other
	// hosts were told, and crashesKept what the store holds.
	guard       *quarantine.Guard
	crashesTold *crashesTold
	crashesKept *keptCrashes
	// blocks and signals tell other hosts which requests are blocked, and what endpoints say of
	// themselves.
	blocks  shared[fleet.Block]
	signals shared[fleet.EndpointSignal]
	// accounts keeps client accounts within what they may ask.
	accounts *accounts
	// reports counts the demand reports, heardStamp is the last time stamp of a controller
	// that was heard, and started the zero of this host's own.
	reports    atomic.Int64
	heardStamp atomic.Pointer[stamp]
	started    time.Time
	// reportNow asks for a demand report at once.
	reportNow chan struct{}
	// noticeNow asks the controller for a step at once.
	noticeNow chan struct{}
	// listNow asks for a read of the list of endpoints at once.
	listNow chan struct{}
	// configMissed is the newest version that another host knew and did not pass on in time.
	configMissed atomic.Int64
	// serving is set once callers are served, leaving once the host stops.
	serving atomic.Bool
	leaving atomic.Bool
	// announced is set once this incarnation stands in the store.
	announced atomic.Bool

	callers   net.Listener
	readiness net.Listener
	metricsOn net.Listener
	handler   http.Handler
}

// New opens the listeners of a host; Run serves them.
func New(cfg Config) (*Gateway, error) {
	s := cfg.Settings
	g := &Gateway{
		settings:  s,
		codec:     cfg.Codec,
		metrics:   newMetrics(),
		directory: fleet.NewDirectory(),
		health:    serve.NewHealth(),
		budget:    retry.NewBudget(s.retryLimits(), retryShare),
		reportNow: make(chan struct{}, 1),
		noticeNow: make(chan struct{}, 1),
		listNow:   make(chan struct{}, 1),
		feed:      newFeed(),
		reads:     follow.NewState(),
		children:  newChildren(),
		sums:      relay.NewSums(),

		crashesTold: newCrashesTold(),
		crashesKept: newKeptCrashes(),
	}
	calls := follow.NewCalls(cfg.Store)
	calls.Count = func(t fleet.Topic) { g.metrics.count("store_calls", map[string]string{"topic": t.String()}) }
	g.store = calls
	g.self = orders.Holder{Host: s.Host, Incarnation: uuid.Must(uuid.NewV7()).String()}
	g.log = cfg.Logger.With("host", s.Host, "incarnation", g.self.Incarnation)
	g.board = fleet.NewBoard(g.directory)
	g.health.Signals.Changed = g.signalChanged
	g.endpoints = limitedEndpoints{cfg.Endpoints(g.Now, g.connectionLimit), g.mayCall}
	g.dispatcher = serve.NewDispatcher(s.Zone, locator{g.board, g.config.Load}, g.health, g.Now, g.wantReport)
	g.server = &serve.Server{
		Backend: g.endpoints,
		Queue:   g.dispatcher,
		Health:  g.health,
		Budget:  g.budget,
		Now:     g.Now,
		Tracer:  cfg.Tracer.Tracer("github.com/tealvane/tealvane"),
	}
	g.guard = g.newGuard()
	g.server.Guard = g.guard
	g.setShared()
	g.accounts = newAccounts(s.tolerance(), g.wantReport, g.Now)
	g.server.Allowances = g.accounts
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.election = orders.NewElection(g.self, g.takeoverLease(), g.takeoverSettle(), g.Now())
	g.lease = orders.NewHolderLease(s.Timing.Lease)
	g.controller = &orders.Controller{
		Election:  g.election,
		Orderer:   g.endpoints,
		Log:       g.log,
		Now:       g.Now,
		Config:    g.config.Load,
		Endpoints: g.directory.Live,
		MayOrder:  g.mayOrder,

		InNeed: func(id fleet.EndpointID) bool { return g.health.Signals.InNeed(g.Now(), id) },

		LearnedStoreLoads: g.board.StoreLoads,
	}
	g.handler = cfg.Door(g)
	return g, nil
}

// setShared sets what is told to other hosts.
func (g *Gateway) setShared() {
	g.blocks.sum, g.blocks.all = g.guard.Blocks.Sum, g.guard.Blocks.All
	g.signals.sum = g.health.Signals.Sum
	g.signals.all = func(time.Time) []fleet.EndpointSignal { return g.health.Signals.All() }
}

// listen opens all listeners. That for callers stays unserved until the first
// configuration is known.
func (g *Gateway) listen() error {
	cert, fingerprint, err := peer.SelfSigned(g.Now())
	if err != nil {
		return errors.Wrap(err, "peer key")
	}
	g.mesh = newMesh(g.self.Host, fingerprint)
	node, err := peer.ListenPinned(g.settings.Listen.Peers, cert, g.mesh.known, g.answerPeer)
	if err != nil {
		return err
	}
	g.mesh.node = node
	g.self.Addr = node.Addr()
	g.mesh.member = relay.Member{Name: g.self.Host, Addr: g.self.Addr, Zone: g.settings.Zone, Cores: g.settings.cores()}
	if g.readiness, err = net.Listen("tcp", g.settings.Listen.Readiness); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "readiness"), node.Close())
	}
	if g.callers, err = net.Listen("tcp", g.settings.Listen.Callers); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "callers"), errors.CombineErrors(node.Close(), g.readiness.Close()))
	}
	if g.settings.Listen.Metrics == "" {
		return nil
	}
	if g.metricsOn, err = net.Listen("tcp", g.settings.Listen.Metrics); err != nil {
		// A host without metrics serves as well as one with them.
		g.log.Warn("metrics are not served", "error", err)
	}
	return nil
}

// Now is the host's clock. Only differences of its times are used, which jumps
// of the time of day do not change.
func (g *Gateway) Now() time.Time { return time.Now() }

// connectionLimit divides the connections of an endpoint among the hosts.
func (g *Gateway) connectionLimit(e fleet.Endpoint) int {
	limit := 0
	if c := g.config.Load(); c != nil {
		limit = c.Services[e.Service].ConnectionLimit
	}
	return max(minConnections, int(float64(limit)*connectionShare)/g.mesh.hosts())
}

// locator tells the dispatcher where models are.
type locator struct {
	board  *fleet.Board
	config func() *fleet.Config
}

// Find implements serve.Placement.
func (l locator) Find(now time.Time, n serve.Need) serve.Found {
	at := l.board.Locate(now, n.Service, n.Model, n.Adapter)
	c := l.config()
	return serve.Found{
		Ready:    at.Ready,
		ComingAt: at.ComingAt,
		FarUntil: at.FarUntil,
		Known:    at.Known,
		Unnamed:  c != nil && !c.Names(n.Service, n.Model, n.Adapter),
	}
}

// mayOrder guards orders where endpoints do not check fencing tokens.
func (g *Gateway) mayOrder() bool {
	if g.settings.Orders.EndpointsCheckTokens {
		return true
	}
	now := g.Now()
	return g.lease.May(now, g.election.Held(), g.listAge(now), g.mesh.names())
}

// takeoverLease is how long after a holder's last sign of life another may give
// orders. Where endpoints refuse old tokens, a former holder that still lives
// does no harm, and half of the lease is enough for its last orders to end.
func (g *Gateway) takeoverLease() time.Duration {
	if g.settings.Orders.EndpointsCheckTokens {
		return g.settings.Timing.Lease / 2
	}
	return g.settings.Timing.Lease
}

// takeoverSettle is how long a former holder that cannot know of a claim may still
// give orders, where endpoints do not check tokens.
func (g *Gateway) takeoverSettle() time.Duration {
	if g.settings.Orders.EndpointsCheckTokens {
		return 0
	}
	return orders.Settle(g.settings.Timing.Lease)
}

// wantReport asks for a demand report at once.
func (g *Gateway) wantReport() { signal(g.reportNow) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	g.started = g.Now()
	g.log.Info("start", "zone", g.settings.Zone, "callers", g.callers.Addr().String(), "peers", g.self.Addr)
	group, ctx := errgroup.WithContext(ctx)
	// Loops end only after the last request, which needs them.
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	for _, loop := range g.loops() {
		go loop(loops)
	}
	front := g.frontServer()
	group.Go(func() error {
		return serveUntilClosed(&http.Server{Handler: http.HandlerFunc(g.serveReadiness), ReadHeaderTimeout: readinessTimeout}, g.readiness)
	})
	if g.metricsOn != nil {
		group.Go(func() error {
			return serveUntilClosed(&http.Server{Handler: g.metrics.handler, ReadHeaderTimeout: readinessTimeout}, g.metricsOn)
		})
	}
	group.Go(func() error {
		if !g.awaitConfig(ctx) {
			return nil
		}
		g.limitFront(front)
		g.serving.Store(true)
		return serveUntilClosed(front, g.callers)
	})
	group.Go(func() error {
		<-ctx.Done()
		g.stop(loops, front)
		return nil
	})
	err := group.Wait()
	g.log.Info("stop", "error", err)
	return err
}

func serveUntilClosed(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// loops returns the background work of a host.
func (g *Gateway) loops() []func(context.Context) {
	return []func(context.Context){
		g.followConfig,
		g.followEndpoints,
		g.followHosts,
		g.followClaims,
		g.followCrashes,
		g.keepCrashes,
		g.announce,
		g.mesh.serve,
		g.followController,
		g.control,
		g.elect,
		g.maintain,
	}
}

// every calls f with a period until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}
