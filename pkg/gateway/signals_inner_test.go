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
		is.True(g.health.Signals.InNeed(now, "e"))
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
	seen.addSignals(&up)
	other.takeSignals(now, up.Signals)
	other.takeEndpoints(fleet.Batch{Entries: []fleet.Entry{{Key: "e", Value: []byte("ready")}}, Next: 1})
	is.Equal(len(usable(other, now)), 0)
}
