package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
)

const (
	// blockPropagation is the time after the third crash within which all hosts must block the
	// request. maxStrayRuns is how many more endpoints it may reach after that.
	blockPropagation = 3 * time.Second
	maxStrayRuns     = 3
	// crashingBody is the body of the request that crashes endpoints.
	crashingBody = "a prompt that crashes its engine"
)

// startCrashableEndpoints starts endpoints of a model that crash on crashingBody.
func (d *deployment) startCrashableEndpoints(n int) []*site.Endpoint {
	var out []*site.Endpoint
	for i := range n {
		out = append(out, d.startEndpoint(site.EndpointConfig{
			ID: fmt.Sprint("e", i), Service: "llm", Zone: "zone-a", Slots: 8, WeightsMB: 125, AdapterSlots: 4, Models: models,
			LoadedModels: []string{"warm"}, Events: 3, EventInterval: 5 * time.Millisecond, CrashOn: crashingBody,
		}))
	}
	return out
}

// crashUntil sends the crashing request to hosts in turn until n endpoints have crashed.
func (d *deployment) crashUntil(n int, endpoints []*site.Endpoint, hosts ...*host) {
	d.t.Helper()
	for i := 0; countCrashes(endpoints) < n; i++ {
		d.requestWithBody(hosts[i%len(hosts)], "/chat/", "warm", crashingBody)
	}
}

// checkBlocked checks that the crashing request reaches at most maxStrayRuns further endpoints.
func (d *deployment) checkBlocked(endpoints []*site.Endpoint, hosts ...*host) {
	d.t.Helper()
	before := countCrashes(endpoints)
	for range 3 {
		for _, h := range hosts {
			if got := d.requestWithBody(h, "/chat/", "warm", crashingBody); got.status == http.StatusOK {
				d.t.Errorf("got status %d for the crashing request, want a refusal", got.status)
			}
		}
	}
	if n := countCrashes(endpoints) - before; n > maxStrayRuns {
		d.t.Errorf("a request that had crashed three endpoints reached %d more, want at most %d", n, maxStrayRuns)
	}
}

// waitForPeers waits until all hosts know each other.
func (d *deployment) waitForPeers(hosts ...*host) {
	d.t.Helper()
	d.waitFor("the hosts know each other", func() bool {
		return !slices.ContainsFunc(hosts, func(h *host) bool { return h.Peers() < len(hosts)-1 })
	})
}

// startCrashedPair starts two hosts and crashes three endpoints.
func (d *deployment) startCrashedPair() (endpoints []*site.Endpoint, a, b *host) {
	d.t.Helper()
	d.publish(config(1))
	endpoints = d.startCrashableEndpoints(24)
	a, b = d.startHost("a"), d.startHost("b")
	d.waitForPeers(a, b)
	d.crashUntil(3, endpoints, a, b)
	return endpoints, a, b
}

// countCrashes returns the number of endpoints that ran the crashing request.
func countCrashes(endpoints []*site.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		for _, r := range e.Runs() {
			if r.Body == crashingBody {
				n++
			}
		}
	}
	return n
}

// Guards against a request that crashes its endpoint being sent to further endpoints when the
// client retries it on any host.
func TestCrashingRequestIsBlocked(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	endpoints := d.startCrashableEndpoints(24)
	hosts := []*host{d.startHost("a"), d.startHost("b"), d.startHost("c")}
	d.waitForPeers(hosts...)
	d.crashUntil(3, endpoints, hosts[0], hosts[1])
	<-time.After(blockPropagation)
	d.checkBlocked(endpoints, hosts...)
	// Other requests of the model are served.
	for _, h := range hosts {
		is.Equal(d.request(h, "/chat/", "warm").status, http.StatusOK)
	}
}

