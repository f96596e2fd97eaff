package serve_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/retry"
	"github.com/tealvane/tealvane/pkg/serve"
)

// fakeGuard is a guard that blocks all requests while blocks is set.
type fakeGuard struct {
	mu                 sync.Mutex
	blocks             bool
	blockOnBreak       bool
	brokenReports      []bool
	served             int
	begun, unbegun     int
	onBlock            func()
	unreachableReports int
	suspect            bool
	probe              probe
}

func (g *fakeGuard) Blocked(fleet.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blocks
}

func (g *fakeGuard) RecordBroken(_ fleet.Endpoint, _ fleet.Fingerprint, _ fleet.CopyID, suspected bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.brokenReports = append(g.brokenReports, suspected)
	g.blocks = g.blocks || g.blockOnBreak
}

func (g *fakeGuard) RecordUnreachable(fleet.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachableReports++
}

func (g *fakeGuard) Enter(context.Context, fleet.Fingerprint, time.Time) (serve.Probe, bool) {
	if !g.suspect {
		return nil, true
	}
	return &g.probe, true
}

// probe may run unless denied is set.
type probe struct {
	denied   bool
	outcomes []serve.ProbeOutcome
}

func (p *probe) Await(context.Context) bool { return !p.denied }

func (p *probe) Done(_ fleet.Endpoint, o serve.ProbeOutcome) { p.outcomes = append(p.outcomes, o) }

func (g *fakeGuard) Suspected(fleet.Fingerprint) bool { return g.suspect }

func (g *fakeGuard) RecordUnbegun(fleet.Endpoint, fleet.Prompt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unbegun++
}

func (g *fakeGuard) BlockedPart(fleet.Prompt) (uint64, bool) { return 0, false }

// blockEndsIn is the remaining time of the blocks of a fakeGuard.
const blockEndsIn = 40 * time.Minute

func (g *fakeGuard) BlockEndsIn(fleet.Fingerprint, fleet.Prompt) time.Duration { return blockEndsIn }

func (g *fakeGuard) RecordBegun(fleet.Prompt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begun++
}

func (g *fakeGuard) RecordServed(fleet.Endpoint, fleet.Fingerprint, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.served++
}

func (g *fakeGuard) WatchBlocks(_ fleet.Fingerprint, _ fleet.Prompt, blocked func()) (stop func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onBlock = blocked
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.onBlock = nil
	}
}

func (g *fakeGuard) block() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocks = true
	if g.onBlock != nil {
		g.onBlock()
	}
}

// Guards against a request that waits for its model until its deadline although it has been blocked meanwhile.
func TestWaitingRequestIsRefusedWhenBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("e1")
		b.setReady()
		g := &fakeGuard{}
		r := request("r", fleet.Stream, true)
		s := newGuardedServer(b, g, r)
		out := &sink{}
		time.AfterFunc(time.Second, g.block)
		result := s.Serve(context.Background(), r, out)
		is.Equal(result.Refusal.Cause, serve.CauseCrashes)
		is.Equal(result.Total, time.Second)
		is.True(out.promisesNotRun())
		is.True(g.onBlock == nil)
	})
}

// newGuardedServer returns a server with a guard, and sets the fingerprint of the request.
func newGuardedServer(b *fakeBackend, g *fakeGuard, r *serve.Request) *serve.Server {
	s := newServer(b)
	s.Guard = g
	r.Fingerprint = fleet.NewFingerprint("client", "body")
	return s
}

// A blocked request must not be sent to any endpoint, whether it is blocked on arrival, while
// it waits for its model, or by the end of its first attempt.
func TestBlockedRequestReachesNoEndpoint(t *testing.T) {
	for _, c := range []struct {
		name string
		// onArrival, whileWaiting and afterAttempt select when the request is blocked: on
		// arrival, while it waits for its model, or when its first attempt ends.
		onArrival, whileWaiting, afterAttempt bool
		notRun                                bool
		sends                                 int
	}{
		{"blocked on arrival", true, false, false, true, 0},
		{"blocked while waiting for its model", false, true, false, true, 0},
		{"blocked by its first attempt", false, false, true, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFakeBackend("e1", "e2")
				b.setScript("e1", script{lost: true})
				b.setScript("e2", script{lost: true})
				if c.whileWaiting {
					b.setReady()
				}
				g := &fakeGuard{blocks: c.onArrival, blockOnBreak: c.afterAttempt}
				r := request("r", fleet.Stream, true)
				s := newGuardedServer(b, g, r)
				out := &sink{}
				done := make(chan serve.Result)
				go func() { done <- s.Serve(context.Background(), r, out) }()
				if c.whileWaiting {
					time.Sleep(time.Second)
					g.block()
					b.setReady("e1", "e2")
					dispatcher(s).DispatchWaiting()
				}
				result := <-done
				is.Equal(result.Refusal.Cause, serve.CauseCrashes)
				is.Equal(result.Refusal.RetryAfter, blockEndsIn)
				is.Equal(out.promisesNotRun(), c.notRun)
				is.Equal(len(b.sends), c.sends)
				is.Equal(len(dispatcher(s).Demand()) > 0, !c.onArrival) // a request blocked on arrival does not count as demand
			})
		})
	}
}

