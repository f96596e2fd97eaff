package process_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/internal/streamjudge"
	"github.com/tealvane/tealvane/internal/wait"
)

var (
	orderSeed    = flag.Int64("order-seed", 1, "first seed of the soak of the order of streams")
	orderSeeds   = flag.Int("order-seeds", 2, "number of seeds of the soak of the order of streams")
	orderHosts   = flag.Int("order-hosts", 4, "number of hosts in the soak of the order of streams")
	orderClients = flag.Int("order-clients", 40, "number of clients in the soak of the order of streams")
	orderTime    = flag.Duration("order-time", 12*time.Second, "duration of a seed of the soak of the order of streams")
	orderRelease = flag.String("order-release", "", "tealvane-gateway of another release for the soak of the order of streams")
	orderLogs    = flag.String("order-logs", "", "directory for the logs of the hosts of the soak of the order of streams")
)

// orderVersions is the number of software versions.
const orderVersions = 3

// orderSoak is a deployment whose hosts are processes. Its endpoints end responses in all ways that a connection allows, and
// its clients read at several speeds and take up what breaks off.
type orderSoak struct {
	t     *testing.T
	store *site.Store
	addr  string
	dir   string

	mu        sync.Mutex
	rand      *rand.Rand
	hosts     []*limitsHost
	endpoints []*site.Endpoint
	version   int64
	traffic   *streamjudge.Traffic
}

func newOrderSoak(t *testing.T, seed int64) *orderSoak {
	s := &orderSoak{t: t, store: site.NewStore(), dir: t.TempDir(), rand: rand.New(rand.NewSource(seed)), traffic: streamjudge.NewTraffic(uint64(seed))}
	s.traffic.Host, s.traffic.Model, s.traffic.Routes = "h.example", "warm", streamjudge.Routes{Resumable: "/again/", Once: "/once/"}
	s.traffic.Headers = streamjudge.Headers{Attempt: "X-Request-Attempt-Id", Resumes: "Resumes", Remaining: "X-Remaining-Milliseconds", Model: "X-Model-Name"}
	listener, err := s.store.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listener.Close)
	s.addr = listener.Addr
	s.publish("llm")
	for i := range 6 {
		s.endpoints = append(s.endpoints, s.startEndpoint(fmt.Sprint("e", i), "llm", i%2))
	}
	s.startEndpoint("other", "llm2", orderVersions)
	for i := range *orderHosts {
		s.hosts = append(s.hosts, s.startHost(fmt.Sprint("h", i)))
	}
	return s
}