// Guards against an isolated host that can still read the store letting a crashing request
// through because each side sees only some of the crashes.
func TestCrashingRequestIsBlockedOnIsolatedHost(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish(config(1))
	endpoints := d.startCrashableEndpoints(24)
	a, b, c := d.startHost("a"), d.startHost("b"), d.startHost("c")
	d.waitForPeers(a, b, c)
	d.waitFor("a host is the controller", func() bool { return a.IsController() || b.IsController() || c.IsController() })
	isolated := a
	if a.IsController() {
		isolated = b
	}
	isolated.DisconnectPeers()
	d.waitFor("the host receives no updates", func() bool { return isolated.UpdateAge() > blockPropagation })
	d.crashUntil(3, endpoints, isolated, c)
	<-time.After(blockPropagation)
	d.checkBlocked(endpoints, a, b, c)
}

// Guards against hosts that are all isolated from each other not combining their crashes through
// the store, including hosts that see new claims but receive no updates.
func TestCrashingRequestIsBlockedWhenAllHostsAreIsolated(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish(config(1))
	var endpoints []*site.Endpoint
	for i := range 12 {
		endpoints = append(endpoints, d.startEndpoint(site.EndpointConfig{ID: fmt.Sprint("p", i), Service: "plain", Zone: "zone-a", Slots: 4, CrashOn: crashingBody}))
	}
	var hosts []*host
	for _, name := range []string{"a", "b", "c", "d"} {
		hosts = append(hosts, d.startHost(name))
	}
	d.waitForPeers(hosts...)
	for _, h := range hosts {
		h.DisconnectPeers()
	}
	d.waitFor("no host receives updates", func() bool {
		return !slices.ContainsFunc(hosts, func(h *host) bool { return h.UpdateAge() < blockPropagation })
	})
	for _, h := range hosts[:3] {
		d.requestWithBody(h, "/screen/", "", crashingBody)
	}
	<-time.After(blockPropagation)
	for i, h := range hosts {
		if h.BlockCount() == 0 {
			t.Errorf("host %d does not know of the block %v after the third crash", i, blockPropagation)
		}
	}
	before := countCrashes(endpoints)
	for range 3 {
		for _, h := range hosts {
			d.requestWithBody(h, "/screen/", "", crashingBody)
		}
	}
	if n := countCrashes(endpoints) - before; n > maxStrayRuns {
		t.Errorf("%d more endpoints have crashed, want at most %d", n, maxStrayRuns)
	}
}

// Guards against losing a block when all hosts lose power at once.
func TestBlockSurvivesRestartOfAllHosts(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	endpoints, a, b := d.startCrashedPair()
	d.waitFor("the block is stored", func() bool { return d.store.KeyCount("keyed.crashes") > 0 && a.BlockCount() > 0 })
	<-time.After(blockPropagation)
	a.Kill()
	b.Kill()
	a, b = d.startHost("a"), d.startHost("b")
	<-time.After(blockPropagation)
	d.checkBlocked(endpoints, a, b)
}

// Guards against a host that starts during a store outage not learning of a block from other
// hosts.
func TestStartingHostLearnsOfBlock(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	endpoints, a, b := d.startCrashedPair()
	d.waitFor("the request is blocked", func() bool { return a.BlockCount() > 0 && b.BlockCount() > 0 })
	c := d.startHost("c")
	c.storeListener.SetFault(site.FaultNoResponse)
	d.waitFor("the new host knows the block", func() bool { return c.BlockCount() > 0 })
	d.checkBlocked(endpoints, c)
}

// Guards against a block whose record is lost with a restore of the store: after a loss of power of all
// hosts the request would crash endpoints again.
func TestBlockIsWrittenAgainAfterRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	older := d.store.Copy()
	_, a, b := d.startCrashedPair()
	d.waitFor("the hosts block the request", func() bool { return a.BlockCount() == 1 && b.BlockCount() == 1 })
	d.waitFor("the record is in the store", func() bool { return d.store.KeyCount("keyed.crashes") == 1 })
	<-time.After(blockPropagation) // Both hosts have read the record.
	d.store.Restore(older)
	d.publish(config(2))
	d.waitFor("the record is back", func() bool { return d.store.KeyCount("keyed.crashes") == 1 })
	is.Equal(a.BlockCount(), 1)
}
