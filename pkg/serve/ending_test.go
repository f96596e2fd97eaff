package serve_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
)

// Guards against sending, late in a planned stop, a request whose run would be cut off, and against refusing one that
// can still be served.
func TestRequestsThatWouldBeCutOffAreRefused(t *testing.T) {
	constant := []time.Duration{2100 * time.Millisecond, 2100 * time.Millisecond, 2100 * time.Millisecond}
	spread := []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 400 * time.Millisecond, 2 * time.Second}
	short := slices.Repeat([]time.Duration{50 * time.Millisecond, 60 * time.Millisecond}, 20)
	for name, c := range map[string]struct {
		// runs are the times that earlier runs took, left the time until runs are cut off.
		runs []time.Duration
		left time.Duration
		// deadline is when the client leaves.
		deadline time.Duration
		served   bool
	}{
		"in time":                  {constant, 2800 * time.Millisecond, 5 * time.Second, true},
		"too late":                 {constant, 1800 * time.Millisecond, 5 * time.Second, false},
		"just over the usual time": {constant, 2200 * time.Millisecond, 5 * time.Second, false},
		"client leaves before":     {constant, 1800 * time.Millisecond, time.Second, true},
		"short runs":               {short, 300 * time.Millisecond, 5 * time.Second, true},
		"one long run among short": {append(slices.Clone(short), append([]time.Duration{2 * time.Second}, short...)...), 1500 * time.Millisecond, 5 * time.Second, false},
		"long runs are likely":     {spread, 2500 * time.Millisecond, 5 * time.Second, false},
		"even the longest run":     {spread, 7 * time.Second, 20 * time.Second, true},
		"nothing is known":         {nil, 2800 * time.Millisecond, 5 * time.Second, true},
		"nothing is known, late":   {nil, 1800 * time.Millisecond, 5 * time.Second, false},
	} {
		for _, kind := range []fleet.RouteKind{fleet.AtMostOnce, fleet.Idempotent, fleet.Stream} {
			t.Run(fmt.Sprintf("%s, %v", name, kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					b := newFakeBackend("a")
					s := newServer(b)
					for _, took := range c.runs {
						b.setScript("a", script{latency: took, events: 1, broken: -1, framing: serve.FramingChunks})
						is.True(s.Serve(t.Context(), request("earlier", fleet.AtMostOnce, false), &sink{}).Complete)
					}
					b.setScript("a", script{events: 1, broken: -1, framing: serve.FramingChunks})
					sent := len(b.sends)
					dispatcher(s).EndAt(time.Now().Add(c.left))
					r := request("late", kind, false)
					r.Deadline = time.Now().Add(c.deadline)
					var out sink
					s.Serve(t.Context(), r, &out)
					is.Equal(out.status == 200, c.served)
					is.Equal(len(b.sends) > sent, c.served)
					if !c.served {
						is.True(out.promisesNotRun())
						is.True(out.refusal.RetryAfter > 0)
						is.Equal(out.refusal.Cause, serve.CauseStopping)
					}
				})
			})
		}
	}
}

// Guards against going by runs of long ago, which may have been longer, or by few, which may not have been the longest.
func TestRunsOfTheLastMinutesCount(t *testing.T) {
	for name, c := range map[string]struct {
		runs   int
		age    time.Duration
		left   time.Duration
		served bool
	}{
		"now":              {20, 0, time.Second, true},
		"a minute ago":     {20, 70 * time.Second, time.Second, true},
		"minutes ago":      {20, 3 * time.Minute, time.Second, false},
		"few":              {3, 0, time.Second, false},
		"few, with enough": {3, 0, 3 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFakeBackend("a")
				s := newServer(b)
				for range c.runs {
					b.setScript("a", script{latency: 100 * time.Millisecond})
					is.True(s.Serve(t.Context(), request("earlier", fleet.AtMostOnce, false), &sink{}).Complete)
				}
				time.Sleep(c.age)
				dispatcher(s).EndAt(time.Now().Add(c.left))
				var out sink
				s.Serve(t.Context(), request("late", fleet.AtMostOnce, false), &out)
				is.Equal(out.status == 200, c.served)
			})
		})
	}
}

// Guards against a request that waits for a slot in a planned stop until its run would be cut off.
func TestRequestWaitsOnlyWhileItCanBeServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		s := newServer(b)
		for range 10 {
			b.setScript("a", script{latency: time.Second})
			is.True(s.Serve(t.Context(), request("earlier", fleet.AtMostOnce, false), &sink{}).Complete)
		}
		b.setReady()
		start := time.Now()
		dispatcher(s).EndAt(start.Add(3 * time.Second))
		var out sink
		s.Serve(t.Context(), request("r", fleet.AtMostOnce, false), &out)
		is.True(out.promisesNotRun())
		is.True(time.Since(start) >= 1500*time.Millisecond)
		is.True(time.Since(start) < 2*time.Second)
	})
}
