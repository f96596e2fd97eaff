package serve_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/proptest"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { proptest.Main(m, 300, 40) }

// A non-retryable request must not be sent again after its response was lost, and its
// client must not be told that it has not run.
func TestNonRetryableRequestIsNeverResent(t *testing.T) {
	for _, s := range []script{{lost: true}, {hang: true}, {status: 500}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newFakeBackend("a", "b")
			b.setScript("a", s)
			b.setScript("b", s)
			var out sink
			newServer(b).Serve(context.Background(), request("r", fleet.AtMostOnce, false), &out)
			is.Equal(len(b.runs["r"]), 1)
			is.True(!out.promisesNotRun())
		})
	}
}

// A lost response of an idempotent request must be hidden from its client by a run at another
// endpoint.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	for _, s := range []script{{lost: true}, {status: 500}, {class: serve.Overloaded}, {notSent: true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newFakeBackend("a", "b")
			b.setScript("a", s)
			b.setScript("b", s)
			b.scripts["b"] = nil
			var out sink
			newServer(b).Serve(context.Background(), request("r", fleet.Idempotent, false), &out)
			is.Equal(out.status, 200)
			is.Equal(out.body.String(), "r from "+string(b.runs["r"][len(b.runs["r"])-1]))
		})
	}
}

// If all endpoints fail, the client must get the response of an endpoint, without more
// attempts than the route allows.
func TestFailedResponseIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a", "b", "c")
		for _, id := range []string{"a", "b", "c"} {
			b.setScript(id, script{status: 500})
		}
		var out sink
		r := newServer(b).Serve(context.Background(), request("r", fleet.Idempotent, false), &out)
		is.Equal(out.status, 500)
		is.Equal(len(b.runs["r"]), 2)
		is.True(r.Complete)
	})
}

// A stream that breaks within an event must be resumed elsewhere so that the client gets each
// event once, complete and in order.
func TestBrokenStreamIsResumedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a", "b")
		whole := script{events: 5, broken: -1}
		b.setScript("a", script{events: 5, broken: 2})
		b.setScript("b", script{events: 5, broken: 2})
		s := newServer(b)
		var out sink
		go func() {}()
		b.scripts["b"] = append(b.scripts["b"], whole)
		b.scripts["a"] = append(b.scripts["a"], whole)
		req := request("r", fleet.Stream, true)
		req.Route.Attempts = 3
		s.Serve(context.Background(), req, &out)
		var want strings.Builder
		for n := 1; n <= 5; n++ {
			fmt.Fprintf(&want, "id: %d\ndata: %d\n\n", n, n)
		}
		is.Equal(out.body.String(), want.String())
		is.Equal(out.begun, 1)
		is.True(!out.aborted)
	})
}

// A broken stream that is not resumable must be aborted and must not run again.
func TestNonResumableStreamIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a", "b")
		b.setScript("a", script{events: 5, broken: 2})
		b.setScript("b", script{events: 5, broken: 2})
		var out sink
		newServer(b).Serve(context.Background(), request("r", fleet.Stream, false), &out)
		is.True(out.aborted)
		is.Equal(len(b.runs["r"]), 1)
	})
}

// A request at the only endpoint of a model must not be canceled because the endpoint is slow.
func TestAttemptAtOnlyEndpointIsNotAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.setScript("a", script{latency: 2 * time.Second, events: 3, broken: -1})
		var out sink
		newServer(b).Serve(context.Background(), request("r", fleet.Stream, true), &out)
		is.Equal(out.status, 200)
		is.Equal(b.canceled, 0)
	})
}

// An attempt at a stalled endpoint must be canceled and retried at an idle one.
func TestAttemptAtStalledEndpointIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a", "b")
		b.setScript("a", script{hang: true})
		b.setScript("b", script{hang: true})
		s := newServer(b)
		var out sink
		req := request("r", fleet.Idempotent, false)
		first := make(chan struct{})
		go func() {
			// The endpoint that is tried second responds.
			time.Sleep(time.Millisecond)
			b.mu.Lock()
			for _, id := range []fleet.EndpointID{"a", "b"} {
				if id != b.sends[0].Endpoint.ID {
					b.scripts[id] = nil
				}
			}
			b.mu.Unlock()
			close(first)
		}()
		s.Serve(context.Background(), req, &out)
		<-first
		is.Equal(out.status, 200)
		is.Equal(b.canceled, 1)
	})
}

