package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
)

// withAccounts returns a configuration with accounts. The screen route requires no key.
func withAccounts(version int64, accounts ...site.Account) site.Config {
	c := config(version)
	c.Accounts = accounts
	c.Routes[1].Public = true
	return c
}

// startHostWithAccounts starts a host, two endpoints and two accounts with keys.
func (d *deployment) startHostWithAccounts() *host {
	d.t.Helper()
	d.publish(withAccounts(1, site.Account{Name: "a1", Keys: []string{"k1", "k2"}}, site.Account{Name: "a2", Keys: []string{"k3"}}))
	d.startEngine("e1")
	d.startEndpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 4})
	return d.startHost("a")
}

// Guards against requests with unknown or revoked keys being served, and against valid keys
// being refused after a configuration change.
func TestKeysAuthenticateAccounts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	h := d.startHostWithAccounts()
	status := func(key string) int { return d.requestWithKey(key, h, "/chat/", "warm", "").status }
	is.Equal(status("k1"), http.StatusOK)
	is.Equal(status("k3"), http.StatusOK)
	is.Equal(status("unknown"), http.StatusUnauthorized)
	is.Equal(status(""), http.StatusUnauthorized)
	is.Equal(d.request(h, "/screen/", "").status, http.StatusOK) // public route
	is.Equal(d.requestWithKey("unknown", h, "/nowhere/", "", "").status, http.StatusNotFound)
	d.publish(withAccounts(2, site.Account{Name: "a1", Keys: []string{"k2", "k4"}}, site.Account{Name: "a2", Keys: []string{"k1"}}))
	d.waitFor("the new configuration is applied", func() bool { return status("k4") == http.StatusOK })
	is.Equal(status("k3"), http.StatusUnauthorized)
	is.Equal(status("k1"), http.StatusOK)
	is.Equal(status("k2"), http.StatusOK)
}

// Guards against the priority of an account being ignored in favor of the route's.
func TestAccountPriorityOverridesRoute(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	priority := 7
	d.publish(withAccounts(1, site.Account{Name: "a1", Keys: []string{"k1"}, Priority: &priority}, site.Account{Name: "a2", Keys: []string{"k2"}}))
	h := d.startHost("a")
	for key, want := range map[string]int{"k1": priority, "k2": 0} {
		got, err := h.Admit("h.example", "/chat/", []string{key})
		is.NoErr(err)
		is.Equal(got.Route.Priority, want)
	}
}

// Guards against a host without current configuration permanently denying a key that it may
// not have received yet.
func TestIsolatedHostDoesNotDenyUnknownKeys(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	h := d.startHostWithAccounts()
	h.storeListener.SetFault(site.FaultNoResponse)
	d.waitFor("the list is outdated", func() bool { return h.ListAge() > 1500*time.Millisecond })
	is.Equal(d.requestWithKey("new", h, "/chat/", "warm", "").status, http.StatusServiceUnavailable)
	is.Equal(d.requestWithKey("k1", h, "/chat/", "warm", "").status, http.StatusOK)
}

// Guards against an account exceeding its allowance by sending requests to several hosts.
func TestAllowanceIsEnforcedAcrossHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	const rate, seconds, hosts = 30, 4, 3
	limited := site.Account{Name: "a1", Keys: []string{"k1"}, Unit: "requests", Rate: rate, Burst: rate}
	d.publish(withAccounts(1, limited, site.Account{Name: "a2", Keys: []string{"k2"}}))
	d.startEndpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 50})
	var all []*host
	for _, name := range []string{"a", "b", "c"} {
		all = append(all, d.startHost(name))
	}
	d.waitForPeers(all...)
	d.waitFor("a host is the controller", func() bool { return all[0].IsController() || all[1].IsController() || all[2].IsController() })
	tick := time.NewTicker(time.Second / (3 * rate / hosts))
	defer tick.Stop()
	statuses := map[int]int{}
	for range 3 * rate / hosts * seconds {
		<-tick.C
		for _, h := range all {
			got := d.requestWithKey("k1", h, "/screen/", "", "")
			statuses[got.status]++
			if got.status == http.StatusTooManyRequests {
				is.True(got.header.Get("Retry-After") != "")
			}
		}
	}
	most := int((rate*seconds + rate) * 1.1)
	if n := statuses[http.StatusOK]; n > most || n < rate*seconds/2 {
		t.Errorf("%d requests admitted in %d s, want at most %d and at least half the rate: %v", n, seconds, most, statuses)
	}
	is.Equal(len(statuses), 2)
	is.Equal(d.requestWithKey("k2", all[0], "/screen/", "", "").status, http.StatusOK) // other accounts are not limited
}
