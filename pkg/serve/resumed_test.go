package serve_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
)

// Guards against a stream that has begun being cut off for lack of a free slot when it could go on at an
// endpoint a moment later: it would be refused at once after half of its time, or wait behind requests that
// have not begun.
func TestBegunStreamWaitsForSlot(t *testing.T) {
	for _, contention := range []bool{false, true} {
		t.Run(fmt.Sprint("contention ", contention), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFakeBackend("a")
				b.setScript("a", script{latency: 3 * time.Second, events: 5, broken: 2}, script{events: 5, broken: -1})
				s := newServer(b)
				dispatcher(s).Contention = func(string) bool { return contention }
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				req := request("r", fleet.Stream, true)
				req.FirstByteDeadline = req.Arrived.Add(3500 * time.Millisecond)
				ended := make(chan serve.Result, 1)
				var out sink
				go func() { ended <- s.Serve(ctx, req, &out) }()
				synctest.Wait()
				// All other slots are taken, and more requests wait for them.
				var held []*serve.Request
				for n := range 9 {
					r := request(fmt.Sprint("held", n), fleet.Stream, true)
					_, refusal := s.Queue.Acquire(ctx, r, serve.PriorAttempts{})
					is.True(refusal == nil)
					held = append(held, r)
				}
				time.Sleep(2900 * time.Millisecond)
				for n := range 3 {
					r := request(fmt.Sprint("waiting", n), fleet.Stream, true)
					r.Route.Priority = -1
					go func() { _, _ = s.Queue.Acquire(ctx, r, serve.PriorAttempts{}) }()
				}
				time.Sleep(300 * time.Millisecond)
				s.Queue.Release(held[0], "a", serve.SlotResult{Duration: time.Second})
				result := <-ended
				is.True(result.Complete)
				is.True(!out.aborted)
				var want strings.Builder
				for n := 1; n <= 5; n++ {
					fmt.Fprintf(&want, "id: %d\ndata: %d\n\n", n, n)
				}
				is.Equal(out.body.String(), want.String())
			})
		})
	}
}
