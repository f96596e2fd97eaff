package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
)

const (
	// rateWindow is the span in which an endpoint counts, rateSettle how long after it first
	// stated its rate that binds.
	rateWindow = 4 * time.Second
	rateSettle = 3 * time.Second
)

// mostIn returns the most arrivals within a span that ends after some time.
func mostIn(arrivals []time.Time, span time.Duration, after time.Time) int {
	most, first := 0, 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) > span {
			first++
		}
		if at.After(after) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// An endpoint in need states how many requests a second it takes from all hosts together. Three
// hosts went on to send it its part of the load, fifteen a second.
func TestHostsKeepTogetherToTheRateOfAnEndpoint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	limited := d.endpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 50})
	d.endpoint(site.EndpointConfig{ID: "p2", Service: "plain", Zone: "zone-a", Slots: 50})
	all := []*host{d.startHost("a"), d.startHost("b"), d.startHost("c")}
	d.meet(all...)
	const perHost, rate = 10, 3
	limited.StateRate("3.0")
	stated := time.Now()
	tick := time.NewTicker(time.Second / perHost)
	defer tick.Stop()
	for range 8 * perHost {
		<-tick.C
		for _, h := range all {
			is.Equal(d.ask(h, "/screen/", "").status, http.StatusOK)
		}
	}
	allowed := int(1.5*rate*rateWindow.Seconds()) + 5
	if n := mostIn(limited.Arrivals(), rateWindow, stated.Add(rateSettle)); n > allowed {
		t.Errorf("%d requests in %v, %d are allowed", n, rateWindow, allowed)
	}
}

// An endpoint says in its answers that it leaves, while the store is away: no entry of the list
// says so. The host that had passed such answers on went on to send it requests.
func TestLeavingIsHeededFromAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	leaves := d.endpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 50})
	d.endpoint(site.EndpointConfig{ID: "p2", Service: "plain", Zone: "zone-a", Slots: 50})
	h := d.startHost("a")
	h.door.Set(site.Silent)
	leaves.StateLeaving()
	ask := func() { is.Equal(d.ask(h, "/screen/", "").status, http.StatusOK) }
	d.until("an answer says that the endpoint leaves", func() bool {
		ask()
		return len(leaves.Runs()) > 0
	})
	const drain = 2 * time.Second // of the settings
	<-time.After(drain)
	before := len(leaves.Runs())
	for range 40 {
		ask()
	}
	is.Equal(len(leaves.Runs()), before)
}

// An endpoint rejects everything and asks each host for a pause. Requests that it alone could
// run were sent there every few hundred milliseconds, until they were refused.
func TestPausesOfEndpointsAreKept(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish(config(1))
	const pause, settle, allowed = 2 * time.Second, 500 * time.Millisecond, 2
	var mu sync.Mutex
	var rejected []time.Time
	d.endpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 50, Behave: func(string, string, int) site.Behavior {
		mu.Lock()
		defer mu.Unlock()
		rejected = append(rejected, time.Now())
		return site.Behavior{Reject: true, Pause: "2"}
	}})
	h := d.startHost("a")
	var wg sync.WaitGroup
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for range 30 {
		<-tick.C
		wg.Go(func() { d.ask(h, "/screen/", "") })
	}
	wg.Wait()
	for i, first := range rejected {
		n := 0
		for _, at := range rejected[i+1:] {
			if after := at.Sub(first); after > settle && after < pause {
				n++
			}
		}
		if n > allowed {
			t.Fatalf("%d requests in a pause of %v, %d are allowed", n, pause, allowed)
		}
	}
}
