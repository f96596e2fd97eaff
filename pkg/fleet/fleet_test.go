package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/proptest"
	"github.com/tealvane/tealvane/pkg/fleet"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { proptest.Main(m, 300, 60) }

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func ids(views []fleet.View) []fleet.EndpointID {
	out := []fleet.EndpointID{}
	for _, v := range views {
		out = append(out, v.ID)
	}
	return out
}

func endpoint(id string) fleet.Endpoint {
	return fleet.Endpoint{ID: fleet.EndpointID(id), Service: "s", Addr: "127.0.0.1:1"}
}

func TestMatchUsesLongestPrefix(t *testing.T) {
	is := is.New(t)
	c := &fleet.Config{Routes: []fleet.Route{
		{Name: "short", Host: "h", PathPrefix: "/a/"},
		{Name: "long", Host: "h", PathPrefix: "/a/b/"},
		{Name: "other", Host: "g", PathPrefix: "/a/b/c/"},
	}}
	for path, want := range map[string]string{"/a/x": "short", "/a/b/c/": "long", "/a": "", "/": ""} {
		r, ok := c.Match("h", path)
		is.Equal(r.Name, want)
		is.Equal(ok, want != "")
	}
}

// Guards against rejecting all requests after a store outage, when the expired entries of live
// endpoints are read as removed.
func TestEntriesExpiredDuringStoreOutageAreKept(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	d.Apply(at(0), 0, endpoint("a"))
	d.Apply(at(0), 1, endpoint("b"))
	d.SetStoreAvailable(at(1), false)
	d.SetStoreAvailable(at(10), true)
	d.Remove(at(10.1), 2, "a")
	d.Remove(at(10.1), 3, "b")
	is.Equal(ids(d.Live(at(10.2))), []fleet.EndpointID{"a", "b"})
	d.Apply(at(11), 4, endpoint("a"))
	is.Equal(ids(d.Live(at(12.1))), []fleet.EndpointID{"a"}) // b was not written again
}

// Guards against a delayed heartbeat routing requests to a draining endpoint again.
func TestDrainingEndpointStaysDraining(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	draining := endpoint("a")
	draining.Draining = true
	d.Apply(at(0), 5, draining)
	d.Apply(at(1), 4, endpoint("a"))
	d.Apply(at(1), 6, endpoint("a"))
	is.True(d.Live(at(1))[0].Draining)
}

// Guards against a stale listing from a peer removing newer endpoints.
func TestStaleListingRemovesNothing(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	d.Apply(at(0), 7, endpoint("new"))
	d.Replace(at(1), 3, map[fleet.Position]fleet.Endpoint{2: endpoint("old")})
	is.Equal(ids(d.Live(at(1))), []fleet.EndpointID{"new", "old"})
	d.Replace(at(2), 9, map[fleet.Position]fleet.Endpoint{8: endpoint("old")})
	is.Equal(ids(d.Live(at(2))), []fleet.EndpointID{"old"})
}

// The entry with the greatest offset wins in any order of arrival.
func TestDirectoryKeepsNewestOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "entries")
		zone := make([]string, n)
		order := make([]fleet.Position, n)
		for i := range n {
			zone[i] = rapid.StringMatching("[a-z]").Draw(t, "zone")
			order[i] = fleet.Position(i)
		}
		d := fleet.NewDirectory()
		for _, offset := range rapid.Permutation(order).Draw(t, "order") {
			e := endpoint("a")
			e.Zone = zone[offset]
			d.Apply(at(0), offset, e)
		}
		if got := d.Live(at(0))[0].Zone; got != zone[n-1] {
			t.Fatalf("zone %q, want %q from the newest entry", got, zone[n-1])
		}
	})
}

