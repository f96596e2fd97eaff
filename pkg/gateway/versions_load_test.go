package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
)

// Guards against refusing a stream because the only endpoint of its software version with its model has crashed, while
// another one of that version can load the model from its own disk in time.
func TestStreamGoesOnWhereItsModelIsLoadedFromDisk(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	first := d.startVersion("e1", "1.0", nil)
	d.startEndpoint(site.EndpointConfig{
		ID: "e2", Service: "llm", Zone: "zone-a", Slots: 32, WeightsMB: 125, AdapterSlots: 4, Models: models, Version: "1.0",
		LoadedModels: []string{"idle"}, OnDisk: []string{"warm"}, Events: streamEvents,
	})
	d.startVersion("e3", "2.0", nil)
	hosts := []*host{d.startHost("a"), d.startHost("b")}
	d.waitForPeers(hosts...)
	d.waitFor("all endpoints are known", func() bool { return hosts[0].LiveEndpoints() == 3 && hosts[1].LiveEndpoints() == 3 })
	begun := ""
	for i := 0; begun == ""; i++ {
		id := fmt.Sprint("stream-", i)
		if versionsIn(d.begin(hosts[0], id))["1.0"] {
			begun = id
		}
	}
	first.Close()
	got := d.resume(hosts[1], "resumed", begun)
	is.Equal(got.status, http.StatusOK)
	is.Equal(versionsIn(got.body), map[string]bool{"1.0": true})
}

// Guards against refusing streams that began on a host which is cut off, or stands still, from before a second software
// version joined: it has told nobody where they began.
func TestStreamsOfSilentHostGoOnAfterVersionJoins(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.startVersion("e1", "1.0", nil)
	hosts := d.startHosts("a", "b", "c")
	d.waitForController(hosts...)
	silent := hosts[slices.IndexFunc(hosts, func(h *host) bool { return !h.IsController() })]
	other := hosts[slices.IndexFunc(hosts, func(h *host) bool { return h != silent })]
	d.waitFor("one version is known", func() bool { return d.resume(other, "calm", "never-seen").status == http.StatusOK })
	first := d.begin(silent, "begun")
	silent.DisconnectPeers()
	silent.storeListener.SetFault(site.FaultReject)
	d.startVersion("e2", "2.0", nil)
	d.waitFor("streams begin at the new version", func() bool { return versionsIn(d.begin(other, "new"))["2.0"] })
	got := d.resume(other, "resumed", "begun")
	is.Equal(got.status, http.StatusOK)
	is.Equal(len(versionsIn(first+got.body)), 1)
}
