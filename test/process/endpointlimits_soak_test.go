package process_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/internal/wait"
)

var (
	limitsSeed      = flag.Int64("limits-seed", 1, "first seed of the soak of endpoint limits")
	limitsSeeds     = flag.Int("limits-seeds", 2, "number of seeds of the soak of endpoint limits")
	limitsHosts     = flag.Int("limits-hosts", 4, "number of hosts in the soak of endpoint limits")
	limitsEndpoints = flag.Int("limits-endpoints", 6, "number of endpoints in the soak of endpoint limits")
	limitsTime      = flag.Duration("limits-time", 12*time.Second, "duration of a seed of the soak of endpoint limits")
	limitsLogs      = flag.String("limits-logs", "", "directory for the logs of the hosts of the soak of endpoint limits")
)

// Sizes of the endpoints. Two or three models and eight adapters fit.
const (
	limitsSlots        = 12
	limitsMemoryMB     = 200_000
	limitsAdapterSlots = 8
	// limitsFullSpeed is the number of adapters in transit to all endpoints up to which each takes limitsTransit, if
	// there are limitsFullSize endpoints.
	limitsFullSpeed = 8
	limitsFullSize  = 90
	limitsTransit   = 10 * time.Millisecond
	// limitsReportLag is how old the state in a report is.
	limitsReportLag = 200 * time.Millisecond
)

// limitsSoak is a deployment with more models and adapters than fit, whose hosts are processes.
type limitsSoak struct {
	t     *testing.T
	store *site.Store
	addr  string
	dir   string

	mu        sync.Mutex
	rand      *rand.Rand
	models    []site.Model
	hosts     []*limitsHost
	endpoints []*site.Endpoint
	// hot is the permutation by which models and adapters are requested; it changes.
	hot []int
	// late is the share of orders that are lost or executed late.
	late float64

	inTransit, served, refused, lateOrders atomic.Int64
	orders, adapterLoads, adapterUnloads   atomic.Int64
	// controller is the host that sent the last order.
	controller atomic.Pointer[limitsHost]
}

type limitsHost struct {
	*process
	name    string
	callers string
}

func newLimitsSoak(t *testing.T, seed int64) *limitsSoak {
	s := &limitsSoak{t: t, store: site.NewStore(), dir: t.TempDir(), rand: rand.New(rand.NewSource(seed))}
	listener, err := s.store.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listener.Close)
	s.addr = listener.Addr
	for i := range 3 * *limitsEndpoints {
		m := site.Model{Name: fmt.Sprint("m", i), LoadS: 3, DiskS: 0.5, WarmS: 0.4, AdapterMB: 66, WeightsMB: []float64{72_700, 65_500, 65_100, 34_300}[i%4]}
		if i%3 == 0 {
			m.Adapters = max(18, 145>>i)
		}
		s.models = append(s.models, m)
	}
	s.hot = s.rand.Perm(len(s.models))
	s.publish(1, limitsAdapterSlots)
	for i := range *limitsEndpoints {
		s.endpoints = append(s.endpoints, s.startEndpoint(fmt.Sprint("e", i)))
	}
	for i := range *limitsHosts {
		s.hosts = append(s.hosts, s.startHost(fmt.Sprint("h", i)))
	}
	return s
}

