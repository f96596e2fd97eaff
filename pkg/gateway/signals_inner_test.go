package gateway

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
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
	seen.addSignals(&up)
	told := asked.telling()
	asked.takeSignals(now, up.Signals)
	is.True(asked.telling().newerThan(told)) // the hosts that ask it are answered at once
	var down fleet.Notice
	asked.withSignals(&down, other.health.Signals.Sum())
	other.takeAnsweredSignals(now, down)
	for _, g := range []*Gateway{seen, asked, other} {
		is.True(g.health.Signals.Limited(now, "e"))
	}
	// Nothing is told twice.
	var again fleet.Notice
	asked.withSignals(&again, other.health.Signals.Sum())
	is.Equal(len(again.Signals), 0)
	seen.takeAnsweredSignals(now, again)
	seen.addSignals(&up)
	var next fleet.Pull
	seen.addSignals(&next)
	is.Equal(len(next.Signals), 0)
}
