package serve_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/retry"
	"github.com/tealvane/tealvane/pkg/serve"
)

// An endpoint is slow, another has room, and the retry budget of all hosts is used up. The
// try was given up as hung, and only then it showed that no other could follow: the
// client got an error, or a stream that broke off, for an answer that was on its way.
func TestTryIsNotGivenUpWithoutARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a", "b")
		slow := script{took: 1300 * time.Millisecond, events: 3, broken: -1}
		w.does("a", slow)
		w.does("b", slow)
		w.told = serve.Run{} // The report lags behind, too.
		s := newServer(w)
		s.Budget = retry.NewBudget(retry.Limits{Window: 10 * time.Second}, 1)
		var out sink
		got := s.Serve(t.Context(), request("r", fleet.Stream, true), &out)
		is.True(got.Complete)
		is.Equal(len(w.sends), 1)
	})
}

// An endpoint hangs, another has room, and a single retry is left in the budget. Taken
// once for giving the try up and once more for the next, it would be short of one,
// and the client got an error for a request that the budget allowed.
func TestGivenUpTryTakesOneRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a")
		w.told = serve.Run{}
		w.does("a", script{hang: true}, script{events: 3, broken: -1})
		s := newServer(w)
		s.Budget = retry.NewBudget(retry.Limits{Extra: 1, Window: 10 * time.Second}, 1)
		var out sink
		got := s.Serve(t.Context(), request("r", fleet.Stream, true), &out)
		is.True(got.Complete)
		is.Equal(len(w.sends), 2)
	})
}

// A request is rejected by a full endpoint just when this host's part of the retry budget is
// used up. It was refused at once, with most of its time left; its client came back as a
// new request, which the budget does not bound. A moment later a retry was allowed again.
func TestRejectedRequestWaitsForTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a")
		w.does("a", script{verdict: serve.Full}, script{events: 3, broken: -1})
		s := newServer(w)
		s.Budget = retry.NewBudget(retry.Limits{Extra: 1, Window: time.Second}, 1)
		is.True(s.Budget.Take(time.Now(), "s")) // another request's
		var out sink
		got := s.Serve(t.Context(), request("r", fleet.Once, false), &out)
		is.True(got.Complete)
		is.Equal(got.Runs, 1)
		is.True(got.Waited < time.Second)
	})
}

// The budget stays used up. A rejected request is refused when its wait for a model
// would end, too, and that refusal is true.
func TestWaitForTheRetryBudgetEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a")
		w.does("a", script{verdict: serve.Full})
		s := newServer(w)
		s.Budget = retry.NewBudget(retry.Limits{Window: time.Second}, 1)
		start := time.Now()
		var out sink
		got := s.Serve(t.Context(), request("r", fleet.Once, false), &out)
		is.Equal(got.Refusal.Cause, serve.CauseBudget)
		is.True(out.promises())
		is.Equal(len(w.sends), 1)
		is.True(time.Since(start) < 3*time.Second)
	})
}
