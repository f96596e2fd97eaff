package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
)

func init() { cases["4"] = recovery }

// Times of the case, from the start of the traffic.
const (
	rollAt      = 8 * time.Second // planned: the hosts are stopped and started in turn
	rollGap     = time.Second
	restartTime = 500 * time.Millisecond
	// lossAfter is the time from the first SIGTERM until the store begins to lose answers.
	lossAfter = 5500 * time.Millisecond
	recoverS  = 12 * time.Second
	measured  = 25 * time.Second
)

const (
	hosts     = 7
	requestsS = 30
	seed      = 5 // of the times of late writes
)

// rare are the models that no worker has loaded at first. The demand moves on from one group to the next.
var rare = [][]string{{"m8", "m9", "m10", "m11"}, {"m12", "m13", "m14", "m15"}, {"m16", "m17", "m18", "m19"}, {"m20", "m21", "m22", "m23"}}

// recovery stops and starts all hosts in turn, and then kills them all, while the store loses answers to writes
// and executes these late. Afterwards the demand moves to models that no worker has loaded.
func recovery(r *recorder, trouble bool) (int, error) {
	store := site.NewStore()
	l, err := store.Listen()
	if err != nil {
		return failed, err
	}
	defer l.Close()
	lossy, addr, err := startLossyStore(l.Addr, seed, r)
	if err != nil {
		return failed, err
	}
	if err := startWorkers(store); err != nil {
		return failed, err
	}
	d, err := newDeployment(hosts, false, func(int) string { return addr })
	if err != nil {
		return failed, err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	c := &clients{record: r, hosts: d.hosts, transport: &http.Transport{MaxIdleConnsPerHost: 100}, retries: &http.Transport{DisableKeepAlives: true}, models: []string{"m0", "m1", "m2", "m3"}}
	go c.run()
	lossy.setPhase("before")
	time.Sleep(rollAt)
	var rolls sync.WaitGroup
	for i, h := range d.hosts {
		rolls.Go(func() {
			time.Sleep(time.Duration(i) * rollGap)
			r.line("SIGTERM to %s", h.name)
			h.signal(syscall.SIGTERM)
			<-h.ended
			time.Sleep(restartTime)
			r.line("%s starts again", h.name)
			_ = d.start(h) // awaitReady fails if it did not.
		})
	}
	time.Sleep(lossAfter)
	if trouble {
		r.line("the store begins to lose answers")
		lossy.setLosing(true)
		time.AfterFunc(lostTime, func() {
			lossy.setLosing(false)
			r.line("the store loses no more answers")
		})
	}
	rolls.Wait()
	// The final fault.
	fault := time.Now()
	for _, h := range d.hosts {
		r.line("SIGKILL to %s", h.name)
		h.signal(syscall.SIGKILL)
	}
	for _, h := range d.hosts {
		<-h.ended
	}
	time.Sleep(restartTime)
	for _, h := range d.hosts {
		if err := d.start(h); err != nil {
			return failed, err
		}
	}
	back := time.Now()
	r.line("all hosts have started again")
	for _, h := range d.hosts {
		if err := h.awaitReady(20 * time.Second); err != nil {
			r.line("%v", err)
		}
	}
	lossy.setPhase("recovery")
	time.Sleep(time.Until(back.Add(recoverS)))
	lossy.setPhase("after")
	for _, models := range rare {
		c.setModels(models...)
		time.Sleep(measured / time.Duration(len(rare)))
	}
	c.stop()
	return c.judge(fault, back, lossy)
}

// startWorkers starts four workers of which each has three of the models m0 to m7 loaded and the others on disk.
func startWorkers(store *site.Store) error {
	var models []site.Model
	for i := range 24 {
		models = append(models, site.Model{Name: fmt.Sprint("m", i), WeightsMB: 60, LoadS: 6, DiskS: 0.8, WarmS: 0.6, Adapters: 2, AdapterMB: 1})
	}
	err := store.Publish(site.Config{
		Version: 1,
		Routes: []site.Route{{
			Name: "summary", Host: "a.example", PathPrefix: "/summary/", Kind: "streaming", Service: "llm",
			TimeoutMS: 5000, TargetLatencyMS: 400, TargetGapMS: 400, Attempts: 2, Resumable: true,
		}},
		Services: []site.Service{{Name: "llm", HealthCheckPath: "/health", ConnectionLimit: 210, Engine: &site.Engine{
			Slots: 24, WeightsMB: 200, AdapterSlots: 8, LoadsPerS: 15, Models: models,
		}}},
		Limits: site.DefaultLimits,
	})
	if err != nil {
		return err
	}
	for i, loaded := range [][]string{{"m0", "m1", "m4"}, {"m1", "m2", "m5"}, {"m2", "m3", "m6"}, {"m3", "m0", "m7"}} {
		e, err := site.StartEndpoint(store, site.EndpointConfig{
			ID: fmt.Sprint("i-", i+1), Service: "llm", Zone: "zone-1", Slots: 24, Queue: 8, WeightsMB: 200, AdapterSlots: 8, Models: models,
			LoadedModels: loaded, OnDisk: slices.Concat(rare...), Events: 10, EventInterval: 20 * time.Millisecond, ReportLag: 200 * time.Millisecond, Unfenced: true,
		})
		if err != nil {
			return err
		}
		go func() {
			for {
				time.Sleep(1200 * time.Millisecond)
				e.Heartbeat()
			}
		}()
	}
	return nil
}

// clients send requests to hosts in turn.
type clients struct {
	record    *recorder
	hosts     []*host
	transport *http.Transport
	// retries opens a new channel for each repeat.
	retries *http.Transport

	mu      sync.Mutex
	models  []string
	stopped bool
	results []result
	wait    sync.WaitGroup
}

// result is what became of a request, its repeat included.
type result struct {
	sent   time.Time
	served bool
}

func (c *clients) setModels(models ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.models = models
	c.record.line("clients ask for %v from now on", models)
}

func (c *clients) stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.wait.Wait()
}

