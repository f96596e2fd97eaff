// Command stand2 runs the cases of the second independent review that are scripts. It starts entry hosts as
// separate processes and stand-ins of clients, workers and the store, and judges what clients and workers saw.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// host is an entry host that runs as a process of its own.
type host struct {
	name, callers, readiness, peers string
	settings                        string
	// process is nil until the host was started.
	process *exec.Cmd
	ended   chan struct{}
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir   string
	hosts []*host

	mu sync.Mutex
	// over is set once all processes are being ended.
	over bool
}

// running is the deployment to end if the program is told to stop.
var (
	runningMu sync.Mutex
	running   *deployment
)

// endRunning ends the processes of the deployment, if there is one.
func endRunning() {
	runningMu.Lock()
	defer runningMu.Unlock()
	if running != nil {
		running.end()
	}
}

// settingsFile is deploy/gateway.yaml.tmpl with the figures of a small deployment.
const settingsFile = `host: %q
availability_zone: "zone-1"
listen:
  callers: %q
  readiness: %q
  peers: %q
store:
  address: %q
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
  endpoint_heartbeat: "1200ms"
retry:
  ratio: 0.2
  extra: 58
  window: "10s"
endpoints:
  via_peers: true
orders:
  endpoints_check_tokens: %t
`

// newDeployment writes the settings of n hosts. storeAddr returns the address at which a host reaches the store.
func newDeployment(n int, fencing bool, storeAddr func(i int) string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir}
	runningMu.Lock()
	running = d
	runningMu.Unlock()
	for i := range n {
		h := &host{name: fmt.Sprint("front-", i+1)}
		for _, a := range []*string{&h.callers, &h.readiness} {
			if *a, err = freePort("tcp"); err != nil {
				return nil, err
			}
		}
		if h.peers, err = freePort("udp"); err != nil {
			return nil, err
		}
		h.settings = filepath.Join(dir, h.name+".yaml")
		text := fmt.Sprintf(settingsFile, h.name, h.callers, h.readiness, h.peers, storeAddr(i), fencing)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
	}
	return d, nil
}

func freePort(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// start starts a host with the command of the deploy file. The process also ends if this one is killed.
func (d *deployment) start(h *host) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.over {
		return errors.New("the deployment has ended")
	}
	log, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command("target/tealvane-gateway")
	process.Env = append(os.Environ(), "TEALVANE_BOOT="+h.settings)
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	h.process, h.ended = process, ended
	return nil
}

// signal sends a signal to a host's process.
func (h *host) signal(s syscall.Signal) {
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// awaitReady waits until a host answers its readiness probe with 200.
func (h *host) awaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + h.readiness + "/readiness")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", h.name)
}

// startAll starts all hosts and waits until they are ready.
func (d *deployment) startAll() error {
	for _, h := range d.hosts {
		if err := d.start(h); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// end ends all processes and removes the folder.
func (d *deployment) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.over = true
	for _, h := range d.hosts {
		if h.process == nil {
			continue
		}
		h.signal(syscall.SIGKILL)
		<-h.ended
	}
	_ = os.RemoveAll(d.dir)
}
