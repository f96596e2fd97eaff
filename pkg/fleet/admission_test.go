package fleet_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// Guards against requests that begin at a software version before it is admitted, and against refusing them where there
// is no endpoint of another one.
func TestRequestsBeginAtAdmittedVersions(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	l := fleet.NewLocator(d)
	for i, version := range []string{"1", "2"} {
		e := endpoint("e" + version)
		e.Version, e.Loaded = version, []fleet.LoadedModel{{Model: "m"}}
		d.Apply(at(0), fleet.Position(i), e)
	}
	l.MarkStale()
	ready := func(seconds float64, model string, required fleet.VersionRequirement) (out []string) {
		for _, e := range l.LocateVersion(at(seconds), "s", model, "", required).Ready {
			out = append(out, e.Version)
		}
		return out
	}
	is.Equal(len(ready(1, "m", fleet.VersionRequirement{})), 2)
	l.Admit(map[string][]string{"s": {"1"}})
	for _, model := range []string{"m", ""} {
		is.Equal(ready(1, model, fleet.VersionRequirement{}), []string{"1"})
		is.Equal(ready(1, model, fleet.RequireVersion("2")), []string{"2"}) // A stream that has begun there goes on.
	}
	d.Remove(at(1), 2, "e1")
	l.MarkStale()
	for _, model := range []string{"m", ""} {
		is.Equal(ready(9, model, fleet.VersionRequirement{}), []string{"2"})
	}
}
