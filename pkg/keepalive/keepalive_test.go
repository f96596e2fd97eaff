package keepalive_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/keepalive"
	"pgregory.net/rapid"
)

var costs = keepalive.Cost{IdleHour: 1, ColdStartSecond: 0.05, Load: 5 * time.Second}

func TestFewGapsUseFallback(t *testing.T) {
	is := is.New(t)
	var g keepalive.Gaps
	g.Observe(time.Hour)
	is.Equal(g.Choose(costs, time.Minute), keepalive.Plan{Keep: time.Minute})
}

// A model that is requested at a regular interval must be preloaded for the next request
// instead of kept loaded.
func TestRegularGapsArePreloaded(t *testing.T) {
	is := is.New(t)
	var g keepalive.Gaps
	for range 30 {
		g.Observe(time.Hour)
	}
	p := g.Choose(costs, time.Minute)
	is.True(p.Preload(time.Hour))
	is.True(!p.Loaded(20 * time.Minute))
	is.True(p.PreloadAt < time.Hour-costs.Load)
}

// A model that is used in sessions must stay loaded during a session only.
func TestModelStaysLoadedDuringSession(t *testing.T) {
	is := is.New(t)
	var g keepalive.Gaps
	for i := range 100 {
		gap := 20 * time.Second
		if i%20 == 0 {
			gap = time.Duration(1+i) * time.Hour
		}
		g.Observe(gap)
	}
	p := g.Choose(costs, time.Minute)
	is.True(p.Loaded(20 * time.Second))
	is.True(!p.Loaded(30 * time.Minute))
}

// Plans must be well formed and depend only on the observed gaps and costs.
func TestPlansAreWellFormed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g keepalive.Gaps
		for range rapid.IntRange(0, 50).Draw(t, "gaps") {
			g.Observe(time.Duration(rapid.Int64Range(0, int64(100*time.Hour)).Draw(t, "gap")))
		}
		c := keepalive.Cost{
			IdleHour:        rapid.Float64Range(0.01, 10).Draw(t, "idle"),
			ColdStartSecond: rapid.Float64Range(0.0001, 1).Draw(t, "cold"),
			Load:            time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "load")),
		}
		p := g.Choose(c, time.Minute)
		if p.Keep < 0 || p.PreloadAt < 0 || p.PreloadUntil > 0 && p.PreloadUntil <= p.PreloadAt {
			t.Fatalf("plan is not well formed: %+v", p)
		}
		if p != g.Choose(c, time.Minute) {
			t.Fatalf("Choose returned %+v and then a different plan for the same gaps and costs", p)
		}
	})
}