func (c *clients) run() {
	for n := 0; ; n++ {
		c.mu.Lock()
		if c.stopped {
			c.mu.Unlock()
			return
		}
		model := c.models[n%len(c.models)]
		c.wait.Add(1)
		c.mu.Unlock()
		go func() {
			defer c.wait.Done()
			sent := time.Now()
			served := c.request(n, model)
			c.mu.Lock()
			c.results = append(c.results, result{sent, served})
			c.mu.Unlock()
		}()
		time.Sleep(time.Second / requestsS)
	}
}

// request sends a request and, if it was refused with a time to return or its channel was refused, once more
// to another host, as clients with one retry do. It reports whether the request was served.
func (c *clients) request(n int, model string) bool {
	const budget = 5 * time.Second
	end := time.Now().Add(budget)
	for attempt := range 2 {
		h := c.hosts[(n+attempt)%len(c.hosts)]
		transport := c.transport
		if attempt > 0 {
			transport = c.retries
		}
		status, retry := c.send(transport, fmt.Sprintf("r%d-%d", n, attempt), model, h, time.Until(end))
		if status == http.StatusOK {
			return true
		}
		if status != 0 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			return false
		}
		time.Sleep(min(retry, time.Until(end)/3))
	}
	return false
}

// send sends one attempt. It returns status 200 only for a complete stream, and 0 without an answer.
func (c *clients) send(transport *http.Transport, id, model string, h *host, left time.Duration) (status int, retry time.Duration) {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/summary/x", strings.NewReader("{}"))
	if err != nil {
		panic(err)
	}
	req.Host, req.GetBody = "a.example", nil
	req.Header.Set("X-Request-Attempt-Id", id)
	req.Header.Set("X-Model-Name", model)
	req.Header.Set("X-Token-Counts", "491,70")
	req.Header.Set("X-Remaining-Milliseconds", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	client := http.Client{Transport: transport, Timeout: left}
	resp, err := client.Do(req)
	if err != nil {
		c.record.answer(id, 0, "from "+h.name+" for "+model+": no answer")
		return 0, 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	status = resp.StatusCode
	if status == http.StatusOK && (err != nil || strings.Count(string(body), "id: ") != 10) {
		status = 0
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		retry = time.Duration(s * float64(time.Second))
	}
	c.record.answer(id, status, "from "+h.name+" for "+model)
	return status, retry
}

// judge checks the rule RECOVER.
func (c *clients) judge(fault, back time.Time, lossy *lossyStore) (int, error) {
	share := func(from, to time.Time) (served, all int) {
		for _, x := range c.results {
			if !x.sent.Before(from) && x.sent.Before(to) {
				all++
				if x.served {
					served++
				}
			}
		}
		return served, all
	}
	servedBefore, before := share(time.Time{}, fault.Add(-hosts*rollGap))
	served, after := share(back.Add(recoverS), time.Now())
	lossy.mu.Lock()
	c.record.line("claims that the store accepted: %v", lossy.claims)
	lossy.mu.Unlock()
	c.record.line("served before the final fault: %d of %d; served of those sent later than %v after the hosts are back: %d of %d", servedBefore, before, recoverS, served, after)
	switch {
	case before == 0 || after == 0 || 4*servedBefore < before:
		return failed, fmt.Errorf("served before the final fault: %d of %d, sent after it: %d", servedBefore, before, after)
	case 4*served < after:
		c.record.line("RECOVER is broken")
		return broken, nil
	}
	return held, nil
}