func TestLocatorFollowsNewestController(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	e := endpoint("a")
	e.Loaded = []fleet.LoadedModel{{Model: "listed"}}
	d.Apply(at(0), 0, e)
	l := fleet.NewLocator(d)
	ready := func(now time.Time, model, adapter string) int {
		return len(l.Locate(now, "s", model, adapter).Ready)
	}
	is.Equal(ready(at(0), "listed", ""), 1)
	notice := func(token int64, m ...fleet.ModelPlacement) fleet.Notice {
		return fleet.Notice{Token: token, Endpoints: []fleet.Placement{{Endpoint: "a", Models: m}}}
	}
	is.True(l.ApplyNotice(at(0), notice(2, fleet.ModelPlacement{Model: "told", ReadyIn: 500, Adapters: []string{"x"}})))
	is.Equal(ready(at(0), "listed", ""), 0)
	is.Equal(l.Locate(at(0), "s", "told", "").ReadyAt, at(0.5))
	is.Equal(ready(at(0.5), "told", "x"), 1)
	is.Equal(ready(at(0.5), "told", "y"), 0)
	// A previous controller may send notices for a short time after it has lost its claim.
	is.True(!l.ApplyNotice(at(0.6), notice(1)))
	is.Equal(ready(at(0.6), "told", ""), 1)
	// Notices expire if the controller sends no more heartbeats.
	is.Equal(ready(at(9), "told", ""), 0)
	is.Equal(ready(at(9), "listed", ""), 1)
}

// Guards against heartbeats that make other hosts read the list again.
func TestHeartbeatsDoNotChangeRoutingOffset(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	d.Apply(at(0), 3, endpoint("a"))
	is.Equal(d.RoutingOffset(), fleet.Position(3))
	d.Apply(at(1), 4, endpoint("a"))
	is.Equal(d.RoutingOffset(), fleet.Position(3))
	draining := endpoint("a")
	draining.Draining = true
	d.Apply(at(2), 5, draining)
	is.Equal(d.RoutingOffset(), fleet.Position(5))
	d.Remove(at(3), 6, "a")
	is.Equal(d.RoutingOffset(), fleet.Position(6))
}

// Guards against unbounded growth by replaced endpoints, and against a delayed entry that
// restores a pruned endpoint.
func TestPruneDropsGoneEndpoints(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	const replaced = 1000
	for i := range replaced {
		now := at(float64(i))
		d.Apply(now, fleet.Position(2*i), endpoint(fmt.Sprint("e", i)))
		if i > 0 {
			d.Remove(now, fleet.Position(2*i+1), fleet.EndpointID(fmt.Sprint("e", i-1)))
		}
		d.Prune(now)
	}
	is.True(d.Len() < 100)
	end := at(replaced)
	d.Apply(end, 10, endpoint("e5"))
	live := d.Live(end)
	is.Equal(len(live), 1)
	is.Equal(live[0].ID, fleet.EndpointID(fmt.Sprint("e", replaced-1)))
}

func TestConfigHasModel(t *testing.T) {
	c := &fleet.Config{Services: map[string]fleet.Service{
		"plain": {Name: "plain"},
		"llm": {Name: "llm", Engine: &fleet.Engine{Models: map[string]fleet.Model{
			"m":    {Name: "m", Adapters: 2},
			"bare": {Name: "bare"},
		}}},
	}}
	for _, x := range []struct {
		service, model, adapter string
		want                    bool
	}{
		{"plain", "", "", true},
		{"llm", "m", "", true},
		{"llm", "m", "a1", true},
		{"llm", "bare", "", true},
		{"llm", "bare", "a1", false},
		{"llm", "nosuch", "", false},
	} {
		is := is.New(t)
		is.Equal(c.HasModel(x.service, x.model, x.adapter), x.want)
	}
}

// Other hosts receive exactly the endpoints that were added, started draining, were removed or
// returned. Without these changes, hosts would not use new endpoints or would send requests to
// draining ones.
func TestRoutingChangesSince(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	d.Apply(at(0), 0, endpoint("a"))
	d.Apply(at(0), 1, endpoint("b"))
	is.Equal(len(d.RoutingChangesSince(-1)), 2)
	d.Apply(at(1), 2, endpoint("a"))
	is.Equal(len(d.RoutingChangesSince(1)), 0) // a heartbeat
	draining := endpoint("a")
	draining.Draining = true
	d.Apply(at(2), 3, draining)
	is.Equal(d.RoutingChangesSince(1), []fleet.EndpointID{"a"})
	d.Apply(at(3), 4, draining)
	is.Equal(d.RoutingChangesSince(2), []fleet.EndpointID{"a"}) // still listed after a heartbeat
	d.Remove(at(4), 5, "b")
	is.Equal(d.RoutingChangesSince(4), []fleet.EndpointID{"b"})
	d.Apply(at(5), 6, endpoint("b"))
	is.Equal(d.RoutingChangesSince(5), []fleet.EndpointID{"b"})
}
