package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/serve"
)

// signalChanged takes in what an endpoint has told this host, and lets others hear of it.
func (g *Gateway) signalChanged(s fleet.EndpointSignal) {
	g.logSignal(s, "answer")
	g.heedLeaving(s)
	g.tellSignals()
}

// heedLeaving keeps requests and models from an endpoint that leaves.
func (g *Gateway) heedLeaving(s fleet.EndpointSignal) {
	if s.Leaving {
		g.directory.Leave(s.Endpoint)
		g.endpointsChanged()
	}
}

func (g *Gateway) logSignal(s fleet.EndpointSignal, from string) {
	g.log.Info("endpoint signals", "endpoint", s.Endpoint, "limited", s.Limited, "rate", s.Rate, "leaving", s.Leaving, "version", s.Version, "from", from)
}

// tellSignals lets the hosts that ask this one, and the one that it asks, hear of signals.
func (g *Gateway) tellSignals() {
	g.signals.differs.Store(true)
	g.wantReport()
	g.children.wake()
}

// takeSignals takes in what another host tells, and lets others hear of it. A host that does not
// know yet that an endpoint is gone goes on to tell of it: taken in and dropped again each time,
// it would wake all hosts.
func (g *Gateway) takeSignals(now time.Time, told []fleet.EndpointSignal) {
	told = slices.DeleteFunc(told, func(s fleet.EndpointSignal) bool { return g.directory.Gone(s.Endpoint) })
	news := g.health.Signals.Take(now, told)
	for _, s := range news {
		g.logSignal(s, "host")
		g.heedLeaving(s)
	}
	if len(news) > 0 {
		g.tellSignals()
	}
}

// call is a kind of calls to endpoints beside clients' requests.
type call string

const (
	callOrder  call = "order"
	callReport call = "report"
	callRun    call = "run"
	callEnded  call = "ended"
)

// mayCall counts a call and returns an error where the endpoint's request rate, or a pause that it
// has asked for, leaves no room for it.
func (g *Gateway) mayCall(c call, e fleet.Endpoint) error {
	if !g.health.Signals.Use(g.Now(), e.ID) {
		g.metrics.count("endpoint_calls_limited", map[string]string{"call": string(c)})
		return orders.ErrLimited
	}
	g.metrics.count("endpoint_calls", map[string]string{"call": string(c)})
	return nil
}

// limitedEndpoints keep the calls to endpoints that are no client's requests to the rates and pauses
// that endpoints ask for: they count there like requests.
type limitedEndpoints struct {
	Endpoints
	may func(call, fleet.Endpoint) error
}

// Order implements orders.Orderer.
func (l limitedEndpoints) Order(ctx context.Context, e fleet.Endpoint, o orders.Order) (orders.Result, error) {
	if err := l.may(callOrder, e); err != nil {
		return orders.Invalid, err
	}
	return l.Endpoints.Order(ctx, e, o)
}

// Report implements orders.Orderer.
func (l limitedEndpoints) Report(ctx context.Context, e fleet.Endpoint) (fleet.Report, error) {
	if err := l.may(callReport, e); err != nil {
		return fleet.Report{}, err
	}
	return l.Endpoints.Report(ctx, e)
}

// Run implements serve.Backend.
func (l limitedEndpoints) Run(ctx context.Context, r *serve.Request, e fleet.Endpoint) (serve.Run, error) {
	if err := l.may(callRun, e); err != nil {
		return serve.Run{}, err
	}
	return l.Endpoints.Run(ctx, r, e)
}

// Ended tells whether an incarnation of an endpoint has ended.
func (l limitedEndpoints) Ended(ctx context.Context, e fleet.Endpoint) (bool, error) {
	if err := l.may(callEnded, e); err != nil {
		return false, err
	}
	return l.Endpoints.Ended(ctx, e)
}
