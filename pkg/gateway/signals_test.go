package gateway_test

import (
	"net/http"
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
