// Package entryhost is one entry host: it takes requests from callers, waits
// for replicas, calls endpoints and takes its part in owning pools. It joins
// the decision packages, which do no I/O, with the adapters.
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
	"github.com/tealvane/tealvane/pkg/completion"
	"github.com/tealvane/tealvane/pkg/dispatch"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/journal"
	"github.com/tealvane/tealvane/pkg/lease"
	"github.com/tealvane/tealvane/pkg/membership"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/settings"
	"github.com/tealvane/tealvane/pkg/shares"
	"github.com/tealvane/tealvane/pkg/state"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"
)

// Config is what an entry host is made of.
type Config struct {
	Settings settings.Settings
	Log      external.Log
	Engine   external.Engine
	HostList external.HostList
	// Store may be nil; the settings then say what the weight store allows.
	Store external.WeightStore
	// PeerTLS is the identity towards other entry hosts.
	PeerTLS *tls.Config
	Logger  *slog.Logger
	Tracer  trace.TracerProvider
}

// Host is one running entry host.
type Host struct {
	settings settings.Settings
	self     record.HostRef
	engine   external.Engine
	list     external.HostList
	store    external.WeightStore
	logger   *slog.Logger
	provider trace.TracerProvider
	tracer   trace.Tracer
	metrics  *metrics

	state   *state.State
	journal *journal.Journal
	ledger  *dispatch.Ledger
	peers   peer.Sender
	// peerAddr is where other entry hosts reach this one.
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
	queues *shares.Queues
	guard  *guard
	runner *completion.Runner

	ownersMu sync.Mutex
	owners   map[string]*owner

	reportNow chan struct{}
	joined    atomic.Bool
	stopping  atomic.Bool
	deferred  *deferredRunner
}

// New opens the listeners of a host; Run serves them.
func New(cfg Config) (*Host, error) {
	h := newHost(cfg)
	node, err := peer.Listen(cfg.Settings.Peers.Listen, cfg.PeerTLS, peer.HandlerResponder(peerHandler{h}))
	if err != nil {
		return nil, err
	}
	h.node = node
	callers, err := net.Listen("tcp", cfg.Settings.Callers.Listen)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "callers"), node.Close())
	}
	h.callers = newDrainListener(callers.(*net.TCPListener))
	if h.operators, err = net.Listen("tcp", cfg.Settings.Operators.Listen); err != nil {
		closeErr := errors.CombineErrors(h.callers.Close(), node.Close())
		return nil, errors.CombineErrors(errors.Wrap(err, "operators"), closeErr)
	}
	h.connect(cfg.Log, node, node.Addr())
	return h, nil
}

// newHost returns a host without any connection to others.
func newHost(cfg Config) *Host {
	h := &Host{
		settings: cfg.Settings,
		self: record.HostRef{
			Host:        cfg.Settings.Host,
			Incarnation: record.Incarnation(uuid.Must(uuid.NewV7()).String()),
		},
		engine:    cfg.Engine,
		list:      cfg.HostList,
		store:     cfg.Store,
		logger:    cfg.Logger.With("host", cfg.Settings.Host),
		provider:  cfg.Tracer,
		tracer:    cfg.Tracer.Tracer("github.com/tealvane/tealvane"),
		metrics:   newMetrics(),
		state:     state.New(),
		members:   membership.NewTracker(),
		watch:     lease.NewWatcher(cfg.Settings.Timing.SessionTTL),
		health:    serve.NewHealth(),
		owners:    map[string]*owner{},
		reportNow: make(chan struct{}, 1),
	}
	h.queues = shares.NewQueues(shares.Config{
		Zone:     h.settings.Zone,
		Replicas: replicas{h},
		Health:   h.health,
		Now:      h.now,
		Terms:    terms,
		Wanted:   h.reportSoon,
		Refused:  h.metrics.refusal,
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

// connect joins the host with the log and the other hosts. addr is where
// other hosts reach this one, unless the settings name another address.
func (h *Host) connect(log external.Log, peers peer.Sender, addr string) {
	h.peers = peers
	h.peerAddr = addr
	if h.settings.Peers.Advertise != "" {
		h.peerAddr = h.settings.Peers.Advertise
	}
	h.journal = journal.New(log, peer.Reader{Peers: peers, Addrs: h.peerAddrs}, h.state, h.metrics.record)
	h.ledger = dispatch.NewLedger(h.self, h.journal, h.state.Keys, h.settings.Timing.BatchInterval, h.now)
	h.deferred = newDeferredRunner(h)
}

// loops are the host's own activities, apart from its servers.
func (h *Host) loops() []func(context.Context) {
	return []func(context.Context){
		h.journal.Run, h.ledger.Run, h.runSession, h.runClaims, h.runMembers, h.runOwners,
		h.runUsage, h.runPump, h.runUpkeep, h.deferred.run, h.guard.runDecisions, h.guard.runTold,
	}
}

// CallersAddr is the address on which callers are served.
func (h *Host) CallersAddr() string { return h.callers.Addr().String() }

// OperatorsAddr is the address on which operators are served.
func (h *Host) OperatorsAddr() string { return h.operators.Addr().String() }

func (h *Host) now() time.Time { return time.Now() }

// Run serves until ctx ends and then shuts down gracefully: no request is cut
// and the pools are handed over. Requests that take longer than the drain
// timeout are cut.
func (h *Host) Run(ctx context.Context) error {
	callers, err := h.door().Server(h.provider)
	if err != nil {
		return err
	}
	operators, err := h.operatorsServer()
	if err != nil {
		return err
	}
	defer h.metrics.closer.Close()
	h.askStore(ctx)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	for _, loop := range append(h.loops(), h.node.Serve) {
		group.Go(func() error {
			loop(work)
			return nil
		})
	}
	conns := newOpenConns()
	callers.ConnState = conns.note
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

// Ready tells whether the host should get requests from the balancer. A fresh
// host is not ready before it has caught up, or it would serve by contracts
// that are no longer in force.
func (h *Host) Ready() bool {
	return h.journal.CaughtUp() && !h.stopping.Load()
}
