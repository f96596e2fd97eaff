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
	// rateWindow is the span over which requests are counted. rateSettle is how long after an
	// endpoint first reports its rate the limit becomes binding.
	rateWindow = 4 * time.Second
	rateSettle = 3 * time.Second
)

// maxArrivals returns the maximum number of arrivals in any span that ends later than after.
func maxArrivals(arrivals []time.Time, span time.Duration, after time.Time) int {
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

// Guards against several hosts together exceeding the request rate that an endpoint has
// reported.
func TestEndpointRateIsEnforcedAcrossHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	limited := d.startEndpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 50})
	d.startEndpoint(site.EndpointConfig{ID: "p2", Service: "plain", Zone: "zone-a", Slots: 50})
	all := []*host{d.startHost("a"), d.startHost("b"), d.startHost("c")}
	d.waitForPeers(all...)
	const perHost, rate = 10, 3
	limited.SetRateLimitHeader("3.0")
	reportedAt := time.Now()
	tick := time.NewTicker(time.Second / perHost)
	defer tick.Stop()
	for range 8 * perHost {
		<-tick.C
		for _, h := range all {
			is.Equal(d.request(h, "/screen/", "").status, http.StatusOK)
		}
	}
	allowed := int(1.5*rate*rateWindow.Seconds()) + 5
	if n := maxArrivals(limited.Arrivals(), rateWindow, reportedAt.Add(rateSettle)); n > allowed {
		t.Errorf("%d requests in %v, want at most %d", n, rateWindow, allowed)
	}
}

// Guards against requests to an endpoint whose responses announce that it is draining, while the
// store is unavailable.
func TestDrainingIsLearnedFromResponses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	draining := d.startEndpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 50})
	d.startEndpoint(site.EndpointConfig{ID: "p2", Service: "plain", Zone: "zone-a", Slots: 50})
	h := d.startHost("a")
	h.storeListener.SetFault(site.FaultNoResponse)
	draining.SetDrainingHeader()
	send := func() { is.Equal(d.request(h, "/screen/", "").status, http.StatusOK) }
	d.waitFor("a response announces that the endpoint is draining", func() bool {
		send()
		return len(draining.Runs()) > 0
	})
	const drain = 2 * time.Second // from settingsText
	<-time.After(drain)
	before := len(draining.Runs())
	for range 40 {
		send()
	}
	is.Equal(len(draining.Runs()), before)
}

// Guards against requests to an endpoint during a pause that it has requested.
func TestEndpointPausesAreRespected(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish(config(1))
	const pause, settle, allowed = 2 * time.Second, 500 * time.Millisecond, 2
	var mu sync.Mutex
	var rejected []time.Time
	d.startEndpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 50, Behave: func(string, string, int) site.Behavior {
		mu.Lock()
		defer mu.Unlock()
		rejected = append(rejected, time.Now())
		return site.Behavior{Reject: true, RetryAfter: "2"}
	}})
	h := d.startHost("a")
	var wg sync.WaitGroup
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for range 30 {
		<-tick.C
		wg.Go(func() { d.request(h, "/screen/", "") })
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
			t.Fatalf("%d requests in a pause of %v, want at most %d", n, pause, allowed)
		}
	}
}
