package serve_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
)

// Guards against taking the end of a connection for a success: it must neither clear a request that crashes
// endpoints nor count as complete, and must not make the request run again.
func TestUnconfirmedEndIsNoSuccess(t *testing.T) {
	for name, route := range map[string]fleet.Route{
		"plain":     {Kind: fleet.Idempotent},
		"stream":    {Kind: fleet.Stream},
		"resumable": {Kind: fleet.Stream, Resumable: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := request("r", route.Kind, route.Resumable)
				b := newFakeBackend("a", "b")
				for _, id := range []string{"a", "b"} {
					b.setScript(id, script{events: 2, broken: -1, framing: serve.FramingConnection})
				}
				guard := &fakeGuard{}
				s := newServer(b)
				s.Guard = guard
				r.Fingerprint = fleet.Fingerprint{Content: 1}
				var out sink
				result := s.Serve(context.Background(), r, &out)
				is.Equal(result.Outcome(), "unconfirmed_200")
				is.True(!result.Complete)
				is.Equal(result.Runs, 1)
				is.Equal(guard.served, 0)
				is.Equal(guard.brokenReports, []bool{false}) // It may have crashed, but nothing suggests so.
				is.True(!out.aborted)                        // The client gets the same end.
			})
		})
	}
}

// Guards against stating the end of a stream that was resumed at an endpoint that did not state it.
func TestResumedStreamWithUnconfirmedEndIsBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.setScript("a",
			script{events: 5, broken: 2, framing: serve.FramingChunks},
			script{events: 5, broken: -1, framing: serve.FramingConnection})
		var out sink
		result := newServer(b).Serve(context.Background(), request("r", fleet.Stream, true), &out)
		is.Equal(result.Runs, 2)
		is.True(out.aborted)
	})
}

// Guards against passing on as complete a stream that an endpoint has ended within an event, however the
// end is marked, where it cannot be resumed.
func TestStreamThatEndsInsideEventIsBroken(t *testing.T) {
	for _, f := range []serve.Framing{serve.FramingChunks, serve.FramingLength, serve.FramingConnection} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newFakeBackend("a")
			b.setScript("a", script{events: 2, broken: -1, framing: f, endsInside: true})
			var out sink
			result := newServer(b).Serve(context.Background(), request("r", fleet.Stream, false), &out)
			is.Equal(result.Outcome(), "failed_endpoint_failed")
			is.True(out.aborted)
			is.True(!out.promisesNotRun())
		})
	}
}

// Guards against passing on as a stream a head whose endpoint has ended before the first event.
func TestUnframedStreamWithoutEventsIsBroken(t *testing.T) {
	for name, c := range map[string]struct {
		resumable bool
		framing   serve.Framing
		lastEvent string
		outcome   string
		runs      int
	}{
		"stream":                 {false, serve.FramingConnection, "", "failed_endpoint_failed", 1},
		"resumable":              {true, serve.FramingConnection, "", "status_200", 2},
		"rest of a stream":       {true, serve.FramingConnection, "2", "unconfirmed_200", 1},
		"end stated by a chunk":  {true, serve.FramingChunks, "", "status_200", 1},
		"end stated by a length": {false, serve.FramingLength, "", "status_200", 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFakeBackend("a")
				b.setScript("a", script{broken: -1, framing: c.framing}, script{events: 2, broken: -1, framing: serve.FramingChunks})
				r := request("r", fleet.Stream, c.resumable)
				r.LastEvent = c.lastEvent
				var out sink
				result := newServer(b).Serve(context.Background(), r, &out)
				is.Equal(result.Outcome(), c.outcome)
				is.Equal(result.Runs, c.runs)
				is.True(!out.aborted)
				is.True(!out.promisesNotRun())
			})
		})
	}
}
