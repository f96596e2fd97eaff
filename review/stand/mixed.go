package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
)

const (
	mixedRequests = 2000
	mixedClients  = 4
	// answerBytes is about the size of an answer, and cutBytes where the faulty worker breaks some off.
	answerBytes = 200 << 10
	cutBytes    = 120 << 10
	// faultyEvery is one in how many answers of the faulty worker is broken off.
	faultyEvery   = 50
	lookupService = "auftrag-app"
)

// lookup is a worker of an application service.
type lookup struct {
	c      *cluster
	id     string
	faulty bool

	mu      sync.Mutex
	runs    int
	answers map[string]string // by signature
	broken  int
}

func startLookup(c *cluster, id, zone string, faulty bool) (*lookup, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &lookup{c: c, id: id, faulty: faulty, answers: map[string]string{}}
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: time.Second}).Serve(l)
	}()
	go func() {
		for beats := 1; ; beats++ {
			value, err := json.Marshal(map[string]any{"service": lookupService, "address": l.Addr().String(), "zone": zone,
				"version": "v1", "slots": 6, "state": "ready", "cold-remaining-ms": 0, "sequence": beats})
			if err != nil {
				panic(err)
			}
			c.store.Put(serversTopic, id, value)
			time.Sleep(heartbeatInterval)
		}
	}()
	return w, nil
}

func (w *lookup) serve(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Attempt-Id")
	out.Header().Set("X-Instance-Id", w.id)
	if id != "" {
		out.Header().Set("X-Request-Attempt-Id", id)
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		return // A health probe.
	}
	body, signature, broken := w.answer(id)
	out.Header().Set("X-Server-Signature", signature)
	control := http.NewResponseController(out)
	// The answer goes out in chunks.
	first, rest := body[:cutBytes], body[cutBytes:]
	_, _ = io.WriteString(out, first)
	_ = control.Flush()
	if broken {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(out, rest)
}

// answer records a run and returns its body and signature, and whether the answer is broken off.
func (w *lookup) answer(id string) (body, signature string, broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs++
	signature = fmt.Sprintf("%s.%d", w.id, w.runs)
	var b strings.Builder
	for line := 0; b.Len() < answerBytes; line++ {
		fmt.Fprintf(&b, "request %s, run %s, line %d\n", id, signature, line)
	}
	broken = w.faulty && w.runs%faultyEvery == 0
	w.answers[signature] = b.String()
	if broken {
		w.broken++
		w.c.logf("worker %s: run %s of request %s is broken off after %d of %d bytes", w.id, signature, id, cutBytes, b.Len())
	}
	return b.String(), signature, broken
}

// runMixed sends requests that may be repeated to a host with two workers, one of which breaks off some of
// its answers, and compares each success with the worker's whole body.
func runMixed(c *cluster, trouble bool) (bool, error) {
	err := c.store.Publish(site.Config{
		Version: 7,
		Routes: []site.Route{{Name: "history-lookup", Host: "feuchtwerk.example", PathPrefix: "/history/", Kind: "safe",
			Service: lookupService, TimeoutMS: 1500, TargetLatencyMS: 300, Attempts: 2}},
		Services: []site.Service{{Name: lookupService, HealthCheckPath: "/health", ConnectionLimit: 100}},
		Limits:   site.DefaultLimits,
	})
	if err != nil {
		return false, err
	}
	var workers []*lookup
	for i, zone := range []string{"bayern-a", "bayern-b"} {
		w, err := startLookup(c, fmt.Sprintf("i-%d", i), zone, trouble && i == 0)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	h, err := c.addHost("front-1", "bayern-a")
	if err != nil {
		return false, err
	}
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	var next, whole, wrong, other atomic.Int64
	var group sync.WaitGroup
	for range mixedClients {
		group.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second}
			for n := next.Add(1); n <= mixedRequests; n = next.Add(1) {
				switch c.askLookup(client, h, workers, fmt.Sprintf("r%d", n)) {
				case answerWhole:
					whole.Add(1)
				case answerWrong:
					wrong.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	group.Wait()
	broken := 0
	for _, w := range workers {
		w.mu.Lock()
		broken += w.broken
		c.logf("worker %s: %d runs, %d broken off", w.id, w.runs, w.broken)
		w.mu.Unlock()
	}
	c.logf("clients: %d whole answers, %d successes with another body, %d otherwise; %d answers were broken off", whole.Load(), wrong.Load(), other.Load(), broken)
	if whole.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return wrong.Load() == 0, nil
}

// answerKind is how a request was answered.
type answerKind int

const (
	answerOther answerKind = iota
	answerWhole
	answerWrong
)

// askLookup sends one request and compares a success with the body that the worker of its signature made.
func (c *cluster) askLookup(client *http.Client, h *host, workers []*lookup, id string) answerKind {
	req, err := http.NewRequest(http.MethodGet, "http://"+h.callers+"/history/"+id, nil)
	if err != nil {
		return answerOther
	}
	req.Host = "feuchtwerk.example"
	req.Header.Set("X-Request-Attempt-Id", id)
	req.Header.Set("X-Remaining-Milliseconds", "1500")
	resp, err := client.Do(req)
	if err != nil {
		c.logf("request %s: %v", id, err)
		return answerOther
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK {
		c.logf("request %s: status %d after %d bytes, error %v", id, resp.StatusCode, len(body), err)
		return answerOther
	}
	signature := resp.Header.Get("X-Server-Signature")
	for _, w := range workers {
		w.mu.Lock()
		want, ok := w.answers[signature]
		w.mu.Unlock()
		if ok && want == string(body) {
			return answerWhole
		}
		if ok {
			c.logf("MIXED: request %s: a complete 200 with signature %s and %d bytes, the worker's body has %d; %s", id, signature, len(body), len(want), describe(body))
			return answerWrong
		}
	}
	c.logf("MIXED: request %s: a 200 with the unknown signature %q", id, signature)
	return answerWrong
}

// describe tells which runs a body consists of.
func describe(body []byte) string {
	counts := map[string]int{}
	var order []string
	for line := range strings.Lines(string(body)) {
		_, rest, _ := strings.Cut(line, ", run ")
		run, _, _ := strings.Cut(rest, ",")
		if counts[run] == 0 {
			order = append(order, run)
		}
		counts[run]++
	}
	var out []string
	for _, run := range order {
		out = append(out, fmt.Sprintf("%d lines of run %q", counts[run], run))
	}
	return strings.Join(out, ", ")
}
