package gateway

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/drain"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/relay"
	"golang.org/x/sync/errgroup"
)

// listen opens all listeners. Until the first configuration is known, client requests are refused.
func (g *Gateway) listen() error {
	cert, fingerprint, err := peer.SelfSigned(g.Now())
	if err != nil {
		return errors.Wrap(err, "create peer key")
	}
	g.mesh = newMesh(g.self.Host, fingerprint)
	node, err := peer.ListenPinned(g.settings.Listen.Peers, cert, g.mesh.isKnown, g.handlePeer)
	if err != nil {
		return err
	}
	node.HandleStream = g.handleProxyStream
	g.attach(node)
	if g.readinessListener, err = net.Listen("tcp", g.settings.Listen.Readiness); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "listen for readiness checks"), node.Close())
	}
	if g.clientListener, err = net.Listen("tcp", g.settings.Listen.Callers); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "listen for clients"), errors.CombineErrors(node.Close(), g.readinessListener.Close()))
	}
	if g.settings.Listen.Metrics == "" {
		return nil
	}
	if g.metricsListener, err = net.Listen("tcp", g.settings.Listen.Metrics); err != nil {
		// A host without metrics can still serve requests.
		g.log.Warn("listening for metrics failed; metrics are not served", "error", err)
	}
	return nil
}

// attach connects the host to the others.
func (g *Gateway) attach(node messenger) {
	g.mesh.node = node
	g.self.Addr = node.Addr()
	g.mesh.member = relay.Member{Name: g.self.Host, Addr: g.self.Addr, Zone: g.settings.Zone, Cores: g.settings.cores()}
}

// Run serves until ctx is done, then shuts down gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	g.startedAt = g.Now()
	g.log.Info("host starting", "zone", g.settings.Zone, "callers", g.clientListener.Addr().String(), "peers", g.self.Addr)
	group, ctx := errgroup.WithContext(ctx)
	// The loops must outlive the last request.
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	for _, loop := range g.loops() {
		go loop(loops)
	}
	conns := drain.NewTracker()
	early, server := g.earlyServer(), g.clientServer(conns)
	group.Go(func() error {
		return serveUntilClosed(&http.Server{Handler: http.HandlerFunc(g.serveReadiness), ReadHeaderTimeout: readinessTimeout}, g.readinessListener)
	})
	if g.metricsListener != nil {
		group.Go(func() error {
			return serveUntilClosed(&http.Server{Handler: g.metrics.handler, ReadHeaderTimeout: readinessTimeout}, g.metricsListener)
		})
	}
	group.Go(func() error { return g.serveClients(ctx, early, server) })
	group.Go(func() error {
		<-ctx.Done()
		g.stop(loops, conns, server, early)
		return nil
	})
	err := group.Wait()
	g.log.Info("host stopped", "error", err)
	return err
}

func serveUntilClosed(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// loops returns the background tasks of a host.
func (g *Gateway) loops() []func(context.Context) {
	return []func(context.Context){
		g.join,
		g.fetchStartState,
		g.followConfig,
		g.followEndpoints,
		g.followHosts,
		g.followClaims,
		g.followCrashes,
		g.storeCrashes,
		g.streams.Run,
		g.announce,
		g.mesh.serve,
		g.followController,
		g.control,
		g.elect,
		g.maintain,
	}
}
