package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

const (
	// readinessTimeout bounds a health check's headers.
	readinessTimeout = 2 * time.Second
	// readinessLag is how long the balancer may still send new connections after
	// a host has said that it is not ready: two checks, one a second.
	readinessLag = 2300 * time.Millisecond
	// shutdownMargin is kept of the time until the host is killed.
	shutdownMargin = 700 * time.Millisecond
	// waitMargin is how long before it is killed a stopping host refuses what
	// still waits. A request that had reached no endpoint by then would be cut
	// without an answer.
	waitMargin = 2 * time.Second
	// minHeaderBytes is allowed to clients in any case.
	minHeaderBytes = 8 << 10
	// idleMargin is added to the time for which clients may reuse an idle
	// connection, so that no request crosses the host's close.
	idleMargin = time.Second
	// configPoll is how often a starting host looks for its first configuration.
	configPoll = 20 * time.Millisecond
)

// Admit implements the door's view of the host. The route comes first: it decides whether a
// key is needed.
func (g *Gateway) Admit(host, path string, keys []string) (serve.Admission, error) {
	c := g.config.Load()
	if c == nil {
		return serve.Admission{}, serve.ErrNoConfig
	}
	r, ok := c.Match(host, path)
	if !ok {
		g.metrics.count("unrouted", nil)
		return serve.Admission{}, serve.ErrNoRoute
	}
	account, ok := c.Account(r, keys)
	if !ok {
		g.metrics.count("unauthenticated", nil)
		return serve.Admission{}, g.noAccount()
	}
	if account.Priority != nil {
		r.Priority = *account.Priority
	}
	return serve.Admission{Route: r, Service: r.Choose(rand.IntN), Account: account}, nil
}

// noAccount says that no account has a key, or that this host cannot know: cut off, it may
// lack a configuration that has it, and clients do not come back after a denial.
func (g *Gateway) noAccount() error {
	if g.viewAge(g.Now()) > maxListAge {
		return serve.ErrNoConfig
	}
	return serve.ErrNoAccount
}

// Limits implements the door's view of the host.
func (g *Gateway) Limits() fleet.Limits {
	if c := g.config.Load(); c != nil {
		return c.Limits
	}
	return fleet.Limits{}
}

// Leaving implements the door's view of the host.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// Serve implements the door's view of the host.
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

// logResult writes one line for a request, with what decided it.
func (g *Gateway) logResult(r serve.Result) {
	g.log.Info("request", append(r.LogAttrs(), "config", g.configVersion(), "claim", g.board.Token())...)
}

// frontServer serves the callers. Its error log would repeat what clients do.
func (g *Gateway) frontServer() *http.Server { return &http.Server{Handler: g.handler} }

// limitFront applies the operator's limits to the server.
func (g *Gateway) limitFront(s *http.Server) {
	l := g.Limits()
	s.ReadHeaderTimeout = l.HeaderTimeout
	s.IdleTimeout = l.IdleTimeout + idleMargin
	s.MaxHeaderBytes = max(minHeaderBytes, l.MaxHeaderBytes)
}

// Addr is where clients reach the host.
func (g *Gateway) Addr() string { return g.callers.Addr().String() }

// Ready tells whether the balancer should send clients here. A host whose entry
// is not in the store is not told of anything by other hosts, and one that has not read
// theirs cannot ask them.
func (g *Gateway) Ready() bool {
	return g.serving.Load() && g.announced.Load() && g.reads.Loaded(fleet.TopicHosts) && !g.leaving.Load()
}

func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// awaitConfig waits for the first configuration and list of endpoints.
func (g *Gateway) awaitConfig(ctx context.Context) bool {
	for g.config.Load() == nil || !g.reads.Loaded(fleet.TopicEndpoints) {
		if !wait.For(ctx, configPoll) {
			return false
		}
	}
	g.log.Info("ready", "config", g.config.Load().Version)
	return true
}

// stop ends the host gracefully: it leaves the balancer's rotation first and
// goes on to serve until the balancer has noticed, hands the claim on, and lets
// requests in flight end.
func (g *Gateway) stop(ctx context.Context, front *http.Server) {
	start := g.Now()
	g.log.Info("stopping")
	g.leaving.Store(true)
	end := start.Add(g.settings.Timing.Shutdown - waitMargin)
	g.dispatcher.CloseAt(end)
	go g.releaseClaim(ctx, end)
	wait.For(ctx, readinessLag)
	limit := g.settings.Timing.Shutdown - shutdownMargin - g.Now().Sub(start)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		g.log.Warn("requests were cut by the end of the shutdown", "error", err)
		_ = front.Close() // The process ends now.
	}
	_ = g.callers.Close() // Shutdown has closed it unless it was never served.
	_ = g.readiness.Close()
	if g.metricsOn != nil {
		_ = g.metricsOn.Close()
	}
	if err := g.mesh.node.Close(); err != nil {
		g.log.Info("peer listener", "error", err)
	}
}
