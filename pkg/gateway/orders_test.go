package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
)

// Guards against two controllers at once: one that is isolated from its peers must step down
// when it reads a newer claim. Both hosts keep serving loaded models.
func TestIsolatedControllerStepsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	e := d.startEngine("e1")
	a := d.startHost("a")
	d.waitFor("the first host is the controller", a.IsController)
	b := d.startHost("b")
	d.waitFor("the hosts know each other", func() bool { return a.Peers() == 1 && b.Peers() == 1 })
	a.DisconnectPeers()
	d.waitFor("the other host takes over", b.IsController)
	d.waitFor("the first host steps down", func() bool { return !a.IsController() })
	is.Equal(d.request(b, "/chat/", "cold").status, http.StatusOK)
	is.Equal(d.request(a, "/chat/", "warm").status, http.StatusOK)
	is.Equal(len(e.Violations()), 0)
}

// Guards against two hosts ordering the same endpoint alternately: without token checks, a
// controller that cannot reach the store must pause its orders.
func TestOrdersDuringStoreOutage(t *testing.T) {
	t.Parallel()
	for _, checked := range []bool{true, false} {
		t.Run(map[bool]string{true: "tokens checked", false: "tokens not checked"}[checked], func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t)
			d.uncheckedTokens = !checked
			d.publish(config(1))
			e := d.startEngine("e1")
			h := d.startHost("a")
			d.waitFor("the host is the controller", h.IsController)
			h.storeListener.SetFault(site.FaultNoResponse)
			d.waitFor("the host notices the store outage", h.StoreUnavailable)
			d.waitFor("the list is older than half a lease", func() bool { return h.OrdersAllowed() == checked })
			got := d.request(h, "/chat/", "cold")
			is.Equal(got.status == http.StatusOK, checked)
			h.storeListener.SetFault(site.NoFault)
			d.waitFor("the host notices that the store is back", func() bool { return !h.StoreUnavailable() })
			d.waitFor("the model is served", func() bool { return d.request(h, "/chat/", "cold").status == http.StatusOK })
			is.Equal(len(e.Violations()), 0)
		})
	}
}

// Guards against orders being paused during a store outage although all hosts receive
// the controller's heartbeats, so that none of them can claim.
func TestOrdersContinueWhileAllHostsReceiveHeartbeats(t *testing.T) {
	t.Parallel()
	for _, all := range []bool{false, true} {
		t.Run(map[bool]string{true: "no host can read the store", false: "only the controller cannot read the store"}[all], func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t)
			d.uncheckedTokens = true
			d.publish(config(1))
			e := d.startEngine("e1")
			a := d.startHost("a")
			d.waitFor("the first host is the controller", a.IsController)
			b := d.startHost("b")
			d.waitFor("the hosts know each other", func() bool { return a.Peers() == 1 && b.Peers() == 1 })
			a.storeListener.SetFault(site.FaultNoResponse)
			if all {
				b.storeListener.SetFault(site.FaultNoResponse)
			}
			d.waitFor("the host notices the store outage", a.StoreUnavailable)
			d.waitFor("the list is older than half a lease", func() bool { return a.ListAge() > 500*time.Millisecond })
			is.Equal(d.request(b, "/chat/", "cold").status, http.StatusOK)
			is.True(a.IsController())
			is.Equal(len(e.Violations()), 0)
		})
	}
}

// Guards against a request for a model that is not configured being queued and invited to
// retry.
func TestUnknownModelIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.startEngine("e1")
	h := d.startHost("a")
	d.waitFor("the host is the controller", h.IsController)
	start := time.Now()
	got := d.request(h, "/chat/", "nosuch")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, "no_such_model"))
	is.True(time.Since(start) < time.Second)
}
