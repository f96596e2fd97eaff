package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/internal/wait"
)

const (
	// joinTime is how long streams of a new version are taken up after it joined, and healAfter when the host that was
	// cut off from the store reaches it again.
	joinTime  = 6 * time.Second
	healAfter = 4500 * time.Millisecond
)

// Guards against streams of a new version that go on at another one at a host which missed that the version joined.
func TestHostOutOfStepTakesUpNoStreamOfNewVersion(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name                 string
		peers, store, before bool
		// controller is whether the host holds the claim.
		controller bool
	}{
		{name: "cut off from hosts", peers: true, before: true},
		{name: "cut off from store", store: true, before: true},
		{name: "cut off from both", peers: true, store: true, before: true},
		{name: "cut off from both as the version joins", peers: true, store: true},
		{name: "controller cut off from hosts", peers: true, before: true, controller: true},
		{name: "controller cut off from store", store: true, before: true, controller: true},
		{name: "controller cut off from both", peers: true, store: true, before: true, controller: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish(config(1))
			d.startVersion("e1", "1.0", nil)
			hosts := d.startHosts("a", "b", "c")
			d.waitForController(hosts...)
			i := slices.IndexFunc(hosts, func(h *host) bool { return h.IsController() == c.controller })
			cut, other := hosts[i], hosts[(i+1)%len(hosts)]
			d.waitFor("one version is known", func() bool { return d.resume(cut, "calm", "never-seen").status == http.StatusOK })
			if !c.before {
				d.startVersion("e2", "2.0", nil)
			}
			if c.store {
				cut.storeListener.SetFault(site.FaultReject)
			}
			if c.peers {
				cut.DisconnectPeers()
			}
			if c.before {
				d.startVersion("e2", "2.0", nil)
			}
			begun, resumed, wentOn := 0, 0, 0
			for start := time.Now(); time.Since(start) < joinTime; {
				if time.Since(start) > healAfter {
					cut.storeListener.SetFault(site.NoFault)
				}
				id := fmt.Sprint("joined-", resumed)
				first := d.begin(other, id)
				got := d.resume(cut, id+"-again", id)
				resumed++
				if versionsIn(first)["2.0"] {
					begun++
				}
				if got.status == http.StatusOK {
					wentOn++
					if v := versionsIn(first + got.body); len(v) != 1 {
						t.Fatalf("%v after the version joined: stream %s holds events of versions %v", time.Since(start), id, v)
					}
				}
				wait.For(t.Context(), 5*time.Millisecond)
			}
			t.Logf("%d of %d streams began at the new version, %d went on", begun, resumed, wentOn)
			if begun == 0 {
				t.Error("no stream began at the new version")
			}
		})
	}
}
