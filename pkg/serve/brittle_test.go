package serve_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/signals"
)

// Guards against blaming requests for the loss of a brittle endpoint that has fallen over because it had to reject
// others, and against not blaming them for a loss without rejections.
func TestFallAfterRejectionsIsNotTheRequestsFault(t *testing.T) {
	for _, c := range []struct {
		name              string
		brittle, rejected bool
		later             time.Duration
		blamed            bool
	}{
		{"brittle, after a rejection", true, true, 500 * time.Millisecond, false},
		{"brittle, long after a rejection", true, true, 3 * time.Second, true},
		{"brittle, without a rejection", true, false, 0, true},
		{"not brittle, after a rejection", false, true, 500 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFakeBackend("a")
				b.ready[0].Service = "s"
				said := signals.Response{Brittle: signals.Brittleness{Stated: c.brittle, MaxRejections: 10}}
				first := script{class: serve.Completed, broken: -1, signals: said}
				if c.rejected {
					first.class = serve.Overloaded
				}
				b.setScript("a", first, script{status: 200, broken: -1, signals: said}, script{lost: true})
				s := newServer(b)
				guard := &fakeGuard{}
				s.Guard = guard
				time.AfterFunc(200*time.Millisecond, dispatcher(s).DispatchWaiting) // after the rejection
				s.Serve(t.Context(), request("r1", fleet.AtMostOnce, false), &sink{})
				if !c.rejected {
					s.Serve(t.Context(), request("r2", fleet.AtMostOnce, false), &sink{})
				}
				time.Sleep(c.later)
				broken := request("r3", fleet.AtMostOnce, false)
				broken.Fingerprint = fleet.Fingerprint{Content: 7, Caller: 1}
				s.Serve(t.Context(), broken, &sink{})
				is.Equal(len(guard.brokenReports) > 0, c.blamed)
				is.Equal(guard.unbegun > 0, c.blamed)
			})
		})
	}
}
