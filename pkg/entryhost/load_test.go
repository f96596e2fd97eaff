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

// burst sends n calls to the hosts in turn, spread evenly over a period, and waits for all
// responses.
func burst(hosts []*fakeHost, model string, n int, spread time.Duration) []*testCall {
	return burstWithTimeout(hosts, model, n, spread, maxWait)
}

func burstWithTimeout(hosts []*fakeHost, model string, n int, spread, timeout time.Duration) []*testCall {
	calls := make([]*testCall, n)
	var waiting sync.WaitGroup
	for i := range calls {
		calls[i] = &testCall{id: fmt.Sprintf("%s-%d", model, i), model: model, timeout: timeout}
		waiting.Go(func() {
			time.Sleep(spread * time.Duration(i) / time.Duration(n))
			calls[i].send(hosts[i%len(hosts)])
		})
	}
	waiting.Wait()
	return calls
}

// refusalDelays returns the time until refusal of each refused call.
func refusalDelays(calls []*testCall) (waits []time.Duration) {
	for _, c := range calls {
		if c.refusal != nil {
			waits = append(waits, c.end.Sub(c.start))
		}
	}
	return waits
}

// withThreeHosts runs f on a settled cluster of three hosts, two engines and a service.
func withThreeHosts(t *testing.T, f func(is *is.I, f *fakeCluster, hosts []*fakeHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := newFakeCluster()
		cluster.addEngine("e0", "p", true)
		cluster.addEngine("e1", "p", false)
		cluster.addService("l0", "lookup")
		hosts := []*fakeHost{cluster.startHost("h0"), cluster.startHost("h1"), cluster.startHost("h2")}
		cluster.publish(0, testContract)
		time.Sleep(settleTime)
		f(is.NewRelaxed(t), cluster, hosts)
		cluster.stopAll()
	})
}

