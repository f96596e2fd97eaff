package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/links"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/proxy"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// startCutOffPair starts two hosts and waits until the second one, whose links do not work, knows that.
func (d *deployment) startCutOffPair() (helper, cut *host) {
	d.t.Helper()
	d.publish(config(1))
	helper = d.startHost("a")
	cut = d.startHost("b")
	d.waitForPeers(helper, cut)
	cut.links.set(linksReset)
	d.waitFor("the host has found its links lost", func() bool {
		d.request(cut, "/screen/", "")
		return cut.LinksLost()
	})
	return helper, cut
}

// startPlain starts plain endpoints with a behavior.
func (d *deployment) startPlain(behave func(id, model string, n int) site.Behavior) []*site.Endpoint {
	d.t.Helper()
	var out []*site.Endpoint
	for _, id := range []string{"p1", "p2", "p3"} {
		out = append(out, d.startEndpoint(site.EndpointConfig{ID: id, Service: "plain", Zone: "zone-a", Slots: 8, Behave: behave}))
	}
	return out
}

// runsOf returns the runs of a request by the end of its body.
func runsOf(endpoints []*site.Endpoint, id string) []site.Run {
	var out []site.Run
	for _, e := range endpoints {
		for _, r := range e.Runs() {
			if r.ID == id {
				out = append(out, r)
			}
		}
	}
	return out
}

// Guards against requests that endpoints get changed, or with more time than the client has left, by way
// of another host.
func TestProxiedRequestIsUnchanged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	plain := d.startPlain(nil)
	_, cut := d.startCutOffPair()
	got := d.requestWithBody(cut, "/screen/x%2Fy?q=1", "", "the body")
	is.Equal(got.status, http.StatusOK)
	runs := runsOf(plain, strings.TrimPrefix(got.body, "answer to "))
	is.Equal(len(runs), 1)
	is.Equal(runs[0].Path, "/screen/x%2Fy?q=1")
	is.Equal(runs[0].Body, "the body")
	left, err := strconv.Atoi(runs[0].Header.Get("X-Remaining-Milliseconds"))
	is.NoErr(err)
	is.True(left <= 6000)
}

// Guards against a request that may have run being sent again, or answered as if it had not run, because
// its response was lost behind another host.
func TestProxiedRequestRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	plain := d.startPlain(func(string, string, int) site.Behavior { return site.Behavior{LoseResponse: true} })
	_, cut := d.startCutOffPair()
	before := len(runsOfAll(plain))
	got := d.request(cut, "/screen/", "")
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(len(runsOfAll(plain))-before, 1)
}

func runsOfAll(endpoints []*site.Endpoint) []site.Run {
	var out []site.Run
	for _, e := range endpoints {
		out = append(out, e.Runs()...)
	}
	return out
}

// Guards against a run that goes on half a second after its client has left the host without links.
func TestClientLeavesOverTwoHops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	e := d.startEndpoint(site.EndpointConfig{
		ID: "e1", Service: "llm", Zone: "zone-a", Slots: 8, WeightsMB: 125, AdapterSlots: 4, Models: models,
		LoadedModels: []string{"warm"}, Events: 100, EventInterval: 50 * time.Millisecond,
	})
	d.startPlain(nil)
	_, cut := d.startCutOffPair()
	ctx, leave := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+cut.Addr()+"/chat/", strings.NewReader("x"))
	is.NoErr(err)
	req.Host = "h.example"
	req.Header.Set("X-Request-Attempt-Id", "leaves")
	req.Header.Set("X-Model-Name", "warm")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = resp.Body.Read(make([]byte, 10))
	is.NoErr(err)
	is.Equal(e.Running(), 1)
	leave()
	left := time.Now()
	d.waitFor("the run ends", func() bool { return e.Running() == 0 })
	is.True(time.Since(left) < 500*time.Millisecond)
}

// Guards against streams that are incomplete, or joined wrongly, when they break off behind another host.
func TestProxiedStreamIsResumed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	for _, id := range []string{"e1", "e2", "e3"} {
		d.startEndpoint(site.EndpointConfig{
			ID: id, Service: "llm", Zone: "zone-a", Slots: 8, WeightsMB: 125, AdapterSlots: 4, Models: models,
			LoadedModels: []string{"warm"}, Events: 3, EventInterval: 5 * time.Millisecond,
			Behave: func(_, _ string, n int) site.Behavior { return site.Behavior{BreakAfter: 1 - n%2} },
		})
	}
	d.startPlain(nil)
	_, cut := d.startCutOffPair()
	for range 6 {
		got := d.request(cut, "/chat/", "warm")
		if got.status != http.StatusOK {
			continue // Two runs may break off, which is one more than the route allows.
		}
		is.True(strings.HasPrefix(threeEvents, got.body) || strings.Contains(got.body, "EOF"))
	}
	d.waitFor("a stream is complete", func() bool { return d.request(cut, "/chat/", "warm").body == threeEvents })
}

