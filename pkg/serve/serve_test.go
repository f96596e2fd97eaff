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

// A sanction screen is sent, its endpoint runs it, and the answer is lost. Sent
// once more, the screen would stand on record with two verdicts; called "not
// run", its client would send it once more itself.
func TestOnceIsNeverSentTwiceNorDenied(t *testing.T) {
	for _, s := range []script{{lost: true}, {hang: true}, {status: 500}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld("a", "b")
			w.does("a", s)
			w.does("b", s)
			var out sink
			newServer(w).Serve(context.Background(), request("r", fleet.Once, false), &out)
			is.Equal(len(w.runs["r"]), 1)
			is.True(!out.promises())
		})
	}
}

// The same loss of a request that may run again is hidden from its client.
func TestIdempotentRunsElsewhere(t *testing.T) {
	for _, s := range []script{{lost: true}, {status: 500}, {verdict: serve.Full}, {notSent: true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld("a", "b")
			w.does("a", s)
			w.does("b", s)
			w.scripts["b"] = nil
			var out sink
			newServer(w).Serve(context.Background(), request("r", fleet.Idempotent, false), &out)
			is.Equal(out.status, 200)
			is.Equal(out.body.String(), "r from "+string(w.runs["r"][len(w.runs["r"])-1]))
		})
	}
}

// All endpoints fail a lookup. The client must get the endpoint's own failure
// and not wait for a third try that the route does not allow.
func TestFailedAnswerIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a", "b", "c")
		for _, id := range []string{"a", "b", "c"} {
			w.does(id, script{status: 500})
		}
		var out sink
		r := newServer(w).Serve(context.Background(), request("r", fleet.Idempotent, false), &out)
		is.Equal(out.status, 500)
		is.Equal(len(w.runs["r"]), 2)
		is.True(r.Complete)
	})
}

// A stream breaks within an event. The client must see each event once and
// whole, in order, in one answer; the half event must not be joined with the
// next run's bytes.
func TestStreamGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a", "b")
		whole := script{events: 5, broken: -1}
		w.does("a", script{events: 5, broken: 2})
		w.does("b", script{events: 5, broken: 2})
		first := newServer(w)
		var out sink
		go func() {}()
		w.scripts["b"] = append(w.scripts["b"], whole)
		w.scripts["a"] = append(w.scripts["a"], whole)
		req := request("r", fleet.Stream, true)
		req.Route.Attempts = 3
		first.Serve(context.Background(), req, &out)
		var want strings.Builder
		for n := 1; n <= 5; n++ {
			fmt.Fprintf(&want, "id: %d\ndata: %d\n\n", n, n)
		}
		is.Equal(out.body.String(), want.String())
		is.Equal(out.begun, 1)
		is.True(!out.aborted)
	})
}

// A stream that may not be resumed breaks. Its answer must not look complete,
// and nothing may run again.
func TestBrokenStreamIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a", "b")
		w.does("a", script{events: 5, broken: 2})
		w.does("b", script{events: 5, broken: 2})
		var out sink
		newServer(w).Serve(context.Background(), request("r", fleet.Stream, false), &out)
		is.True(out.aborted)
		is.Equal(len(w.runs["r"]), 1)
	})
}

// A busy model has one endpoint, which is slow. Requests were cancelled there
// after 0.75 s and, with nowhere else to go, failed near their deadline: work
// that would have ended late was thrown away and the load stayed.
func TestSlowOnlyEndpointIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a")
		w.does("a", script{took: 2 * time.Second, events: 3, broken: -1})
		var out sink
		newServer(w).Serve(context.Background(), request("r", fleet.Stream, true), &out)
		is.Equal(out.status, 200)
		is.Equal(w.cancelled, 0)
	})
}

