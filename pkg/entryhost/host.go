// Package entryhost implements an entry host: it accepts requests from callers, queues them until
// a replica is available, dispatches them to endpoints and takes part in the ownership of pools.
// It connects the packages that make decisions without I/O to the adapters for external systems.
package entryhost

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/tealvane/tealvane/internal/drain"
	"github.com/tealvane/tealvane/pkg/completion"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/fairqueue"
	"github.com/tealvane/tealvane/pkg/idempotency"
	"github.com/tealvane/tealvane/pkg/journal"
	"github.com/tealvane/tealvane/pkg/lease"
	"github.com/tealvane/tealvane/pkg/membership"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/settings"
	"github.com/tealvane/tealvane/pkg/state"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"
)

// Config configures a Host.
type Config struct {
	Settings settings.Settings
	Log      external.Log
	Engine   external.Engine
	HostList external.HostList
	// Store is optional. Without it, the limits of the weight store come from Settings.
	Store external.WeightStore
	// PeerTLS authenticates this host to the other entry hosts.
	PeerTLS *tls.Config
	Logger  *slog.Logger
	Tracer  trace.TracerProvider
}

// Host is an entry host.
type Host struct {
	settings settings.Settings
	self     record.HostRef
	engine   external.Engine
	hostList external.HostList
	store    external.WeightStore
	logger   *slog.Logger
	provider trace.TracerProvider
	tracer   trace.Tracer
	metrics  *metrics

	state     *state.State
	journal   *journal.Journal
	keyClaims *idempotency.Claims
	peers     peer.Sender
	// peerAddr is the address at which other entry hosts reach this one.
	peerAddr string
	node     *peer.Node

	callers   *drainListener
	operators net.Listener

	membersMu sync.Mutex
	members   *membership.Tracker
	listed    []external.ListedHost

	watchMu sync.Mutex
	watch   *lease.Watcher

	health *serve.Health
	queues *fairqueue.Queues
	guard  *guard
	runner *completion.Runner

	poolRunnersMu sync.Mutex
	poolRunners   map[string]*poolRunner

	usageReportDue chan struct{}
	joined         atomic.Bool
	stopping       atomic.Bool
	deferred       *deferredRunner
}

// New returns a Host with open listeners. Call Run to serve them.
func New(cfg Config) (*Host, error) {
	h := newHost(cfg)
	node, err := peer.Listen(cfg.Settings.Peers.Listen, cfg.PeerTLS, peer.HandlerResponder(peerHandler{h}))
	if err != nil {
		return nil, err
	}
	h.node = node
	callers, err := net.Listen("tcp", cfg.Settings.Callers.Listen)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "listen for callers"), node.Close())
	}
	h.callers = newDrainListener(callers.(*net.TCPListener))
	if h.operators, err = net.Listen("tcp", cfg.Settings.Operators.Listen); err != nil {
		closeErr := errors.CombineErrors(h.callers.Close(), node.Close())
		return nil, errors.CombineErrors(errors.Wrap(err, "listen for operators"), closeErr)
	}
	h.connect(cfg.Log, node, node.Addr())
	return h, nil
}

