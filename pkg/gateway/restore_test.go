package gateway_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// drainBound is how long after its announcement a draining endpoint may still get requests.
const drainBound = 2 * time.Second

// Guards against requests to an endpoint whose announcement that it drains has a lower offset than an
// entry that the store has lost.
func TestDrainingIsSeenAfterStoreRestore(t *testing.T) {
	for _, c := range []struct {
		name string
		// lost and rewritten are how many entries are lost, and how many are written before the
		// hosts read again.
		lost, rewritten int
	}{
		{"few entries since the restore", 15, 0},
		{"more entries since the restore than were lost", 5, 40},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t)
			d.publish(config(1))
			e1, e2 := d.startEngine("e1"), d.startEngine("e2")
			hosts := []*host{d.startHost("a"), d.startHost("b"), d.startHost("c")}
			older := d.store.Copy()
			known := newestOffset(hosts)
			for range c.lost {
				e1.Heartbeat()
				e2.Heartbeat()
			}
			d.waitFor("a host has read the heartbeats", func() bool { return newestOffset(hosts) > known+fleet.Position(c.lost) })
			d.store.Restore(older)
			e1.Drain()
			announced := time.Now()
			for range c.rewritten {
				e2.Heartbeat()
			}
			for _, h := range hosts {
				d.waitFor("the host sees that the endpoint drains", func() bool {
					return h.DrainingOrGone(fleet.EndpointID("e1")) || time.Since(announced) > 2*drainBound
				})
				is.True(h.DrainingOrGone(fleet.EndpointID("e1")))
				is.True(!h.DrainingOrGone(fleet.EndpointID("e2")))
			}
			is.True(time.Since(announced) < drainBound)
		})
	}
}

// newestOffset returns the highest offset up to which one of the hosts knows the list of endpoints.
func newestOffset(hosts []*host) fleet.Position {
	newest := fleet.NoPosition
	for _, h := range hosts {
		newest = max(newest, h.ListOffset())
	}
	return newest
}

// Guards against hosts whose entries are lost with a restore: a host that starts later would not know
// them.
func TestHostEntryIsWrittenAgainAfterRestore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish(config(1))
	older := d.store.Copy()
	a, b := d.startHost("a"), d.startHost("b")
	d.waitFor("the hosts know each other", func() bool { return a.Peers() == 1 && b.Peers() == 1 })
	d.store.Restore(older)
	d.waitFor("both entries are back", func() bool { return d.store.KeyCount("keyed.hosts") == 2 })
	c := d.startHost("c")
	d.waitFor("a new host knows both", func() bool { return c.Peers() == 2 })
}

// Guards against a controller whose claim is lost with a restore: a host that starts later would claim
// beside it.
func TestClaimIsWrittenAgainAfterRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	older := d.store.Copy()
	hosts := []*host{d.startHost("a"), d.startHost("b")}
	controllers := func() int {
		n := 0
		for _, h := range hosts {
			if h.IsController() {
				n++
			}
		}
		return n
	}
	d.waitFor("there is a controller", func() bool { return controllers() == 1 })
	token := max(hosts[0].NewestToken(), hosts[1].NewestToken())
	d.store.Restore(older)
	d.waitFor("the claim is back", func() bool { return d.store.KeyCount("keyed.claims") == 1 })
	d.waitFor("both hosts know the new claim", func() bool {
		return hosts[0].NewestToken() > token && hosts[0].NewestToken() == hosts[1].NewestToken() && controllers() == 1
	})
	is.Equal(fleet.Position(hosts[0].NewestToken()).Era(), int64(1))
}

// maxCallsAtRestore is the maximum number of store calls, in the three seconds after a restore, of a host
// that learns of the store's contents from others: it writes its entry and may read one topic.
const maxCallsAtRestore = 2

// Guards against all hosts reading the store anew at the same time after a restore. Only the controller
// and the relays must.
func TestStoreCallsAtRestore(t *testing.T) {
	const hostCount, relays = 7, 3
	d := newDeployment(t)
	d.publish(config(1))
	d.startEngine("e1")
	var hosts []*host
	for i := range hostCount {
		hosts = append(hosts, d.newHost(fmt.Sprint("h", i), site.NoFault))
	}
	for _, h := range hosts {
		h.run()
	}
	defer func() {
		for _, h := range hosts {
			h.stop() // In parallel, since each stop takes seconds.
		}
	}()
	d.waitFor("all hosts know each other and receive updates", func() bool {
		return !slices.ContainsFunc(hosts, func(h *host) bool { return h.Peers() < hostCount-1 || h.LiveEndpoints() < 1 })
	})
	<-time.After(2 * time.Second)
	before := make([]int, hostCount)
	for i, h := range hosts {
		before[i] = sum(h.storeListener.Calls())
	}
	d.store.Restore(d.store.Copy())
	<-time.After(3 * time.Second)
	var calls []int
	for i, h := range hosts {
		calls = append(calls, sum(h.storeListener.Calls())-before[i])
	}
	slices.Sort(calls)
	t.Logf("calls of the hosts: %v", calls)
	for _, n := range calls[:hostCount-relays-1] {
		if n > maxCallsAtRestore {
			t.Errorf("a host without children made %d calls, want at most %d", n, maxCallsAtRestore)
		}
	}
}
