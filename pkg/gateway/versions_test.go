package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
)

const streamEvents = 6

// startVersion starts an engine of a software version.
func (d *deployment) startVersion(id, version string, behave func(id, model string, n int) site.Behavior) *site.Endpoint {
	d.t.Helper()
	return d.startEndpoint(site.EndpointConfig{
		ID: id, Service: "llm", Zone: "zone-a", Slots: 32, WeightsMB: 125, AdapterSlots: 4, Models: models, Version: version,
		LoadedModels: []string{"warm"}, Events: streamEvents, EventInterval: 20 * time.Millisecond, Behave: behave,
	})
}

var eventVersion = regexp.MustCompile(`of (\S+)`)

// versionsIn returns the software versions that wrote the events of a stream.
func versionsIn(stream string) map[string]bool {
	out := map[string]bool{}
	for _, m := range eventVersion.FindAllStringSubmatch(stream, -1) {
		out[m[1]] = true
	}
	return out
}

// streamRequest returns a request for a stream. A stream that is resumed has the ID of its last event and those
// of the attempts that its client says began it.
func (d *deployment) streamRequest(ctx context.Context, h *host, id, lastEvent string, resumes ...string) *http.Request {
	d.t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Addr()+"/chat/", strings.NewReader(id))
	if err != nil {
		d.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Attempt-Id", id)
	req.Header.Set("X-Model-Name", "warm")
	if lastEvent != "" {
		req.Header.Set("Last-Event-Id", lastEvent)
		req.Header["Resumes"] = resumes
	}
	return req
}

// begin begins a stream, leaves after its first event and returns that.
func (d *deployment) begin(h *host, id string) string {
	d.t.Helper()
	ctx, leave := context.WithCancel(d.t.Context())
	defer leave()
	resp, err := http.DefaultClient.Do(d.streamRequest(ctx, h, id, ""))
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	in := bufio.NewReader(resp.Body)
	var event string
	for range 3 { // An event has two lines and a blank one.
		line, err := in.ReadString('\n')
		if err != nil {
			d.t.Fatal(err)
		}
		event += line
	}
	return event
}

// resume takes a stream up after its first event.
func (d *deployment) resume(h *host, id string, resumes ...string) reply {
	d.t.Helper()
	resp, err := http.DefaultClient.Do(d.streamRequest(d.t.Context(), h, id, "1", resumes...))
	if err != nil {
		return reply{body: err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{status: resp.StatusCode, body: string(body) + err.Error()}
	}
	return reply{resp.StatusCode, string(body), resp.Header}
}

// startVersions starts three hosts and two engines of each of two software versions.
func (d *deployment) startVersions() ([]*host, []*site.Endpoint) {
	d.t.Helper()
	d.publish(config(1))
	var engines []*site.Endpoint
	for _, version := range []string{"1.0", "2.0"} {
		for n := range 2 {
			engines = append(engines, d.startVersion(fmt.Sprint("e", version, "-", n), version, nil))
		}
	}
	hosts := []*host{d.startHost("a"), d.startHost("b"), d.startHost("c")}
	d.waitForPeers(hosts...)
	d.waitFor("streams begin at both versions", func() bool {
		seen := map[string]bool{}
		for i := range 8 {
			for v := range versionsIn(d.begin(hosts[i%3], fmt.Sprint("warm-up-", i))) {
				seen[v] = true
			}
		}
		return len(seen) == 2
	})
	return hosts, engines
}

// Guards against streams that hold events of two software versions, which do not fit together.
func TestStreamsAcrossSoftwareVersions(t *testing.T) {
	t.Parallel()
	t.Run("broken stream goes on at its version", brokenStreamGoesOnAtItsVersion)
	t.Run("resumed stream goes on at its version", resumedStreamGoesOnAtItsVersion)
	t.Run("stream of unknown version is refused", streamOfUnknownVersionIsRefused)
	t.Run("stream is refused while hosts are cut off", streamIsRefusedWhileHostsAreCutOff)
}

// Guards against a stream whose endpoint breaks it off and that goes on, within the same answer, at an endpoint of
// another software version.
func brokenStreamGoesOnAtItsVersion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	breaks := func(string, string, int) site.Behavior { return site.Behavior{BreakAfter: 1} }
	d.startVersion("e1", "1.0", breaks)
	whole := d.startVersion("e2", "2.0", nil)
	h := d.startHost("a")
	broken := 0
	for i := range 12 {
		id := fmt.Sprint("broken-", i)
		got := d.requestWithBody(h, "/chat/", "warm", id)
		is.True(len(versionsIn(got.body)) <= 1)
		if !versionsIn(got.body)["2.0"] {
			broken++
		}
	}
	is.True(broken > 0)
	is.True(len(whole.Runs()) < 12)
}

