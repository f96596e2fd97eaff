package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
)

// harmlessBody is the body of a request that crashes no endpoint and is sent in several copies.
const harmlessBody = "a prompt that many ask"

// copyDuration is how long a copy runs at an endpoint, long enough for copies to overlap.
const copyDuration = 250 * time.Millisecond

// plainEndpoint starts an endpoint of the plain service that crashes on crashingBody.
func (d *deployment) plainEndpoint(id string) *site.Endpoint {
	d.t.Helper()
	return d.startEndpoint(site.EndpointConfig{
		ID: id, Service: "plain", Zone: "zone-a", Slots: 8, CrashOn: crashingBody,
		Behave: func(string, string, int) site.Behavior { return site.Behavior{Delay: copyDuration} },
	})
}

// sendCopies sends concurrent copies of a request, each of them per host, and returns the
// replies.
func (d *deployment) sendCopies(body string, each int, hosts ...*host) []reply {
	d.t.Helper()
	var mu sync.Mutex
	var out []reply
	var wg sync.WaitGroup
	for range each {
		for _, h := range hosts {
			wg.Go(func() {
				got := d.requestWithBody(h, "/screen/", "", body)
				mu.Lock()
				defer mu.Unlock()
				out = append(out, got)
			})
		}
	}
	wg.Wait()
	return out
}

// crashUnderCopies starts three hosts and an endpoint that ends while four copies of a request
// run on it, then starts count further endpoints.
func (d *deployment) crashUnderCopies(body string, count int) (hosts []*host, endpoints []*site.Endpoint) {
	d.t.Helper()
	d.publish(config(1))
	first := d.plainEndpoint("first")
	hosts = []*host{d.startHost("a"), d.startHost("b"), d.startHost("c")}
	d.waitForPeers(hosts...)
	if body != crashingBody {
		go func() {
			d.waitFor("the copies run", func() bool { return len(first.Runs()) >= 4 })
			first.Close()
		}()
	}
	d.sendCopies(body, 2, hosts[0], hosts[1])
	<-time.After(blockPropagation)
	for i := range count {
		endpoints = append(endpoints, d.plainEndpoint(fmt.Sprint("p", i)))
	}
	d.waitFor("the hosts know the endpoints", func() bool {
		for _, h := range hosts {
			if h.LiveEndpoints() < count {
				return false
			}
		}
		return true
	})
	return hosts, endpoints
}

// Guards against copies of a request that has crashed an endpoint running in parallel on other
// endpoints before the outcome of the first is known.
func TestCopiesOfCrashingRequestRunOneAtATime(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	hosts, endpoints := d.crashUnderCopies(crashingBody, 12)
	for range 3 {
		for _, got := range d.sendCopies(crashingBody, 2, hosts...) {
			if got.status == http.StatusOK {
				t.Errorf("got status %d for the crashing request, want a refusal", got.status)
			}
		}
	}
	if n := countCrashes(endpoints); n > maxStrayRuns {
		t.Errorf("copies of a request that had crashed an endpoint reached %d more endpoints, want at most %d", n, maxStrayRuns)
	}
}

// Guards against blocking a harmless request because an endpoint failed while copies of it ran.
func TestCopiesOfHarmlessRequestAreServed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	hosts, _ := d.crashUnderCopies(harmlessBody, 3)
	for _, got := range d.sendCopies(harmlessBody, 2, hosts...) {
		is.Equal(got.status, http.StatusOK)
	}
}
