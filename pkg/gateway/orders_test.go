package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
)

// The controller is cut off from the other hosts, not from the store. Another host
// takes over; the former one learns of it from the store and must stop, or two hosts
// would swap models against each other. Both go on to serve what is loaded.
func TestControllerCutFromItsPeersStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	e := d.engine("e1")
	a := d.startHost("a")
	d.until("the first host gives orders", a.Controls)
	b := d.startHost("b")
	d.until("the hosts know each other", func() bool { return a.Peers() == 1 && b.Peers() == 1 })
	a.CutPeers()
	d.until("the other host takes over", b.Controls)
	d.until("the first one stops", func() bool { return !a.Controls() })
	is.Equal(d.ask(b, "/chat/", "cold").status, http.StatusOK)
	is.Equal(d.ask(a, "/chat/", "warm").status, http.StatusOK)
	is.Equal(len(e.Faults()), 0)
}

// Endpoints do not check who gives them an order. A controller that the store no
// longer answers cannot know whether another host has claimed since; if it went
// on, two hosts would order the same endpoint in turn. It orders nothing until the
// store answers again. Where endpoints refuse old tokens it goes on.
func TestOrdersWithoutTheStore(t *testing.T) {
	t.Parallel()
	for _, checked := range []bool{true, false} {
		t.Run(map[bool]string{true: "tokens checked", false: "not checked"}[checked], func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t)
			d.unchecked = !checked
			d.publish(config(1))
			e := d.engine("e1")
			h := d.startHost("a")
			d.until("the host gives orders", h.Controls)
			h.door.Set(site.Silent)
			d.until("the store is away", h.StoreAway)
			d.until("the list is older than half a lease", func() bool { return h.MayOrder() == checked })
			got := d.ask(h, "/chat/", "cold")
			is.Equal(got.status == http.StatusOK, checked)
			h.door.Set(site.Works)
			d.until("the store is back", func() bool { return !h.StoreAway() })
			d.until("the model is served", func() bool { return d.ask(h, "/chat/", "cold").status == http.StatusOK })
			is.Equal(len(e.Faults()), 0)
		})
	}
}

// Endpoints do not check who gives them an order, and the controller alone, or every
// host, gets no answer from the store. All hosts hear the controller, so that none of
// them claims; but it gave no orders until the store answered again, and users of
// models that were not loaded waited in vain for as long.
func TestOrdersOfAHostThatAllOthersHear(t *testing.T) {
	t.Parallel()
	for _, all := range []bool{false, true} {
		t.Run(map[bool]string{true: "no host reads the store", false: "the others do"}[all], func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t)
			d.unchecked = true
			d.publish(config(1))
			e := d.engine("e1")
			a := d.startHost("a")
			d.until("the first host gives orders", a.Controls)
			b := d.startHost("b")
			d.until("the hosts know each other", func() bool { return a.Peers() == 1 && b.Peers() == 1 })
			a.door.Set(site.Silent)
			if all {
				b.door.Set(site.Silent)
			}
			d.until("the store is away", a.StoreAway)
			d.until("the list is older than half a lease", func() bool { return a.ListAge() > 500*time.Millisecond })
			is.Equal(d.ask(b, "/chat/", "cold").status, http.StatusOK)
			is.True(a.Controls())
			is.Equal(len(e.Faults()), 0)
		})
	}
}

// A user mistypes a model's name. The request was held for half of its time, refused
// with an invitation to come back in 150 ms, and held again: nobody would ever load
// such a model, and the log said only that it was not loaded.
func TestModelThatNoConfigurationNames(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.engine("e1")
	h := d.startHost("a")
	d.until("the host gives orders", h.Controls)
	start := time.Now()
	got := d.ask(h, "/chat/", "nosuch")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, "no_such_model"))
	is.True(time.Since(start) < time.Second)
}
