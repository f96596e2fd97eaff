package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/links"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/proxy"
	"github.com/tealvane/tealvane/pkg/signals"
	"github.com/tealvane/tealvane/pkg/upstream"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const (
	// proxiedPerCore is the number of requests that a host sends for others at once per core, and
	// minProxied the least.
	proxiedPerCore = 300
	minProxied     = 32
	// proxiedMemoryDivisor is the share, as a divisor, of a host's memory that the bodies of these
	// requests may take. defaultMemoryMB applies where the memory is not configured.
	proxiedMemoryDivisor = 16
	defaultMemoryMB      = 256
)

// EndpointTransport sends requests to endpoints.
type EndpointTransport interface {
	// Do sends a request over this host's own connections. An error marked upstream.ErrNotSent means
	// that nothing was sent.
	Do(ctx context.Context, e fleet.Endpoint, r upstream.Request) (*http.Response, error)
	// Send is like Do, but may send the request by way of another host, whose name it returns.
	Send(ctx context.Context, e fleet.Endpoint, r upstream.Request) (resp *http.Response, via string, err error)
	// Observe applies the signals in a response to a request that Do has sent.
	Observe(e fleet.Endpoint, s signals.Response, sent time.Time)
}

// newEndpointTransport returns the transport for requests to endpoints.
func (g *Gateway) newEndpointTransport() *proxy.SlotTransport {
	t := &proxy.SlotTransport{
		Sender:        proxy.DirectOnly{Transport: g.transport},
		Slots:         g.slots,
		MaxRejections: g.maxRejections,
		Host:          g.proxyHost,
		OnSignals:     g.observeSignals,
		Count:         func(result string) { g.metrics.count("brittle_sends", map[string]string{"slot": result}) },
	}
	if !g.settings.Endpoints.ViaPeers {
		return t
	}
	g.transport.OnLink = g.recordLink
	g.transport.OnViolation = g.recordViolation
	t.Open = g.openStream
	t.Sender = &proxy.Transport{
		Direct:  g.transport,
		Links:   g.links.Table,
		Helpers: g.helpers,
		Open:    g.openStream,
		Now:     g.Now,
		OnSlow:  g.recordSlowConnect,
	}
	return t
}

// newProxyServer returns the server of requests that other hosts send by way of this one.
func (g *Gateway) newProxyServer() *proxy.Server {
	memory := g.settings.Limits.MemoryMB
	if memory == 0 {
		memory = defaultMemoryMB
	}
	return &proxy.Server{
		Direct:      g.transport,
		Endpoint:    func(id fleet.EndpointID) (fleet.Endpoint, bool) { return g.directory.InUse(g.Now(), id) },
		Unreachable: func(id fleet.EndpointID) bool { return g.links.Table.State(id) != links.Up },
		LinksLost:   g.linksLost,
		Stopping:    g.stopping.Load,
		Limits: proxy.Limits{
			Requests: max(minProxied, int(proxiedPerCore*g.settings.cores())),
			Bytes:    memory << 20 / proxiedMemoryDivisor,
		},
		Slots:       g.slots,
		Rejected:    g.endpoints.Rejected,
		OwnResponse: g.endpoints.OwnResponse,
		Count:       func(result string) { g.metrics.count("peer_requests", map[string]string{"result": result}) },
	}
}

// proxyHosts returns the other hosts that may send requests for this one.
func (g *Gateway) proxyHosts() []proxy.Host {
	reachable := g.mesh.reachable(g.Now())
	slices.Sort(reachable)
	var out []proxy.Host
	for _, m := range g.mesh.others() {
		if _, ok := slices.BinarySearch(reachable, m.Addr); ok {
			out = append(out, proxy.Host{Name: m.Name, Addr: m.Addr, Zone: m.Zone, Cores: m.Cores})
		}
	}
	return out
}

// proxyHost returns another host that may send requests for this one.
func (g *Gateway) proxyHost(name string) (proxy.Host, bool) {
	e, ok := g.mesh.peer(name)
	return proxy.Host{Name: name, Addr: e.Addr, Zone: e.Zone, Cores: e.Cores}, ok
}

// openStream implements proxy.Open.
func (g *Gateway) openStream(ctx context.Context, addr string, r peer.Request) (proxy.Stream, error) {
	s, err := g.mesh.node.Open(ctx, addr, r)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// handleProxyStream implements peer.StreamHandler.
func (g *Gateway) handleProxyStream(ctx context.Context, s *peer.Stream, r peer.ProxyRequest, known bool) {
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier(r.Trace))
	ctx, span := g.server.Tracer.Start(ctx, "proxy", trace.WithAttributes(attribute.String("endpoint", string(r.Endpoint))))
	defer span.End()
	g.proxy.Serve(ctx, s, r, known)
}
