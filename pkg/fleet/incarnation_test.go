package fleet_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// incarnation returns an endpoint that was started at a time and holds some models.
func incarnation(name string, born int64, models ...string) fleet.Endpoint {
	e := endpoint(name)
	e.ID = fleet.NewEndpointID(name, born)
	for _, m := range models {
		e.Holds = append(e.Holds, fleet.Held{Model: m})
	}
	return e
}

// ready names the endpoints that serve a model, or any where it is empty.
func ready(b *fleet.Board, s float64, model string) []string {
	out := []string{}
	for _, e := range b.Locate(at(s), "s", model, "").Ready {
		out = append(out, string(e.ID))
	}
	return out
}

// An endpoint announces its leaving and starts again under its name. It was taken for
// draining for as long as hosts lived, and a service of one endpoint refused everything.
func TestEndpointServesAfterItsRestartUnderTheSameName(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	b := fleet.NewBoard(d)
	leaving := incarnation("a", 100, "m")
	leaving.Draining = true
	d.Apply(at(0), 1, leaving)
	d.Apply(at(1), 2, incarnation("a", 200, "n"))
	b.Changed()
	is.Equal(ready(b, 1, "n"), []string{"a@200"})
	is.Equal(ready(b, 1, "m"), []string{}) // it holds nothing of before
	is.Equal(ids(d.Live(at(1))), []fleet.EndpointID{"a@200"})
}

// An endpoint starts again, and a heartbeat of its former incarnation is written late,
// after the first one of the new. Requests for what the former one held went to an
// endpoint that holds nothing.
func TestLateHeartbeatOfAFormerIncarnationHasNoEffect(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	b := fleet.NewBoard(d)
	d.Apply(at(0), 1, incarnation("a", 100, "m"))
	d.Apply(at(1), 2, incarnation("a", 200))
	d.Apply(at(2), 3, incarnation("a", 100, "m"))
	b.Changed()
	is.Equal(ready(b, 2, "m"), []string{})
	is.Equal(ready(b, 2, ""), []string{"a@200"})
	d.Remove(at(3), 4, "a") // an entry is removed by its name
	b.Changed()
	is.Equal(ready(b, 3, ""), []string{})
	is.Equal(ids(d.Live(at(3))), []fleet.EndpointID{})
}

// Another writer puts an entry under an endpoint's name that cannot be read, or lacks
// the start that the endpoint states. The former entry stayed in use, and requests went
// by what nobody vouches for; an entry with an odd state took the endpoint out for ever.
func TestUnreadableEntryHidesItsEndpointUntilItWritesAgain(t *testing.T) {
	odd := map[string]fleet.Endpoint{
		"unreadable":    {ID: "a", Unreadable: true},
		"without start": incarnation("a", 0, "m"),
	}
	for name, e := range odd {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := fleet.NewDirectory()
			b := fleet.NewBoard(d)
			d.Apply(at(0), 1, incarnation("a", 100, "m"))
			d.Apply(at(0), 2, incarnation("b", 100, "m"))
			before := d.Material()
			d.Apply(at(1), 3, e)
			b.Changed()
			is.Equal(ready(b, 1, "m"), []string{"b@100"})                      // the others hold
			is.Equal(ids(d.Live(at(1))), []fleet.EndpointID{"a@100", "b@100"}) // its runs go on
			is.True(d.Material() > before)                                     // other hosts are told
			d.Apply(at(2), 4, incarnation("a", 100, "m"))
			b.Changed()
			is.Equal(len(ready(b, 2, "m")), 2)
		})
	}
}

// A listing is read anew while an entry in it cannot be read. Its endpoint was taken
// for gone, and a copy of its next heartbeat that came by way of a slow host for an old one.
func TestUnreadableEntryInAListingIsNoRemoval(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	d.Apply(at(0), 1, incarnation("a", 100, "m"))
	d.Replace(at(1), 9, map[int64]fleet.Endpoint{
		5: {ID: "a", Unreadable: true},
		6: {ID: "stranger", Unreadable: true},
	})
	is.Equal(ids(d.Live(at(1))), []fleet.EndpointID{"a@100"})
	is.True(!d.Live(at(1))[0].TakesRequests())
}

func TestEndpointIDKeepsNameAndStart(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"a", "", "a@7", "@"} {
		for _, born := range []int64{0, 1764726213000} {
			id := fleet.NewEndpointID(name, born)
			is.Equal(id.Name(), name)
			is.Equal(id.Born(), born)
		}
	}
}