func (s *limitsSoak) publish(version int64, adapterSlots int) {
	err := s.store.Publish(site.Config{
		Version: version,
		Routes: []site.Route{{
			Name: "chat", Host: "h.example", PathPrefix: "/chat/", Kind: "streaming", Service: "llm",
			TimeoutMS: 5000, TargetLatencyMS: 400, TargetGapMS: 500, Attempts: 2, Resumable: true,
		}},
		Services: []site.Service{{Name: "llm", ConnectionLimit: 600, Engine: &site.Engine{
			Slots: limitsSlots, WeightsMB: limitsMemoryMB, AdapterSlots: adapterSlots, LoadsPerS: 77, Models: s.models,
		}}},
		Limits: site.DefaultLimits,
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *limitsSoak) startEndpoint(name string) *site.Endpoint {
	c := site.EndpointConfig{
		ID: name, Service: "llm", Zone: "zone-a", Slots: limitsSlots, Queue: 3 * limitsSlots, StartMillis: time.Now().UnixMilli(),
		WeightsMB: limitsMemoryMB, AdapterSlots: limitsAdapterSlots, Models: s.models, Unfenced: true, ReportLag: limitsReportLag,
		FallTime: 700 * time.Millisecond, Events: 4, EventInterval: 20 * time.Millisecond, OrderFault: s.orderFault,
		AdapterTransit: s.adapterTransit,
	}
	c.LoadedModels = []string{s.models[s.rand.Intn(len(s.models))].Name}
	for _, m := range s.models {
		if s.rand.Intn(2) == 0 {
			c.OnDisk = append(c.OnDisk, m.Name)
		}
	}
	e, err := site.StartEndpoint(s.store, c)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(e.Close)
	return e
}

// adapterTransit returns how long the next adapter takes to arrive. Fewer endpoints count as limitsFullSize ones of
// which each has as many adapters in transit.
func (s *limitsSoak) adapterTransit() time.Duration {
	n := s.inTransit.Add(1) * limitsFullSize / int64(*limitsEndpoints)
	d := limitsTransit * time.Duration(max(limitsFullSpeed, n)) / limitsFullSpeed
	time.AfterFunc(d, func() { s.inTransit.Add(-1) })
	return d
}

func (s *limitsSoak) orderFault() site.OrderFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rand.Float64() >= s.late {
		return site.OrderFault{}
	}
	switch s.rand.Intn(4) {
	case 0:
		return site.OrderFault{Lost: true}
	case 1:
		return site.OrderFault{LoseResponse: true}
	}
	s.lateOrders.Add(1)
	return site.OrderFault{LateBy: time.Duration(100+s.rand.Intn(6000)) * time.Millisecond}
}

func (s *limitsSoak) startHost(name string) *limitsHost {
	file := filepath.Join(s.dir, name+".yaml")
	settings := fmt.Sprintf(`
host: %s
availability_zone: zone-a
listen: {callers: 127.0.0.1:0, readiness: 127.0.0.1:0, peers: 127.0.0.1:0}
store: {address: "%s"}
timing: {lease: 3s, drain: 3s, shutdown: 8s}
retry: {ratio: 0.2, extra: 200, window: 10s}
endpoints: {via_peers: true}
orders: {endpoints_check_tokens: false}
`, name, s.addr)
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	h := &limitsHost{process: startProcess(s.t, "tealvane-gateway", "-config", file), name: name}
	var starting struct{ Callers string }
	if err := json.Unmarshal([]byte(h.waitForLine(`"host starting"`)), &starting); err != nil {
		s.t.Fatal(err)
	}
	h.callers = "http://" + starting.Callers
	go s.readLog(h)
	return h
}

// readLog counts the orders of a host, and writes its log to a file if a directory is given.
func (s *limitsSoak) readLog(h *limitsHost) {
	var out io.Writer = io.Discard
	if *limitsLogs != "" {
		f, err := os.Create(filepath.Join(*limitsLogs, fmt.Sprint(h.name, "-", h.cmd.Process.Pid, ".log")))
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
			if !strings.Contains(l, `"msg":"request"`) {
				fmt.Fprintln(out, l)
			}
			s.countOrder(h, l)
		case <-h.done:
			return
		}
	}
}

func (s *limitsSoak) countOrder(h *limitsHost, line string) {
	if !strings.Contains(line, `"order attempted"`) {
		return
	}
	s.controller.Store(h)
	s.orders.Add(1)
	adapter := !strings.Contains(line, `"adapter":""`)
	switch {
	case adapter && strings.Contains(line, `"load":true`) && strings.Contains(line, `"result":"accepted"`):
		s.adapterLoads.Add(1)
	case adapter && strings.Contains(line, `"load":false`) && strings.Contains(line, `"result":"done"`):
		s.adapterUnloads.Add(1)
	}
}

func (s *limitsSoak) host(i int) *limitsHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[i%len(s.hosts)]
}

// replace starts a host in place of one that has ended.
func (s *limitsSoak) replace(old *limitsHost, n int) {
	h := s.startHost(fmt.Sprint(strings.Split(old.name, "-")[0], "-", n))
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.hosts {
		if s.hosts[i] == old {
			s.hosts[i] = h
		}
	}
}

