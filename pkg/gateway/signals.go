package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/serve"
)

// signalChanged handles a signal that an endpoint has sent to this host, and announces it to
// other hosts.
func (g *Gateway) signalChanged(s fleet.EndpointSignal) {
	g.logSignal(s, "answer")
	g.applyDraining(s)
	g.announceSignals()
}

// applyDraining marks an endpoint that has announced that it is draining, so that it gets no new
// requests or models.
func (g *Gateway) applyDraining(s fleet.EndpointSignal) {
	if s.Draining {
		g.directory.MarkDraining(s.Endpoint)
		g.endpointsChanged()
	}
}

func (g *Gateway) logSignal(s fleet.EndpointSignal, from string) {
	g.log.Info("endpoint signal changed", "endpoint", s.Endpoint, "limited", s.Limited, "rate", s.Rate, "leaving", s.Draining, "version", s.Version, "from", from)
}

// announceSignals sends endpoint signals to the upstream host and to the children of this host.
func (g *Gateway) announceSignals() {
	g.signals.peerBehind.Store(true)
	g.requestReport()
	g.children.wake()
}

// mergeSignals merges signals received from another host, and announces new ones. Signals of
// removed endpoints are ignored: otherwise hosts that still know such an endpoint would cause
// repeated wakeups of all hosts.
func (g *Gateway) mergeSignals(now time.Time, received []fleet.EndpointSignal) {
	received = slices.DeleteFunc(received, func(s fleet.EndpointSignal) bool { return g.directory.Gone(s.Endpoint) })
	changed := g.health.Signals.Merge(now, received)
	for _, s := range changed {
		g.logSignal(s, "host")
		g.applyDraining(s)
	}
	if len(changed) > 0 {
		g.announceSignals()
	}
}

// callKind is a kind of call to an endpoint other than a client's request.
type callKind string

const (
	callOrder      callKind = "order"
	callReport     callKind = "report"
	callRun        callKind = "run"
	callTerminated callKind = "ended"
)

// allowCall counts a call. It returns orders.ErrRateLimited if the endpoint's rate limit, or a
// pause that it has requested, leaves no room for it.
func (g *Gateway) allowCall(c callKind, e fleet.Endpoint) error {
	if !g.health.Signals.TryAcquire(g.Now(), e.ID) {
		g.metrics.count("endpoint_calls_limited", map[string]string{"call": string(c)})
		return orders.ErrRateLimited
	}
	g.metrics.count("endpoint_calls", map[string]string{"call": string(c)})
	return nil
}

// rateLimitedEndpoints applies the rate limits and pauses of endpoints to calls other than
// client requests, which endpoints count like requests.
type rateLimitedEndpoints struct {
	EndpointClient
	allow func(callKind, fleet.Endpoint) error
}

// Order implements orders.EndpointClient.
func (l rateLimitedEndpoints) Order(ctx context.Context, e fleet.Endpoint, o orders.Order) (orders.Result, error) {
	if err := l.allow(callOrder, e); err != nil {
		return orders.Invalid, err
	}
	return l.EndpointClient.Order(ctx, e, o)
}

// Report implements orders.EndpointClient.
func (l rateLimitedEndpoints) Report(ctx context.Context, e fleet.Endpoint) (fleet.Report, error) {
	if err := l.allow(callReport, e); err != nil {
		return fleet.Report{}, err
	}
	return l.EndpointClient.Report(ctx, e)
}

// RunStatus implements serve.Backend.
func (l rateLimitedEndpoints) RunStatus(ctx context.Context, r *serve.Request, e fleet.Endpoint) (serve.RunStatus, error) {
	if err := l.allow(callRun, e); err != nil {
		return serve.RunStatus{}, err
	}
	return l.EndpointClient.RunStatus(ctx, r, e)
}

// Terminated reports whether an incarnation of an endpoint has terminated.
func (l rateLimitedEndpoints) Terminated(ctx context.Context, e fleet.Endpoint) (bool, error) {
	if err := l.allow(callTerminated, e); err != nil {
		return false, err
	}
	return l.EndpointClient.Terminated(ctx, e)
}
