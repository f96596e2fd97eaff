package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
)

// Guards against a relay vouching for a host that has not recently heard the controller, which
// would let two hosts issue orders alternately.
func TestLeaseThroughRelayUsesControllerClock(t *testing.T) {
	for _, c := range []struct {
		name string
		// leafHeard is how long ago the leaf heard the controller, leafToken the claim that it
		// knows.
		leafHeard time.Duration
		leafToken int64
		mayOrder  bool
	}{
		{"all have heard the controller recently", 100 * time.Millisecond, 1, true},
		{"the leaf has not heard the controller recently", 900 * time.Millisecond, 1, false},
		{"the leaf knows a newer claim", 100 * time.Millisecond, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := relayHost()
				g.lease = orders.NewHolderLease(time.Second)
				g.controller = &orders.Controller{Election: g.election}
				g.election.Won(g.Now(), 1)
				time.Sleep(2 * time.Second)
				now := g.Now()
				heard := func(host string, ago time.Duration, token int64) fleet.Heard {
					return fleet.Heard{Host: host, Token: token, Stamp: g.stampFor(now.Add(-ago), 1), StoreAge: time.Hour.Milliseconds()}
				}
				p := pullFrom("relay", 1, "")
				p.Heard = heard("relay", 50*time.Millisecond, 1)
				p.Below = []fleet.Heard{heard("leaf", c.leafHeard, c.leafToken)}
				g.recordDemand(now, p)
				is.Equal(g.lease.May(now, 1, time.Hour, []string{"relay", "leaf"}), c.mayOrder)
				is.True(!g.lease.May(now, 1, time.Hour, []string{"relay", "leaf", "third"}))
				is.True(!g.lease.May(now.Add(time.Second), 1, time.Hour, []string{"relay", "leaf"}))
			})
		})
	}
}

// Guards against a stamp of a former controller extending the lease of a new one.
func TestStampOfFormerControllerIsIgnored(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	g.lastStamp.Store(&stamp{token: 1, at: time.Hour.Milliseconds()})
	is.Equal(g.stampOf(1), time.Hour.Milliseconds())
	is.Equal(g.stampOf(2), int64(0))
	g.election.Observe(g.Now(), orders.Claim{Holder: orders.Holder{Host: "other"}, Token: 2})
	is.Equal(g.controllerHeard(g.Now()).Stamp, int64(0))

	g.controller = &orders.Controller{Election: g.election}
	g.election.Won(g.Now(), 3)
	p := pullFrom("h", 1, "")
	p.Heard = fleet.Heard{Host: "h", Token: 3}
	g.recordDemand(g.Now(), p)
	is.True(!g.lease.May(g.Now(), 3, time.Hour, []string{"h"})) // the host has not heard this controller
}