// A model that takes longer to load than its clients wait must stay in the demand after its
// requests are refused.
func TestRefusedRequestStaysInDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend()
		b.coldReadyAt = time.Now().Add(time.Minute)
		s := newServer(b)
		var out sink
		r := s.Serve(context.Background(), request("r", fleet.AtMostOnce, false), &out)
		is.True(out.promisesNotRun())
		is.Equal(r.Total, time.Duration(0))
		dispatcher(s).Demand()
		again := dispatcher(s).Demand()
		is.Equal(len(again), 1)
		is.Equal(again[0].Waiting, 1)
		time.Sleep(10 * time.Second)
		is.Equal(len(dispatcher(s).Demand()), 0)
	})
}

// A request that waits for its model must be granted a slot as soon as the model is loaded.
func TestWaitingRequestRunsOnceModelIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend()
		s := newServer(b)
		var out sink
		go func() {
			time.Sleep(time.Second)
			b.setReady("a")
			dispatcher(s).DispatchWaiting()
		}()
		r := s.Serve(context.Background(), request("r", fleet.AtMostOnce, false), &out)
		is.Equal(out.status, 200)
		is.Equal(r.Waited, time.Second)
	})
}

// A host that shuts down must refuse waiting requests before the end of its grace period.
func TestShutdownRefusesWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend()
		s := newServer(b)
		start := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			dispatcher(s).EndAt(start.Add(time.Second))
		}()
		var out sink
		s.Serve(context.Background(), request("r", fleet.AtMostOnce, false), &out)
		is.True(out.promisesNotRun())
		is.True(out.refusal.RetryAfter > 0)
		is.True(time.Since(start) < time.Second)
	})
}

// A failed write to the client must not count as a failure of the endpoint.
func TestClientWriteFailureIsNotEndpointFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		s := newServer(b)
		for range 20 {
			b.setScript("a", script{events: 3, broken: -1})
			s.Serve(context.Background(), request("r", fleet.Stream, true), &sink{gone: true})
		}
		b.setReady("b")
		for range 20 {
			s.Serve(context.Background(), request("r", fleet.Stream, true), &sink{})
		}
		is.True(!s.Health.Condition(time.Now(), "a", "s", "m").Suspect)
	})
}

// A stream that breaks because its client disconnected must not count as a failure of the
// endpoint, whatever error the backend returns.
func TestBrokenStreamOfDisconnectedClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		s := newServer(b)
		for range 20 {
			b.setScript("a", script{events: 3, broken: 1})
			ctx, cancel := context.WithCancel(context.Background())
			r := s.Serve(ctx, request("r", fleet.Stream, true), &sink{onWrite: cancel})
			is.Equal(r.Refusal.Cause, serve.CauseClientGone)
		}
		b.setReady("b")
		for range 20 {
			s.Serve(context.Background(), request("r", fleet.Stream, true), &sink{})
		}
		is.True(!s.Health.Condition(time.Now(), "a", "s", "m").Suspect)
	})
}

// When a client disconnects, its request must be canceled at the endpoint and must not run
// again.
func TestClientDisconnectCancelsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.setScript("a", script{hang: true})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(200*time.Millisecond, cancel)
		var out sink
		r := newServer(b).Serve(ctx, request("r", fleet.Idempotent, false), &out)
		is.Equal(b.canceled, 1)
		is.Equal(len(b.runs["r"]), 1)
		is.Equal(r.Refusal.Cause, serve.CauseClientGone)
	})
}

