package process_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tealvane/tealvane/examples"
	"github.com/tealvane/tealvane/internal/api/operators"
	// The tests build the commands. This import invalidates cached test results when they change.
	_ "github.com/tealvane/tealvane/internal/cli"
	"github.com/tealvane/tealvane/pkg/peer"
)

// waitTimeout bounds each wait for an event. It is generous, so that tests pass on slow machines.
const waitTimeout = 60 * time.Second

var build struct {
	once sync.Once
	dir  string
	err  error
}

// buildCommands builds the commands once per test run and returns the output directory.
func buildCommands(t testing.TB) string {
	build.once.Do(func() {
		build.dir, build.err = os.MkdirTemp("", "tealvane")
		if build.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", build.dir, "../../cmd/...").CombinedOutput()
		if err != nil {
			build.err = fmt.Errorf("%w: %s", err, out)
		}
	})
	if build.err != nil {
		t.Fatal(build.err)
	}
	return build.dir
}

func TestMain(m *testing.M) {
	code := m.Run()
	os.RemoveAll(build.dir)
	os.Exit(code)
}

// process is a running command whose output is read by line.
type process struct {
	t     testing.TB
	cmd   *exec.Cmd
	lines chan string
	done  chan struct{}
}

// startProcess starts one of the commands of this repository, as startCommand does.
func startProcess(t testing.TB, name string, args ...string) *process {
	t.Helper()
	return startCommand(t, filepath.Join(buildCommands(t), name), args...)
}

// startCommand starts a command. The process is killed at the end of the test.
func startCommand(t testing.TB, path string, args ...string) *process {
	t.Helper()
	p := &process{
		t:     t,
		cmd:   exec.Command(path, args...),
		lines: make(chan string, 1000),
		done:  make(chan struct{}),
	}
	reader, writer := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		writer.Close()
		close(p.done)
	}()
	go func() {
		scanner := bufio.NewScanner(reader)
		for scanner.Scan() {
			select {
			case p.lines <- scanner.Text():
			default:
			}
		}
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	})
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// waitForLine returns the next line of output that contains text.
func (p *process) waitForLine(text string) string {
	p.t.Helper()
	timeout := time.After(waitTimeout)
	for {
		select {
		case l := <-p.lines:
			if strings.Contains(l, text) {
				return l
			}
		case <-timeout:
			p.t.Fatalf("timed out waiting for output %q of %s", text, p.cmd.Args)
		}
	}
}

// waitForExit waits for the process to exit and returns its exit code.
func (p *process) waitForExit() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		p.t.Fatalf("timed out waiting for %s to exit", p.cmd.Args)
	}
	return p.cmd.ProcessState.ExitCode()
}

// entryHost is an entry host that runs as a process.
type entryHost struct {
	*process
	name      string
	callers   string
	operators *operators.Client
}

// cluster is a set of stand-ins and entry hosts, each running as a process.
type cluster struct {
	t           testing.TB
	platformURL string
	// endpointURLs maps names of endpoints to their URLs.
	endpointURLs map[string]string
	processes    map[string]*process
	entryHosts   []*entryHost
	dir          string
}

const standinConfig = `
platform: {listen: 127.0.0.1:0, loads_per_second: 50, concurrent: 4, mb_per_second: 80000}
entry_hosts:
  - {name: entry-1}
  - {name: entry-2}
  - {name: entry-3}
endpoints:
  - {name: engine-1, listen: 127.0.0.1:0, availability_zone: zone-1, pool: engines, memory_mb: 24000, checks_fencing: true, first_token: 5ms, per_token: 1ms}
  - {name: engine-2, listen: 127.0.0.1:0, availability_zone: zone-2, pool: engines, memory_mb: 24000, first_token: 5ms, per_token: 1ms}
  - {name: engine-3, listen: 127.0.0.1:0, availability_zone: zone-2, pool: engines, memory_mb: 24000, checks_fencing: true, first_token: 5ms, per_token: 1ms}
  - {name: screening-1, listen: 127.0.0.1:0, availability_zone: zone-1, service: screening}
  - {name: lookup-1, listen: 127.0.0.1:0, availability_zone: zone-2, service: lookup}
`

