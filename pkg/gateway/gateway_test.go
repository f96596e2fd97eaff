package gateway_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/gateway"
	"github.com/tealvane/tealvane/platform"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const settingsText = `
host: %s
availability_zone: zone-a
listen:
  callers: 127.0.0.1:0
  readiness: 127.0.0.1:0
  peers: 127.0.0.1:0
store:
  address: %s
timing:
  lease: 1s
  drain: 2s
  shutdown: 4s
retry:
  ratio: 0.2
  extra: 40
  window: 10s
endpoints:
  via_peers: true
orders:
  endpoints_check_tokens: true
`

// host is an entry host that runs in the test process.
type host struct {
	*gateway.Gateway
	name          string
	links         *hostLinks
	storeListener *site.Listener
	run           func()
	stop          context.CancelFunc
	done          chan error
}

// deployment is a platform with entry hosts.
type deployment struct {
	t      *testing.T
	store  *site.Store
	tracer trace.TracerProvider
	// uncheckedTokens is set if endpoints do not check fencing tokens.
	uncheckedTokens bool
	// contention is the setting of all hosts, and shutdown another one than that of settingsText unless it is 0.
	contention gateway.ContentionMode
	shutdown   time.Duration
}

func newDeployment(t *testing.T) *deployment {
	return &deployment{t: t, store: site.NewStore(), tracer: noop.NewTracerProvider()}
}

func (d *deployment) startHost(name string) *host {
	d.t.Helper()
	h := d.startHostWithFault(name, site.NoFault)
	d.waitFor("the host is ready", func() bool {
		resp, err := http.Get("http://" + h.ReadinessAddr())
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return h
}

// startHostWithFault starts a host whose store connection has a fault.
func (d *deployment) startHostWithFault(name string, f site.Fault) *host {
	d.t.Helper()
	h := d.newHost(name, f)
	h.run()
	return h
}

// newHost returns a host that is not running yet.
func (d *deployment) newHost(name string, f site.Fault) *host {
	d.t.Helper()
	listener, err := d.store.Listen()
	if err != nil {
		d.t.Fatal(err)
	}
	listener.SetFault(f)
	s, err := gateway.ParseSettings(name, fmt.Appendf(nil, settingsText, name, listener.Addr))
	if err != nil {
		d.t.Fatal(err)
	}
	s.Orders.EndpointsCheckTokens = !d.uncheckedTokens
	s.Scheduling.Contention = d.contention
	s.Timing.Shutdown = cmp.Or(d.shutdown, s.Timing.Shutdown)
	config := platform.GatewayConfig(s, slog.New(slog.NewTextHandler(io.Discard, nil)), d.tracer)
	links := newHostLinks()
	config.Dial = links.dial
	g, err := gateway.New(config)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &host{Gateway: g, name: name, links: links, storeListener: listener, stop: stop, done: make(chan error, 1)}
	h.run = func() { go func() { h.done <- g.Run(ctx) }() }
	d.t.Cleanup(func() {
		stop()
		listener.Close()
		<-h.done
	})
	return h
}

// waitFor waits until a condition holds and fails the test after 20 s.
func (d *deployment) waitFor(what string, condition func() bool) {
	d.t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	timeout := time.After(20 * time.Second)
	for !condition() {
		select {
		case <-tick.C:
		case <-timeout:
			d.t.Fatal("timed out after 20 s waiting until " + what)
		}
	}
}

func (d *deployment) startEndpoint(c site.EndpointConfig) *site.Endpoint {
	d.t.Helper()
	e, err := site.StartEndpoint(d.store, c)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(e.Close)
	return e
}

var models = []site.Model{
	{Name: "warm", WeightsMB: 60, LoadS: 2, WarmS: 0.1, DiskS: 0.2, Adapters: 4, AdapterMB: 1},
	{Name: "cold", WeightsMB: 60, LoadS: 2, WarmS: 0.1, DiskS: 0.2},
	{Name: "idle", WeightsMB: 60, LoadS: 2, WarmS: 0.1, DiskS: 0.2},
}

func (d *deployment) startEngine(id string) *site.Endpoint {
	return d.startEndpoint(site.EndpointConfig{
		ID: id, Service: "llm", Zone: "zone-a", Slots: 8, WeightsMB: 125, AdapterSlots: 4, Models: models,
		LoadedModels: []string{"warm", "idle"}, OnDisk: []string{"cold"}, Events: 3, EventInterval: 5 * time.Millisecond,
	})
}

// config returns a configuration with a streaming route and a route to a plain service.
func config(version int64) site.Config {
	route := func(name, kind, service string) site.Route {
		return site.Route{
			Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: kind, Service: service,
			TimeoutMS: 8000, TargetLatencyMS: 500, TargetGapMS: 400, Attempts: 2, Resumable: true,
		}
	}
	return site.Config{
		Version: version,
		Routes:  []site.Route{route("chat", "streaming", "llm"), route("screen", "unsafe", "plain")},
		Services: []site.Service{
			{Name: "llm", ConnectionLimit: 100, Engine: &site.Engine{Slots: 8, WeightsMB: 125, AdapterSlots: 4, LoadsPerS: 4, Models: models}},
			{Name: "plain", ConnectionLimit: 100},
		},
		Limits: site.DefaultLimits,
	}
}

func (d *deployment) publish(c site.Config) {
	d.t.Helper()
	if err := d.store.Publish(c); err != nil {
		d.t.Fatal(err)
	}
}

type reply struct {
	status int
	body   string
	header http.Header
}

var ids struct {
	sync.Mutex
	n int
}

// request sends a request to a host.
func (d *deployment) request(h *host, path, model string) reply {
	d.t.Helper()
	return d.requestWithBody(h, path, model, "")
}

// requestWithBody sends a request with a body, or with a unique body if it is empty.
func (d *deployment) requestWithBody(h *host, path, model, body string) reply {
	d.t.Helper()
	return d.requestWithKey("", h, path, model, body)
}

// requestWithKey sends a request with a key, or without one if it is empty.
func (d *deployment) requestWithKey(key string, h *host, path, model, body string) reply {
	d.t.Helper()
	header := http.Header{}
	if key != "" {
		header.Set("X-Key", key)
	}
	if model != "" {
		header.Set("X-Model-Name", model)
	}
	return d.requestWithHeader(h, path, header, body)
}

// requestWithHeader sends a request with further headers and a body, or with a unique body if it is empty.
func (d *deployment) requestWithHeader(h *host, path string, header http.Header, body string) reply {
	d.t.Helper()
	ids.Lock()
	ids.n++
	id := fmt.Sprint("attempt-", ids.n)
	ids.Unlock()
	if body == "" {
		body = "body of " + id
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+h.Addr()+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header = header.Clone()
	req.Header.Set("X-Request-Attempt-Id", id)
	req.Header.Set("X-Remaining-Milliseconds", "6000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{status: resp.StatusCode, body: err.Error()}
	}
	return reply{resp.StatusCode, string(answer), resp.Header}
}

const threeEvents = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n"

func TestWarmColdAndAdapterRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	e := d.startEngine("e1")
	plain := d.startEndpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 4})
	h := d.startHost("a")
	for _, model := range []string{"warm", "cold", "warm/a2"} {
		got := d.request(h, "/chat/x%2Fy?q=1", model)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, threeEvents)
	}
	is.Equal(len(e.Violations()), 0)
	is.Equal(e.Runs()[0].Path, "/chat/x%2Fy?q=1")
	got := d.request(h, "/screen/", "")
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "answer to "+plain.Runs()[0].ID)
	is.Equal(d.request(h, "/nowhere/", "").status, http.StatusNotFound)
}

