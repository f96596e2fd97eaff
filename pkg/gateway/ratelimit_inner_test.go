package gateway

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// An endpoint states its request rate to one host. The others went on as before until each had
// got such an answer itself.
func TestLimitIsToldUpAndDown(t *testing.T) {
	is := is.New(t)
	seen, asked, other := relayHost(), relayHost(), relayHost()
	now := seen.Now()
	seen.health.Limits.Changed = seen.limitChanged
	rate := 2.5
	seen.health.Limits.Observe(now, "e", &rate, now, true)
	var up fleet.Pull
	seen.addLimits(&up)
	told := asked.telling()
	asked.takeLimits(now, up.Limits)
	is.True(asked.telling().newerThan(told)) // the hosts that ask it are answered at once
	var down fleet.Notice
	asked.withLimits(&down, other.health.Limits.Sum())
	other.takeAnsweredLimits(now, down)
	for _, g := range []*Gateway{seen, asked, other} {
		is.True(g.health.Limits.Limited(now, "e"))
	}
	// Nothing is told twice.
	var again fleet.Notice
	asked.withLimits(&again, other.health.Limits.Sum())
	is.Equal(len(again.Limits), 0)
	seen.takeAnsweredLimits(now, again)
	seen.addLimits(&up)
	var next fleet.Pull
	seen.addLimits(&next)
	is.Equal(len(next.Limits), 0)
}
