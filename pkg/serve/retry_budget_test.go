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

// An attempt at a slow endpoint must not be abandoned if the retry budget is used up, since no
// other attempt could follow.
func TestAttemptIsNotAbandonedWithoutRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a", "b")
		slow := script{latency: 1300 * time.Millisecond, events: 3, broken: -1}
		b.setScript("a", slow)
		b.setScript("b", slow)
		b.status = serve.RunStatus{} // The report of the endpoint lags behind, too.
		s := newServer(b)
		s.Budget = retry.NewBudget(retry.Limits{Window: 10 * time.Second}, 1)
		var out sink
		got := s.Serve(t.Context(), request("r", fleet.Stream, true), &out)
		is.True(got.Complete)
		is.Equal(len(b.sends), 1)
	})
}

// An abandoned attempt and the attempt that follows it must take one retry together.
func TestAbandonedAttemptTakesOneRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.status = serve.RunStatus{}
		b.setScript("a", script{hang: true}, script{events: 3, broken: -1})
		s := newServer(b)
		s.Budget = retry.NewBudget(retry.Limits{Extra: 1, Window: 10 * time.Second}, 1)
		var out sink
		got := s.Serve(t.Context(), request("r", fleet.Stream, true), &out)
		is.True(got.Complete)
		is.Equal(len(b.sends), 2)
	})
}

// A rejected request must wait for the retry budget instead of being refused at once.
func TestRejectedRequestWaitsForRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.setScript("a", script{class: serve.Overloaded}, script{events: 3, broken: -1})
		s := newServer(b)
		s.Budget = retry.NewBudget(retry.Limits{Extra: 1, Window: time.Second}, 1)
		is.True(s.Budget.Take(time.Now(), "s")) // taken by another request
		var out sink
		got := s.Serve(t.Context(), request("r", fleet.AtMostOnce, false), &out)
		is.True(got.Complete)
		is.Equal(got.Runs, 1)
		is.True(got.Waited < time.Second)
	})
}

// If the retry budget stays used up, a rejected request must be refused when its wait ends,
// with a promise that it has not run.
func TestWaitForRetryBudgetEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.setScript("a", script{class: serve.Overloaded})
		s := newServer(b)
		s.Budget = retry.NewBudget(retry.Limits{Window: time.Second}, 1)
		start := time.Now()
		var out sink
		got := s.Serve(t.Context(), request("r", fleet.AtMostOnce, false), &out)
		is.Equal(got.Refusal.Cause, serve.CauseBudget)
		is.True(out.promisesNotRun())
		is.Equal(len(b.sends), 1)
		is.True(time.Since(start) < 3*time.Second)
	})
}

// Guards against a rejected request of a service under contention being held for the retry budget:
// its client then has too little time left to retry.
func TestRejectedRequestUnderContentionIsRefusedSoon(t *testing.T) {
	for _, contended := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newFakeBackend("a")
			b.setScript("a", script{class: serve.Overloaded})
			s := newServer(b)
			dispatcher(s).Contention = func(string) bool { return contended }
			s.Budget = retry.NewBudget(retry.Limits{Window: time.Second}, 1)
			s.Health.RecordLoad(time.Now(), "a", "s", fleet.Load{Running: 8, Waiting: 24})
			start := time.Now()
			var out sink
			got := s.Serve(t.Context(), request("r", fleet.AtMostOnce, false), &out)
			is.Equal(got.Refusal.Cause, serve.CauseBudget)
			is.True(out.promisesNotRun())
			is.Equal(time.Since(start) <= 300*time.Millisecond, contended)
			is.Equal(got.Refusal.RetryAfter >= 800*time.Millisecond, contended) // four times the service time
		})
	}
}

// Guards against a request that waits for the retry budget until its host closes the connection to shut down.
func TestShutdownEndsWaitForRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.setScript("a", script{class: serve.NotLoaded})
		s := newServer(b)
		s.Budget = retry.NewBudget(retry.Limits{Window: 10 * time.Second}, 1)
		start := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			dispatcher(s).EndAt(start.Add(time.Second))
		}()
		var out sink
		s.Serve(t.Context(), request("r", fleet.AtMostOnce, false), &out)
		is.True(out.promisesNotRun())
		is.True(time.Since(start) < time.Second)
	})
}