// Guards against a host whose store reads hang refusing a new route: it must fetch the
// configuration from another host.
func TestConfigurationIsFetchedFromPeer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.startEndpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 4})
	a, b := d.startHost("a"), d.startHost("b")
	d.waitFor("the hosts know each other", func() bool { return a.Peers() == 1 && b.Peers() == 1 })
	b.storeListener.SetFault(site.FaultNoResponse)
	next := config(2)
	next.Routes = append(next.Routes, site.Route{Name: "new", Host: "h.example", PathPrefix: "/new/", Kind: "safe", Service: "plain", TimeoutMS: 2000, Attempts: 1})
	start := time.Now()
	d.publish(next)
	d.waitFor("the new route is served", func() bool { return d.request(b, "/new/", "").status == http.StatusOK })
	is.True(time.Since(start) < 2*time.Second)
}

// Guards against an outdated configuration on a host that could not write its own entry, so
// that other hosts do not know its key.
func TestUnregisteredHostFetchesConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.startEndpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 4})
	d.startHost("a")
	b := d.startHostWithFault("b", site.FaultReadOnly)
	d.waitFor("the host serves and knows the other", func() bool { return b.Peers() == 1 && d.request(b, "/screen/", "").status == http.StatusOK })
	is.True(!b.Ready())
	// Also fail the reads that are in flight.
	b.storeListener.SetFault(site.FaultNoResponse)
	b.storeListener.SetFault(site.FaultReject)
	next := config(2)
	next.Routes = append(next.Routes, site.Route{Name: "new", Host: "h.example", PathPrefix: "/new/", Kind: "safe", Service: "plain", TimeoutMS: 2000, Attempts: 1})
	start := time.Now()
	d.publish(next)
	d.waitFor("the new route is served", func() bool { return d.request(b, "/new/", "").status == http.StatusOK })
	is.True(time.Since(start) < 2*time.Second)
}

