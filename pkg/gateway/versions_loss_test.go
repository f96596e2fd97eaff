package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
)

// startVersionAt starts an engine of a software version in a service.
func (d *deployment) startVersionAt(id, service, version string) *site.Endpoint {
	d.t.Helper()
	return d.startEndpoint(site.EndpointConfig{
		ID: id, Service: service, Zone: "zone-a", Slots: 32, WeightsMB: 125, AdapterSlots: 4, Models: models, Version: version,
		LoadedModels: []string{"warm"}, Events: streamEvents, EventInterval: 20 * time.Millisecond,
	})
}

// startHosts starts hosts that know each other and serve.
func (d *deployment) startHosts(names ...string) []*host {
	d.t.Helper()
	var hosts []*host
	for _, name := range names {
		hosts = append(hosts, d.startHost(name))
	}
	d.waitForPeers(hosts...)
	d.waitFor("streams are served", func() bool { return d.request(hosts[0], "/chat/", "warm").status == http.StatusOK })
	return hosts
}

// killAll kills hosts as a loss of power does.
func (d *deployment) killAll(hosts []*host) {
	for _, h := range hosts {
		h.Kill()
	}
	for _, h := range hosts {
		h.stop()
	}
}

// waitForController waits until one of the hosts is the controller.
func (d *deployment) waitForController(hosts ...*host) {
	d.t.Helper()
	d.waitFor("a host is the controller", func() bool {
		return slices.ContainsFunc(hosts, func(h *host) bool { return h.IsController() })
	})
}

// beginAt begins a stream at a software version.
func (d *deployment) beginAt(h *host, prefix, version string) (id, first string) {
	d.t.Helper()
	d.waitFor("a stream begins at version "+version, func() bool {
		id = fmt.Sprint(prefix, "-", time.Now().UnixNano())
		first = d.begin(h, id)
		return versionsIn(first)[version]
	})
	return id, first
}

// resumeEverywhere takes a stream up three times at each host. It fails if the stream then has text of several versions, and
// returns how often it went on.
func (d *deployment) resumeEverywhere(hosts []*host, id, first string) (wentOn int) {
	d.t.Helper()
	for round := range 3 {
		for i, h := range hosts {
			got := d.resume(h, fmt.Sprint(id, "-again-", round, "-", i), id)
			if got.status != http.StatusOK {
				continue
			}
			wentOn++
			if v := versionsIn(first + got.body); len(v) != 1 {
				d.t.Errorf("stream %s holds events of versions %v", id, v)
			}
		}
	}
	return wentOn
}

// Guards against streams joined from two software versions when all hosts start anew and the store does not say
// that there was a second version: it rejected that, had no time for it, or was restored from a copy without it.
func TestStreamsAreNotJoinedWithoutRecordOfVersions(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// rejected is whether the store rejects writes from before the second version appears, and restored whether
		// it comes back from a copy of that time.
		rejected, restored bool
		// begun is the version that begins the stream, and left the one that is left after the restart.
		begun, left string
	}{
		{name: "writes rejected, older version begins", rejected: true, begun: "1.0", left: "2.0"},
		{name: "killed at once, older version begins", begun: "1.0", left: "2.0"},
		{name: "killed at once, newer version begins", begun: "2.0", left: "1.0"},
		{name: "restored, older version begins", restored: true, begun: "1.0", left: "2.0"},
		{name: "restored, newer version begins", restored: true, begun: "2.0", left: "1.0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t)
			d.publish(config(1))
			engines := map[string]*site.Endpoint{"1.0": d.startVersionAt("e1", "llm", "1.0")}
			hosts := d.startHosts("a", "b", "c")
			id, first := d.beginAt(hosts[0], "early", "1.0")
			d.waitForController(hosts...)
			copied := d.store.Copy()
			for _, h := range hosts {
				if c.rejected {
					h.storeListener.SetFault(site.FaultReadOnly)
				}
			}
			engines["2.0"] = d.startVersionAt("e2", "llm", "2.0")
			for _, h := range hosts {
				d.waitFor("the second version is known", func() bool { return h.LiveEndpoints() == 2 })
			}
			if c.begun == "2.0" {
				id, first = d.beginAt(hosts[0], "late", "2.0")
			}
			d.killAll(hosts)
			if c.restored {
				d.store.Restore(copied)
			}
			for version, e := range engines {
				if version != c.left {
					e.Remove()
				} else {
					e.Heartbeat()
				}
			}
			hosts = d.startHosts("d", "e", "f")
			d.waitFor("the version that is left serves", func() bool {
				return versionsIn(d.begin(hosts[0], fmt.Sprint("new-", time.Now().UnixNano())))[c.left]
			})
			d.resumeEverywhere(hosts, id, first)
			is.True(versionsIn(first)[c.begun])
		})
	}
}