// newHost returns a host that is not yet connected to the log or to peers.
func newHost(cfg Config) *Host {
	h := &Host{
		settings: cfg.Settings,
		self: record.HostRef{
			Host:        cfg.Settings.Host,
			Incarnation: record.Incarnation(uuid.Must(uuid.NewV7()).String()),
		},
		engine:         cfg.Engine,
		hostList:       cfg.HostList,
		store:          cfg.Store,
		logger:         cfg.Logger.With("host", cfg.Settings.Host),
		provider:       cfg.Tracer,
		tracer:         cfg.Tracer.Tracer("github.com/tealvane/tealvane"),
		metrics:        newMetrics(),
		state:          state.New(),
		members:        membership.NewTracker(),
		watch:          lease.NewWatcher(cfg.Settings.Timing.SessionTTL),
		health:         serve.NewHealth(),
		poolRunners:    map[string]*poolRunner{},
		usageReportDue: make(chan struct{}, 1),
	}
	h.queues = fairqueue.NewQueues(fairqueue.Config{
		Zone:      h.settings.Zone,
		Replicas:  replicas{h},
		Health:    h.health,
		Now:       h.now,
		Terms:     requestTerms,
		OnDemand:  h.triggerUsageReport,
		OnRefused: h.metrics.recordRefusal,
	})
	h.guard = newGuard(h)
	h.runner = completion.NewRunner(completion.Config{
		Engine: h.engine,
		Queue:  h.queues,
		Health: h.health,
		Guard:  h.guard,
		Keys:   keys{h},
		Meter:  h.metrics,
		Logger: h.logger,
		Tracer: h.tracer,
		Now:    h.now,
		Cold:   h.cold,
	})
	return h
}

// connect attaches the host to the log and to its peers. Other hosts reach this one at addr,
// unless the settings contain an address to advertise.
func (h *Host) connect(log external.Log, peers peer.Sender, addr string) {
	h.peers = peers
	h.peerAddr = addr
	if h.settings.Peers.Advertise != "" {
		h.peerAddr = h.settings.Peers.Advertise
	}
	h.journal = journal.New(log, peer.Reader{Peers: peers, Addrs: h.peerAddrs}, h.state, h.metrics.recordOutcome)
	h.keyClaims = idempotency.NewClaims(h.self, h.journal, h.state.Keys, h.settings.Timing.BatchInterval, h.now)
	h.deferred = newDeferredRunner(h)
}

// loops returns the background loops of the host. They run until their context ends.
func (h *Host) loops() []func(context.Context) {
	return []func(context.Context){
		h.journal.Run, h.keyClaims.Run, h.runSession, h.runClaims, h.runMembership, h.runPools,
		h.runUsageReports, h.runQueues, h.runMaintenance, h.deferred.run, h.guard.runDecisions, h.guard.runCrashReports,
	}
}

// CallersAddr returns the listen address of the callers' API.
func (h *Host) CallersAddr() string { return h.callers.Addr().String() }

// OperatorsAddr returns the listen address of the operators' API.
func (h *Host) OperatorsAddr() string { return h.operators.Addr().String() }

func (h *Host) now() time.Time { return time.Now() }

// Run serves until ctx ends and then shuts down gracefully: it hands its pools over and lets
// requests in progress finish. Requests that exceed the drain timeout are aborted.
func (h *Host) Run(ctx context.Context) error {
	callers, err := h.callersAPI().Server(h.provider)
	if err != nil {
		return err
	}
	operators, err := h.operatorsServer()
	if err != nil {
		return err
	}
	defer h.metrics.closer.Close()
	h.applyStoreLimits(ctx)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	for _, loop := range append(h.loops(), h.node.Serve) {
		group.Go(func() error {
			loop(work)
			return nil
		})
	}
	conns := drain.NewTracker()
	callers.ConnState = conns.Track
	group.Go(func() error { return serveHTTP(callers, h.callers) })
	group.Go(func() error { return serveHTTP(operators, h.operators) })
	h.logger.Info("serving", "callers", h.CallersAddr(), "operators", h.OperatorsAddr(), "peers", h.node.Addr())
	<-ctx.Done()
	h.drain(work, &callersServer{Server: callers, listener: h.callers, conns: conns})
	stop()
	closeErr := errors.CombineErrors(operators.Close(), h.node.Close())
	return errors.CombineErrors(group.Wait(), closeErr)
}

func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Ready reports whether the load balancer should send requests to the host. A new host is not
// ready until it has caught up with the log, so that it never serves requests under outdated
// contracts.
func (h *Host) Ready() bool {
	return h.journal.CaughtUp() && !h.stopping.Load()
}