// Checks invariants for arbitrary endpoint behavior: a non-retryable request runs at most
// once, no request runs more often than its route allows, a refusal that promises that the
// request has not run is true, and each client gets exactly one response.
func TestRunLimitsAndRefusals(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom([]fleet.RouteKind{fleet.Idempotent, fleet.AtMostOnce, fleet.Stream}).Draw(rt, "kind")
		resumable := rapid.Bool().Draw(rt, "resumable")
		attempts := rapid.IntRange(1, 3).Draw(rt, "attempts")
		draw := func(id string) []script {
			var list []script
			for range rapid.IntRange(0, 4).Draw(rt, id) {
				list = append(list, script{
					class:   rapid.SampledFrom([]serve.ResponseClass{serve.Completed, serve.Completed, serve.Overloaded, serve.NotLoaded, serve.WrongEndpoint}).Draw(rt, "verdict"),
					status:  rapid.SampledFrom([]int{200, 500}).Draw(rt, "status"),
					notSent: rapid.IntRange(0, 5).Draw(rt, "not sent") == 0,
					lost:    rapid.IntRange(0, 3).Draw(rt, "lost") == 0,
					hang:    rapid.IntRange(0, 5).Draw(rt, "hang") == 0,
					events:  3,
					broken:  rapid.IntRange(-1, 2).Draw(rt, "broken"),
				})
			}
			return list
		}
		scripts := map[string][]script{"a": draw("a"), "b": draw("b"), "c": draw("c")}
		synctest.Test(t, func(*testing.T) {
			b := newFakeBackend("a", "b", "c")
			for id, s := range scripts {
				b.setScript(id, s...)
			}
			req := request("r", kind, resumable)
			req.Route.Attempts = attempts
			var out sink
			newServer(b).Serve(context.Background(), req, &out)
			runs := len(b.runs["r"])
			if !req.Route.Retryable() && runs > 1 {
				rt.Fatalf("non-retryable request ran %d times", runs)
			}
			if runs > attempts {
				rt.Fatalf("request ran %d times, its route allows %d", runs, attempts)
			}
			if out.promisesNotRun() && runs > 0 {
				rt.Fatalf("refusal promises that the request has not run, but it ran %d times", runs)
			}
			if out.begun > 1 || out.begun == 1 && out.refusal != nil {
				rt.Fatalf("client got more than one response")
			}
			if out.begun == 0 && out.refusal == nil {
				rt.Fatalf("client got no response")
			}
		})
	})
}

// A retryable request whose response was lost must be sent again to the only endpoint with
// its model, unless the endpoint still holds it.
func TestLostResponseIsDetected(t *testing.T) {
	for _, c := range []struct {
		name   string
		status serve.RunStatus
		kind   fleet.RouteKind
		sent   int
	}{
		{"endpoint no longer holds the request", serve.RunStatus{}, fleet.Stream, 2},
		{"endpoint started to respond", serve.RunStatus{Active: true, Started: true}, fleet.Stream, 2},
		{"request waits at the endpoint", serve.RunStatus{Active: true}, fleet.Stream, 1},
		{"request may run only once", serve.RunStatus{}, fleet.AtMostOnce, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFakeBackend("a")
				b.status = c.status
				b.setScript("a", script{hang: true}, script{events: 3, broken: -1})
				var out sink
				r := request("r", c.kind, true)
				start := time.Now()
				got := newServer(b).Serve(t.Context(), r, &out)
				is.Equal(len(b.sends), c.sent)
				is.Equal(got.Complete, c.sent == 2)
				is.True(c.sent == 1 || time.Since(start) < 1500*time.Millisecond)
			})
		})
	}
}

// Demand must include how long requests waited for the first byte, from which the controller
// sees that a model needs more replicas.
func TestDemandReportsFirstByteWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		slow := script{latency: 300 * time.Millisecond, events: 3, broken: -1}
		b.setScript("a", slow, slow)
		s := newServer(b)
		for _, id := range []string{"r1", "r2"} {
			s.Serve(t.Context(), request(id, fleet.Stream, true), &sink{})
		}
		demand := dispatcher(s).Demand()
		is.Equal(len(demand), 1)
		is.Equal(demand[0].FirstByteWait, 600*time.Millisecond)
		is.Equal(len(dispatcher(s).Demand()), 0) // reported once
	})
}