// Guards against a stream that its client takes up at another host, and that goes on at an endpoint of another
// software version. At least half of the streams have to go on, also after the death of the host that began them.
func resumedStreamGoesOnAtItsVersion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	hosts, _ := d.startVersions()
	const streams = 24
	resumeAll := func(round string, kill bool) {
		first := map[string]string{}
		for i := range streams {
			id := fmt.Sprint(round, "-", i)
			first[id] = d.begin(hosts[0], id)
		}
		if kill {
			// The last streams may not have been told to others yet, or be on their way.
			d.waitFor("others know half of the streams", func() bool {
				known := 0
				for id := range first {
					if hosts[1].KnowsStream(id) || hosts[2].KnowsStream(id) {
						known++
					}
				}
				return known >= streams/2
			})
			hosts[0].Kill()
		}
		complete := 0
		for i := range streams {
			id := fmt.Sprint(round, "-", i)
			got := d.resume(hosts[1+i%2], id+"-again", id)
			if got.status != http.StatusOK {
				is.Equal(got.status, http.StatusServiceUnavailable) // The request has not run.
				t.Logf("%s: %s refused: %s", round, id, got.body)
				continue
			}
			all := first[id] + got.body
			is.Equal(len(versionsIn(all)), 1)
			if strings.Count(all, "data:") == streamEvents {
				complete++
			}
		}
		t.Logf("%s: %d of %d streams went on", round, complete, streams)
		is.True(complete >= streams/2)
	}
	resumeAll("alive", false)
	resumeAll("killed", true)
}

// Guards against guessing the software version that began a stream.
func streamOfUnknownVersionIsRefused(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	hosts, engines := d.startVersions()
	d.begin(hosts[0], "begun")
	for name, resumes := range map[string][]string{
		"unknown":       {"never-seen"},
		"missing":       nil,
		"empty":         {""},
		"several":       {"begun", "other"},
		"list":          {"begun,other"},
		"very long":     {strings.Repeat("x", 4000)},
		"of other case": {"BEGUN"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			id := "refused-" + name
			got := d.resume(hosts[1], id, resumes...)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(len(runsOf(engines, id)), 0)
		})
	}
}

// Guards against guessing while the hosts that know cannot be asked.
func streamIsRefusedWhileHostsAreCutOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	hosts, engines := d.startVersions()
	hosts[2].DisconnectPeers()
	const streams = 12
	for i := range streams {
		id := fmt.Sprint("cut-", i)
		first := d.begin(hosts[0], id)
		got := d.resume(hosts[2], id+"-again", id)
		if got.status == http.StatusOK {
			is.Equal(len(versionsIn(first+got.body)), 1)
			continue
		}
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(len(runsOf(engines, id+"-again")), 0)
	}
}

// Guards against refusing streams, or asking other hosts, where all endpoints have one software version.
func TestOneVersionNeedsNoLookup(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.startVersion("e1", "1.0", nil)
	d.startVersion("e2", "1.0", nil)
	h := d.startHost("a")
	d.waitFor("streams are served", func() bool { return d.request(h, "/chat/", "warm").status == http.StatusOK })
	got := d.resume(h, "again", "never-seen")
	is.Equal(got.status, http.StatusOK)
	is.Equal(strings.Count(got.body, "data:"), streamEvents-1)
}

// Guards against hosts that start after all were lost and take the only version that is left for the one that
// began a stream.
func TestVersionThatIsGoneIsKnownAfterRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	hosts, engines := d.startVersions()
	d.waitFor("the store has the versions", func() bool { return d.store.KeyCount("keyed.versions") == 1 })
	for _, h := range hosts {
		h.Kill()
		h.stop()
	}
	for _, e := range engines {
		if strings.HasPrefix(e.Name(), "e1.0") {
			e.Remove()
		}
	}
	h := d.startHost("d")
	got := d.resume(h, "after-restart", "begun-before")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(len(runsOf(engines, "after-restart")), 0)
	is.Equal(versionsIn(d.begin(h, "new")), map[string]bool{"2.0": true})
}

