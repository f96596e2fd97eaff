package gateway_test

import (
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
orders:
  endpoints_check_tokens: true
`

// host is a whole entry host in this process.
type host struct {
	*gateway.Gateway
	door *site.Door
	run  func()
	stop context.CancelFunc
	done chan error
}

// deployment is a platform with entry hosts.
type deployment struct {
	t      *testing.T
	store  *site.Store
	tracer trace.TracerProvider
	// unchecked endpoints do not refuse old fencing tokens.
	unchecked bool
}

func newDeployment(t *testing.T) *deployment {
	return &deployment{t: t, store: site.NewStore(), tracer: noop.NewTracerProvider()}
}

func (d *deployment) startHost(name string) *host {
	d.t.Helper()
	h := d.startWith(name, site.Works)
	d.until("host is ready", func() bool {
		resp, err := http.Get("http://" + h.ReadinessAddr())
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return h
}

// startWith starts a host that the store treats in a certain way.
func (d *deployment) startWith(name string, f site.Fault) *host {
	d.t.Helper()
	h := d.newHost(name, f)
	h.run()
	return h
}

// newHost returns a host that does not run yet.
func (d *deployment) newHost(name string, f site.Fault) *host {
	d.t.Helper()
	door, err := d.store.Listen()
	if err != nil {
		d.t.Fatal(err)
	}
	door.Set(f)
	s, err := gateway.ParseSettings(name, fmt.Appendf(nil, settingsText, name, door.Addr))
	if err != nil {
		d.t.Fatal(err)
	}
	s.Orders.EndpointsCheckTokens = !d.unchecked
	g, err := platform.NewGateway(s, slog.New(slog.NewTextHandler(io.Discard, nil)), d.tracer)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &host{Gateway: g, door: door, stop: stop, done: make(chan error, 1)}
	h.run = func() { go func() { h.done <- g.Run(ctx) }() }
	d.t.Cleanup(func() {
		stop()
		door.Close()
		<-h.done
	})
	return h
}

// until waits for a condition that another goroutine brings about.
func (d *deployment) until(what string, done func() bool) {
	d.t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	timeout := time.After(20 * time.Second)
	for !done() {
		select {
		case <-tick.C:
		case <-timeout:
			d.t.Fatal("in vain: " + what)
		}
	}
}

func (d *deployment) endpoint(c site.EndpointConfig) *site.Endpoint {
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

func (d *deployment) engine(id string) *site.Endpoint {
	return d.endpoint(site.EndpointConfig{
		ID: id, Service: "llm", Zone: "zone-a", Slots: 8, WeightsMB: 125, AdapterSlots: 4, Models: models,
		Holds: []string{"warm", "idle"}, OnDisk: []string{"cold"}, Events: 3, Pace: 5 * time.Millisecond,
	})
}

// config returns a configuration with routes for streams and a plain service.
func config(version int64) site.Config {
	route := func(name, kind, service string) site.Route {
		return site.Route{
			Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: kind, Service: service,
			TimeoutMS: 8000, ObjectiveMS: 500, GapMS: 400, Attempts: 2, Resumable: true,
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

// ask sends one request to a host.
func (d *deployment) ask(h *host, path, model string) reply {
	d.t.Helper()
	return d.askWith(h, path, model, "")
}

// askWith sends one request with a body, one of its own if that is empty.
func (d *deployment) askWith(h *host, path, model, body string) reply {
	d.t.Helper()
	return d.askAs("", h, path, model, body)
}

// askAs sends one request with a key, none if that is empty.
func (d *deployment) askAs(key string, h *host, path, model, body string) reply {
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
	req.Header.Set("X-Request-Attempt-Id", id)
	req.Header.Set("X-Remaining-Milliseconds", "6000")
	if key != "" {
		req.Header.Set("X-Key", key)
	}
	if model != "" {
		req.Header.Set("X-Model-Name", model)
	}
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
	e := d.engine("e1")
	plain := d.endpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 4})
	h := d.startHost("a")
	for _, model := range []string{"warm", "cold", "warm/a2"} {
		got := d.ask(h, "/chat/x%2Fy?q=1", model)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, threeEvents)
	}
	is.Equal(len(e.Faults()), 0)
	is.Equal(e.Runs()[0].Path, "/chat/x%2Fy?q=1")
	got := d.ask(h, "/screen/", "")
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "answer to "+plain.Runs()[0].ID)
	is.Equal(d.ask(h, "/nowhere/", "").status, http.StatusNotFound)
}

// A host's reads of the store get no answer while the operator publishes a new
// configuration. It learns of it from another host and puts it in force within
// two seconds; it used to refuse the new route with 404 for up to seven.
func TestConfigurationComesFromAPeer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.endpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 4})
	a, b := d.startHost("a"), d.startHost("b")
	d.until("the hosts know each other", func() bool { return a.Peers() == 1 && b.Peers() == 1 })
	b.door.Set(site.Silent)
	next := config(2)
	next.Routes = append(next.Routes, site.Route{Name: "new", Host: "h.example", PathPrefix: "/new/", Kind: "safe", Service: "plain", TimeoutMS: 2000, Attempts: 1})
	start := time.Now()
	d.publish(next)
	d.until("the new route is served", func() bool { return d.ask(b, "/new/", "").status == http.StatusOK })
	is.True(time.Since(start) < 2*time.Second)
}

// A host has read the configuration when the store begins to turn it away: its
// own entry is not written, and no other host knows its key. It kept the old
// configuration for as long as that lasted and refused new routes with 404.
func TestUnknownHostLearnsTheConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.endpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 4})
	d.startHost("a")
	b := d.startWith("b", site.ReadOnly)
	d.until("the host serves and knows the other", func() bool { return b.Peers() == 1 && d.ask(b, "/screen/", "").status == http.StatusOK })
	is.True(!b.Ready())
	// Reads that are under way get no answer either.
	b.door.Set(site.Silent)
	b.door.Set(site.Busy)
	next := config(2)
	next.Routes = append(next.Routes, site.Route{Name: "new", Host: "h.example", PathPrefix: "/new/", Kind: "safe", Service: "plain", TimeoutMS: 2000, Attempts: 1})
	start := time.Now()
	d.publish(next)
	d.until("the new route is served", func() bool { return d.ask(b, "/new/", "").status == http.StatusOK })
	is.True(time.Since(start) < 2*time.Second)
}

// The store answers nobody for a while, and a host's read of the configuration
// begins then. The store returns and takes a new configuration; the host must
// not wait for that read to end, and it knows no other host to ask.
func TestConfigurationAfterASilentStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.endpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 4})
	h := d.startHost("a")
	h.door.Set(site.Silent)
	d.until("the store is away", h.StoreAway)
	h.door.Set(site.Works)
	next := config(2)
	next.Routes = append(next.Routes, site.Route{Name: "new", Host: "h.example", PathPrefix: "/new/", Kind: "safe", Service: "plain", TimeoutMS: 2000, Attempts: 1})
	start := time.Now()
	d.publish(next)
	d.until("the new route is served", func() bool { return d.ask(h, "/new/", "").status == http.StatusOK })
	is.True(time.Since(start) < 4*time.Second)
}

// The host that gives orders is killed with a cold model asked for. Another one
// takes over, with a greater token, and loads the model.
func TestOrdersGoOnAfterTheControllerDies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	e := d.engine("e1")
	a := d.startHost("a")
	d.until("the first host gives orders", a.Controls)
	b := d.startHost("b")
	d.until("the hosts know each other", func() bool { return a.Peers() == 1 && b.Peers() == 1 })
	a.Kill()
	got := d.ask(b, "/chat/", "cold")
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, threeEvents)
	is.True(b.Controls())
	is.Equal(len(e.Faults()), 0)
}

// The claim changes hands while a host's read of the claims hangs. The host went
// on to believe in the former controller, which had released its claim, and told
// nobody its demand: cold models were refused there for ten seconds, although
// the new controller's notices came in.
func TestNoticeNamesTheController(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	h := d.startHost("a")
	d.until("the host gives orders", h.Controls)
	h.HearNotice(fleet.Notice{Holder: "b", Incarnation: "b-1", Addr: "127.0.0.1:9", Token: 99})
	is.Equal(h.ControllerAddr(), "127.0.0.1:9")
	is.True(!h.Controls())
}

// A planned stop under streams: every stream that has begun ends whole, and a
// client that comes while the balancer has not noticed is still served.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.endpoint(site.EndpointConfig{
		ID: "e1", Service: "llm", Zone: "zone-a", Slots: 8, WeightsMB: 125, AdapterSlots: 4, Models: models,
		Holds: []string{"warm"}, Events: 3, Pace: 150 * time.Millisecond,
	})
	h := d.startHost("a")
	replies := make(chan reply, 8)
	for range 4 {
		go func() { replies <- d.ask(h, "/chat/", "warm") }()
	}
	h.stop()
	d.until("the balancer is told", func() bool {
		resp, err := http.Get("http://" + h.ReadinessAddr())
		if err != nil {
			return true
		}
		defer resp.Body.Close()
		return resp.StatusCode != http.StatusOK
	})
	replies <- d.ask(h, "/chat/", "warm")
	for range 5 {
		got := <-replies
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, threeEvents)
	}
	is.NoErr(<-h.done)
	h.done <- nil
}

// An endpoint announces its leaving. Requests go to the other one as soon as the
// list says so.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	first := d.endpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 4})
	second := d.endpoint(site.EndpointConfig{ID: "p2", Service: "plain", Zone: "zone-a", Slots: 4})
	h := d.startHost("a")
	first.Drain()
	d.until("the leaving is known", func() bool {
		before := len(first.Runs())
		for range 8 {
			d.ask(h, "/screen/", "")
		}
		return len(first.Runs()) == before
	})
	is.True(len(second.Runs()) >= 8)
}

func TestSettingsFindingsComeTogether(t *testing.T) {
	is := is.New(t)
	_, err := gateway.ParseSettings("f.yaml", []byte("listen:\n  callers: name:80\nnew_field: 1\n"))
	is.True(err != nil)
	for _, field := range []string{"host", "availability_zone", "listen.callers", "listen.readiness", "store.address", "timing.lease"} {
		is.True(strings.Contains(err.Error(), field+":"))
	}
	is.True(!strings.Contains(err.Error(), "new_field"))
}
