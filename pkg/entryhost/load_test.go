package entryhost

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/api/callers"
	"github.com/tealvane/tealvane/pkg/completion"
	"github.com/tealvane/tealvane/pkg/external"
)

// burst sends calls to a model at hosts in turn and waits for all answers.
func burst(hosts []*fakeHost, model string, n int, spread time.Duration) []*testCall {
	return burstWithin(hosts, model, n, spread, maxWait)
}

func burstWithin(hosts []*fakeHost, model string, n int, spread, wait time.Duration) []*testCall {
	calls := make([]*testCall, n)
	var waiting sync.WaitGroup
	for i := range calls {
		calls[i] = &testCall{id: fmt.Sprintf("%s-%d", model, i), model: model, wait: wait}
		waiting.Go(func() {
			time.Sleep(spread * time.Duration(i) / time.Duration(n))
			calls[i].do(hosts[i%len(hosts)])
		})
	}
	waiting.Wait()
	return calls
}

// refusedAfter returns how long each refused call had waited.
func refusedAfter(calls []*testCall) (waits []time.Duration) {
	for _, c := range calls {
		if c.refusal != nil {
			waits = append(waits, c.end.Sub(c.start))
		}
	}
	return waits
}

// threeHosts runs f on three hosts and two engines that have settled.
func threeHosts(t *testing.T, f func(is *is.I, f *fakes, hosts []*fakeHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newFakes()
		w.addEngine("e0", "p", true)
		w.addEngine("e1", "p", false)
		w.addService("l0", "lookup")
		hosts := []*fakeHost{w.boot("h0"), w.boot("h1"), w.boot("h2")}
		w.publish(0, testContract)
		time.Sleep(settleTime)
		f(is.NewRelaxed(t), w, hosts)
		w.end()
	})
}

func ownerOf(hosts []*fakeHost) (owner *fakeHost, others []*fakeHost) {
	ref, _ := hosts[0].state.Pools.Owner("p")
	for _, h := range hosts {
		if h.self == ref {
			owner = h
		} else {
			others = append(others, h)
		}
	}
	return owner, others
}

// Callers send ten times what two replicas can serve. Those that cannot be
// served in time are refused when that is known, not shortly before their
// deadline, and the others are served in time.
func TestTenTimesTheCapacity(t *testing.T) {
	threeHosts(t, func(is *is.I, _ *fakes, hosts []*fakeHost) {
		is.Equal(burst(hosts, "narrow", 1, 0)[0].refusal, nil)
		// One replica with a place at each of 3 hosts and 61 ms a request serves
		// about 49 requests a second; 500 a second are sent.
		calls := burstWithin(hosts, "narrow", 250, 500*time.Millisecond, 2*time.Second)
		served := len(calls) - len(refusedAfter(calls))
		is.True(served > 50)
		is.True(served < len(calls))
		for _, wait := range refusedAfter(calls) {
			is.True(wait < time.Second)
		}
		for _, c := range calls {
			if c.refusal == nil {
				is.True(c.end.Sub(c.start) < 3*time.Second)
			}
		}
	})
}

// One customer's burst makes another one's few requests for the same model
// wait for seconds behind it.
func TestBurstDoesNotStarveOthers(t *testing.T) {
	threeHosts(t, func(is *is.I, f *fakes, hosts []*fakeHost) {
		f.publishFor("d", 0, strings.Replace(testContract, "customer: c", "customer: d", 1))
		is.Equal(burst(hosts, "narrow", 1, 0)[0].refusal, nil)
		var small []*testCall
		var waiting sync.WaitGroup
		for i := range 12 {
			c := &testCall{id: fmt.Sprintf("small-%d", i), model: "narrow", customer: "d"}
			small = append(small, c)
			waiting.Go(func() {
				time.Sleep(300*time.Millisecond + time.Duration(i)*20*time.Millisecond)
				c.do(hosts[i%len(hosts)])
			})
		}
		burst(hosts, "narrow", 250, 200*time.Millisecond)
		waiting.Wait()
		for _, c := range small {
			is.Equal(c.refusal, nil)
			is.True(c.end.Sub(c.start) < time.Second)
		}
	})
}

