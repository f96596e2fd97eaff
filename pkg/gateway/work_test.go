package gateway

import (
	"log/slog"
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
)

// Guards against accounts that are charged alike for small and large requests, and against a charge
// near zero for a request that states few tokens.
func TestEstimateWork(t *testing.T) {
	for _, c := range []struct {
		name           string
		prompt, output int
		want           float64
	}{
		{"not stated", 0, 0, 1},
		{"usual", 2048, 128, 1},
		{"output only", 0, 512, 2},
		{"long prompt", 40960, 256, 11},
		{"one token", 1, 0, 0.125},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(estimateWork(&serve.Request{PromptTokens: c.prompt, OutputTokens: c.output}), c.want)
		})
	}
}

// Guards against an estimate that the dispatcher does not use.
func TestDispatcherEstimatesWork(t *testing.T) {
	is := is.New(t)
	g := newGateway(Config{
		NewEndpointClient: func(EndpointTransport) EndpointClient { return simEndpoints{} },
		Logger:            slog.New(slog.DiscardHandler),
		Tracer:            noop.NewTracerProvider(),
	}, &metrics{scope: tally.NoopScope})
	is.Equal(g.dispatcher.EstimateWork(&serve.Request{OutputTokens: 512}), 2.0)
}