// Guards against a host without peers waiting for a hanging read after the store has recovered.
func TestConfigurationIsReadAfterStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.startEndpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 4})
	h := d.startHost("a")
	h.storeListener.SetFault(site.FaultNoResponse)
	d.waitFor("the host notices the store outage", h.StoreUnavailable)
	h.storeListener.SetFault(site.NoFault)
	next := config(2)
	next.Routes = append(next.Routes, site.Route{Name: "new", Host: "h.example", PathPrefix: "/new/", Kind: "safe", Service: "plain", TimeoutMS: 2000, Attempts: 1})
	start := time.Now()
	d.publish(next)
	d.waitFor("the new route is served", func() bool { return d.request(h, "/new/", "").status == http.StatusOK })
	is.True(time.Since(start) < 4*time.Second)
}

// Guards against cold models not being loaded after the controller has failed. Another host
// must take over with a greater token.
func TestTakeoverAfterControllerFailure(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	e := d.startEngine("e1")
	a := d.startHost("a")
	d.waitFor("the first host is the controller", a.IsController)
	b := d.startHost("b")
	d.waitFor("the hosts know each other", func() bool { return a.Peers() == 1 && b.Peers() == 1 })
	a.Kill()
	got := d.request(b, "/chat/", "cold")
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, threeEvents)
	is.True(b.IsController())
	is.Equal(len(e.Violations()), 0)
}

// Guards against a host reporting its demand to a former controller while its read of the
// claims hangs.
func TestNoticeUpdatesController(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	h := d.startHost("a")
	d.waitFor("the host is the controller", h.IsController)
	h.ApplyNotice(fleet.Notice{Holder: "b", Incarnation: "b-1", Addr: "127.0.0.1:9", Token: 99})
	is.Equal(h.ControllerAddr(), "127.0.0.1:9")
	is.True(!h.IsController())
}

// Guards against interrupted streams and refused requests during a graceful shutdown.
func TestGracefulShutdownCompletesStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.startEndpoint(site.EndpointConfig{
		ID: "e1", Service: "llm", Zone: "zone-a", Slots: 8, WeightsMB: 125, AdapterSlots: 4, Models: models,
		LoadedModels: []string{"warm"}, Events: 3, EventInterval: 150 * time.Millisecond,
	})
	h := d.startHost("a")
	replies := make(chan reply, 8)
	for range 4 {
		go func() { replies <- d.request(h, "/chat/", "warm") }()
	}
	h.stop()
	d.waitFor("the host is unready", func() bool {
		resp, err := http.Get("http://" + h.ReadinessAddr())
		if err != nil {
			return true
		}
		defer resp.Body.Close()
		return resp.StatusCode != http.StatusOK
	})
	replies <- d.request(h, "/chat/", "warm")
	for range 5 {
		got := <-replies
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, threeEvents)
	}
	is.NoErr(<-h.done)
	h.done <- nil
}

// Guards against requests to an endpoint that has announced that it is draining.
func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	first := d.startEndpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 4})
	second := d.startEndpoint(site.EndpointConfig{ID: "p2", Service: "plain", Zone: "zone-a", Slots: 4})
	h := d.startHost("a")
	first.Drain()
	d.waitFor("the draining endpoint gets no requests", func() bool {
		before := len(first.Runs())
		for range 8 {
			d.request(h, "/screen/", "")
		}
		return len(first.Runs()) == before
	})
	is.True(len(second.Runs()) >= 8)
}

func TestParseSettingsReportsAllFindings(t *testing.T) {
	is := is.New(t)
	_, err := gateway.ParseSettings("f.yaml", []byte("listen:\n  callers: name:80\nstore:\n  read_mb_per_second: -1\nnew_field: 1\n"))
	is.True(err != nil)
	for _, field := range []string{"host", "availability_zone", "listen.callers", "listen.readiness", "store.address", "store.read_mb_per_second", "timing.lease"} {
		is.True(strings.Contains(err.Error(), field+":"))
	}
	is.True(!strings.Contains(err.Error(), "new_field"))
}