// The log is down and a model is not loaded: nobody can decide to load it. The
// caller is told so at once, with when to come back; loaded models go on.
func TestColdRequestWhileLogIsDown(t *testing.T) {
	threeHosts(t, func(is *is.I, f *fakes, hosts []*fakeHost) {
		is.Equal(burst(hosts, "m1", 1, 0)[0].refusal, nil)
		f.setDown(true)
		time.Sleep(2 * time.Second)
		for _, c := range burst(hosts, "m2", 6, 0) {
			is.True(c.refusal != nil)
			is.Equal(c.refusal.Code, callers.ErrorDetailCodeNotRun)
			is.True(c.refusal.RetryAfter > 0)
			is.True(c.end.Sub(c.start) < tolerance)
		}
		for _, c := range burst(hosts, "m1", 6, 0) {
			is.Equal(c.refusal, nil)
		}
	})
}

// The owner of the pool dies while callers wait for a model. They are served
// by its successor, or refused as soon as that cannot be in time.
func TestOwnerDiesWhileRequestsWait(t *testing.T) {
	threeHosts(t, func(is *is.I, _ *fakes, hosts []*fakeHost) {
		owner, others := ownerOf(hosts)
		time.AfterFunc(100*time.Millisecond, owner.kill)
		calls := burst(others, "m1", 8, 50*time.Millisecond)
		for _, c := range calls {
			is.Equal(c.refusal, nil)
		}
	})
}

// The weight store is slow: loads take longer than any caller waits. Callers
// are refused in time, and later ones at once, from what was learned.
func TestSlowStore(t *testing.T) {
	threeHosts(t, func(is *is.I, f *fakes, hosts []*fakeHost) {
		for _, e := range f.engines {
			e.loadTime = 30 * time.Second
		}
		for _, c := range burst(hosts, "m1", 3, 0) {
			is.Equal(c.refusal.Code, callers.ErrorDetailCodeNotRun)
			is.True(!c.end.After(c.deadline))
		}
		time.Sleep(26 * time.Second)
		is.Equal(burst(hosts, "m1", 1, 0)[0].refusal, nil)

		// Unloaded again, the model is known to take too long: the refusal comes
		// at once, and who comes back when told finds it loaded.
		time.Sleep(20 * time.Second)
		c := burst(hosts[:1], "m1", 1, 0)[0]
		is.True(c.refusal != nil)
		is.True(c.end.Sub(c.start) < tolerance)
		time.Sleep(c.refusal.RetryAfter + time.Second)
		is.Equal(burst(hosts[:1], "m1", 1, 0)[0].refusal, nil)
	})
}

// A service rejects all calls and asks each host for a pause. Hosts went on to call it with each
// request of a desk.
func TestServiceThatAsksForAPauseIsLeftAlone(t *testing.T) {
	threeHosts(t, func(is *is.I, f *fakes, hosts []*fakeHost) {
		f.joinService("l1", "lookup")
		time.Sleep(settleTime)
		const pause = 2 * time.Second
		f.mu.Lock()
		busy := f.engines["l0"]
		busy.busyFor = pause
		f.mu.Unlock()
		calls := 0
		for start := time.Now(); time.Since(start) < pause/2; calls++ {
			c := &testCall{id: completion.NewRequestID(), model: "lookup"}
			c.do(hosts[calls%2])
			is.Equal(c.refusal, nil)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		is.True(busy.asked <= 2) // once a host
	})
}

// Mechanics are sent to an endpoint that is going away. One host's list shows
// it as leaving, then shows the opposite, the others' lists lag; no host sends
// it new work after a few seconds.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	threeHosts(t, func(is *is.I, f *fakes, hosts []*fakeHost) {
		is.Equal(burst(hosts, "m0", 30, time.Second)[0].refusal, nil)
		leaving := loadedOn(f, "m0")
		// Only the first host's list is up to date.
		f.freezeList("h1", "h2")
		f.setLeaving(leaving.name, true)
		time.Sleep(time.Second)
		f.setLeaving(leaving.name, false)
		time.Sleep(time.Second)
		since := time.Now()
		for _, c := range burst(hosts, "m0", 30, 3*time.Second) {
			is.Equal(c.refusal, nil)
		}
		for _, started := range leaving.started {
			is.True(started.Before(since))
		}
	})
}

