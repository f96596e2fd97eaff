package signals

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// Guards against brittle endpoints that are forgotten while they still say so, or never, and against what cannot be
// read changing what is known.
func TestBrittleServices(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	stated := func(n float64) Brittleness { return Brittleness{Stated: true, MaxRejections: n} }
	type response struct {
		ms, sentMS int
		said       Brittleness
	}
	for _, c := range []struct {
		name      string
		responses []response
		brittle   bool
		limit     float64
		version   int64
	}{
		{"never stated", []response{{0, 0, Brittleness{}}}, false, 0, 0},
		{"stated", []response{{0, 0, stated(10)}, {1, 1, stated(10)}}, true, 10, 1},
		{"zero", []response{{0, 0, stated(0)}}, true, 0, 1},
		{"changed", []response{{0, 0, stated(10)}, {1, 1, stated(3)}}, true, 3, 2},
		{"malformed", []response{{0, 0, stated(10)}, {1, 1, Brittleness{Malformed: true}}, {9000, 9000, Brittleness{Malformed: true}}}, true, 10, 1},
		{"one response without it", []response{{0, 0, stated(10)}, {1, 1, Brittleness{}}}, true, 10, 1},
		{"long without it", []response{{0, 0, stated(10)}, {1, 1, Brittleness{}}, {2001, 2000, Brittleness{}}}, false, 0, 2},
		{"stated in between", []response{{0, 0, stated(10)}, {1, 1, Brittleness{}}, {1000, 999, stated(10)}, {2001, 2000, Brittleness{}}}, true, 10, 1},
		{"late responses", []response{{0, 0, stated(10)}, {1, -5, Brittleness{}}, {9000, -1, Brittleness{}}}, true, 10, 1},
		{"idle", []response{{0, 0, stated(10)}, {900_000, 0, Brittleness{}}}, true, 10, 1},
		{"back again", []response{{0, 0, stated(10)}, {1, 1, Brittleness{}}, {2001, 2000, Brittleness{}}, {2100, 2099, stated(4)}}, true, 4, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := NewBrittleServices()
			changes := 0
			b.Changed = func(fleet.BrittleService) { changes++ }
			for _, r := range c.responses {
				b.Observe(at(r.ms), "s", r.said, at(r.sentMS))
			}
			limit, _, brittle := b.Find("s")
			is.Equal(brittle, c.brittle)
			is.Equal(limit, c.limit)
			is.Equal(changes, int(c.version))
			is.Equal(b.Checksum() == 0, c.version == 0)
			other := NewBrittleServices()
			is.Equal(len(other.Merge(at(0), b.All())), min(1, int(c.version)))
			is.Equal(other.Checksum(), b.Checksum())
			is.Equal(len(other.Merge(at(0), b.All())), 0)
		})
	}
}

// Guards against endpoints of which some say that they are brittle counting as sound again every other second.
func TestPartlyBrittleServiceIsForgottenRarely(t *testing.T) {
	is := is.New(t)
	b := NewBrittleServices()
	ends := 0
	b.Changed = func(s fleet.BrittleService) {
		if !s.Brittle {
			ends++
		}
	}
	now := time.Unix(1000, 0)
	for i := range 6000 { // a minute; every 300th response says so
		now = now.Add(10 * time.Millisecond)
		b.Observe(now, "s", Brittleness{Stated: i%300 == 0, MaxRejections: 5}, now.Add(-time.Millisecond))
	}
	is.True(ends <= 2)
}
