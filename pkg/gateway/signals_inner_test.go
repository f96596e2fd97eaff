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

// An endpoint states its request rate to one host. The others went on as before until each had
// got such an answer itself.
func TestLimitIsToldUpAndDown(t *testing.T) {
	is := is.New(t)
	seen, asked, other := relayHost(), relayHost(), relayHost()
	now := seen.Now()
	seen.health.Signals.Changed = seen.signalChanged
	rate := 2.5
	seen.health.Signals.Observe(now, "e", signals.Answer{Rate: &rate}, now, true)
	var up fleet.Pull
	up.SignalsSum, up.Signals = seen.signals.inQuestion(now)
	told := asked.telling()
	asked.takeSignals(now, up.Signals)
	is.True(asked.telling().newerThan(told)) // the hosts that ask it are answered at once
	var down fleet.Notice
	down.SignalsSum, down.Signals = asked.signals.inAnswer(now, other.health.Signals.Sum())
	other.takeSignals(now, down.Signals)
	other.signals.answered(down.SignalsSum)
	for _, g := range []*Gateway{seen, asked, other} {
		is.True(g.health.Signals.InNeed(now, "e"))
	}
	// Nothing is told twice.
	var again fleet.Notice
	again.SignalsSum, again.Signals = asked.signals.inAnswer(now, other.health.Signals.Sum())
	is.Equal(len(again.Signals), 0)
	seen.takeSignals(now, again.Signals)
	seen.signals.answered(again.SignalsSum)
	up.SignalsSum, up.Signals = seen.signals.inQuestion(now)
	var next fleet.Pull
	next.SignalsSum, next.Signals = seen.signals.inQuestion(now)
	is.Equal(len(next.Signals), 0)
}

// An endpoint that leaves tells one host, before the other has read its entry. Read later, the
// entry made it one that takes requests.
func TestLeavingIsToldBeforeTheEntry(t *testing.T) {
	is := is.New(t)
	seen, other := relayHost(), relayHost()
	now := seen.Now()
	seen.health.Signals.Changed = seen.signalChanged
	seen.directory.Apply(now, 0, fleet.Endpoint{ID: "e", Service: "s"})
	seen.health.Signals.Observe(now, "e", signals.Answer{Leaving: true}, now, true)
	is.Equal(len(usable(seen, now)), 0)
	var up fleet.Pull
	up.SignalsSum, up.Signals = seen.signals.inQuestion(now)
	other.takeSignals(now, up.Signals)
	other.takeEndpoints(fleet.Batch{Entries: []fleet.Entry{{Key: "e", Value: []byte("ready")}}, Next: 1})
	is.Equal(len(usable(other, now)), 0)
	known := relayHost()
	known.directory.Apply(now, 0, fleet.Endpoint{ID: "e", Service: "s"})
	known.takeSignals(now, up.Signals)
	is.Equal(len(usable(known, now)), 0)
}

// An endpoint that had stated a rate is gone, and one host does not know that. The others took its
// word in and dropped it again in turn, and woke one another each time.
func TestSignalsOfAnEndpointThatIsGoneAreNotTakenIn(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	now := g.Now()
	g.directory.Apply(now, 0, fleet.Endpoint{ID: "e", Service: "s"})
	g.directory.Remove(now, 1, "e")
	before := g.telling()
	g.takeSignals(now, []fleet.EndpointSignal{{Endpoint: "e", Version: 1, Limited: true, Rate: 1}})
	is.True(!g.telling().newerThan(before))
	is.Equal(g.health.Signals.Sum(), uint64(0))
}

// plainEndpoints answer all calls.
type plainEndpoints struct{ Endpoints }

func (plainEndpoints) Order(context.Context, fleet.Endpoint, orders.Order) (orders.Result, error) {
	return orders.Accepted, nil
}

func (plainEndpoints) Report(context.Context, fleet.Endpoint) (fleet.Report, error) {
	return fleet.Report{}, nil
}

func (plainEndpoints) Run(context.Context, *serve.Request, fleet.Endpoint) (serve.Run, error) {
	return serve.Run{}, nil
}

func (plainEndpoints) Ended(context.Context, fleet.Endpoint) (bool, error) { return false, nil }

// An endpoint that asks for a pause, or states a rate, counts orders and questions like requests.
// At one that had stated a single request a second they were half of what it got.
func TestCallsKeepToWhatEndpointsAskFor(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	g.metrics = newMetrics()
	ends := limitedEndpoints{plainEndpoints{}, g.mayCall}
	ctx, e := context.Background(), fleet.Endpoint{ID: "e"}
	calls := func() []error {
		_, order := ends.Order(ctx, e, orders.Order{})
		_, report := ends.Report(ctx, e)
		_, run := ends.Run(ctx, nil, e)
		_, ended := ends.Ended(ctx, e)
		return []error{order, report, run, ended}
	}
	for _, err := range calls() {
		is.NoErr(err)
	}
	g.health.Signals.Observe(g.Now(), "e", signals.Answer{Pause: time.Minute}, g.Now(), false)
	for _, err := range calls() {
		is.True(errors.Is(err, orders.ErrLimited))
	}
}
