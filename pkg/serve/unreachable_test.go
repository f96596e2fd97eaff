package serve_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/retry"
	"github.com/tealvane/tealvane/pkg/serve"
)

// unreachableFor makes an endpoint unreachable for its next n requests.
func unreachableFor(n int) []script {
	var out []script
	for range n {
		out = append(out, script{unreachable: true})
	}
	return append(out, script{events: 3, broken: -1})
}

// dispatchWaiting dispatches waiting requests periodically, as a host does, until stop is called.
func dispatchWaiting(s *serve.Server) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go wait.Every(ctx, 20*time.Millisecond, dispatcher(s).DispatchWaiting)
	return cancel
}

// Guards against refusing a request within milliseconds because the only endpoint with its model cannot be reached, and
// a stream that a client takes up because that is the only one of its version.
func TestRequestWaitsWhileEndpointIsUnreachable(t *testing.T) {
	for name, lastEvent := range map[string]string{"new": "", "taken up": "2"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFakeBackend("a", "b")
				b.setVersions("1", "2")
				b.setScript("a", unreachableFor(6)...)
				b.setScript("b", unreachableFor(6)...)
				server := newServer(b)
				server.Versions = &fakeVersions{found: serve.StreamVersion{Service: "s", Required: fleet.RequireVersion("1")}}
				defer dispatchWaiting(server)()
				r := request("r", fleet.Stream, true)
				r.LastEvent = lastEvent
				var out sink
				server.Serve(context.Background(), r, &out)
				is.Equal(out.status, 200)
				is.True(time.Since(r.Arrived) > time.Second) // no more than a few attempts a second at each endpoint
			})
		})
	}
}

// Guards against a request that waits for an unreachable endpoint until its client has left.
func TestRequestForUnreachableEndpointIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.setScript("a", unreachableFor(1000)...)
		var out sink
		start := time.Now()
		newServer(b).Serve(context.Background(), request("r", fleet.Stream, true), &out)
		is.Equal(out.refusal.Cause, serve.CauseUnreachable)
		is.True(out.promisesNotRun())
		is.True(out.refusal.RetryAfter > 0)
		is.True(time.Since(start) < 3*time.Second)
	})
}

// Guards against many requests that wait for one unreachable endpoint and all try to connect at the same time.
func TestUnreachableEndpointIsTriedByOneRequestAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.ready[0].Slots = 100
		b.setScript("a", unreachableFor(1000)...)
		server := newServer(b)
		done := make(chan struct{})
		for range 50 {
			go func() {
				server.Serve(context.Background(), request("r", fleet.Stream, true), &sink{})
				done <- struct{}{}
			}()
			synctest.Wait()
		}
		stop := dispatchWaiting(server)
		time.Sleep(time.Second)
		stop()
		b.mu.Lock()
		sends := len(b.sends)
		b.mu.Unlock()
		is.True(sends <= 8)
		for range 50 {
			<-done
		}
	})
}

// Guards against refusing a stream whose model an endpoint of its software version can load in time.
func TestStreamWaitsForLoadAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a", "b")
		b.setVersions("2", "2")
		b.otherModels, b.loadsModel = true, true
		server := newServer(b)
		server.Versions = &fakeVersions{found: serve.StreamVersion{Service: "s", Required: fleet.RequireVersion("1")}}
		defer dispatchWaiting(server)()
		r := request("r", fleet.Stream, true)
		r.LastEvent = "2"
		var out sink
		done := make(chan struct{})
		go func() {
			server.Serve(context.Background(), r, &out)
			close(done)
		}()
		time.Sleep(3500 * time.Millisecond)
		waiting := map[fleet.VersionRequirement]int{}
		for _, d := range dispatcher(server).Demand() {
			waiting[d.Version] += d.Waiting
		}
		is.Equal(waiting[fleet.RequireVersion("1")], 1)
		b.mu.Lock()
		b.ready[0].Version = "1" // The model is loaded.
		b.mu.Unlock()
		<-done
		is.Equal(out.status, 200)
	})
}

// slowConnects is a backend that takes a time for each attempt.
type slowConnects struct {
	*fakeBackend
	each time.Duration
}

