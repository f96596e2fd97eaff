package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
)

// A host's own read of the list has failed, and it is told since: it does not read again for
// a minute. An endpoint ends without a word while the store has just come back for another
// host. It counted as one whose entry may still come back, for as long as the host believed
// the store to be away, and got requests four seconds after it had left.
func TestToldHostLetsLapsedEntriesEnd(t *testing.T) {
	is := is.New(t)
	g := listHost(time.Minute)
	now := g.Now()
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	g.takeEndpoints(fleet.Batch{Entries: []fleet.Entry{{Key: "e", Value: []byte("ready")}}})
	g.directory.StoreState(at(0), false)
	notice := fleet.Notice{ListSince: 0, ListChange: 1, StoreBackAgo: 1800, ListEntries: []fleet.Entry{{Key: "e", Offset: 1}}}
	g.takeListNotice(at(0.1), notice)
	is.Equal(len(g.directory.Live(at(0.1))), 1) // it may still come back
	is.Equal(len(g.directory.Live(at(0.5))), 0)
}

// The controller changes hands, and all hosts ask others for the list that nobody confirms.
// Each answer named all endpoints that had written a heartbeat meanwhile, which are all:
// megabytes for each of hundreds of hosts, most of them between zones.
func TestAnswersOnTheListNameOnlyWhatHasChanged(t *testing.T) {
	is := is.New(t)
	g := listHost(time.Minute)
	entry := func(key string, offset int64, state string) fleet.Entry {
		return fleet.Entry{Key: key, Offset: offset, Value: []byte(state)}
	}
	g.takeEndpoints(fleet.Batch{Entries: []fleet.Entry{entry("a", 0, "ready"), entry("b", 1, "ready")}})
	g.takeEndpoints(fleet.Batch{Entries: []fleet.Entry{entry("a", 2, "ready"), entry("b", 3, "leaving"), entry("b", 4, "leaving")}})
	is.Equal(g.state(peer.StateRequest{EndpointsFrom: 2}).Endpoints, []fleet.Entry{entry("b", 4, "leaving")})
	is.Equal(len(g.state(peer.StateRequest{EndpointsFrom: 4}).Endpoints), 0)
	is.Equal(len(g.state(peer.StateRequest{EndpointsFrom: stateFrom}).Endpoints), 2)
}

// Most questions to any host stay in the zone, and some leave it.
func TestHostsOfTheZoneAreAskedFirst(t *testing.T) {
	is := is.New(t)
	m := newMesh("self", peer.Fingerprint{})
	m.member.Zone = "near"
	is.Equal(m.anyNear(time.Now()), "")
	for _, zone := range []string{"near", "far", "farther"} {
		m.learn(zone, hostEntry{Addr: zone, Zone: zone})
	}
	asked := map[string]int{}
	for range 400 {
		asked[m.anyNear(time.Now())]++
	}
	is.True(asked["near"] > 200)
	is.True(asked["far"] > 0)
}