// An endpoint hangs on a request while another is idle: the client gets its
// answer from the other one, and the first is told to stop.
func TestHungEndpointIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a", "b")
		w.does("a", script{hang: true})
		w.does("b", script{hang: true})
		s := newServer(w)
		var out sink
		req := request("r", fleet.Idempotent, false)
		first := make(chan struct{})
		go func() {
			// The endpoint that is not asked first serves.
			time.Sleep(time.Millisecond)
			w.mu.Lock()
			for _, id := range []fleet.EndpointID{"a", "b"} {
				if id != w.sends[0].Endpoint.ID {
					w.scripts[id] = nil
				}
			}
			w.mu.Unlock()
			close(first)
		}()
		s.Serve(context.Background(), req, &out)
		<-first
		is.Equal(out.status, 200)
		is.Equal(w.cancelled, 1)
	})
}

// A model takes longer to load than its clients wait. Refused at once, it still
// has to count as wanted, or it would never be loaded.
func TestRefusedModelStaysWanted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.farUntil = time.Now().Add(time.Minute)
		s := newServer(w)
		var out sink
		r := s.Serve(context.Background(), request("r", fleet.Once, false), &out)
		is.True(out.promises())
		is.Equal(r.Total, time.Duration(0))
		dispatcher(s).Demand()
		again := dispatcher(s).Demand()
		is.Equal(len(again), 1)
		is.Equal(again[0].Waiting, 1)
		time.Sleep(10 * time.Second)
		is.Equal(len(dispatcher(s).Demand()), 0)
	})
}

// A request waits for a model that is not loaded; it is granted the moment the
// model is there.
func TestWaitingRequestIsGrantedWhenTheModelIsThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		s := newServer(w)
		var out sink
		go func() {
			time.Sleep(time.Second)
			w.setReady("a")
			dispatcher(s).Kick()
		}()
		r := s.Serve(context.Background(), request("r", fleet.Once, false), &out)
		is.Equal(out.status, 200)
		is.Equal(r.Waited, time.Second)
	})
}

// A stopping host reached the end of its grace with a request still waiting for
// a model and closed the connection without an answer: a lost request, which
// its client could have sent elsewhere.
func TestStoppingHostRefusesWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		s := newServer(w)
		start := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			dispatcher(s).CloseAt(start.Add(time.Second))
		}()
		var out sink
		s.Serve(context.Background(), request("r", fleet.Once, false), &out)
		is.True(out.promises())
		is.True(out.refusal.RetryAfter > 0)
		is.True(time.Since(start) <= 1500*time.Millisecond)
	})
}

// Many clients leave in the middle of their streams, and each time the endpoint
// was taken for failing: after a few it was asked only as a last choice, and its
// neighbours got all the load. The write to the client had failed, not the run.
func TestEndpointIsNotBlamedForClientsThatLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a")
		s := newServer(w)
		for range 20 {
			w.does("a", script{events: 3, broken: -1})
			s.Serve(context.Background(), request("r", fleet.Stream, true), &sink{gone: true})
		}
		w.setReady("b")
		for range 20 {
			s.Serve(context.Background(), request("r", fleet.Stream, true), &sink{})
		}
		is.True(!s.Health.Condition(time.Now(), "a", "s", "m").Suspect)
	})
}

// A client leaves in the middle of its stream, and the backend reports a broken
// stream, not why. The endpoint was taken for failing, and the log said so.
func TestBrokenStreamOfALeavingClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a")
		s := newServer(w)
		for range 20 {
			w.does("a", script{events: 3, broken: 1})
			ctx, cancel := context.WithCancel(context.Background())
			r := s.Serve(ctx, request("r", fleet.Stream, true), &sink{leave: cancel})
			is.Equal(r.Refusal.Cause, serve.CauseClientGone)
		}
		w.setReady("b")
		for range 20 {
			s.Serve(context.Background(), request("r", fleet.Stream, true), &sink{})
		}
		is.True(!s.Health.Condition(time.Now(), "a", "s", "m").Suspect)
	})
}