// publish publishes the next configuration, in which the route of resumable streams has a service.
func (s *orderSoak) publish(service string) {
	s.version++
	route := func(name, service string, resumable bool) site.Route {
		return site.Route{
			Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: "streaming", Service: service,
			TimeoutMS: 6000, TargetLatencyMS: 400, TargetGapMS: 300, Attempts: 2, Resumable: resumable,
		}
	}
	engine := &site.Engine{Slots: 64, WeightsMB: 125, AdapterSlots: 4, LoadsPerS: 10, Models: []site.Model{{Name: "warm", WeightsMB: 50, LoadS: 1, DiskS: 0.2, WarmS: 0.1}}}
	err := s.store.Publish(site.Config{
		Version: s.version, Limits: site.DefaultLimits,
		Routes:   []site.Route{route("again", service, true), route("once", "llm", false)},
		Services: []site.Service{{Name: "llm", ConnectionLimit: 600, Engine: engine}, {Name: "llm2", ConnectionLimit: 600, Engine: engine}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *orderSoak) startEndpoint(name, service string, version int) *site.Endpoint {
	origin := fmt.Sprint(service, " ", version)
	e, err := site.StartEndpoint(s.store, site.EndpointConfig{
		ID: name, Service: service, Zone: "zone-a", Slots: 64, WeightsMB: 125, AdapterSlots: 4, LoadedModels: []string{"warm"}, Version: fmt.Sprint(version, ".0"),
		Models: []site.Model{{Name: "warm", WeightsMB: 50, LoadS: 1, DiskS: 0.2, WarmS: 0.1}},
		Behave: func(_, _ string, n int) site.Behavior {
			return site.Behavior{Raw: func(conn net.Conn, header http.Header, r *http.Request) {
				s.traffic.Respond(s.t.Context(), conn, header, r, fmt.Sprint(name, "/", n), origin)
			}}
		},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(e.Close)
	return e
}

func (s *orderSoak) startHost(name string) *limitsHost {
	file := filepath.Join(s.dir, name+".yaml")
	settings := fmt.Sprintf(`
host: %s
availability_zone: zone-a
listen: {callers: 127.0.0.1:0, readiness: 127.0.0.1:0, peers: 127.0.0.1:0}
store: {address: "%s"}
timing: {lease: 3s, drain: 3s, shutdown: 8s}
retry: {ratio: 0.5, extra: 500, window: 10s}
endpoints: {via_peers: true}
`, name, s.addr)
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	command := filepath.Join(buildCommands(s.t), "tealvane-gateway")
	if *orderRelease != "" {
		command = *orderRelease
	}
	h := &limitsHost{process: startCommand(s.t, command, "-config", file), name: name}
	var starting struct{ Callers string }
	if err := json.Unmarshal([]byte(h.waitForLine(`"host starting"`)), &starting); err != nil {
		s.t.Fatal(err)
	}
	h.callers = starting.Callers
	go s.readLog(h)
	return h
}

// readLog reads the log of a host, and writes it to a file if a directory is given.
func (s *orderSoak) readLog(h *limitsHost) {
	out := io.Writer(io.Discard)
	if *orderLogs != "" {
		f, err := os.Create(filepath.Join(*orderLogs, fmt.Sprint(h.name, "-", h.cmd.Process.Pid, ".log")))
		if err != nil {
			s.t.Error(err)
			return
		}
		defer f.Close()
		out = f
	}
	for {
		select {
		case l := <-h.lines:
			fmt.Fprintln(out, l)
		case <-h.done:
			return
		}
	}
}

func (s *orderSoak) host(i int) *limitsHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[i%len(s.hosts)]
}

func (s *orderSoak) setHost(i int, h *limitsHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[i] = h
}

// step brings about one fault. Faults overlap.
func (s *orderSoak) step(n int) {
	const (
		freeze = iota
		kill
		terminate
		killAll
		release
		releaseThenKillAll
		crash
		moveRoute
		kinds
	)
	s.mu.Lock()
	kind, i, pause := s.rand.Intn(kinds), s.rand.Intn(len(s.hosts)), time.Duration(100+s.rand.Intn(2500))*time.Millisecond
	j, version := s.rand.Intn(len(s.endpoints)), s.rand.Intn(orderVersions)
	s.mu.Unlock()
	h := s.host(i)
	replace := func(signal syscall.Signal) {
		h.signal(signal)
		s.setHost(i, s.startHost(fmt.Sprint("h", i, "-", n)))
	}
	switch kind {
	case freeze:
		h.signal(syscall.SIGSTOP)
		time.AfterFunc(pause, func() { h.signal(syscall.SIGCONT) })
	case kill:
		replace(syscall.SIGKILL)
	case terminate:
		replace(syscall.SIGTERM)
	case killAll:
		s.killAll(n)
	case release:
		s.release(j, fmt.Sprint("r", n), version)
	case releaseThenKillAll:
		s.release(j, fmt.Sprint("r", n), version)
		wait.For(s.t.Context(), pause/2)
		s.killAll(n)
	case crash:
		s.endpoints[j].Close()
		s.release(j, fmt.Sprint("c", n), version)
	case moveRoute:
		s.publish([]string{"llm", "llm2"}[n%2])
	}
}

// release replaces an endpoint by one of a version.
func (s *orderSoak) release(j int, name string, version int) {
	e := s.startEndpoint(name, "llm", version)
	s.endpoints[j].Drain()
	old := s.endpoints[j]
	time.AfterFunc(time.Second, old.Remove)
	s.endpoints[j] = e
}

func (s *orderSoak) killAll(n int) {
	for i := range *orderHosts {
		s.host(i).signal(syscall.SIGKILL)
	}
	for i := range *orderHosts {
		s.setHost(i, s.startHost(fmt.Sprint("h", i, "-", n)))
	}
}

// Guards against streams that miss an event or get one twice, that are joined from two runs, services or software versions, or
// that look complete before their end, when hosts that are processes are frozen, killed, stopped or all killed at
// once, endpoints break off anywhere, and versions and routes change, in series and overlapping.
func TestOrderOfStreamsUnderFailure(t *testing.T) {
	for seed := *orderSeed; seed < *orderSeed+int64(*orderSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newOrderSoak(t, seed)
			var stop atomic.Bool
			var clients sync.WaitGroup
			for i := range *orderClients {
				draw := rand.New(rand.NewSource(seed*10_000 + int64(i)))
				address := func() string { return s.host(draw.Intn(*orderHosts)).callers }
				clients.Go(func() { s.traffic.Client(t.Context(), fmt.Sprint("o-", i), address, &stop) })
			}
			for n, end := 0, time.Now().Add(*orderTime); time.Now().Before(end); n++ {
				s.mu.Lock()
				pause := time.Duration(s.rand.Intn(1200)) * time.Millisecond
				s.mu.Unlock()
				wait.For(t.Context(), pause)
				s.step(n)
			}
			stop.Store(true)
			clients.Wait()
			report := s.traffic.Check()
			for _, f := range report.Findings {
				t.Error(f)
			}
			t.Log(report)
			if report.Complete == 0 || report.WentOn == 0 {
				t.Error("no stream was complete or went on")
			}
		})
	}
}
