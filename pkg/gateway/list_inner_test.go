package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
)

// Guards against a host that receives updates from others keeping the entries of terminated
// endpoints because it does not know that the store has recovered.
func TestPassiveHostExpiresLapsedEntries(t *testing.T) {
	is := is.New(t)
	g := listHost(time.Minute)
	now := g.Now()
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	g.applyEndpoints(fleet.Batch{Entries: []fleet.Entry{{Key: "e", Value: []byte("ready")}}})
	g.directory.SetStoreAvailable(at(0), false)
	notice := fleet.Notice{ListSince: 0, ListChange: 1, StoreRestoredAgo: 1800, ListEntries: []fleet.Entry{{Key: "e", Offset: 1}}}
	g.applyListNotice(at(0.1), notice)
	is.Equal(len(g.directory.Live(at(0.1))), 1) // the entry may still return
	is.Equal(len(g.directory.Live(at(0.5))), 0)
}

// Guards against state responses that carry heartbeats, which would waste bandwidth.
func TestStateResponseOmitsHeartbeats(t *testing.T) {
	is := is.New(t)
	g := listHost(time.Minute)
	entry := func(key string, offset fleet.Position, state string) fleet.Entry {
		return fleet.Entry{Key: key, Offset: offset, Value: []byte(state)}
	}
	g.applyEndpoints(fleet.Batch{Entries: []fleet.Entry{entry("a", 0, "ready"), entry("b", 1, "ready")}})
	g.applyEndpoints(fleet.Batch{Entries: []fleet.Entry{entry("a", 2, "ready"), entry("b", 3, "leaving"), entry("b", 4, "leaving")}})
	is.Equal(g.respondToStateRequest(peer.StateRequest{EndpointsFrom: 2})[0].Endpoints, []fleet.Entry{entry("b", 4, "leaving")})
	is.Equal(len(g.respondToStateRequest(peer.StateRequest{EndpointsFrom: 4})[0].Endpoints), 0)
	is.Equal(len(stateEntries(t, g.respondToStateRequest(peer.StateRequest{EndpointsFrom: fullStateOffset}))), 0) // not read yet
	g.storeReads.SetLoaded(fleet.TopicEndpoints)
	is.Equal(len(stateEntries(t, g.respondToStateRequest(peer.StateRequest{EndpointsFrom: fullStateOffset}))), 2)
}

// Guards against most state requests crossing availability zones, and against none doing so.
func TestPickPeerPrefersOwnZone(t *testing.T) {
	is := is.New(t)
	m := newMesh("self", peer.Fingerprint{})
	m.member.Zone = "near"
	is.Equal(m.pickPeer(time.Now()), "")
	for _, zone := range []string{"near", "far", "farther"} {
		m.updatePeer(zone, hostEntry{Addr: zone, Zone: zone})
	}
	chosen := map[string]int{}
	for range 400 {
		chosen[m.pickPeer(time.Now())]++
	}
	is.True(chosen["near"] > 200)
	is.True(chosen["far"] > 0)
}

// stateEntries returns the list entries of the responses to a state request.
func stateEntries(t *testing.T, responses []*peer.StateResponse) []fleet.Entry {
	t.Helper()
	out := responses[0].Endpoints
	for _, r := range responses[1:] {
		entries, err := r.Archive.Entries()
		is.New(t).NoErr(err)
		out = append(out, entries...)
	}
	return out
}

// Guards against copies of a long list that take up the whole link of a host, and against building
// one for each host that starts.
func TestListCopiesAreBounded(t *testing.T) {
	is := is.New(t)
	var a listArchive
	now := time.Unix(1000, 0)
	built := 0
	entries := func() ([]fleet.Entry, fleet.Position) {
		built++
		return []fleet.Entry{{Key: "e", Value: []byte("value")}}, 7
	}
	sent, size := 0, 0
	const bytesPerSecond, span = 200, 10 * time.Second
	for at := now; at.Before(now.Add(span)); at = at.Add(10 * time.Millisecond) {
		parts, next, err := a.get(at, bytesPerSecond, entries)
		is.NoErr(err)
		if len(parts) > 0 {
			is.Equal(next, fleet.Position(7))
			sent++
			size = len(parts[0])
		}
	}
	is.True(sent*size <= bytesPerSecond*int(span.Seconds()+1)+size)
	is.True(sent*size >= bytesPerSecond*int(span.Seconds()-1))
	is.True(built <= int(span/maxArchiveAge)+1)
}

// Guards against hosts that never learn of some endpoints, because an entry that another host passed on
// before it had read all earlier ones made their list seem complete.
func TestEntriesBeyondReadPositionDoNotCompleteList(t *testing.T) {
	entry := func(key string, offset fleet.Position) fleet.Entry {
		return fleet.Entry{Key: key, Offset: offset, Value: []byte("ready")}
	}
	for _, c := range []struct {
		name string
		send func(t *testing.T, from, to *Gateway)
	}{
		{"whole list", func(t *testing.T, from, to *Gateway) {
			responses := from.respondToStateRequest(peer.StateRequest{EndpointsFrom: fullStateOffset})
			to.applyEndpoints(fleet.Batch{Entries: stateEntries(t, responses), Next: responses[0].EndpointsNext})
		}},
		{"changes", func(t *testing.T, from, to *Gateway) {
			first := from.respondToStateRequest(peer.StateRequest{EndpointsFrom: 1})[0]
			to.applyEndpoints(fleet.Batch{Entries: first.Endpoints, Next: first.EndpointsNext})
		}},
		{"notice", func(_ *testing.T, from, to *Gateway) {
			to.applyListNotice(to.Now(), from.withListChanges(from.Now(), fleet.Notice{}, to.directory.Offset()-1, from.directory.RoutingOffset()))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sender, receiver := listHost(time.Minute), listHost(time.Minute)
			receiver.applyEndpoints(fleet.Batch{Entries: []fleet.Entry{entry("a", 0)}, Next: 1})
			// The later page of a listing holds d, which registered after the first page was read, and a
			// newer heartbeat of a, but the page that was to hold c was read before c registered.
			sender.replaceEndpoints(fleet.Batch{Entries: []fleet.Entry{entry("a", 4), entry("b", 1), entry("d", 3)}, Next: 2})
			sender.storeReads.SetLoaded(fleet.TopicEndpoints)
			c.send(t, sender, receiver)
			is.Equal(receiver.directory.Offset(), fleet.Position(2))
			is.Equal(len(receiver.directory.Live(receiver.Now())), 3) // a, b and d are used already
			sender.applyEndpoints(fleet.Batch{Entries: []fleet.Entry{entry("c", 2), entry("d", 3), entry("a", 4)}, Next: 5})
			is.Equal(sender.directory.Offset(), fleet.Position(5))
			first := sender.respondToStateRequest(peer.StateRequest{EndpointsFrom: receiver.directory.Offset()})[0]
			receiver.applyEndpoints(fleet.Batch{Entries: first.Endpoints, Next: first.EndpointsNext})
			is.Equal(len(receiver.directory.Live(receiver.Now())), 4)
		})
	}
}
