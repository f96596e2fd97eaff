package process_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"path/filepath"
	"strconv"
	"strings"
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

const (
	orderEvents      = 12
	orderVersionPool = 3
	// orderStall exceeds the time after which a host looks for another endpoint.
	orderStall = 1500 * time.Millisecond
)

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
	runs      map[string]streamjudge.Run
	streams   []streamjudge.Stream
	version   int64

	begun, resumed, wentOn, complete atomic.Int64
}

func newOrderSoak(t *testing.T, seed int64) *orderSoak {
	s := &orderSoak{t: t, store: site.NewStore(), dir: t.TempDir(), rand: rand.New(rand.NewSource(seed)), runs: map[string]streamjudge.Run{}}
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
	s.startEndpoint("other", "llm2", orderVersionPool)
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
		Behave: func(id, _ string, n int) site.Behavior {
			return site.Behavior{Raw: func(conn net.Conn, header http.Header, r *http.Request) {
				s.respond(conn, header, r, fmt.Sprint(name, "/", n), streamjudge.Run{Origin: origin, Last: orderEvents}, id)
			}}
		},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(e.Close)
	return e
}

// respond writes a stream in one of several framings, splits it anywhere and may break it off anywhere.
func (s *orderSoak) respond(conn net.Conn, header http.Header, r *http.Request, tag string, run streamjudge.Run, id string) {
	s.mu.Lock()
	draw := rand.New(rand.NewSource(s.rand.Int63()))
	run.Stream, _, _ = strings.Cut(id, ".")
	run.After, _ = strconv.Atoi(r.Header.Get("Last-Event-Id")) // A missing ID starts the stream at its first event.
	s.runs[tag] = run
	s.mu.Unlock()
	var body bytes.Buffer
	for n := run.After + 1; n <= run.Last; n++ {
		body.WriteString(streamjudge.Event(tag, n))
	}
	whole := body.Bytes()
	cut, reset := len(whole), draw.Intn(2) == 0
	if draw.Intn(4) == 0 {
		cut = draw.Intn(len(whole) + 1)
	}
	header.Set("Content-Type", "text/event-stream")
	chunked, length := draw.Intn(4) > 0, draw.Intn(2) == 0
	switch {
	case chunked:
		header.Set("Transfer-Encoding", "chunked")
	case length:
		header.Set("Content-Length", strconv.Itoa(len(whole)))
	case cut < len(whole):
		reset = true // A plain close would be its end.
	}
	head := &bytes.Buffer{}
	_ = header.Write(head) // A buffer does not fail.
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n", head)
	var out io.Writer = conn
	var chunks io.WriteCloser
	if chunked {
		chunks = httputil.NewChunkedWriter(conn)
		out = chunks
	}
	stallAt := -1
	if draw.Intn(8) == 0 {
		stallAt = draw.Intn(cut + 1)
	}
	for sent := 0; sent < cut; {
		n := min(cut-sent, 1+draw.Intn(60))
		if _, err := out.Write(whole[sent : sent+n]); err != nil {
			return
		}
		if sent <= stallAt && stallAt < sent+n {
			wait.For(s.t.Context(), orderStall)
		}
		sent += n
		wait.For(s.t.Context(), time.Duration(draw.Intn(12))*time.Millisecond)
	}
	if cut == len(whole) && chunked && draw.Intn(12) > 0 {
		_ = chunks.Close()
		_, _ = io.WriteString(conn, "\r\n") // The host may have closed the connection.
		if draw.Intn(6) == 0 {
			_, _ = io.WriteString(conn, streamjudge.Event(tag, run.Last)) // Bytes of no response.
		}
		return
	}
	if reset && cut < len(whole) {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
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
	j, version := s.rand.Intn(len(s.endpoints)), s.rand.Intn(orderVersionPool)
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

// client reads streams until stop is set, and takes those that break off up again.
func (s *orderSoak) client(seed int64, stop *atomic.Bool) {
	r := rand.New(rand.NewSource(seed))
	for n := 0; !stop.Load(); n++ {
		stream := streamjudge.Stream{ID: fmt.Sprint("o-", seed, "-", n), Resumable: r.Intn(3) > 0}
		route := "/once/"
		if stream.Resumable {
			route = "/again/"
		}
		events, first := 0, ""
		for attempt := range 4 {
			id := fmt.Sprint(stream.ID, ".", attempt)
			a := s.request(s.host(r.Intn(*orderHosts)).callers, route, id, first, events, r)
			got := strings.Count(a.Body, "\n\n")
			switch {
			case events > 0:
				s.resumed.Add(1)
				if got > 0 {
					s.wentOn.Add(1)
				}
			case got > 0:
				s.begun.Add(1)
				first = id
			}
			stream.Attempts = append(stream.Attempts, a)
			if events += got; a.Complete || !stream.Resumable {
				break
			}
			wait.For(s.t.Context(), time.Duration(r.Intn(300))*time.Millisecond)
		}
		if stream.Attempts[len(stream.Attempts)-1].Complete {
			s.complete.Add(1)
		}
		s.mu.Lock()
		s.streams = append(s.streams, stream)
		s.mu.Unlock()
		wait.For(s.t.Context(), time.Duration(r.Intn(50))*time.Millisecond)
	}
}

// request sends a request over a connection of its own and reads the response until it ends or the client leaves. A
// response other than 200 counts as none.
func (s *orderSoak) request(addr, route, id, resumes string, last int, r *rand.Rand) streamjudge.Attempt {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return streamjudge.Attempt{}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	version := "1.1"
	if r.Intn(5) == 0 {
		version = "1.0"
	}
	resume := ""
	if last > 0 {
		resume = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, resumes)
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: h.example\r\nX-Request-Attempt-Id: %s\r\nX-Remaining-Milliseconds: 4500\r\nX-Model-Name: warm\r\n%sContent-Length: 1\r\n\r\nx", route, version, id, resume)
	if err != nil {
		return streamjudge.Attempt{}
	}
	in := bufio.NewReaderSize(conn, 16+r.Intn(200))
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		return streamjudge.Attempt{}
	}
	var out bytes.Buffer
	slow, leaveAfter := r.Intn(6) == 0, 1<<20
	if r.Intn(5) == 0 {
		leaveAfter = r.Intn(400)
	}
	for part := make([]byte, 1+r.Intn(100)); out.Len() < leaveAfter; {
		n, err := resp.Body.Read(part)
		out.Write(part[:n])
		if err != nil {
			return streamjudge.Attempt{Body: out.String(), Complete: err == io.EOF}
		}
		if slow {
			wait.For(s.t.Context(), 5*time.Millisecond)
		}
	}
	return streamjudge.Attempt{Body: out.String()}
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
				clients.Go(func() { s.client(seed*10_000+int64(i), &stop) })
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
			s.mu.Lock()
			defer s.mu.Unlock()
			kinds := map[streamjudge.Kind]int{}
			for _, stream := range s.streams {
				for _, f := range streamjudge.Check(stream, s.runs) {
					if kinds[f.Kind]++; kinds[f.Kind] <= 3 {
						t.Error(f)
					}
				}
			}
			t.Logf("%d streams began, %d of %d that were taken up went on, %d ended as complete; findings: %v", s.begun.Load(), s.wentOn.Load(), s.resumed.Load(), s.complete.Load(), kinds)
			if s.complete.Load() == 0 || s.wentOn.Load() == 0 {
				t.Error("no stream was complete or went on")
			}
		})
	}
}
