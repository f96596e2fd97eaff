package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/tealvane/tealvane/internal/clientconn"
	"github.com/tealvane/tealvane/internal/drain"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/bodybudget"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

const (
	// readinessTimeout bounds reading the headers of a health check.
	readinessTimeout = 2 * time.Second
	// readinessPropagation is how long the load balancer may keep sending new connections after
	// a host has become unready, about two health checks.
	readinessPropagation = 2300 * time.Millisecond
	// shutdownMargin is reserved at the end of the shutdown time.
	shutdownMargin = 700 * time.Millisecond
	// releaseMargin is how long before the end of the shutdown time a host gives up releasing its claim.
	releaseMargin = 2 * time.Second
	// bodyMemoryDivisor is the share, as a divisor, of a host's memory that the bodies of clients' requests
	// may take together.
	bodyMemoryDivisor = 4
	// minHeaderBytes is the minimum header size allowed to clients, whatever the configuration.
	minHeaderBytes = 8 << 10
	// idleMargin is added to the idle timeout of clients, so that the host does not close a
	// connection that a client is about to reuse.
	idleMargin = time.Second
	// configPollInterval is how often a starting host checks for its first configuration.
	configPollInterval = 20 * time.Millisecond
)

// Admit resolves the route and the account of a request, with the weight of the account. The route is resolved first, since it
// determines whether a key is required.
func (g *Gateway) Admit(host, path string, keys []string) (serve.Admission, error) {
	c := g.config.Load()
	if c == nil {
		return serve.Admission{}, g.notReady()
	}
	r, ok := c.Match(host, path)
	if !ok {
		g.metrics.count("unrouted", nil)
		return serve.Admission{}, g.denial(serve.ErrNoRoute)
	}
	account, ok := c.Account(r, keys)
	if !ok {
		g.metrics.count("unauthenticated", nil)
		return serve.Admission{}, g.denial(serve.ErrNoAccount)
	}
	if !g.storeReads.Loaded(fleet.TopicEndpoints) {
		return serve.Admission{}, g.notReady()
	}
	if account.Priority != nil {
		r.Priority = *account.Priority
	}
	account.Weight = g.settings.AccountWeight(account.Name)
	return serve.Admission{Route: r, Service: r.Choose(rand.IntN), Account: account}, nil
}

// denial returns the error for a request that the configuration does not allow. An isolated host may
// lack the configuration that does, and clients do not retry after a denial, so it reports that it
// has no configuration.
func (g *Gateway) denial(reason error) error {
	if g.listViewAge(g.Now()) > maxListAge {
		return serve.ErrNoConfig
	}
	return reason
}

// Limits returns the limits of the configuration in force.
func (g *Gateway) Limits() fleet.Limits {
	if c := g.config.Load(); c != nil {
		return c.Limits
	}
	return fleet.Limits{}
}

// Bodies returns the memory for the bodies of clients' requests.
func (g *Gateway) Bodies() *bodybudget.Budget { return g.bodies }

// ShuttingDown reports whether the host is shutting down.
func (g *Gateway) ShuttingDown() bool { return g.stopping.Load() }

// Serve serves a request and records its result.
func (g *Gateway) Serve(ctx context.Context, r *serve.Request, sink serve.Sink) {
	ctx, span := g.server.Tracer.Start(ctx, "request", trace.WithAttributes(
		attribute.String("id", r.ID),
		attribute.String("route", r.Route.Name),
	))
	defer span.End()
	result := g.server.Serve(ctx, r, sink)
	span.SetAttributes(attribute.String("outcome", result.Outcome()))
	g.metrics.result(result)
	g.logResult(result)
}

// logResult logs the result of a request.
func (g *Gateway) logResult(r serve.Result) {
	g.log.Info("request", append(r.LogAttrs(), "config", g.configVersion(), "claim", g.locator.Token())...)
}

// clientServer returns the server of client requests, whose connections are tracked.
func (g *Gateway) clientServer(conns *drain.Tracker) *http.Server {
	return &http.Server{Handler: g.handler, ConnContext: clientconn.Save, ConnState: conns.Track}
}

// applyLimits applies the configured limits to the server.
func (g *Gateway) applyLimits(s *http.Server) {
	l := g.Limits()
	s.ReadHeaderTimeout = l.HeaderTimeout
	s.IdleTimeout = l.IdleTimeout + idleMargin
	s.MaxHeaderBytes = max(minHeaderBytes, l.MaxHeaderBytes)
}

// Addr returns the address that clients connect to.
func (g *Gateway) Addr() string { return g.clientListener.Addr().String() }

// Ready reports whether the load balancer should send clients here. A host needs its entry in
// the store to receive updates from other hosts, and their entries to send requests to them.
func (g *Gateway) Ready() bool {
	return g.serving.Load() && g.announced.Load() && g.storeReads.Loaded(fleet.TopicHosts) && !g.stopping.Load()
}

func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// awaitConfig blocks until the first configuration and list of endpoints are known. While the other
// hosts are not, limits that all hosts share are divided by an assumed number (see sharingHosts). It
// reports false if ctx ends first.
func (g *Gateway) awaitConfig(ctx context.Context) bool {
	for g.config.Load() == nil || !g.storeReads.Loaded(fleet.TopicEndpoints) {
		if !wait.For(ctx, configPollInterval) {
			return false
		}
	}
	g.log.Info("host ready", "config", g.config.Load().Version)
	return true
}

// stop shuts the host down gracefully. The host reports itself unready, serves until the load
// balancer has noticed, releases the claim and waits for requests in flight. Requests on open connections
// get an answer, which closes their connection.
func (g *Gateway) stop(ctx context.Context, conns *drain.Tracker, servers ...*http.Server) {
	start := g.Now()
	g.log.Info("host stopping")
	g.stopping.Store(true)
	g.slots.RecordDown(g.self.Host)
	end := start.Add(g.settings.Timing.Shutdown - shutdownMargin)
	g.dispatcher.EndAt(end)
	go g.releaseClaim(ctx, start.Add(g.settings.Timing.Shutdown-releaseMargin))
	wait.For(ctx, readinessPropagation)
	ctx, cancel := context.WithTimeout(ctx, end.Sub(g.Now()))
	defer cancel()
	conns.Wait(ctx)
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			g.log.Warn("shutdown incomplete; closing the remaining connections", "error", err)
			_ = s.Close() // The process exits now.
		}
	}
	g.proxy.Wait(ctx)
	_ = g.clientListener.Close() // Shutdown has closed it unless the host never became ready.
	_ = g.readinessListener.Close()
	if g.metricsListener != nil {
		_ = g.metricsListener.Close()
	}
	if err := g.mesh.node.Close(); err != nil {
		g.log.Info("closing the peer listener failed", "error", err)
	}
}
