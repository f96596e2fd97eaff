package serve_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/signals"
)

// If the only endpoint with the model is rate limited for this host, a request must be refused
// while its client can still retry.
func TestRequestIsRefusedIfAllEndpointsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		s := newServer(b)
		others := []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"}
		s.Health.Signals.SetHosts("h0", others)
		zeroRate := 0.0
		s.Health.Signals.Observe(time.Now(), "a", signals.Response{Rate: &zeroRate}, time.Now(), true)
		var out sink
		got := s.Serve(context.Background(), request("r", fleet.Idempotent, false), &out)
		is.Equal(got.Outcome(), "refused_endpoint_limit")
		is.Equal(len(b.runs["r"]), 0)
		is.True(got.Total < 4*time.Second)
		is.True(out.refusal.RetryAfter > 0)
	})
}

// Requests beyond the rate limit of one endpoint must go to the other.
func TestExcessRequestsGoToUnlimitedEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a", "b")
		s := newServer(b)
		rate := 2.0
		const requests = 100
		for range requests {
			b.scripts["a"] = append(b.scripts["a"], script{signals: signals.Response{Rate: &rate}})
		}
		for i := range requests {
			var out sink
			s.Serve(context.Background(), request(string(rune('a'+i)), fleet.Idempotent, false), &out)
			is.Equal(out.status, 200)
			time.Sleep(50 * time.Millisecond)
		}
		atLimited := 0
		for _, send := range b.sends {
			if send.Endpoint.ID == "a" {
				atLimited++
			}
		}
		is.True(atLimited > 2 && atLimited <= 12) // 2 a second for 5 s
	})
}

// A pause requested with a response that cannot be forwarded must take effect.
func TestPauseOfUnusableResponseTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		s := newServer(b)
		const pause = 3 * time.Second // longer than a request waits otherwise
		b.setScript("a", script{pause: pause})
		var out sink
		s.Serve(context.Background(), request("r1", fleet.AtMostOnce, false), &out)
		is.True(!out.promisesNotRun())
		start := time.Now()
		time.AfterFunc(pause, dispatcher(s).DispatchWaiting)
		var next sink
		s.Serve(context.Background(), request("r2", fleet.AtMostOnce, false), &next)
		is.Equal(next.status, 200)
		is.True(time.Since(start) >= pause)
	})
}

// An endpoint that asked for a pause does not count as an alternative for a stalled attempt.
func TestPausedEndpointIsNoAlternative(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a", "b")
		s := newServer(b)
		s.Health.Signals.Observe(time.Now(), "b", signals.Response{RetryAfter: time.Minute}, time.Now(), false)
		r := request("r", fleet.Idempotent, false)
		is.True(!s.Queue.HasAlternative(r.Need(), "a"))
		is.True(s.Queue.HasAlternative(r.Need(), "b"))
	})
}

// Signals from an endpoint that took over another's address must not be attributed to the
// other.
func TestSignalsOfWrongEndpointAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		s := newServer(b)
		b.setScript("a", script{class: serve.WrongEndpoint, signals: signals.Response{Draining: true}})
		var out sink
		s.Serve(context.Background(), request("r", fleet.AtMostOnce, false), &out)
		is.Equal(len(s.Health.Signals.Draining()), 0)
	})
}