// Guards against requests that are cut off by the planned stop of either host.
func TestPlannedStopOverTwoHops(t *testing.T) {
	t.Parallel()
	for name, stopped := range map[string]int{"helper": 0, "host without links": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t)
			d.startPlain(nil)
			for _, id := range []string{"e1", "e2"} {
				d.startEndpoint(site.EndpointConfig{
					ID: id, Service: "llm", Zone: "zone-a", Slots: 8, WeightsMB: 125, AdapterSlots: 4, Models: models,
					LoadedModels: []string{"warm"}, Events: 3, EventInterval: 700 * time.Millisecond,
				})
			}
			helper, cut := d.startCutOffPair()
			replies := make(chan reply, 4)
			for range cap(replies) {
				go func() { replies <- d.request(cut, "/chat/", "warm") }()
			}
			d.waitFor("the requests are sent by way of the helper", func() bool { return helper.SendingForPeers() == cap(replies) })
			stopping := []*host{helper, cut}[stopped]
			stopping.stop()
			for range cap(replies) {
				got := <-replies
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, threeEvents)
			}
			is.NoErr(<-stopping.done)
			stopping.done <- nil
		})
	}
}

// Guards against an endpoint that has announced its shutdown getting requests by way of another host.
func TestProxiedRequestsAvoidDrainingEndpoint(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	plain := d.startPlain(nil)
	_, cut := d.startCutOffPair()
	plain[0].Drain()
	<-time.After(drainBound)
	before := len(plain[0].Runs())
	for range 20 {
		d.request(cut, "/screen/", "")
	}
	if n := len(plain[0].Runs()) - before; n > 0 {
		t.Errorf("%d requests reached an endpoint that drains", n)
	}
}

// Guards against a host that goes on sending by way of others after its links have returned.
func TestRequestsAreSentDirectlyAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.startPlain(nil)
	helper, cut := d.startCutOffPair()
	cut.links.set(linksWork)
	d.waitFor("the host has found its links", func() bool { return !cut.LinksLost() })
	helper.links.set(linksReset)
	start := time.Now()
	d.waitFor("requests are served directly", func() bool { return d.request(cut, "/screen/", "").status == http.StatusOK })
	is.True(time.Since(start) < 2*time.Second)
}

// Guards against processes that are no known host sending requests to endpoints by way of a host.
func TestStrangerCannotSendRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	plain := d.startPlain(nil)
	d.publish(config(1))
	h := d.startHost("a")
	d.waitFor("the endpoints are served", func() bool { return d.request(h, "/screen/", "").status == http.StatusOK })
	before := len(runsOfAll(plain))
	cert, _, err := peer.SelfSigned(time.Now())
	is.NoErr(err)
	node, err := peer.ListenPinned("127.0.0.1:0", cert, func(peer.Fingerprint) bool { return true }, nil)
	is.NoErr(err)
	defer func() { is.NoErr(node.Close()) }()
	lost := links.NewTable()
	lost.RecordSample(time.Now(), 0, 3)
	lost.RecordFailed(time.Now(), "p1")
	stranger := &proxy.Transport{
		Direct:  upstream.NewTransport(time.Now, func(fleet.Endpoint) int { return 1 }, upstream.Dial),
		Links:   lost,
		Helpers: proxy.NewHelpers(proxy.Host{Name: "stranger"}, func() []proxy.Host { return []proxy.Host{{Name: "a", Addr: h.PeerAddr()}} }),
		Open: func(ctx context.Context, addr string, r peer.Request) (proxy.Stream, error) {
			return node.Open(ctx, addr, r)
		},
		Now:    time.Now,
		OnSlow: func(fleet.EndpointID) {},
	}
	_, _, err = stranger.Send(t.Context(), fleet.Endpoint{ID: "p1", Addr: plain[0].Addr}, upstream.Request{
		Method: http.MethodPost, Target: "/", Host: "x", Header: http.Header{"X-Expected-Instance": {"p1"}, "X-Request-Attempt-Id": {"stranger"}},
	})
	is.True(err != nil)
	is.Equal(len(runsOfAll(plain)), before)
}