// Guards against streams joined from two services, each with one software version: the route moves to the other
// service, or splits its requests over both.
func TestStreamsAreNotJoinedFromTwoServices(t *testing.T) {
	t.Parallel()
	twoServices := func(v int64, services ...string) site.Config {
		c := config(v)
		other := c.Services[0]
		other.Name = "llm2"
		c.Services = append(c.Services, other)
		c.Routes[0].Service = services[0]
		if len(services) > 1 {
			c.Routes[0].Service = ""
			c.Routes[0].Split = []site.Target{{Service: services[0], Weight: 1}, {Service: services[1], Weight: 1}}
		}
		return c
	}
	for _, split := range []bool{false, true} {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprint("split ", split, " restart ", restart), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				services := []string{"llm"}
				if split {
					services = append(services, "llm2")
				}
				d.publish(twoServices(1, services...))
				d.startVersionAt("e1", "llm", "1.0")
				d.startVersionAt("e2", "llm2", "2.0")
				hosts := d.startHosts("a", "b", "c")
				d.waitForController(hosts...)
				id, first := d.beginAt(hosts[0], "moved", "1.0")
				if !split {
					d.publish(twoServices(2, "llm2"))
					for i, h := range hosts {
						d.waitFor("the route has moved", func() bool {
							return versionsIn(d.begin(h, fmt.Sprint("probe-", i, time.Now().UnixNano())))["2.0"]
						})
					}
				}
				if restart {
					d.killAll(hosts)
					hosts = d.startHosts("d", "e", "f")
				}
				d.resumeEverywhere(hosts, id, first)
			})
		}
	}
}

// Guards against refusing all streams that clients take up after a loss of all hosts while two software versions serve.
func TestStreamsGoOnAtTheirVersionAfterLossOfAllHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	hosts, _ := d.startVersions()
	const streams = 24
	first := map[string]string{}
	for i := range streams {
		id := fmt.Sprint("kept-", i)
		first[id] = d.begin(hosts[i%3], id)
	}
	for id := range first {
		d.waitFor("the store has the streams", func() bool { return d.store.Contains("keyed.streams", id) })
	}
	d.killAll(hosts)
	hosts = d.startHosts("d", "e", "f")
	complete := 0
	for i := range streams {
		id := fmt.Sprint("kept-", i)
		got := d.resume(hosts[i%3], id+"-again", id)
		if got.status != http.StatusOK {
			continue
		}
		all := first[id] + got.body
		is.Equal(len(versionsIn(all)), 1)
		if strings.Count(all, "data:") == streamEvents {
			complete++
		}
	}
	t.Logf("%d of %d streams went on", complete, streams)
	is.True(complete >= streams/2)
}

// Guards against refusing streams of the only version that has served all along after a loss of all hosts.
func TestStreamsOfOneVersionGoOnAfterLossOfAllHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.startVersionAt("e1", "llm", "1.0")
	hosts := d.startHosts("a", "b", "c")
	d.waitForController(hosts...)
	id, first := d.beginAt(hosts[0], "only", "1.0")
	d.waitFor("the store has the versions", func() bool { return d.store.KeyCount("keyed.versions") == 1 })
	d.killAll(hosts)
	d.publish(config(2)) // A change that moves no route.
	hosts = d.startHosts("d", "e", "f")
	is.Equal(d.resumeEverywhere(hosts, id, first), 9)
}
