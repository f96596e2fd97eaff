package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
)

// withAccounts returns a configuration with accounts that hold keys; the screen route is open.
func withAccounts(version int64, accounts ...site.Account) site.Config {
	c := config(version)
	c.Accounts = accounts
	c.Routes[1].Public = true
	return c
}

// accounts starts a host and endpoints, and two accounts with keys.
func (d *deployment) accounts() *host {
	d.t.Helper()
	d.publish(withAccounts(1, site.Account{Name: "a1", Keys: []string{"k1", "k2"}}, site.Account{Name: "a2", Keys: []string{"k3"}}))
	d.engine("e1")
	d.endpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 4})
	return d.startHost("a")
}

// Callers belong to accounts by their keys, which the operator takes away and passes on. Every
// key was served, and one that was taken away went on to be.
func TestKeysDecideWhoIsServed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	h := d.accounts()
	status := func(key string) int { return d.askAs(key, h, "/chat/", "warm", "").status }
	is.Equal(status("k1"), http.StatusOK)
	is.Equal(status("k3"), http.StatusOK)
	is.Equal(status("unknown"), http.StatusUnauthorized)
	is.Equal(status(""), http.StatusUnauthorized)
	is.Equal(d.ask(h, "/screen/", "").status, http.StatusOK) // no key is needed there
	is.Equal(d.askAs("unknown", h, "/nowhere/", "", "").status, http.StatusNotFound)
	d.publish(withAccounts(2, site.Account{Name: "a1", Keys: []string{"k2", "k4"}}, site.Account{Name: "a2", Keys: []string{"k1"}}))
	d.until("the new configuration is in force", func() bool { return status("k4") == http.StatusOK })
	is.Equal(status("k3"), http.StatusUnauthorized)
	is.Equal(status("k1"), http.StatusOK)
	is.Equal(status("k2"), http.StatusOK)
}

// An account's rank goes before that of the route; its requests were served as the route said.
func TestAccountHasItsOwnPriority(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	rank := 7
	d.publish(withAccounts(1, site.Account{Name: "a1", Keys: []string{"k1"}, Priority: &rank}, site.Account{Name: "a2", Keys: []string{"k2"}}))
	h := d.startHost("a")
	for key, want := range map[string]int{"k1": rank, "k2": 0} {
		got, err := h.Admit("h.example", "/chat/", []string{key})
		is.NoErr(err)
		is.Equal(got.Route.Priority, want)
	}
}

// A host is cut off from the store and alone, and the operator adds a key. It does not know
// the key and cannot tell that nobody does: it says to come back, no denial.
func TestHostThatIsCutOffDeniesNobody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	h := d.accounts()
	h.door.Set(site.Silent)
	d.until("the host notices", func() bool { return h.ListAge() > 1500*time.Millisecond })
	is.Equal(d.askAs("new", h, "/chat/", "warm", "").status, http.StatusServiceUnavailable)
	is.Equal(d.askAs("k1", h, "/chat/", "warm", "").status, http.StatusOK)
}

// An account asks for three times what it may, of several hosts at once. Each host let all of
// it through, since none sees more than its own part.
func TestAllowanceHoldsOverAllHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	const rate, seconds, hosts = 30, 4, 3
	limited := site.Account{Name: "a1", Keys: []string{"k1"}, Unit: "requests", Rate: rate, Burst: rate}
	d.publish(withAccounts(1, limited, site.Account{Name: "a2", Keys: []string{"k2"}}))
	d.endpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 50})
	var all []*host
	for _, name := range []string{"a", "b", "c"} {
		all = append(all, d.startHost(name))
	}
	d.meet(all...)
	d.until("somebody gives orders", func() bool { return all[0].Controls() || all[1].Controls() || all[2].Controls() })
	tick := time.NewTicker(time.Second / (3 * rate / hosts))
	defer tick.Stop()
	statuses := map[int]int{}
	for range 3 * rate / hosts * seconds {
		<-tick.C
		for _, h := range all {
			got := d.askAs("k1", h, "/screen/", "", "")
			statuses[got.status]++
			if got.status == http.StatusTooManyRequests {
				is.True(got.header.Get("Retry-After") != "")
			}
		}
	}
	most := int((rate*seconds + rate) * 1.1)
	if n := statuses[http.StatusOK]; n > most || n < rate*seconds/2 {
		t.Errorf("%d let through in %d s, at most %d are allowed: %v", n, seconds, most, statuses)
	}
	is.Equal(len(statuses), 2)
	is.Equal(d.askAs("k2", all[0], "/screen/", "", "").status, http.StatusOK) // another account
}
