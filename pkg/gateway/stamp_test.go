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
					return fleet.Heard{Host: host, Token: token, Stamp: g.stamp(now.Add(-ago)), StoreAge: time.Hour.Milliseconds()}
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