// A client that leaves must not have its request started afterwards, and its
// endpoint must stop.
func TestClientThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a")
		w.does("a", script{hang: true})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(200*time.Millisecond, cancel)
		var out sink
		r := newServer(w).Serve(ctx, request("r", fleet.Idempotent, false), &out)
		is.Equal(w.cancelled, 1)
		is.Equal(len(w.runs["r"]), 1)
		is.Equal(r.Refusal.Cause, serve.CauseClientGone)
	})
}

// Whatever endpoints do, a request that may run once runs at most once, none
// runs on more endpoints than its route allows, a refusal that says "not run"
// is true, and a client never gets two answers.
func TestRunsAndPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom([]fleet.Kind{fleet.Idempotent, fleet.Once, fleet.Stream}).Draw(rt, "kind")
		resumable := rapid.Bool().Draw(rt, "resumable")
		attempts := rapid.IntRange(1, 3).Draw(rt, "attempts")
		draw := func(id string) []script {
			var list []script
			for range rapid.IntRange(0, 4).Draw(rt, id) {
				list = append(list, script{
					verdict: rapid.SampledFrom([]serve.Verdict{serve.Answered, serve.Answered, serve.Full, serve.NotHeld, serve.Elsewhere}).Draw(rt, "verdict"),
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
			w := newWorld("a", "b", "c")
			for id, s := range scripts {
				w.does(id, s...)
			}
			req := request("r", kind, resumable)
			req.Route.Attempts = attempts
			var out sink
			newServer(w).Serve(context.Background(), req, &out)
			runs := len(w.runs["r"])
			if !req.Route.Repeatable() && runs > 1 {
				rt.Fatalf("%d runs of a request that may run once", runs)
			}
			if runs > attempts {
				rt.Fatalf("%d runs, %d are allowed", runs, attempts)
			}
			if out.promises() && runs > 0 {
				rt.Fatalf("called not run after %d runs", runs)
			}
			if out.begun > 1 || out.begun == 1 && out.refusal != nil {
				rt.Fatalf("two answers")
			}
			if out.begun == 0 && out.refusal == nil {
				rt.Fatalf("no answer")
			}
		})
	})
}

// An expert opinion runs at the only endpoint that holds its model, and the answer is
// lost on its way. No other endpoint could take the request, so that it was not sent
// again: its client left after 12 s with an objective of 3 s, while the endpoint
// answered all others in 0.2 s. One that is still held there must not run twice.
func TestLostAnswerIsAskedFor(t *testing.T) {
	for _, c := range []struct {
		name string
		told serve.Run
		kind fleet.Kind
		sent int
	}{
		{"the run has ended there", serve.Run{}, fleet.Stream, 2},
		{"it has begun to answer", serve.Run{Held: true, Begun: true}, fleet.Stream, 2},
		{"it still waits", serve.Run{Held: true}, fleet.Stream, 1},
		{"it may run only once", serve.Run{}, fleet.Once, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld("a")
				w.told = c.told
				w.does("a", script{hang: true}, script{events: 3, broken: -1})
				var out sink
				r := request("r", c.kind, true)
				start := time.Now()
				got := newServer(w).Serve(t.Context(), r, &out)
				is.Equal(len(w.sends), c.sent)
				is.Equal(got.Complete, c.sent == 2)
				is.True(c.sent == 1 || time.Since(start) < 1500*time.Millisecond)
			})
		})
	}
}

// Prompts of a model wait for each other at its only replica. The controller learns that
// from how long answers take to begin; untold, it leaves the model with one.
func TestDemandTellsHowLongAnswersTakeToBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a")
		slow := script{took: 300 * time.Millisecond, events: 3, broken: -1}
		w.does("a", slow, slow)
		s := newServer(w)
		for _, id := range []string{"r1", "r2"} {
			s.Serve(t.Context(), request(id, fleet.Stream, true), &sink{})
		}
		demand := dispatcher(s).Demand()
		is.Equal(len(demand), 1)
		is.Equal(demand[0].Starting, 600*time.Millisecond)
		is.Equal(len(dispatcher(s).Demand()), 0) // told once
	})
}