func loadedOn(f *fakes, model string) *fakeEngine {
	for _, e := range f.engines {
		for _, r := range e.replicas {
			if r.Model == model {
				return e
			}
		}
	}
	return nil
}

// freezeList keeps the list of some hosts as it is.
func (f *fakes) freezeList(hosts ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range hosts {
		f.frozen[h] = slices.Clone(f.list)
	}
}

func (f *fakes) setLeaving(name string, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.list, func(l external.ListedHost) bool { return l.Name == name })
	f.list[i].Leaving = leaving
}

// Shutdown waits for the requests of the test, as an HTTP server does.
func (h *fakeHost) Shutdown(context.Context) error {
	h.active.Wait()
	return nil
}

// drainNow shuts a host down as a SIGTERM does.
func (h *fakeHost) drainNow() {
	h.drain(context.Background(), h)
	h.kill()
}

// Two of three hosts are stopped at once, under load, with requests queued for
// a model that is being loaded. No request is cut, and the pool always has an
// owner that is not stopping.
func TestTwoHostsStopAtOnce(t *testing.T) {
	threeHosts(t, func(is *is.I, _ *fakes, hosts []*fakeHost) {
		owner, others := ownerOf(hosts)
		var stopping sync.WaitGroup
		time.AfterFunc(500*time.Millisecond, func() {
			stopping.Go(owner.drainNow)
			stopping.Go(others[0].drainNow)
		})
		for _, c := range burst(hosts, "m0", 40, 400*time.Millisecond) {
			is.Equal(c.refusal, nil)
			is.Equal(c.text, c.expected())
		}
		stopping.Wait()
		ref, _ := others[1].state.Pools.Owner("p")
		is.Equal(ref, others[1].self)
		is.Equal(len(others[1].state.Pools.Get("p").Former), 0)
		is.Equal(burst(others[1:], "m1", 1, 0)[0].refusal, nil)
	})
}

// After a take-over all models are cold: the new owner has not asked the
// endpoints yet, or its list leaves them out for a moment, and it takes them
// for lost and retires their replicas.
func TestTakeoverKeepsReplicas(t *testing.T) {
	threeHosts(t, func(is *is.I, f *fakes, hosts []*fakeHost) {
		for _, model := range []string{"m0", "m1", "m2"} {
			is.Equal(burst(hosts, model, 1, 0)[0].refusal, nil)
		}
		before := f.replicaIDs()
		owner, others := ownerOf(hosts)
		f.freezeList("h0", "h1", "h2")
		f.mu.Lock()
		for h := range f.frozen {
			f.frozen[h] = nil
		}
		f.mu.Unlock()
		owner.kill()
		for i := range 16 {
			if i == 9 {
				f.mu.Lock()
				clear(f.frozen)
				f.mu.Unlock()
			}
			for _, model := range []string{"m0", "m1", "m2"} {
				is.Equal(burst(others, model, 2, 0)[0].refusal, nil)
			}
			time.Sleep(300 * time.Millisecond)
		}
		is.True(others[0].state.Pools.Get("p").Owner != owner.self)
		is.Equal(f.replicaIDs(), before)
	})
}

// replicaIDs returns what the engines hold.
func (f *fakes) replicaIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for _, e := range f.engines {
		for id := range e.replicas {
			ids = append(ids, string(id))
		}
	}
	slices.Sort(ids)
	return ids
}
