package gateway_test

import (
	"fmt"
	"net/http"
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
	d.until("the hosts know each other", func() bool {
		return hosts[0].Peers() == 2 && hosts[1].Peers() == 2 && hosts[2].Peers() == 2
	})
	for i := 0; crashed(endpoints) < 3; i++ {
		d.askWith(hosts[i%2], "/chat/", "warm", crashing)
	}
	<-time.After(spread)
	before := crashed(endpoints)
	for range 3 {
		for _, h := range hosts {
			got := d.askWith(h, "/chat/", "warm", crashing)
			is.True(got.status != http.StatusOK)
		}
	}
	if n := crashed(endpoints) - before; n > strayRuns {
		t.Errorf("a request that had ended three endpoints reached %d more, %d are allowed", n, strayRuns)
	}
	// Other requests of the model are served.
	for _, h := range hosts {
		is.Equal(d.ask(h, "/chat/", "warm").status, http.StatusOK)
	}
}
