package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
)

const (
	drainRounds = 10
	drainHosts  = 3
	// drainTime is drain-ms: how long a worker that leaves goes on serving after the store's answer, and the
	// bound of the rule. exitAfter is when it exits, a little later.
	drainTime = 2000 * time.Millisecond
	exitAfter = 2300 * time.Millisecond
	// refusedFor is how long the store refuses the calls of one host, and removedAfter when a worker's entry
	// is removed meanwhile.
	refusedFor   = 500 * time.Millisecond
	removedAfter = 50 * time.Millisecond
	// settle is settle-window-ms.
	settle = 3 * time.Second
	// workTime is the time that a worker takes for a request, and requestPause that between two requests of a client.
	workTime       = 60 * time.Millisecond
	requestPause   = 40 * time.Millisecond
	drainClients   = 3
	bookingService = "auftrag-app"
)

// booking is a worker of an application service whose requests run at most once.
type booking struct {
	c      *cluster
	id     string
	zone   string
	server *http.Server
	addr   string

	mu      sync.Mutex
	beats   int
	removed time.Time
	late    []string
}

func startBooking(c *cluster, id, zone string) (*booking, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &booking{c: c, id: id, zone: zone, addr: l.Addr().String()}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = b.server.Serve(l) }()
	go func() {
		for b.publish() {
			time.Sleep(heartbeatInterval)
		}
	}()
	return b, nil
}

// publish writes the entry of the worker and reports whether it goes on doing so.
func (b *booking) publish() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.removed.IsZero() {
		return false
	}
	b.beats++
	value, err := json.Marshal(map[string]any{"service": bookingService, "address": b.addr, "zone": b.zone, "version": "v1",
		"slots": 6, "state": "ready", "cold-remaining-ms": 0, "sequence": b.beats})
	if err != nil {
		panic(err)
	}
	b.c.store.Put(serversTopic, b.id, value)
	return true
}

// leave removes the entry of the worker, which goes on serving for a while and then exits.
func (b *booking) leave() {
	b.mu.Lock()
	b.c.store.Put(serversTopic, b.id, nil)
	b.removed = time.Now()
	b.mu.Unlock()
	b.c.logf("worker %s leaves: its entry is removed", b.id)
	time.AfterFunc(exitAfter, func() {
		b.c.logf("worker %s exits", b.id)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = b.server.Shutdown(ctx) // Runs that have begun are ended.
	})
}

// leaving reports whether the worker is about to exit.
func (b *booking) leaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.removed.IsZero()
}

func (b *booking) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Attempt-Id")
	w.Header().Set("X-Instance-Id", b.id)
	if id == "" {
		if b.leaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return // A health probe.
	}
	w.Header().Set("X-Request-Attempt-Id", id)
	if b.leaving() {
		w.Header().Set("Connection", "close")
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	if !b.removed.IsZero() {
		if after := time.Since(b.removed); after > drainTime {
			b.late = append(b.late, id)
			b.c.logf("request %s reaches worker %s %d ms after the store removed its entry", id, b.id, after.Milliseconds())
		}
	}
	b.mu.Unlock()
	time.Sleep(workTime)
	w.Header().Set("X-Server-Signature", "sig-"+id)
	_, _ = io.WriteString(w, "booked "+id)
}

// runDrain removes the entries of workers while the store refuses the calls of the host that holds the claim,
// and checks which requests of clients of the other hosts reach these workers later than the drain time.
func runDrain(c *cluster, trouble bool) (bool, error) {
	err := c.store.Publish(site.Config{
		Version: 7,
		Routes: []site.Route{{Name: "lab-booking", Host: "feuchtwerk.example", PathPrefix: "/book/", Kind: "unsafe",
			Service: bookingService, TimeoutMS: 1500, TargetLatencyMS: 300, Attempts: 1}},
		Services: []site.Service{{Name: bookingService, HealthCheckPath: "/health", ConnectionLimit: 100}},
		Limits:   site.DefaultLimits,
	})
	if err != nil {
		return false, err
	}
	zones := []string{"bayern-a", "bayern-b", "bayern-c"}
	var workers []*booking
	add := func() error {
		n := len(workers)
		w, err := startBooking(c, fmt.Sprintf("i-%d", n), zones[n%len(zones)])
		workers = append(workers, w)
		return err
	}
	for range zones {
		if err := add(); err != nil {
			return false, err
		}
	}
	for i := range drainHosts {
		if _, err := c.addHost(fmt.Sprintf("front-%d", i+1), zones[i]); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	clients := startBookingClients(c)
	time.Sleep(2 * settle)
	lateInTouch := 0
	for round := 1; round <= drainRounds; round++ {
		if err := add(); err != nil {
			return false, err
		}
		time.Sleep(settle)
		h := c.claimHolder()
		if h == nil {
			return false, fmt.Errorf("round %d: no host holds the claim", round)
		}
		if trouble {
			c.logf("round %d: the store refuses the calls of host %s", round, h.name)
			h.link.refuse(true)
		}
		time.Sleep(removedAfter)
		leaving := workers[round-1]
		leaving.leave()
		time.Sleep(refusedFor - removedAfter)
		h.link.refuse(false)
		c.logf("round %d: the store serves host %s again", round, h.name)
		time.Sleep(exitAfter + time.Second)
		leaving.mu.Lock()
		for _, id := range leaving.late {
			if !strings.HasPrefix(id, h.name+"-") {
				lateInTouch++
				c.logf("DRAIN: round %d: request %s of a host in touch reached worker %s too late", round, id, leaving.id)
			}
		}
		leaving.mu.Unlock()
	}
	clients.stop.Store(true)
	c.logf("clients: %d requests answered with 200, %d otherwise; %d requests of hosts in touch reached a worker too late", clients.served.Load(), clients.other.Load(), lateInTouch)
	if clients.served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return lateInTouch == 0, nil
}

// claimHolder returns the host that was the last one to log that it has won the claim.
func (c *cluster) claimHolder() *host {
	var holder *host
	highest := int64(0)
	for _, h := range c.hosts {
		data, err := os.ReadFile(h.settings + ".log")
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			var l struct {
				Message string `json:"msg"`
				Token   int64  `json:"token"`
			}
			if json.Unmarshal([]byte(line), &l) == nil && l.Message == "claim won" && l.Token > highest {
				holder, highest = h, l.Token
			}
		}
	}
	return holder
}

// bookingClients is the load of the case.
type bookingClients struct {
	stop          atomic.Bool
	served, other atomic.Int64
}

func startBookingClients(c *cluster) *bookingClients {
	b := &bookingClients{}
	for _, h := range c.hosts {
		for i := range drainClients {
			go b.run(c, h, fmt.Sprintf("%s-%d", h.name, i))
		}
	}
	return b
}

func (b *bookingClients) run(c *cluster, h *host, name string) {
	client := &http.Client{Timeout: 3 * time.Second}
	for n := 0; !b.stop.Load(); n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/book/x", strings.NewReader("sample"))
		if err != nil {
			return
		}
		req.Host = "feuchtwerk.example"
		req.Header.Set("X-Request-Attempt-Id", id)
		req.Header.Set("X-Remaining-Milliseconds", "1500")
		resp, err := client.Do(req)
		if err != nil {
			b.other.Add(1)
			c.logf("request %s: %v", id, err)
		} else {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				b.served.Add(1)
			} else {
				b.other.Add(1)
				c.logf("request %s: status %d", id, resp.StatusCode)
			}
		}
		time.Sleep(requestPause)
	}
}
