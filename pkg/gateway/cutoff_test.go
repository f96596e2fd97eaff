package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/internal/wait"
)

const (
	// settleTime is the time after a fault of links within which hosts must serve again, and
	// countedTime how long requests are counted after it.
	settleTime  = 3 * time.Second
	countedTime = 2 * time.Second
)

// cutOffDeployment is a deployment whose hosts may lose their links to all endpoints.
type cutOffDeployment struct {
	*deployment
	hosts   []*host
	engines []*site.Endpoint
}

// newCutOffDeployment starts three hosts, of which the first is the controller, five engines and two
// plain endpoints.
func newCutOffDeployment(t *testing.T) *cutOffDeployment {
	t.Helper()
	d := &cutOffDeployment{deployment: newDeployment(t)}
	d.publish(config(1))
	for i := range 5 {
		d.engines = append(d.engines, d.startEngine(fmt.Sprint("e", i)))
	}
	for i := range 2 {
		d.startEndpoint(site.EndpointConfig{ID: fmt.Sprint("p", i), Service: "plain", Zone: "zone-a", Slots: 8})
	}
	d.hosts = append(d.hosts, d.startHost("a"))
	d.waitFor("the first host is the controller", d.hosts[0].IsController)
	d.hosts = append(d.hosts, d.startHost("b"), d.startHost("c"))
	d.waitForPeers(d.hosts...)
	return d
}

// cut sets a fault of the links of hosts.
func (d *cutOffDeployment) cut(f linkFault, hosts ...*host) {
	for _, h := range hosts {
		h.links.set(f)
	}
}

// tally counts the first tries at one host.
type tally struct{ sent, served int }

// load sends requests to all hosts for a time and returns the counts by host.
func (d *cutOffDeployment) load(duration time.Duration) []tally {
	const clientsPerHost = 3
	out := make([]tally, len(d.hosts))
	var mu sync.Mutex
	var clients sync.WaitGroup
	end := time.Now().Add(duration)
	for i, h := range d.hosts {
		for n := range clientsPerHost {
			clients.Go(func() {
				for k := n; time.Now().Before(end); k++ {
					path, model := "/chat/", "warm"
					if k%2 == 0 {
						path, model = "/screen/", ""
					}
					got := d.request(h, path, model)
					mu.Lock()
					out[i].sent++
					if got.status == http.StatusOK {
						out[i].served++
					}
					mu.Unlock()
					// A client that was refused does not return at once.
					if got.status != http.StatusOK {
						wait.For(d.t.Context(), 50*time.Millisecond)
					}
				}
			})
		}
	}
	clients.Wait()
	return out
}

// checkServed checks the counts by the recovery rule: cut off hosts serve at least two thirds as
// often as the others, and at most 10 + 1 in 50 of their first tries fail.
func checkServed(t *testing.T, got []tally, cut int) {
	t.Helper()
	failed, sent := 0, 0
	for _, c := range got[len(got)-cut:] {
		failed += c.sent - c.served
		sent += c.sent
	}
	if share := 1 - float64(failed)/float64(max(1, sent)); share < 2.0/3 {
		t.Errorf("hosts without links to endpoints served %.2f of %d first tries, want 2/3", share, sent)
	}
	if failed > 10+sent/50 {
		t.Errorf("%d of %d first tries failed at hosts without links to endpoints, want at most %d", failed, sent, 10+sent/50)
	}
	for i, c := range got[:len(got)-cut] {
		if c.served*10 < c.sent*9 {
			t.Errorf("host %d with links served %d of %d", i, c.served, c.sent)
		}
	}
}

func TestHostsWithoutLinksToEndpoints(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]linkFault{"silent": linksSilent, "reset": linksReset, "new connections refused": linksRefuse} {
		// Guards against clients of hosts that have lost their links to all endpoints being served
		// worse than those of other hosts.
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newCutOffDeployment(t)
			d.load(200 * time.Millisecond)
			d.cut(fault, d.hosts[1:]...)
			d.load(settleTime)
			checkServed(t, d.load(countedTime), 2)
		})
	}
	// Guards against a controller without links to endpoints that keeps its claim: models that are not
	// loaded would be refused by all hosts.
	t.Run("controller", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		d := newCutOffDeployment(t)
		d.cut(linksReset, d.hosts[0])
		d.load(settleTime)
		got := d.request(d.hosts[2], "/chat/", "cold")
		is.Equal(got.status, http.StatusOK)
		is.True(!d.hosts[0].IsController())
		for _, e := range d.engines {
			is.Equal(len(e.Violations()), 0)
		}
	})
	// Guards against the lost links of a host being taken for crashes of endpoints, for which the
	// requests that ran there would be blocked.
	t.Run("no crashes", func(t *testing.T) {
		t.Parallel()
		d := newCutOffDeployment(t)
		d.load(200 * time.Millisecond)
		d.cut(linksReset, d.hosts[1:]...)
		d.load(settleTime)
		for i, h := range d.hosts {
			if n := h.CrashesSeen(); n > 0 {
				t.Errorf("host %d recorded %d crashes of endpoints that did not crash", i, n)
			}
		}
	})
	// Guards against requests that wait in vain while no host has links: they are refused at once,
	// not run, with a time to return.
	t.Run("all hosts", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		d := newCutOffDeployment(t)
		d.cut(linksSilent, d.hosts...)
		d.load(settleTime)
		for _, h := range d.hosts {
			for range 5 {
				start := time.Now()
				got := d.request(h, "/screen/", "")
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.True(got.header.Get("Retry-After") != "")
				is.True(time.Since(start) < 500*time.Millisecond)
			}
		}
	})
}

// Guards against a claim that goes from one host without links to the next, and back, while one host has
// links. Some endpoints may stay reachable.
func TestOnlyHostWithLinksControls(t *testing.T) {
	t.Parallel()
	for name, spared := range map[string]int{"no endpoint reachable": 0, "some endpoints reachable": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newCutOffDeployment(t)
			for _, name := range []string{"d", "e", "f", "g", "h"} {
				d.hosts = append(d.hosts, d.startHost(name))
			}
			d.waitForPeers(d.hosts...)
			before := d.hosts[0].NewestToken()
			last := len(d.hosts) - 1
			for _, h := range d.hosts[:last] {
				h.links.spared = map[string]bool{}
				for _, e := range d.engines[:spared] {
					h.links.spared[e.Addr] = true
				}
			}
			d.cut(linksReset, d.hosts[:last]...)
			d.load(settleTime + countedTime)
			if !d.hosts[last].IsController() {
				t.Error("the only host with links is not the controller")
			}
			// A release and a claim.
			if n := d.hosts[last].NewestToken() - before; n > 2 {
				t.Errorf("%d claims and releases, want 2", n)
			}
		})
	}
}