// Guards against a stream that cannot go on at its version because its adapter was loaded only at an endpoint that is
// gone, although loading it takes a moment.
func TestAdapterIsLoadedAtVersionOfStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	hosts, engines := d.startVersions()
	send := func(h *host, id, adapter, lastEvent string, resumes ...string) (int, string) {
		req := d.streamRequest(t.Context(), h, id, lastEvent, resumes...)
		req.Header.Set("X-Model-Name", "warm/"+adapter)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return resp.StatusCode, string(body)
	}
	// Each endpoint gets one adapter, so that without its version the first one would get the next.
	events, ranAt := map[string]string{}, map[string]*site.Endpoint{}
	for _, adapter := range []string{"a1", "a2", "a3", "a4"} {
		status, body := send(hosts[0], adapter, adapter, "")
		is.Equal(status, http.StatusOK)
		events[adapter] = body
		for _, e := range engines {
			if len(runsOf([]*site.Endpoint{e}, adapter)) > 0 {
				ranAt[adapter] = e
			}
		}
	}
	for adapter, e := range ranAt {
		if versionsIn(events[adapter])["2.0"] {
			e.Remove()
			d.waitFor("the endpoint is gone everywhere", func() bool { return hosts[1].LiveEndpoints() == 3 && hosts[0].LiveEndpoints() == 3 })
			status, rest := send(hosts[1], adapter+"-again", adapter, "3", adapter)
			is.Equal(status, http.StatusOK)
			is.Equal(versionsIn(rest), versionsIn(events[adapter]))
			return
		}
	}
	t.Fatal("no adapter was loaded at version 2.0")
}

// Guards against streams that nobody knows any more because they began before a second version appeared and the
// host that began them is dead.
func TestStreamsBegunBeforeSecondVersionAreKnown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	engines := []*site.Endpoint{d.startVersion("e1", "1.0", nil), d.startVersion("e2", "1.0", nil)}
	hosts := []*host{d.startHost("a"), d.startHost("b"), d.startHost("c")}
	d.waitForPeers(hosts...)
	d.waitFor("streams are served", func() bool { return d.request(hosts[0], "/chat/", "warm").status == http.StatusOK })
	d.begin(hosts[0], "early")
	d.startVersion("e3", "2.0", nil)
	d.waitFor("others know the stream", func() bool { return hosts[1].KnowsStream("early") || hosts[2].KnowsStream("early") })
	hosts[0].Kill()
	got := d.resume(hosts[1], "early-again", "early")
	is.Equal(got.status, http.StatusOK)
	is.Equal(versionsIn(got.body), map[string]bool{"1.0": true})
	is.Equal(len(runsOf(engines, "early-again")), 1)
}

// Guards against refusing streams of a service with one version at a host that has just started and cannot read the
// store, although others know that there is one version.
func TestStartedHostTrustsOthersOnOneVersion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.startVersion("e1", "1.0", nil)
	a := d.startHost("a")
	d.waitFor("streams are served", func() bool { return d.request(a, "/chat/", "warm").status == http.StatusOK })
	is.Equal(d.resume(a, "first", "never-seen").status, http.StatusOK) // It has read the store now.
	b := d.startHost("b")
	d.waitForPeers(a, b)
	b.storeListener.SetFault(site.FaultReject)
	for _, resumes := range [][]string{{"never-seen"}, nil} {
		got := d.resume(b, "started", resumes...)
		is.Equal(got.status, http.StatusOK)
	}
}

// Guards against a host that hears of no endpoints any more, and therefore not of a second version, and goes on
// guessing.
func TestIsolatedHostRefusesUnknownStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	engine := d.startVersion("e1", "1.0", nil)
	hosts := []*host{d.startHost("a"), d.startHost("b"), d.startHost("c")}
	d.waitForPeers(hosts...)
	d.waitFor("there is a controller", func() bool { return hosts[0].IsController() || hosts[1].IsController() || hosts[2].IsController() })
	isolated := hosts[0]
	if isolated.IsController() {
		isolated = hosts[1]
	}
	d.waitFor("streams are served", func() bool { return d.request(isolated, "/chat/", "warm").status == http.StatusOK })
	d.begin(isolated, "own")
	is.Equal(d.resume(isolated, "early", "never-seen").status, http.StatusOK) // It has read the store now.
	isolated.storeListener.SetFault(site.FaultReject)
	isolated.DisconnectPeers()
	d.waitFor("the host knows that it is isolated", func() bool { return isolated.Isolated() })
	is.Equal(d.resume(isolated, "unknown-again", "begun-elsewhere").status, http.StatusServiceUnavailable)
	is.Equal(len(runsOf([]*site.Endpoint{engine}, "unknown-again")), 0)
	is.Equal(d.resume(isolated, "own-again", "own").status, http.StatusOK)
}
