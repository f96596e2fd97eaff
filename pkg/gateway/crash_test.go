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
	// spread is within what time of the third end all hosts have to know of a request that
	// ends endpoints, and strayRuns how many endpoints it may reach after that.
	spread    = 3 * time.Second
	strayRuns = 3
	// crashing is the body of that request.
	crashing = "a prompt that crashes its engine"
)

// crashers starts endpoints of a model that the crashing request ends.
func (d *deployment) crashers(n int) []*site.Endpoint {
	var out []*site.Endpoint
	for i := range n {
		out = append(out, d.endpoint(site.EndpointConfig{
			ID: fmt.Sprint("e", i), Service: "llm", Zone: "zone-a", Slots: 8, WeightsMB: 125, AdapterSlots: 4, Models: models,
			Holds: []string{"warm"}, Events: 3, Pace: 5 * time.Millisecond, CrashOn: crashing,
		}))
	}
	return out
}

// crashUntil sends the crashing request to hosts in turn until so many endpoints have ended.
func (d *deployment) crashUntil(n int, endpoints []*site.Endpoint, hosts ...*host) {
	d.t.Helper()
	for i := 0; crashed(endpoints) < n; i++ {
		d.askWith(hosts[i%len(hosts)], "/chat/", "warm", crashing)
	}
}

// keptFrom checks that the crashing request reaches no more endpoints than it may.
func (d *deployment) keptFrom(endpoints []*site.Endpoint, hosts ...*host) {
	d.t.Helper()
	before := crashed(endpoints)
	for range 3 {
		for _, h := range hosts {
			if got := d.askWith(h, "/chat/", "warm", crashing); got.status == http.StatusOK {
				d.t.Errorf("%d to the crashing request", got.status)
			}
		}
	}
	if n := crashed(endpoints) - before; n > strayRuns {
		d.t.Errorf("a request that had ended three endpoints reached %d more, %d are allowed", n, strayRuns)
	}
}

// meet waits until hosts know one another.
func (d *deployment) meet(hosts ...*host) {
	d.t.Helper()
	d.until("the hosts know each other", func() bool {
		return !slices.ContainsFunc(hosts, func(h *host) bool { return h.Peers() < len(hosts)-1 })
	})
}

// crashedPair starts two hosts, and the crashing request has ended three endpoints there.
func (d *deployment) crashedPair() (endpoints []*site.Endpoint, a, b *host) {
	d.t.Helper()
	d.publish(config(1))
	endpoints = d.crashers(24)
	a, b = d.startHost("a"), d.startHost("b")
	d.meet(a, b)
	d.crashUntil(3, endpoints, a, b)
	return endpoints, a, b
}

// crashed counts the endpoints that ran the crashing request.
func crashed(endpoints []*site.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		for _, r := range e.Runs() {
			if r.Body == crashing {
				n++
			}
		}
	}
	return n
}

// A client sends a request that crashes the engine which runs it, again and again, at any
// host. Each attempt was a new request to the host that got it, and went to two
// endpoints: one had ended 35 of them within a minute, and all callers of the model
// lost their answers with each ("read stream: unexpected EOF" on up to eight hosts at once).
// What a host had seen of a request ended with the attempt.
func TestCrashingRequestIsKeptFromEndpoints(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	endpoints := d.crashers(24)
	hosts := []*host{d.startHost("a"), d.startHost("b"), d.startHost("c")}
	d.meet(hosts...)
	d.crashUntil(3, endpoints, hosts[0], hosts[1])
	<-time.After(spread)
	d.keptFrom(endpoints, hosts...)
	// Other requests of the model are served.
	for _, h := range hosts {
		is.Equal(d.ask(h, "/chat/", "warm").status, http.StatusOK)
	}
}

// A host is cut off from all others, and each of the two sides sees only a part of the ends.
// Both reach the store, and callers both sides; neither may wait for the other's word.
func TestCrashingRequestAtAHostCutFromTheOthers(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish(config(1))
	endpoints := d.crashers(24)
	a, b, c := d.startHost("a"), d.startHost("b"), d.startHost("c")
	d.meet(a, b, c)
	d.until("somebody gives orders", func() bool { return a.Controls() || b.Controls() || c.Controls() })
	cut := a
	if a.Controls() {
		cut = b
	}
	cut.CutPeers()
	d.until("the host is told nothing", func() bool { return cut.Silence() > spread })
	d.crashUntil(3, endpoints, cut, c)
	<-time.After(spread)
	d.keptFrom(endpoints, a, b, c)
}

// All hosts are cut off from one another, and reach the store. Each sees one end under a request
// that its route lets run once; none would ever see three, and each would send it to three.
// One host that nobody asks did not read what the others had written: claims came one after
// the other, and each was taken for a sign that its holder would speak soon.
func TestCrashingRequestAtHostsCutFromOneAnother(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish(config(1))
	var endpoints []*site.Endpoint
	for i := range 12 {
		endpoints = append(endpoints, d.endpoint(site.EndpointConfig{ID: fmt.Sprint("p", i), Service: "plain", Zone: "zone-a", Slots: 4, CrashOn: crashing}))
	}
	var hosts []*host
	for _, name := range []string{"a", "b", "c", "d"} {
		hosts = append(hosts, d.startHost(name))
	}
	d.meet(hosts...)
	for _, h := range hosts {
		h.CutPeers()
	}
	d.until("nobody is told anything", func() bool {
		return !slices.ContainsFunc(hosts, func(h *host) bool { return h.Silence() < spread })
	})
	for _, h := range hosts[:3] {
		d.askWith(h, "/screen/", "", crashing)
	}
	<-time.After(spread)
	for i, h := range hosts {
		if h.Blocks() == 0 {
			t.Errorf("host %d does not know of the block %v after the third end", i, spread)
		}
	}
	before := crashed(endpoints)
	for range 3 {
		for _, h := range hosts {
			d.askWith(h, "/screen/", "", crashing)
		}
	}
	if n := crashed(endpoints) - before; n > strayRuns {
		t.Errorf("%d endpoints more have ended, %d are allowed", n, strayRuns)
	}
}

// All hosts lose power after a request was blocked, and the client goes on. The new
// incarnations had seen none of the ends and sent it to three endpoints more each.
func TestBlockOutlivesAllHosts(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	endpoints, a, b := d.crashedPair()
	d.until("the block is kept", func() bool { return d.store.Size("keyed.crashes") > 0 && a.Blocks() > 0 })
	<-time.After(spread)
	a.Kill()
	b.Kill()
	a, b = d.startHost("a"), d.startHost("b")
	<-time.After(spread)
	d.keptFrom(endpoints, a, b)
}

// A host starts while the store answers nobody. It hears of the block from the others.
func TestFreshHostHearsOfABlock(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	endpoints, a, b := d.crashedPair()
	d.until("the request is blocked", func() bool { return a.Blocks() > 0 && b.Blocks() > 0 })
	c := d.startHost("c")
	c.door.Set(site.Silent)
	d.until("the fresh host knows it", func() bool { return c.Blocks() > 0 })
	d.keptFrom(endpoints, c)
}
