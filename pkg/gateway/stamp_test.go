package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
)

// The controller is cut off from the store, and endpoints check no tokens. It gives orders
// while all hosts have just heard it, also those behind a relay. A relay that spoke for a host
// which has not heard the controller for long let two hosts give orders in turn.
func TestLeaseThroughARelayGoesByTheControllersClock(t *testing.T) {
	for _, c := range []struct {
		name string
		// leafHeard is how long ago the leaf heard the controller, leafToken the claim it knows.
		leafHeard time.Duration
		leafToken int64
		may       bool
	}{
		{"all have just heard it", 100 * time.Millisecond, 1, true},
		{"the leaf has not heard it for long", 900 * time.Millisecond, 1, false},
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
				p := question("relay", 1, "")
				p.Heard = heard("relay", 50*time.Millisecond, 1)
				p.Below = []fleet.Heard{heard("leaf", c.leafHeard, c.leafToken)}
				g.takeDemand(now, p)
				is.Equal(g.lease.May(now, 1, time.Hour, []string{"relay", "leaf"}), c.may)
				is.True(!g.lease.May(now, 1, time.Hour, []string{"relay", "leaf", "third"}))
				is.True(!g.lease.May(now.Add(time.Second), 1, time.Hour, []string{"relay", "leaf"}))
			})
		})
	}
}

// The claim changes hands. Hosts know the new claim from the store before they hear its
// holder, and told it the last stamp of the former, whose clock had run for longer: the
// new controller took them to hear it for as long as that was ahead.
func TestStampOfAFormerControllerGrantsNothing(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	g.heardStamp.Store(&stamp{token: 1, at: time.Hour.Milliseconds()})
	is.Equal(g.stampOf(1), time.Hour.Milliseconds())
	is.Equal(g.stampOf(2), int64(0))
	g.election.Observe(g.Now(), orders.Claim{Holder: orders.Holder{Host: "other"}, Token: 2})
	is.Equal(g.heard(g.Now()).Stamp, int64(0))

	g.controller = &orders.Controller{Election: g.election}
	g.election.Won(g.Now(), 3)
	p := question("h", 1, "")
	p.Heard = fleet.Heard{Host: "h", Token: 3}
	g.takeDemand(g.Now(), p)
	is.True(!g.lease.May(g.Now(), 3, time.Hour, []string{"h"})) // it has not heard this one
}