// splitOwner returns the owner of the pool and the other hosts.
func splitOwner(hosts []*fakeHost) (owner *fakeHost, others []*fakeHost) {
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

// Guards against requests in an overload that time out in the queue instead of being refused
// early.
func TestOverloadIsRefusedEarly(t *testing.T) {
	withThreeHosts(t, func(is *is.I, _ *fakeCluster, hosts []*fakeHost) {
		is.Equal(burst(hosts, "narrow", 1, 0)[0].refusal, nil)
		// The load is about ten times the capacity.
		calls := burstWithTimeout(hosts, "narrow", 250, 500*time.Millisecond, 2*time.Second)
		served := len(calls) - len(refusalDelays(calls))
		is.True(served > 50)
		is.True(served < len(calls))
		for _, wait := range refusalDelays(calls) {
			is.True(wait < time.Second)
		}
		for _, c := range calls {
			if c.refusal == nil {
				is.True(c.end.Sub(c.start) < 3*time.Second)
			}
		}
	})
}

// Guards against a burst of one customer delaying another customer's requests for the same model.
func TestBurstDoesNotStarveOtherCustomers(t *testing.T) {
	withThreeHosts(t, func(is *is.I, f *fakeCluster, hosts []*fakeHost) {
		f.publishFor("d", 0, strings.Replace(testContract, "customer: c", "customer: d", 1))
		is.Equal(burst(hosts, "narrow", 1, 0)[0].refusal, nil)
		var small []*testCall
		var waiting sync.WaitGroup
		for i := range 12 {
			c := &testCall{id: fmt.Sprintf("small-%d", i), model: "narrow", customer: "d"}
			small = append(small, c)
			waiting.Go(func() {
				time.Sleep(300*time.Millisecond + time.Duration(i)*20*time.Millisecond)
				c.send(hosts[i%len(hosts)])
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

// Guards against requests waiting for a model that cannot be loaded during a log outage. Loaded
// models continue to be served.
func TestColdRequestIsRefusedWhileLogIsDown(t *testing.T) {
	withThreeHosts(t, func(is *is.I, f *fakeCluster, hosts []*fakeHost) {
		is.Equal(burst(hosts, "m1", 1, 0)[0].refusal, nil)
		f.setLogDown(true)
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

// Guards against queued requests being lost when the owner of the pool crashes.
func TestOwnerCrashWithQueuedRequests(t *testing.T) {
	withThreeHosts(t, func(is *is.I, _ *fakeCluster, hosts []*fakeHost) {
		owner, others := splitOwner(hosts)
		time.AfterFunc(100*time.Millisecond, owner.kill)
		calls := burst(others, "m1", 8, 50*time.Millisecond)
		for _, c := range calls {
			is.Equal(c.refusal, nil)
		}
	})
}

// Guards against requests waiting past their deadline when loads take longer than expected.
func TestSlowWeightStore(t *testing.T) {
	withThreeHosts(t, func(is *is.I, f *fakeCluster, hosts []*fakeHost) {
		for _, e := range f.engines {
			e.loadTime = 30 * time.Second
		}
		for _, c := range burst(hosts, "m1", 3, 0) {
			is.Equal(c.refusal.Code, callers.ErrorDetailCodeNotRun)
			is.True(!c.end.After(c.deadline))
		}
		time.Sleep(26 * time.Second)
		is.Equal(burst(hosts, "m1", 1, 0)[0].refusal, nil)

		// The model is unloaded again. Its observed load time causes an immediate refusal whose
		// retry delay is long enough for the load.
		time.Sleep(20 * time.Second)
		c := burst(hosts[:1], "m1", 1, 0)[0]
		is.True(c.refusal != nil)
		is.True(c.end.Sub(c.start) < tolerance)
		time.Sleep(c.refusal.RetryAfter + time.Second)
		is.Equal(burst(hosts[:1], "m1", 1, 0)[0].refusal, nil)
	})
}

// Guards against hosts that keep calling a service that asked them to back off.
func TestServiceBackoffIsHonored(t *testing.T) {
	withThreeHosts(t, func(is *is.I, f *fakeCluster, hosts []*fakeHost) {
		f.joinService("l1", "lookup")
		time.Sleep(settleTime)
		const pause = 2 * time.Second
		f.mu.Lock()
		busy := f.engines["l0"]
		busy.rejectPause = pause
		f.mu.Unlock()
		calls := 0
		for start := time.Now(); time.Since(start) < pause/2; calls++ {
			c := &testCall{id: completion.NewRequestID(), model: "lookup"}
			c.send(hosts[calls%2])
			is.Equal(c.refusal, nil)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		is.True(busy.rejected <= 2) // Once per host.
	})
}

// Guards against requests being sent to a draining endpoint, even if the notice is withdrawn or the
// host lists of other hosts lag.
func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	withThreeHosts(t, func(is *is.I, f *fakeCluster, hosts []*fakeHost) {
		is.Equal(burst(hosts, "m0", 30, time.Second)[0].refusal, nil)
		draining := engineWithModel(f, "m0")
		// Only h0 has an up-to-date list.
		f.freezeList("h1", "h2")
		f.setDraining(draining.name, true)
		time.Sleep(time.Second)
		f.setDraining(draining.name, false)
		time.Sleep(time.Second)
		since := time.Now()
		for _, c := range burst(hosts, "m0", 30, 3*time.Second) {
			is.Equal(c.refusal, nil)
		}
		for _, started := range draining.started {
			is.True(started.Before(since))
		}
	})
}

func engineWithModel(f *fakeCluster, model string) *fakeEngine {
	for _, e := range f.engines {
		for _, r := range e.replicas {
			if r.Model == model {
				return e
			}
		}
	}
	return nil
}

// freezeList stops updating the host list that some hosts see.
func (f *fakeCluster) freezeList(hosts ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range hosts {
		f.staleLists[h] = slices.Clone(f.hostList)
	}
}

func (f *fakeCluster) setDraining(name string, draining bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.hostList, func(l external.ListedHost) bool { return l.Name == name })
	f.hostList[i].Draining = draining
}

// Shutdown implements shutdowner. It waits for the requests in progress.
func (h *fakeHost) Shutdown(context.Context) error {
	h.active.Wait()
	return nil
}

// terminate shuts the host down as SIGTERM does.
func (h *fakeHost) terminate() {
	h.drain(context.Background(), h)
	h.kill()
}

// Guards against aborted requests and unowned pools when two of three hosts stop under load.
func TestTwoHostsStopConcurrently(t *testing.T) {
	withThreeHosts(t, func(is *is.I, _ *fakeCluster, hosts []*fakeHost) {
		owner, others := splitOwner(hosts)
		var stopping sync.WaitGroup
		time.AfterFunc(500*time.Millisecond, func() {
			stopping.Go(owner.terminate)
			stopping.Go(others[0].terminate)
		})
		for _, c := range burst(hosts, "m0", 40, 400*time.Millisecond) {
			is.Equal(c.refusal, nil)
			is.Equal(c.text, c.expectedText())
		}
		stopping.Wait()
		ref, _ := others[1].state.Pools.Owner("p")
		is.Equal(ref, others[1].self)
		is.Equal(len(others[1].state.Pools.Get("p").Former), 0)
		is.Equal(burst(others[1:], "m1", 1, 0)[0].refusal, nil)
	})
}

// Guards against a new pool owner that considers unlisted or not yet checked endpoints lost and
// unloads their replicas.
func TestTakeoverKeepsReplicas(t *testing.T) {
	withThreeHosts(t, func(is *is.I, f *fakeCluster, hosts []*fakeHost) {
		for _, model := range []string{"m0", "m1", "m2"} {
			is.Equal(burst(hosts, model, 1, 0)[0].refusal, nil)
		}
		before := f.replicaIDs()
		owner, others := splitOwner(hosts)
		f.freezeList("h0", "h1", "h2")
		f.mu.Lock()
		for h := range f.staleLists {
			f.staleLists[h] = nil
		}
		f.mu.Unlock()
		owner.kill()
		for i := range 16 {
			if i == 9 {
				f.mu.Lock()
				clear(f.staleLists)
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

// replicaIDs returns the IDs of the replicas on all engines.
func (f *fakeCluster) replicaIDs() []string {
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