// A suspected request must not be retried at a second endpoint after the first one ended.
func TestSuspectedRequestIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("e1", "e2")
		b.setScript("e1", script{lost: true})
		b.setScript("e2", script{lost: true})
		r := request("r", fleet.Stream, true)
		out := &sink{}
		result := newGuardedServer(b, &fakeGuard{suspect: true}, r).Serve(context.Background(), r, out)
		is.Equal(len(b.sends), 1)
		is.Equal(result.Refusal.Cause, serve.CauseBroken)
		is.True(!out.promisesNotRun())
	})
}

// A request that is blocked when its first attempt ends is refused as blocked, not for the
// used-up retry budget.
func TestBlockTakesPrecedenceOverRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("e1", "e2")
		b.setScript("e1", script{lost: true})
		b.setScript("e2", script{lost: true})
		r := request("r", fleet.Stream, true)
		s := newGuardedServer(b, &fakeGuard{blockOnBreak: true}, r)
		s.Budget = retry.NewBudget(retry.Limits{Window: 10 * time.Second}, 1)
		result := s.Serve(context.Background(), r, &sink{})
		is.Equal(result.Refusal.Cause, serve.CauseCrashes)
	})
}

// The guard must not suspect a crash of the endpoint when the client canceled the request. A
// complete response is recorded as served.
func TestGuardRecordsRunResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("e1")
		b.setScript("e1", script{lost: true}, script{hang: true}, script{unreachable: true})
		g := &fakeGuard{}
		r := request("r", fleet.AtMostOnce, false)
		s := newGuardedServer(b, g, r)
		s.Serve(context.Background(), r, &sink{})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		s.Serve(ctx, r, &sink{})
		s.Serve(context.Background(), r, &sink{})
		is.Equal(g.brokenReports, []bool{true, false})
		is.Equal(g.served, 1)
		is.Equal(g.unreachableReports, 1)
	})
}

// A probe must run only if the guard allows it, and its outcome must be reported to the guard.
// A probe that is not allowed is refused and releases its slot.
func TestProbeRunsOnlyIfAllowed(t *testing.T) {
	for _, c := range []struct {
		name   string
		denied bool
		first  script
		want   serve.ProbeOutcome
		sends  int
		cause  serve.Cause
	}{
		{"response is complete", false, script{}, serve.ProbeServed, 1, ""},
		{"response breaks off", false, script{lost: true}, serve.ProbeInterrupted, 1, serve.CauseBroken},
		{"probe is not allowed", true, script{}, serve.ProbeNotRun, 0, serve.CauseOnTrial},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFakeBackend("e1")
				b.setScript("e1", c.first)
				g := &fakeGuard{suspect: true, probe: probe{denied: c.denied}}
				r := request("r", fleet.Stream, true)
				s := newGuardedServer(b, g, r)
				out := &sink{}
				result := s.Serve(context.Background(), r, out)
				is.Equal(g.probe.outcomes, []serve.ProbeOutcome{c.want})
				is.Equal(len(b.sends), c.sends)
				is.Equal(result.Refusal != nil, c.cause != "")
				if c.cause != "" {
					is.Equal(result.Refusal.Cause, c.cause)
				}
				is.Equal(out.promisesNotRun(), c.denied)
				is.Equal(dispatcher(s).Demand()[0].Inflight, 0)
			})
		})
	}
}

// countingLimiter allows a fixed number of requests.
type countingLimiter struct{ left int }

func (limiter *countingLimiter) Allow(*serve.Request) (bool, time.Duration) {
	limiter.left--
	return limiter.left >= 0, time.Second
}

func (limiter *countingLimiter) Refund(*serve.Request) { limiter.left++ }

// A request over the limit of its account is refused at once. A request that certainly has not
// run is refunded, one that may have run is not.
func TestAllowanceIsChargedForRunsOnly(t *testing.T) {
	for _, c := range []struct {
		name   string
		script script
		ready  bool
		left   int
	}{
		{"request runs", script{}, true, 0},
		{"request may have run", script{lost: true}, true, 0},
		{"no endpoint has the model", script{}, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFakeBackend("e1")
				b.setScript("e1", c.script)
				if !c.ready {
					b.setReady()
				}
				requestOf := func(account string) *serve.Request {
					r := request("r", fleet.AtMostOnce, false)
					r.Account = account
					return r
				}
				s := newServer(b)
				limiter := &countingLimiter{left: 1}
				s.AccountLimiter = limiter
				s.Serve(context.Background(), requestOf("a1"), &sink{})
				is.Equal(limiter.left, c.left)
				limiter.left = 0
				out := &sink{}
				result := s.Serve(context.Background(), requestOf("a1"), out)
				is.Equal(result.Refusal.Cause, serve.CauseAllowance)
				is.Equal(result.Total, time.Duration(0))
				is.True(out.promisesNotRun())
			})
		})
	}
}