// step brings about one fault. Faults overlap.
func (s *limitsSoak) step(n int) {
	const (
		freeze = iota
		kill
		terminate
		fall
		newEndpoint
		lateOrders
		shift
		config
		kinds
	)
	s.mu.Lock()
	kind, i, pause := s.rand.Intn(kinds), s.rand.Intn(len(s.hosts)), time.Duration(100+s.rand.Intn(4000))*time.Millisecond
	e := s.endpoints[s.rand.Intn(len(s.endpoints))]
	s.mu.Unlock()
	h := s.host(i)
	if c := s.controller.Load(); c != nil && n%2 == 0 {
		h = c
	}
	switch kind {
	case freeze:
		h.signal(syscall.SIGSTOP)
		time.AfterFunc(pause, func() { h.signal(syscall.SIGCONT) })
	case kill, terminate:
		if !s.runs(h) {
			return
		}
		h.signal(map[int]syscall.Signal{kill: syscall.SIGKILL, terminate: syscall.SIGTERM}[kind])
		s.replace(h, n)
	case fall:
		e.Fall()
	case newEndpoint:
		s.replaceEndpoint(e, fmt.Sprint("new", n))
	case lateOrders:
		s.mu.Lock()
		s.late = []float64{0, 0.1, 0.3, 0.9}[s.rand.Intn(4)]
		s.mu.Unlock()
	case shift:
		s.mu.Lock()
		s.hot = s.rand.Perm(len(s.models))
		s.mu.Unlock()
	case config:
		s.publish(int64(n+2), limitsAdapterSlots-2*(n%2))
	}
}

// runs reports whether a host is one of those in use.
func (s *limitsSoak) runs(h *limitsHost) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.hosts {
		if x == h {
			return true
		}
	}
	return false
}

func (s *limitsSoak) replaceEndpoint(old *site.Endpoint, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, e := range s.endpoints {
		if e == old {
			s.checkEndpoint(old)
			old.Remove()
			s.endpoints[i] = s.startEndpoint(name)
		}
	}
}

func (s *limitsSoak) checkEndpoint(e *site.Endpoint) {
	for _, v := range e.Violations() {
		s.t.Error(v)
	}
}

// draw returns a model, and mostly one of its adapters if it has some. A few get most requests.
func (s *limitsSoak) draw(r *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	rank := int(float64(len(s.hot)) * r.Float64() * r.Float64() * r.Float64())
	m := s.models[s.hot[rank]]
	if m.Adapters == 0 || r.Intn(5) == 0 {
		return m.Name
	}
	return fmt.Sprint(m.Name, "/a", 1+(s.hot[0]+int(float64(m.Adapters)*r.Float64()*r.Float64()))%m.Adapters)
}

// client sends requests until stop is set. It keeps its connection to a host until that process is gone.
func (s *limitsSoak) client(seed int64, stop *atomic.Bool) {
	r := rand.New(rand.NewSource(seed))
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	h := s.host(r.Intn(*limitsHosts))
	for n := 0; !stop.Load(); n++ {
		req, err := http.NewRequest(http.MethodPost, h.callers+"/chat/", strings.NewReader("x"))
		if err != nil {
			s.t.Error(err)
			return
		}
		req.Host = "h.example"
		req.Header.Set("X-Request-Attempt-Id", fmt.Sprint("l-", seed, "-", n))
		req.Header.Set("X-Remaining-Milliseconds", "4000")
		req.Header.Set("X-Model-Name", s.draw(r))
		resp, err := client.Do(req)
		if err != nil {
			h = s.host(r.Intn(*limitsHosts))
			wait.For(s.t.Context(), 50*time.Millisecond)
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			s.served.Add(1)
		} else {
			s.refused.Add(1)
		}
		wait.For(s.t.Context(), time.Duration(r.Intn(200))*time.Millisecond)
	}
}

// Guards against ordering an endpoint to hold more models or adapters than it has room for, when hosts that are
// processes are frozen, killed and stopped, endpoints fall over and come back empty, orders are lost or executed late, and the
// demand and the configuration change, in series and overlapping.
func TestEndpointLimitsUnderFailure(t *testing.T) {
	for seed := *limitsSeed; seed < *limitsSeed+int64(*limitsSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newLimitsSoak(t, seed)
			var stop atomic.Bool
			var clients sync.WaitGroup
			for i := range 12 * *limitsEndpoints {
				clients.Go(func() { s.client(seed*10_000+int64(i), &stop) })
			}
			for n, end := 0, time.Now().Add(*limitsTime); time.Now().Before(end); n++ {
				s.step(n)
				s.mu.Lock()
				pause := time.Duration(s.rand.Intn(1000)) * time.Millisecond
				s.mu.Unlock()
				wait.For(t.Context(), pause)
			}
			stop.Store(true)
			clients.Wait()
			falls := 0
			for _, e := range s.endpoints {
				falls += e.Falls()
				s.checkEndpoint(e)
			}
			t.Logf("%d served, %d not; %d orders, %d of them late; %d adapters loaded, %d unloaded; %d falls", s.served.Load(), s.refused.Load(), s.orders.Load(), s.lateOrders.Load(), s.adapterLoads.Load(), s.adapterUnloads.Load(), falls)
			if s.served.Load() == 0 {
				t.Error("no request was served")
			}
		})
	}
}
