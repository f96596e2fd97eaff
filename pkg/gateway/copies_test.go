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

// popular is the body of a request that harms nobody, of which several copies come at once.
const popular = "a prompt that many ask"

// copyRun is how long a copy takes at an endpoint, longer than copies take to come together.
const copyRun = 250 * time.Millisecond

// plainEndpoint starts an endpoint of the plain service that the crashing request ends.
func (d *deployment) plainEndpoint(id string) *site.Endpoint {
	d.t.Helper()
	return d.endpoint(site.EndpointConfig{
		ID: id, Service: "plain", Zone: "zone-a", Slots: 8, CrashOn: crashing,
		Behave: func(string, string, int) site.Behavior { return site.Behavior{Delay: copyRun} },
	})
}

// copies sends copies of one request at once, so many to each host, and returns the replies.
func (d *deployment) copies(body string, each int, hosts ...*host) []reply {
	d.t.Helper()
	var mu sync.Mutex
	var out []reply
	var wg sync.WaitGroup
	for range each {
		for _, h := range hosts {
			wg.Go(func() {
				got := d.askWith(h, "/screen/", "", body)
				mu.Lock()
				defer mu.Unlock()
				out = append(out, got)
			})
		}
	}
	wg.Wait()
	return out
}

// endedUnderCopies starts three hosts and an endpoint that ends while four copies of a
// request run there, sent by all hosts, and then endpoints that could run it.
func (d *deployment) endedUnderCopies(body string, fresh int) (hosts []*host, endpoints []*site.Endpoint) {
	d.t.Helper()
	d.publish(config(1))
	first := d.plainEndpoint("first")
	hosts = []*host{d.startHost("a"), d.startHost("b"), d.startHost("c")}
	d.meet(hosts...)
	if body != crashing {
		go func() {
			d.until("the copies run", func() bool { return len(first.Runs()) >= 4 })
			first.Close()
		}()
	}
	d.copies(body, 2, hosts[0], hosts[1])
	<-time.After(spread)
	for i := range fresh {
		endpoints = append(endpoints, d.plainEndpoint(fmt.Sprint("p", i)))
	}
	d.until("the hosts know the endpoints", func() bool {
		for _, h := range hosts {
			if h.LiveEndpoints() < fresh {
				return false
			}
		}
		return true
	})
	return hosts, endpoints
}

// Four copies of a request that crashes endpoints run at one of them, sent by two hosts, and
// all end with it: one end. Copies that come after that go to endpoints of all hosts at the
// same time, so that six have run before the third end shows. No host waited to see what
// becomes of another's copy.
func TestCopiesOfACrashingRequestGoOneByOne(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	hosts, endpoints := d.endedUnderCopies(crashing, 12)
	for range 3 {
		for _, got := range d.copies(crashing, 2, hosts...) {
			if got.status == http.StatusOK {
				t.Errorf("%d to the crashing request", got.status)
			}
		}
	}
	if n := crashed(endpoints); n > strayRuns {
		t.Errorf("copies of a request that had ended an endpoint reached %d more, %d are allowed", n, strayRuns)
	}
}

// An endpoint fails by itself while copies of a popular request run there. They are no less
// served after it than others: a copy that is answered shows that the request does no harm.
func TestCopiesOfAPopularRequestAreServed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	hosts, _ := d.endedUnderCopies(popular, 3)
	for _, got := range d.copies(popular, 2, hosts...) {
		is.Equal(got.status, http.StatusOK)
	}
}
