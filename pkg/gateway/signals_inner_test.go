package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/signals"
)

// Guards against a rate limit reported to one host not reaching the others through their common
// upstream host, and against sending it repeatedly.
func TestRateLimitIsPropagatedThroughRelay(t *testing.T) {
	is := is.New(t)
	observer, upstream, other := relayHost(), relayHost(), relayHost()
	now := observer.Now()
	observer.health.Signals.Changed = observer.signalChanged
	rate := 2.5
	observer.health.Signals.Observe(now, "e", signals.Response{Rate: &rate}, now, true)
	var request fleet.Pull
	request.SignalsChecksum, request.Signals = observer.signals.forRequest(now)
	before := upstream.currentVersions()
	upstream.mergeSignals(now, request.Signals)
	is.True(upstream.currentVersions().anyNewerThan(before)) // pending pulls are answered at once
	var response fleet.Notice
	response.SignalsChecksum, response.Signals = upstream.signals.forResponse(now, other.health.Signals.Checksum())
	other.mergeSignals(now, response.Signals)
	other.signals.acknowledge(response.SignalsChecksum)
	for _, g := range []*Gateway{observer, upstream, other} {
		is.True(g.health.Signals.Throttled(now, "e"))
	}
	// No signal is sent twice.
	var again fleet.Notice
	again.SignalsChecksum, again.Signals = upstream.signals.forResponse(now, other.health.Signals.Checksum())
	is.Equal(len(again.Signals), 0)
	observer.mergeSignals(now, again.Signals)
	observer.signals.acknowledge(again.SignalsChecksum)
	request.SignalsChecksum, request.Signals = observer.signals.forRequest(now)
	var next fleet.Pull
	next.SignalsChecksum, next.Signals = observer.signals.forRequest(now)
	is.Equal(len(next.Signals), 0)
}

// Guards against an entry that is read after the draining signal making the endpoint usable
// again.
func TestDrainingSignalPrecedesEntry(t *testing.T) {
	is := is.New(t)
	observer, other := relayHost(), relayHost()
	now := observer.Now()
	observer.health.Signals.Changed = observer.signalChanged
	observer.directory.Apply(now, 0, fleet.Endpoint{ID: "e", Service: "s"})
	observer.health.Signals.Observe(now, "e", signals.Response{Draining: true}, now, true)
	is.Equal(len(usableEndpoints(observer, now)), 0)
	var request fleet.Pull
	request.SignalsChecksum, request.Signals = observer.signals.forRequest(now)
	other.mergeSignals(now, request.Signals)
	other.applyEndpoints(fleet.Batch{Entries: []fleet.Entry{{Key: "e", Value: []byte("ready")}}, Next: 1})
	is.Equal(len(usableEndpoints(other, now)), 0)
	known := relayHost()
	known.directory.Apply(now, 0, fleet.Endpoint{ID: "e", Service: "s"})
	known.mergeSignals(now, request.Signals)
	is.Equal(len(usableEndpoints(known, now)), 0)
}

// Guards against hosts repeatedly merging and dropping signals of an endpoint that is gone.
func TestSignalsOfRemovedEndpointAreIgnored(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	now := g.Now()
	g.directory.Apply(now, 0, fleet.Endpoint{ID: "e", Service: "s"})
	g.directory.Remove(now, 1, "e")
	before := g.currentVersions()
	g.mergeSignals(now, []fleet.EndpointSignal{{Endpoint: "e", Version: 1, Limited: true, Rate: 1}})
	is.True(!g.currentVersions().anyNewerThan(before))
	is.Equal(g.health.Signals.Checksum(), uint64(0))
}

// acceptingEndpoints accepts all calls.
type acceptingEndpoints struct{ EndpointClient }

func (acceptingEndpoints) Order(context.Context, fleet.Endpoint, orders.Order) (orders.Result, error) {
	return orders.Accepted, nil
}

func (acceptingEndpoints) Report(context.Context, fleet.Endpoint) (fleet.Report, error) {
	return fleet.Report{}, nil
}

func (acceptingEndpoints) RunStatus(context.Context, *serve.Request, fleet.Endpoint) (serve.RunStatus, error) {
	return serve.RunStatus{}, nil
}

func (acceptingEndpoints) Terminated(context.Context, fleet.Endpoint) (bool, error) {
	return false, nil
}

// Guards against orders, reports and other calls ignoring the pauses and rate limits of
// endpoints.
func TestCallsRespectEndpointLimits(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	g.metrics = newMetrics()
	limited := rateLimitedEndpoints{acceptingEndpoints{}, g.allowCall}
	ctx, e := context.Background(), fleet.Endpoint{ID: "e"}
	calls := func() []error {
		_, order := limited.Order(ctx, e, orders.Order{})
		_, report := limited.Report(ctx, e)
		_, run := limited.RunStatus(ctx, nil, e)
		_, ended := limited.Terminated(ctx, e)
		return []error{order, report, run, ended}
	}
	for _, err := range calls() {
		is.NoErr(err)
	}
	g.health.Signals.Observe(g.Now(), "e", signals.Response{RetryAfter: time.Minute}, g.Now(), false)
	for _, err := range calls() {
		is.True(errors.Is(err, orders.ErrRateLimited))
	}
}
