package gateway

import (
	"context"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/serve"
)

// limitChanged notes what an endpoint has stated to this host of its request rate.
func (g *Gateway) limitChanged(l fleet.EndpointLimit) {
	g.log.Info("endpoint states its request rate", "endpoint", l.Endpoint, "limited", l.Stated, "rate", l.Rate, "version", l.Version)
}

// call is a kind of calls to endpoints beside clients' requests.
type call string

const (
	callOrder  call = "order"
	callReport call = "report"
	callRun    call = "run"
	callEnded  call = "ended"
)

func (g *Gateway) countCall(c call) {
	g.metrics.count("endpoint_calls", map[string]string{"call": string(c)})
}

// countedEndpoints counts the calls to endpoints that are no client's requests: an endpoint that
// limits its request rate counts them too.
type countedEndpoints struct {
	Endpoints
	count func(call)
}

// Order implements orders.Orderer.
func (c countedEndpoints) Order(ctx context.Context, e fleet.Endpoint, o orders.Order) (orders.Result, error) {
	c.count(callOrder)
	return c.Endpoints.Order(ctx, e, o)
}

// Report implements orders.Orderer.
func (c countedEndpoints) Report(ctx context.Context, e fleet.Endpoint) (fleet.Report, error) {
	c.count(callReport)
	return c.Endpoints.Report(ctx, e)
}

// Run implements serve.Backend.
func (c countedEndpoints) Run(ctx context.Context, r *serve.Request, e fleet.Endpoint) (serve.Run, error) {
	c.count(callRun)
	return c.Endpoints.Run(ctx, r, e)
}

// Ended tells whether an incarnation of an endpoint has ended.
func (c countedEndpoints) Ended(ctx context.Context, e fleet.Endpoint) (bool, error) {
	c.count(callEnded)
	return c.Endpoints.Ended(ctx, e)
}
