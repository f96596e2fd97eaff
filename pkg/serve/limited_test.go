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

// The only endpoint with a model states a request rate, and this host has no part of it. Its
// request waited in vain until its client had gone; now it is refused in time to come back, and
// the model counts as missing, so that another endpoint loads it.
func TestRequestForALimitedEndpointOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a")
		s := newServer(w)
		others := []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"}
		s.Health.Signals.SetHosts("h0", others)
		slow := 0.0
		s.Health.Signals.Observe(time.Now(), "a", signals.Answer{Rate: &slow}, time.Now(), true)
		var out sink
		got := s.Serve(context.Background(), request("r", fleet.Idempotent, false), &out)
		is.Equal(got.Outcome(), "refused_endpoint_limit")
		is.Equal(len(w.runs["r"]), 0)
		is.True(got.Total < 4*time.Second)
		is.True(out.refusal.RetryAfter > 0)
	})
}

// One of two endpoints states a rate: the other takes what is beyond it.
func TestRequestsGoToEndpointsWithoutALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a", "b")
		s := newServer(w)
		rate := 2.0
		const requests = 100
		for range requests {
			w.scripts["a"] = append(w.scripts["a"], script{says: signals.Answer{Rate: &rate}})
		}
		for i := range requests {
			var out sink
			s.Serve(context.Background(), request(string(rune('a'+i)), fleet.Idempotent, false), &out)
			is.Equal(out.status, 200)
			time.Sleep(50 * time.Millisecond)
		}
		atLimited := 0
		for _, send := range w.sends {
			if send.Endpoint.ID == "a" {
				atLimited++
			}
		}
		is.True(atLimited > 2 && atLimited <= 12) // 2 a second for 5 s
	})
}

// An endpoint turns a request away and asks for a pause, but does not say that it has not run it.
// Its answer cannot be passed on, and the pause was lost with it.
func TestPauseOfAnAnswerThatCannotBePassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a")
		s := newServer(w)
		const pause = 3 * time.Second // longer than a request is held without a reason
		w.does("a", script{pause: pause})
		var out sink
		s.Serve(context.Background(), request("r1", fleet.Once, false), &out)
		is.True(!out.promises())
		start := time.Now()
		time.AfterFunc(pause, dispatcher(s).Kick)
		var next sink
		s.Serve(context.Background(), request("r2", fleet.Once, false), &next)
		is.Equal(next.status, 200)
		is.True(time.Since(start) >= pause)
	})
}

// The only other endpoint has asked for a pause. A try that hangs was given up for it, and the
// request waited for the end of the pause instead.
func TestTryIsNotGivenUpForAnEndpointInAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a", "b")
		s := newServer(w)
		s.Health.Signals.Observe(time.Now(), "b", signals.Answer{Pause: time.Minute}, time.Now(), false)
		r := request("r", fleet.Idempotent, false)
		is.True(!s.Queue.HasOther(r, "a"))
		is.True(s.Queue.HasOther(r, "b"))
	})
}

// An address is that of another endpoint now, which leaves. What it says was taken for the word of
// the one that was meant.
func TestAnotherEndpointSpeaksForItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a")
		s := newServer(w)
		w.does("a", script{verdict: serve.Elsewhere, says: signals.Answer{Leaving: true}})
		var out sink
		s.Serve(context.Background(), request("r", fleet.Once, false), &out)
		is.Equal(len(s.Health.Signals.Leaving()), 0)
	})
}
