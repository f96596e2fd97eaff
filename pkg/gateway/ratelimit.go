package gateway

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/serve"
)

// limitChanged lets other hosts hear what an endpoint has stated to this one.
func (g *Gateway) limitChanged(l fleet.EndpointLimit) {
	g.logLimit(l, "answer")
	g.tellLimits()
}

func (g *Gateway) logLimit(l fleet.EndpointLimit, from string) {
	g.log.Info("endpoint states its request rate", "endpoint", l.Endpoint, "limited", l.Stated, "rate", l.Rate, "version", l.Version, "from", from)
}

// tellLimits lets the hosts that ask this one, and the one that it asks, hear of request rates.
func (g *Gateway) tellLimits() {
	g.limitsDiffer.Store(true)
	g.wantReport()
	g.children.wake()
}

// addLimits adds to a question what the host that is asked may not know.
func (g *Gateway) addLimits(p *fleet.Pull) {
	p.LimitsSum = g.health.Limits.Sum()
	if g.limitsDiffer.Load() {
		p.Limits = g.health.Limits.All()
	}
}

// takeLimits takes in what another host tells, and lets others hear of it.
func (g *Gateway) takeLimits(now time.Time, told []fleet.EndpointLimit) {
	news := g.health.Limits.Take(now, told)
	for _, l := range news {
		g.logLimit(l, "host")
	}
	if len(news) > 0 {
		g.tellLimits()
	}
}

// withLimits adds all request rates to an answer if the asker does not know the same.
func (g *Gateway) withLimits(n *fleet.Notice, asked uint64) {
	n.LimitsSum = g.health.Limits.Sum()
	if n.LimitsSum != asked {
		n.Limits = g.health.Limits.All()
	}
}

// takeAnsweredLimits takes in the request rates of an answer. If the host that gave it still
// lacks some, the next question tells it.
func (g *Gateway) takeAnsweredLimits(now time.Time, n fleet.Notice) {
	g.takeLimits(now, n.Limits)
	g.limitsDiffer.Store(g.health.Limits.Sum() != n.LimitsSum)
}

// call is a kind of calls to endpoints beside clients' requests.
type call string

const (
	callOrder  call = "order"
	callReport call = "report"
	callRun    call = "run"
	callEnded  call = "ended"
)

// mayCall counts a call and returns an error where the endpoint's request rate leaves no room
// for it.
func (g *Gateway) mayCall(c call, e fleet.Endpoint) error {
	if !g.health.Limits.Use(g.Now(), e.ID) {
		g.metrics.count("endpoint_calls_limited", map[string]string{"call": string(c)})
		return orders.ErrLimited
	}
	g.metrics.count("endpoint_calls", map[string]string{"call": string(c)})
	return nil
}

// limitedEndpoints keep the calls to endpoints that are no client's requests to the request rates
// that endpoints state: they count there like requests.
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
