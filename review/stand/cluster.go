package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
)

// settingsFormat is deploy/gateway.yaml.tmpl as filled in for a small deployment. Its parameters are the name
// of the host, its zone, its addresses for clients and for readiness checks, and that of its link to the store.
const settingsFormat = `host: "%s"
availability_zone: "%s"
listen:
  callers: "%s"
  readiness: "%s"
  peers: "127.0.0.1:0"
store:
  address: "%s"
  read_mb_per_second: 80.0
limits:
  cores: 1
  cpu_share: 0.4
  memory_mb: 284
  link_mbps: 1000.0
timing:
  lease: "3000ms"
  drain: "2000ms"
  shutdown: "8s"
retry:
  ratio: 0.2
  extra: 54
  window: "10s"
endpoints:
  via_peers: true
orders:
  endpoints_check_tokens: false
`

const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 8 * time.Second // grace-s
)

// cluster is the platform's store, the hosts and the record of what happens.
type cluster struct {
	gateway string
	dir     string
	start   time.Time
	store   *site.Store
	storeAt *site.Listener

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	hosts  []*host
	closed bool
}

// host is a process of the gateway.
type host struct {
	name, zone     string
	callers, ready string
	link           *link
	settings       string
	cmd            *exec.Cmd
	exited         chan struct{}
}

func newCluster(gateway, record string) (*cluster, error) {
	if _, err := os.Stat(gateway); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	store := site.NewStore()
	listener, err := store.Listen()
	if err != nil {
		return nil, err
	}
	return &cluster{gateway: gateway, dir: dir, start: time.Now(), store: store, storeAt: listener, file: file, record: bufio.NewWriter(file)}, nil
}

// logf writes a line to the record.
func (c *cluster) logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	fmt.Fprintf(c.record, "%9.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddr returns a loopback address with a free port.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// addHost starts a host with a link of its own to the store.
func (c *cluster) addHost(name, zone string) (*host, error) {
	callers, err := freeAddr()
	if err != nil {
		return nil, err
	}
	ready, err := freeAddr()
	if err != nil {
		return nil, err
	}
	l, err := newLink(c.storeAt.Addr)
	if err != nil {
		return nil, err
	}
	h := &host{name: name, zone: zone, callers: callers, ready: ready, link: l, settings: filepath.Join(c.dir, name+".yaml")}
	text := fmt.Sprintf(settingsFormat, name, zone, callers, ready, l.addr)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.hosts = append(c.hosts, h)
	c.mu.Unlock()
	return h, c.startHost(h)
}

// startHost starts the process of a host, which writes its log to the temporary folder.
func (c *cluster) startHost(h *host) error {
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(c.gateway)
	cmd.Env = []string{"TEALVANE_BOOT=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "LANG=C.UTF-8"}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	c.mu.Lock()
	h.cmd, h.exited = cmd, exited
	c.mu.Unlock()
	go func() {
		err := cmd.Wait()
		c.logf("host %s ended: %v", h.name, err)
		_ = log.Close()
		close(exited)
	}()
	c.logf("host %s started, clients at %s", h.name, h.callers)
	return nil
}

// isReady reports whether a host answers readiness checks with 200.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady blocks until all hosts are ready.
func (c *cluster) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, h := range c.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("host %s is not ready after %v", h.name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// terminate sends SIGTERM to a host.
func (c *cluster) terminate(h *host) {
	c.logf("SIGTERM to host %s", h.name)
	_ = h.cmd.Process.Signal(syscall.SIGTERM)
}

// awaitExit waits until a host has ended after SIGTERM, and kills it after the platform's grace time.
func (c *cluster) awaitExit(h *host) {
	select {
	case <-h.exited:
	case <-time.After(stopTimeout):
		c.logf("SIGKILL to host %s", h.name)
		_ = h.cmd.Process.Kill()
		<-h.exited
	}
}

// close ends all processes and completes the record.
func (c *cluster) close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	hosts := c.hosts
	c.mu.Unlock()
	for _, h := range hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
	c.storeAt.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.record.Flush()
	_ = c.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}