// newCluster starts a cluster, publishes the example contract and waits until the pool has an
// owner that knows all endpoints.
func newCluster(t testing.TB, hosts int) *cluster {
	t.Helper()
	c := &cluster{t: t, endpointURLs: map[string]string{}, processes: map[string]*process{}, dir: t.TempDir()}
	c.write("standins.yaml", standinConfig)
	platform := startProcess(t, "tealvane-standin", "-config", c.path("standins.yaml"), "-only", "platform")
	c.platformURL = strings.Fields(platform.waitForLine("platform http"))[1]
	for _, name := range []string{"engine-1", "engine-2", "engine-3", "screening-1", "lookup-1"} {
		c.startEndpoint(name)
	}
	id, err := peer.NewDevIdentity(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	c.write("ca.pem", string(id.CA))
	c.write("cert.pem", string(id.Cert))
	c.write("key.pem", string(id.Key))
	for i := range hosts {
		c.entryHosts = append(c.entryHosts, c.startEntryHost(i+1))
	}
	for _, e := range c.entryHosts {
		c.waitUntil("readiness", func() bool {
			_, err := e.operators.GetReadiness(context.Background())
			return err == nil
		})
	}
	c.publish(c.entryHosts[0], 0, c.contract())
	c.waitUntil("owned pool with endpoints", func() bool {
		s, err := c.entryHosts[0].operators.GetStatus(context.Background())
		return err == nil && len(s.Pools) == 1 && len(s.Pools[0].Endpoints) == 3
	})
	return c
}

func (c *cluster) path(name string) string { return filepath.Join(c.dir, name) }

func (c *cluster) write(name, text string) {
	c.t.Helper()
	if err := os.WriteFile(c.path(name), []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) startEndpoint(name string) {
	p := startProcess(c.t, "tealvane-standin", "-config", c.path("standins.yaml"), "-only", name, "-platform", c.platformURL)
	c.endpointURLs[name] = strings.Fields(p.waitForLine("endpoint " + name))[2]
	c.processes[name] = p
}

func (c *cluster) startEntryHost(i int) *entryHost {
	name := fmt.Sprintf("entry-%d", i)
	file := name + ".yaml"
	c.write(file, fmt.Sprintf(`
host: %s
availability_zone: zone-%d
callers: {listen: 127.0.0.1:0}
operators: {listen: 127.0.0.1:0}
peers: {listen: 127.0.0.1:0, ca_file: %[3]s/ca.pem, cert_file: %[3]s/cert.pem, key_file: %[3]s/key.pem}
platform: {log: "%[4]s", host_list: "%[4]s"}
weight_store: {concurrent: 4, per_second: 50}
timing: {readiness_lag: 100ms, session_renew: 200ms, session_ttl: 2s, tick: 20ms, probe: 100ms, host_list_poll: 100ms, drain_timeout: 60s}
`, name, 1+i%2, c.dir, c.platformURL))
	p := startProcess(c.t, "tealvaned", "-config", c.path(file))
	var serving struct{ Callers, Operators string }
	if err := json.Unmarshal([]byte(p.waitForLine(`"serving"`)), &serving); err != nil {
		c.t.Fatal(err)
	}
	client, err := operators.NewClient("http://"+serving.Operators, anyToken{})
	if err != nil {
		c.t.Fatal(err)
	}
	return &entryHost{process: p, name: name, callers: "http://" + serving.Callers, operators: client}
}

// anyToken is a token source for an operators' API that does not check tokens.
type anyToken struct{}

func (anyToken) Bearer(context.Context, operators.OperationName) (operators.Bearer, error) {
	return operators.Bearer{Token: "none"}, nil
}

func (c *cluster) contract() string {
	document, err := examples.Dev.ReadFile("dev/contract.yaml")
	if err != nil {
		c.t.Fatal(err)
	}
	return string(document)
}

func (c *cluster) publish(e *entryHost, base int64, document string) {
	c.t.Helper()
	c.waitUntil("publication", func() bool {
		_, err := e.operators.PublishContract(context.Background(),
			&operators.Publication{BaseVersion: base, Document: document},
			operators.PublishContractParams{Customer: "example"})
		return err == nil
	})
}

// waitUntil polls done until it returns true. what names the condition in the failure message.
func (c *cluster) waitUntil(what string, done func() bool) {
	c.t.Helper()
	timeout := time.After(waitTimeout)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !done() {
		select {
		case <-timeout:
			c.t.Fatalf("timed out waiting for %s", what)
		case <-ticker.C:
		}
	}
}

// owner returns the owner of the pool according to observer.
func (c *cluster) owner(observer *entryHost) *entryHost {
	c.t.Helper()
	s, err := observer.operators.GetStatus(context.Background())
	if err != nil || len(s.Pools) == 0 {
		c.t.Fatalf("could not get the owner of the pool: %v", err)
	}
	for _, e := range c.entryHosts {
		if e.name == s.Pools[0].Owner {
			return e
		}
	}
	c.t.Fatalf("pool is owned by unknown host %q", s.Pools[0].Owner)
	return nil
}

// others returns all entry hosts except one.
func (c *cluster) others(excluded *entryHost) []*entryHost {
	var list []*entryHost
	for _, e := range c.entryHosts {
		if e != excluded {
			list = append(list, e)
		}
	}
	return list
}

// response is the outcome of an HTTP request.
type response struct {
	status int
	body   string
	header http.Header
	err    error
}

func post(url, key, body string) response {
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return response{err: err}
	}
	r.Header.Set("Authorization", "Bearer dev-token")
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(data), header: resp.Header, err: err}
}

func (e *entryHost) complete(model, prompt string) response {
	return post(e.callers+"/v1/completions", "", fmt.Sprintf(`{"model":%q,"prompt":%q}`, model, prompt))
}

// observed returns the activity that an endpoint recorded.
func (c *cluster) observed(name string) (o struct {
	Ran    []string
	PeakMB int64 `json:"peak_mb"`
	Peak   map[string]int
	Loads  int
}) {
	c.t.Helper()
	resp, err := http.Get(c.endpointURLs[name] + "/control/observed")
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&o); err != nil {
		c.t.Fatal(err)
	}
	return o
}