// Send implements serve.Backend.
func (b slowConnects) Send(ctx context.Context, r *serve.Request, s serve.Send) (*serve.Response, error) {
	wait.For(ctx, b.each)
	return b.fakeBackend.Send(ctx, r, s)
}

// Guards against a request that goes on trying endpoints in turn, while each attempt to connect takes longer than
// the pause after one, until its client has left or for ever.
func TestAttemptsToConnectEndInTime(t *testing.T) {
	for _, startOnly := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newFakeBackend("a", "b", "c")
			for _, id := range []string{"a", "b", "c"} {
				b.setScript(id, unreachableFor(1000)...)
			}
			server := newServer(b)
			server.Backend = slowConnects{b, 300 * time.Millisecond}
			defer dispatchWaiting(server)()
			r := request("r", fleet.Stream, true)
			r.DeadlineIsStartOnly = startOnly
			var out sink
			server.Serve(t.Context(), r, &out)
			is.Equal(out.refusal.Cause, serve.CauseUnreachable)
			is.True(time.Since(r.Arrived) < 3500*time.Millisecond)
		})
	}
}

// Guards against an endpoint that gets no requests any more because another one has answered at its address once.
func TestEndpointIsTriedAgainAfterAnotherHadItsAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.setScript("a", script{class: serve.WrongEndpoint}, script{events: 3, broken: -1})
		server := newServer(b)
		defer dispatchWaiting(server)()
		server.Serve(t.Context(), request("r1", fleet.Stream, true), &sink{})
		time.Sleep(5 * time.Second)
		var out sink
		server.Serve(t.Context(), request("r2", fleet.Stream, true), &out)
		is.Equal(out.status, 200)
	})
}

// Guards against a stream that is broken off because attempts which were never sent have used up the retries of all.
func TestAttemptsNotSentUseNoRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.setScript("a", append([]script{{events: 5, broken: 2}}, unreachableFor(6)...)...)
		server := newServer(b)
		server.Budget = retry.NewBudget(retry.Limits{Ratio: 0, Extra: 2, Window: 10 * time.Second}, 1)
		defer dispatchWaiting(server)()
		var out sink
		result := server.Serve(t.Context(), request("r", fleet.Stream, true), &out)
		is.True(result.Complete)
		is.True(server.Budget.Take(time.Now(), "s")) // one of two is left
	})
}

// Guards against many attempts to connect to an endpoint that accepts none while streams that began before go on.
func TestBytesOfOldStreamsDoNotReopenEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.setScript("a", unreachableFor(1000)...)
		server := newServer(b)
		defer dispatchWaiting(server)()
		ctx, cancel := context.WithCancel(t.Context())
		go wait.Every(ctx, time.Millisecond, func() { server.Health.RecordByte(time.Now(), "a") })
		go server.Serve(ctx, request("r", fleet.Stream, true), &sink{})
		time.Sleep(time.Second)
		b.mu.Lock()
		is.True(len(b.sends) <= 6)
		b.mu.Unlock()
		cancel()
		synctest.Wait()
	})
}

// Guards against requests that wait although a connection has become free, and against attempts without end while none
// is.
func TestRequestsWaitForFreeConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.ready[0].Slots = 100
		b.setScript("a", slices.Repeat([]script{{notSent: true}}, 100)...)
		server := newServer(b)
		defer dispatchWaiting(server)()
		r := request("r", fleet.Stream, true)
		var out sink
		server.Serve(t.Context(), r, &out)
		is.True(len(b.sends) < 60) // one in 60 ms
		time.Sleep(time.Second)
		b.setScript("a", script{notSent: true}, script{events: 3, broken: -1})
		earlier := request("earlier", fleet.Stream, true)
		e, refusal := dispatcher(server).Acquire(t.Context(), earlier, serve.PriorAttempts{})
		is.True(refusal == nil)
		is.Equal(string(e.ID), "a")
		go func() {
			time.Sleep(10 * time.Millisecond)
			dispatcher(server).Release(earlier, "a", serve.SlotResult{})
		}()
		r = request("later", fleet.Stream, true)
		server.Serve(t.Context(), r, &out)
		is.Equal(out.status, 200)
		is.True(time.Since(r.Arrived) <= 20*time.Millisecond)
	})
}
