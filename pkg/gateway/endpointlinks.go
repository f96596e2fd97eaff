package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/links"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// recordLink records an attempt to connect to an endpoint, or a connection whose data was not acknowledged.
func (g *Gateway) recordLink(id fleet.EndpointID, err error) {
	switch {
	case err == nil:
		g.links.Table.RecordConnected(id)
		g.health.RecordReached(id)
		return
	case errors.Is(err, upstream.ErrConnectSlow):
		g.recordSlowConnect(id)
		return
	}
	g.transport.CloseIdle(id)
	if g.links.Table.RecordFailed(g.Now(), id) {
		g.startSample(id)
	}
}

// recordViolation records that an endpoint has sent something else than a response. It is used only as a last
// resort for a while, as after a failed connection.
func (g *Gateway) recordViolation(id fleet.EndpointID, v upstream.Violation, bytes int) {
	g.health.RecordConnectionFailure(g.Now(), id)
	g.metrics.count("endpoint_protocol_violations", map[string]string{"kind": string(v)})
	g.log.Warn("endpoint sent no valid response", "endpoint", id.Name(), "kind", string(v), "bytes", bytes)
}

// recordSlowConnect records that connecting to an endpoint takes long.
func (g *Gateway) recordSlowConnect(id fleet.EndpointID) {
	if g.links.Table.RecordSlow(g.Now(), id) {
		g.startSample(id)
	}
}

// startSample takes a sample in the background if there are other hosts that could help.
func (g *Gateway) startSample(failed fleet.EndpointID) {
	if g.mesh.hosts() > 1 {
		go g.sampleLinks(context.Background(), failed)
	}
}

// sampleLinks finds out whether this host seems to have lost its links to endpoints. failed is an endpoint
// that could not be reached.
func (g *Gateway) sampleLinks(ctx context.Context, failed fleet.EndpointID) {
	g.logSample(g.prober.Sample(ctx, failed))
}

func (g *Gateway) logSample(r links.SampleResult) {
	if len(r.Crashed) > 0 {
		g.log.Info("endpoints cannot be reached by other hosts either", "endpoints", r.Crashed, "reached", r.Reached, "unreached", len(r.Unreached))
	}
	if !r.Changed {
		return
	}
	msg := "links to endpoints work again"
	if g.links.Table.Lost() {
		msg = "links to endpoints lost; requests are sent by way of other hosts"
	}
	g.log.Warn(msg, "reached", r.Reached, "unreached", len(r.Unreached), "links_down", g.links.Table.DownCount())
}

// newProber returns the prober of this host's links.
func (g *Gateway) newProber() *links.Prober {
	return &links.Prober{
		Links:     g.links,
		Now:       g.Now,
		Endpoints: g.endpointsInUse,
		Connect:   g.checkEndpoint,
		Hosts:     func(n int) []string { return g.mesh.sampleWithUnreachable(g.Now(), n) },
		Ask: func(ctx context.Context, addr string, ids []fleet.EndpointID) (links.Answer, error) {
			response, err := g.mesh.send(ctx, addr, peer.Request{Reach: ids})
			if err != nil || response.Reach == nil {
				return links.Answer{}, err
			}
			return *response.Reach, nil
		},
	}
}

// checkEndpoint connects to an endpoint.
func (g *Gateway) checkEndpoint(ctx context.Context, e fleet.Endpoint) error {
	err := g.transport.Check(ctx, e)
	switch {
	case errors.Is(err, upstream.ErrPoolExhausted):
		return errors.Mark(err, links.ErrNoResult)
	case errors.Is(err, syscall.ECONNREFUSED):
		return errors.Mark(err, links.ErrRefused)
	}
	return err
}

// endpointsInUse returns the endpoints that take requests.
func (g *Gateway) endpointsInUse() []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, v := range g.directory.Live(g.Now()) {
		if v.TakesRequests() {
			out = append(out, v.Endpoint)
		}
	}
	return out
}

// linksLost finds out whether this host seems to have lost its links to endpoints.
func (g *Gateway) linksLost(context.Context) bool {
	g.startSample("")
	return g.prober.Lost()
}

// checkLinks starts the checks that are due of links that are down or suspect.
func (g *Gateway) checkLinks(ctx context.Context, now time.Time) {
	if g.links.Table.ResampleDue(now) {
		g.startSample("")
	}
	if g.links.Table.DownCount() == 0 {
		return
	}
	for _, e := range g.links.Table.ChecksDue(now, g.endpointsInUse()) {
		go func() {
			defer g.links.Table.EndCheck(e.ID)
			// The result is recorded by recordLink.
			_ = g.transport.Check(ctx, e)
		}()
	}
}

// linkMetrics updates the gauges of links to endpoints.
func (g *Gateway) linkMetrics() {
	lost := 0.0
	if g.links.Table.Lost() {
		lost = 1
	}
	g.metrics.gauge("endpoint_links_down", float64(g.links.Table.DownCount()))
	g.metrics.gauge("endpoint_links_lost", lost)
	g.metrics.gauge("peer_requests_in_progress", float64(g.proxy.Load()))
}
