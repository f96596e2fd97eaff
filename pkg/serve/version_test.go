package serve_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
)

// fakeVersions knows one version and records where streams began.
type fakeVersions struct {
	found   serve.StreamVersion
	err     error
	mu      sync.Mutex
	started []fleet.StreamOrigin
}

func (v *fakeVersions) Find(context.Context, *serve.Request) (serve.StreamVersion, error) {
	return v.found, v.err
}

func (v *fakeVersions) RecordStart(_ *serve.Request, o fleet.StreamOrigin) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.started = append(v.started, o)
}

// setVersions sets the software versions of the endpoints, in order.
func (b *fakeBackend) setVersions(versions ...string) {
	for i, v := range versions {
		b.ready[i].Version = v
	}
}

// Guards against taking the version of an endpoint that failed before its first event, or that sent a head only,
// for the one that began the stream.
func TestFirstEventDecidesVersion(t *testing.T) {
	for name, s := range map[string]script{
		"lost":                     {lost: true},
		"error":                    {status: 500},
		"broken before its events": {events: 3, broken: 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFakeBackend("a", "b")
				b.setVersions("1", "2")
				b.setScript("a", s, script{events: 3, broken: -1})
				b.setScript("b", s, script{events: 3, broken: -1})
				versions := &fakeVersions{}
				server := newServer(b)
				server.Versions = versions
				var out sink
				r := request("r", fleet.Stream, true)
				r.Route.Attempts = 3 // The first run at each endpoint fails.
				server.Serve(context.Background(), r, &out)
				runs := b.runs["r"]
				is.Equal(len(runs), 3)
				last := map[fleet.EndpointID]string{"a": "1", "b": "2"}[runs[2]]
				is.Equal(versions.started, []fleet.StreamOrigin{{Service: "s", Version: last}})
			})
		})
	}
}

// Guards against a stream that goes on at another version within its answer, and against waiting for one that
// does not come back.
func TestBrokenStreamEndsWithoutItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a", "b")
		b.setVersions("1", "2")
		for _, id := range []string{"a", "b"} {
			b.setScript(id, script{events: 5, broken: 2})
		}
		b.otherModels = true
		var out sink
		start := time.Now()
		out.onWrite = func() { b.setReady("c") } // The endpoints of both versions are gone.
		result := newServer(b).Serve(context.Background(), request("r", fleet.Stream, true), &out)
		is.Equal(result.Refusal.Cause, serve.CauseVersionGone)
		is.True(!result.Refusal.NotRun)
		is.True(out.aborted)
		is.True(time.Since(start) < 100*time.Millisecond)
	})
}

// Guards against guessing the version of a stream, and against running what is refused.
func TestStreamOfUnknownVersionIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		server := newServer(b)
		server.Versions = &fakeVersions{err: serve.ErrVersionUnknown}
		r := request("r", fleet.Stream, true)
		r.LastEvent = "2"
		var out sink
		server.Serve(context.Background(), r, &out)
		is.Equal(out.refusal.Cause, serve.CauseVersionUnknown)
		is.True(out.promisesNotRun())
		is.Equal(len(b.runs["r"]), 0)
	})
}

// Guards against streams of the only version of a service that wait and then go on at one that has joined meanwhile.
func TestStreamOfOnlyVersionAvoidsJoinedOne(t *testing.T) {
	for _, other := range []bool{false, true} {
		t.Run(fmt.Sprint("endpoint of its version ", other), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFakeBackend("new", "old")
				b.setVersions("2", "1")
				if !other {
					b.setReady("new")
					b.setVersions("2")
				}
				server := newServer(b)
				server.Versions = &fakeVersions{found: serve.StreamVersion{Service: "s", Assumed: fleet.RequireVersion("1")}}
				r := request("r", fleet.Stream, true)
				r.LastEvent = "2"
				var out sink
				server.Serve(context.Background(), r, &out)
				for _, e := range b.runs["r"] {
					is.Equal(string(e), "old")
				}
				is.Equal(len(b.runs["r"]) > 0, other)
				is.Equal(out.promisesNotRun(), !other)
			})
		})
	}
}

// Guards against resumed streams that wait for a slot at their version and block requests that may run at another
// one, or take their slots.
func TestWaitingForVersionBlocksNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a", "b")
		b.setVersions("1", "2")
		b.ready[0].Slots, b.ready[1].Slots = 1, 1
		server := newServer(b)
		server.Versions = &fakeVersions{found: serve.StreamVersion{Service: "s", Required: fleet.RequireVersion("1")}}
		d := dispatcher(server)
		holder := request("holder", fleet.Stream, true)
		for _, version := range []string{"1", "2"} { // All slots are in use.
			_, refusal := d.Acquire(context.Background(), holder, serve.PriorAttempts{Version: fleet.RequireVersion(version)})
			is.True(refusal == nil)
		}
		b.setScript("b", script{events: 3, broken: -1})
		done := make(chan string, 2)
		for _, id := range []string{"resumed", "new"} {
			go func() {
				r := request(id, fleet.Stream, true)
				if id == "resumed" {
					r.LastEvent = "2"
				}
				server.Serve(context.Background(), r, &sink{})
				done <- id
			}()
			synctest.Wait() // The resumed stream is the first to wait.
		}
		d.Release(holder, "b", serve.SlotResult{})
		is.Equal(<-done, "new")
		is.Equal(b.runs["new"], []fleet.EndpointID{"b"})
		is.Equal(len(b.runs["resumed"]), 0)
		d.Release(holder, "a", serve.SlotResult{})
		is.Equal(<-done, "resumed")
		is.Equal(b.runs["resumed"], []fleet.EndpointID{"a"})
	})
}

// Guards against running a resumed stream at a service that did not begin it.
func TestResumedStreamStaysAtItsService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		server := newServer(b)
		server.Versions = &fakeVersions{found: serve.StreamVersion{Service: "other", Required: fleet.RequireVersion("")}}
		for _, serves := range []bool{true, false} {
			r := request("r", fleet.Stream, true)
			r.LastEvent = "2"
			if serves {
				r.Route.Targets = []fleet.Target{{Service: "other", Weight: 1}}
			}
			var out sink
			server.Serve(context.Background(), r, &out)
			is.Equal(r.Service == "other", serves)
			is.Equal(out.promisesNotRun(), !serves)
		}
	})
}

// Guards against streams that lose their few endpoints to new ones: their clients have waited longest.
func TestStreamThatGoesOnIsServedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.setVersions("1")
		b.ready[0].Slots = 1
		server := newServer(b)
		server.Versions = &fakeVersions{found: serve.StreamVersion{Service: "s", Required: fleet.RequireVersion("1")}}
		d := dispatcher(server)
		holder := request("holder", fleet.Stream, true)
		_, refusal := d.Acquire(context.Background(), holder, serve.PriorAttempts{})
		is.True(refusal == nil)
		done := make(chan string, 2)
		for _, id := range []string{"new", "resumed"} {
			go func() {
				r := request(id, fleet.Stream, true)
				if id == "resumed" {
					r.LastEvent = "2"
				}
				server.Serve(context.Background(), r, &sink{})
				done <- id
			}()
			synctest.Wait()
		}
		d.Release(holder, "a", serve.SlotResult{})
		is.Equal(<-done, "resumed")
		is.Equal(<-done, "new")
		is.Equal(b.sends[0].Urgency, 0)
	})
}
