package serve_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// Guards against blaming the prompt parts of responses that had begun for a crash, and against taking a head without
// an event, or a part of a plain response, for a response that has begun.
func TestBegunResponses(t *testing.T) {
	for _, c := range []struct {
		name           string
		kind           fleet.RouteKind
		script         script
		begun, unbegun int
	}{
		{"complete stream", fleet.Stream, script{events: 2, broken: -1}, 1, 0},
		{"stream that breaks off after an event", fleet.Stream, script{events: 2, broken: 1}, 1, 0},
		{"head without an event", fleet.Stream, script{events: 2, broken: 0}, 0, 1},
		{"no response", fleet.Stream, script{lost: true}, 0, 1},
		{"complete plain response", fleet.AtMostOnce, script{broken: -1}, 1, 0},
		{"plain response that is lost", fleet.AtMostOnce, script{lost: true}, 0, 1},
		{"server error", fleet.AtMostOnce, script{status: 500, broken: -1}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFakeBackend("e1")
				b.setScript("e1", c.script)
				g := &fakeGuard{}
				r := request("r", c.kind, false)
				r.Prompt = fleet.Prompt{Caller: 1, Parts: []uint64{1, 2}}
				s := newGuardedServer(b, g, r)
				s.Serve(context.Background(), r, &sink{})
				is.Equal(g.begun, c.begun)
				is.Equal(g.unbegun, c.unbegun)
			})
		})
	}
}
