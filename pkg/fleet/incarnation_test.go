package fleet_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// incarnation returns an endpoint with the given start time and models.
func incarnation(name string, startMillis int64, models ...string) fleet.Endpoint {
	e := endpoint(name)
	e.ID = fleet.NewEndpointID(name, startMillis)
	for _, m := range models {
		e.Loaded = append(e.Loaded, fleet.LoadedModel{Model: m})
	}
	return e
}

// ready returns the endpoints that serve a model, or all endpoints if model is empty.
func ready(l *fleet.Locator, s float64, model string) []string {
	out := []string{}
	for _, e := range l.Locate(at(s), "s", model, "").Ready {
		out = append(out, string(e.ID))
	}
	return out
}

// Guards against an endpoint that stays draining after a restart under the same name.
func TestRestartedEndpointServesUnderSameName(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	l := fleet.NewLocator(d)
	draining := incarnation("a", 100, "m")
	draining.Draining = true
	d.Apply(at(0), 1, draining)
	d.Apply(at(1), 2, incarnation("a", 200, "n"))
	l.MarkStale()
	is.Equal(ready(l, 1, "n"), []string{"a@200"})
	is.Equal(ready(l, 1, "m"), []string{}) // the models of the previous incarnation are gone
	is.Equal(ids(d.Live(at(1))), []fleet.EndpointID{"a@200"})
}

// Guards against a delayed heartbeat of a previous incarnation that routes requests for its
// models to the new one.
func TestLateHeartbeatOfPreviousIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	l := fleet.NewLocator(d)
	d.Apply(at(0), 1, incarnation("a", 100, "m"))
	d.Apply(at(1), 2, incarnation("a", 200))
	d.Apply(at(2), 3, incarnation("a", 100, "m"))
	l.MarkStale()
	is.Equal(ready(l, 2, "m"), []string{})
	is.Equal(ready(l, 2, ""), []string{"a@200"})
	d.Remove(at(3), 4, "a") // entries are removed by name
	l.MarkStale()
	is.Equal(ready(l, 3, ""), []string{})
	is.Equal(ids(d.Live(at(3))), []fleet.EndpointID{})
}

// Guards against taking a restarted endpoint for a new one, also after its next heartbeat.
func TestRestartIsKnown(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	d.Apply(at(0), 1, incarnation("a", 100))
	is.True(d.Live(at(0))[0].RestartedAt.IsZero())
	d.Apply(at(1), 2, incarnation("a", 200))
	d.Apply(at(2), 3, incarnation("a", 200))
	is.Equal(d.Live(at(2))[0].RestartedAt, at(1))
}

// Guards against routing to an endpoint by its outdated entry after another writer has
// overwritten the entry, and against excluding it after its next valid heartbeat.
func TestUnreadableEntryExcludesEndpointUntilNextHeartbeat(t *testing.T) {
	invalid := map[string]fleet.Endpoint{
		"unreadable":    {ID: "a", Unreadable: true},
		"without start": incarnation("a", 0, "m"),
	}
	for name, e := range invalid {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := fleet.NewDirectory()
			l := fleet.NewLocator(d)
			d.Apply(at(0), 1, incarnation("a", 100, "m"))
			d.Apply(at(0), 2, incarnation("b", 100, "m"))
			before := d.RoutingOffset()
			d.Apply(at(1), 3, e)
			l.MarkStale()
			is.Equal(ready(l, 1, "m"), []string{"b@100"})                      // other endpoints are not affected
			is.Equal(ids(d.Live(at(1))), []fleet.EndpointID{"a@100", "b@100"}) // its requests continue
			is.True(d.RoutingOffset() > before)                                // other hosts must learn of the change
			d.Apply(at(2), 4, incarnation("a", 100, "m"))
			l.MarkStale()
			is.Equal(len(ready(l, 2, "m")), 2)
		})
	}
}

// Guards against treating an undecodable entry in a listing as a removal, after which copies
// of later heartbeats would be ignored.
func TestUnreadableEntryInListingDoesNotRemoveEndpoint(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	d.Apply(at(0), 1, incarnation("a", 100, "m"))
	d.Replace(at(1), 9, map[fleet.Position]fleet.Endpoint{
		5: {ID: "a", Unreadable: true},
		6: {ID: "stranger", Unreadable: true},
	})
	is.Equal(ids(d.Live(at(1))), []fleet.EndpointID{"a@100"})
	is.True(!d.Live(at(1))[0].TakesRequests())
}

func TestEndpointIDRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"a", "", "a@7", "@"} {
		for _, startMillis := range []int64{0, 1764726213000} {
			id := fleet.NewEndpointID(name, startMillis)
			is.Equal(id.Name(), name)
			is.Equal(id.StartMillis(), startMillis)
		}
	}
}

// Guards against an endpoint that takes requests again because the older copy of a restored store holds
// the entry that it removed before it left.
func TestRestoredEntryDoesNotReviveEndpoint(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	e := incarnation("e", 100)
	d.Apply(at(0), 5, e)
	d.Remove(at(1), 9, e.ID)
	d.SetStoreRestored(at(2))
	d.Replace(at(2), fleet.NewPosition(1, 7), map[fleet.Position]fleet.Endpoint{fleet.NewPosition(1, 5): e})
	is.Equal(len(d.Live(at(2))), 0)
	d.Apply(at(3), fleet.NewPosition(1, 10), e) // A heartbeat since then.
	is.Equal(len(d.Live(at(3))), 1)
}

// Guards against treating an entry that the older copy lacks as removed at once: its endpoint writes it
// again within the time that the platform states.
func TestEntryMissingInRestoredStoreMayReturn(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	a, b := incarnation("a", 100), incarnation("b", 100)
	d.Apply(at(0), 5, a)
	d.Apply(at(0), 6, b)
	d.SetStoreRestored(at(1))
	d.Replace(at(1), fleet.NewPosition(1, 2), nil)
	is.Equal(len(d.Live(at(1.5))), 2)
	d.Apply(at(2), fleet.NewPosition(1, 2), a)
	is.Equal(len(d.Live(at(4))), 1)
}

// Guards against an odd entry with a start time in the future that keeps a sound endpoint out of use for good, although
// the endpoint goes on writing its entry.
func TestEndpointReturnsAfterOddNewerIncarnation(t *testing.T) {
	for _, start := range []int64{0, 100} { // Not all endpoints state when they started.
		t.Run(fmt.Sprint(start), func(t *testing.T) {
			is := is.New(t)
			d := fleet.NewDirectory()
			l := fleet.NewLocator(d)
			sound := incarnation("a", start, "m")
			d.Apply(at(0), 1, sound)
			d.Apply(at(1), 2, incarnation("a", 253402300799999, "n"))
			l.MarkStale()
			is.Equal(ready(l, 1, "m"), []string{})
			for i := range 4 {
				s := 1.5 + float64(i)
				d.Apply(at(s), fleet.Position(3+i), sound)
				l.MarkStale()
				is.Equal(len(ready(l, s, "m")) > 0, i >= 2)
			}
			is.Equal(ids(d.Live(at(5))), []fleet.EndpointID{sound.ID})
			is.True(d.Gone("a@253402300799999"))
			is.True(d.Live(at(5))[0].RestartedAt.IsZero()) // It has not started again.
		})
	}
}

// Guards against entries of a former incarnation that bring it back: several delayed ones at once, and ones beside the
// entries of its successor.
func TestDelayedEntriesDoNotBringBackFormerIncarnation(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	d.Apply(at(0), 1, incarnation("a", 100, "m"))
	d.Apply(at(1), 2, incarnation("a", 200))
	for i := range fleet.Position(9) {
		d.Apply(at(1.2), 3+i, incarnation("a", 100, "m"))
	}
	is.Equal(ids(d.Live(at(1.2))), []fleet.EndpointID{"a@200"})
	for i := range 20 {
		s := 2 + float64(i)
		d.Apply(at(s), fleet.Position(20+2*i), incarnation("a", 200))
		d.Apply(at(s+0.5), fleet.Position(21+2*i), incarnation("a", 100, "m"))
		is.Equal(ids(d.Live(at(s+0.5))), []fleet.EndpointID{"a@200"})
	}
	d.Remove(at(30), 70, "a") // Its successor has left.
	for i := range 9 {
		d.Apply(at(31+float64(i)/10), fleet.Position(71+i), incarnation("a", 100, "m"))
	}
	is.Equal(len(d.Live(at(32))), 0)
}
