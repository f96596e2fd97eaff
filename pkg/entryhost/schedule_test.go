package entryhost

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/tealvane/tealvane/pkg/completion"
	"pgregory.net/rapid"
)

const (
	maxWait = 8 * time.Second
	// settleTime lets hosts join, claim the pool and discover its endpoints.
	settleTime = 6 * time.Second
	// tolerance allows for message delays after a decision is due.
	tolerance = 20 * time.Millisecond
)

const testContract = `
customer: c
credentials: [{sha256: "0000000000000000000000000000000000000000000000000000000000000000"}]
classes: [{name: k, max_wait: 8s}]
models:
  - {name: m0, pool: p, class: k, weights_mb: 30, kv_cache_mb: 10, max_replicas: 2, concurrency: 4, keep_alive: 5s, load_estimate: 1200ms}
  - {name: m1, pool: p, class: k, weights_mb: 40, concurrency: 4, keep_alive: 5s, load_estimate: 1200ms}
  - {name: m2, pool: p, class: k, weights_mb: 60, concurrency: 4, keep_alive: 5s, load_estimate: 1200ms}
  - {name: narrow, pool: p, class: k, weights_mb: 40, concurrency: 1, load_estimate: 1200ms}
  - {name: once, pool: p, class: k, weights_mb: 20, concurrency: 4, non_idempotent: true, load_estimate: 1200ms}
  - {name: lookup, kind: service, pool: s, class: k, concurrency: 4}
  - {name: screen, kind: service, pool: s, class: k, concurrency: 4, non_idempotent: true}
`

// testCall is a request and its outcome as seen by the caller.
type testCall struct {
	id        string
	model     string
	key       string
	start     time.Time
	end       time.Time
	deadline  time.Time
	text      string
	refusal   *completion.Refusal
	responses int
	// timeout is the time until the deadline of the call. The default is maxWait.
	timeout time.Duration
	// customer defaults to "c". body defaults to the prompt.
	customer string
	body     string
}

// expectedText returns the complete response to the call.
func (c *testCall) expectedText() string { return fakeText(c.prompt()) }

// prompt returns the key, so that retries with the same key have the same prompt, or else the ID.
func (c *testCall) prompt() string {
	if c.key != "" {
		return c.key
	}
	return c.id
}

// send sends the request to a host and records the outcome.
func (c *testCall) send(h *fakeHost) {
	h.active.Add(1)
	defer h.active.Done()
	c.start = time.Now()
	c.deadline = c.start.Add(cmp.Or(c.timeout, maxWait))
	defer func() {
		c.end = time.Now()
		c.responses++
	}()
	customer := cmp.Or(c.customer, "c")
	entry, ok := h.state.Contracts.Get(customer)
	if !ok {
		c.refusal = completion.NotRun("no contract", 0, "")
		return
	}
	m, _ := entry.Contract.Model(c.model)
	key, refusal := completion.KeyFor(customer, m, c.key)
	if refusal != nil {
		c.refusal = refusal
		return
	}
	if m.Loadable() {
		c.generate(h, completion.Call{
			Customer:  customer,
			Model:     m,
			RequestID: c.id,
			Key:       key,
			Digest:    completion.Digest(c.model, c.prompt()),
			Deadline:  c.deadline,
			Prompt:    c.prompt(),
		})
		return
	}
	body, refusal := h.runner.CallService(context.Background(), completion.Call{
		Customer:  customer,
		Model:     m,
		RequestID: c.id,
		Key:       key,
		Digest:    completion.Digest(c.model, c.prompt()),
		Deadline:  c.deadline,
		Body:      []byte(cmp.Or(c.body, `"`+c.prompt()+`"`)),
	})
	c.text, c.refusal = string(body), refusal
}

func (c *testCall) generate(h *fakeHost, in completion.Call) {
	a, refusal := h.runner.Start(context.Background(), in)
	if refusal == nil {
		c.text, _, _, refusal = a.Collect()
	}
	c.refusal = refusal
}

// event is a failure at a point in a schedule.
type event struct {
	at   time.Duration
	kind string
	arg  int
}

// schedule is a generated sequence of requests and failures.
type schedule struct {
	calls  []scheduledCall
	events []event
}

type scheduledCall struct {
	at    time.Duration
	host  int
	model string
	key   int
}

func (p scheduledCall) keyName() string { return fmt.Sprintf("%s %d", p.model, p.key) }

const (
	scheduleHosts    = 3
	scheduleLengthMS = 20_000
)

func drawSchedule(t *rapid.T, kinds []string) schedule {
	ms := rapid.IntRange(0, scheduleLengthMS)
	var p schedule
	for range rapid.IntRange(5, 60).Draw(t, "calls") {
		p.calls = append(p.calls, scheduledCall{
			// Round to whole seconds so that many calls start concurrently.
			at:    time.Duration(ms.Draw(t, "call at")/1000) * time.Second,
			host:  rapid.IntRange(0, scheduleHosts-1).Draw(t, "host"),
			model: rapid.SampledFrom([]string{"m0", "m1", "m2", "once", "lookup", "screen"}).Draw(t, "model"),
			key:   rapid.IntRange(0, 5).Draw(t, "key"),
		})
	}
	for range rapid.IntRange(0, 8).Draw(t, "failures") {
		p.events = append(p.events, event{
			at:   time.Duration(ms.Draw(t, "failure at")) * time.Millisecond,
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			arg:  rapid.IntRange(0, 5).Draw(t, "arg"),
		})
	}
	slices.SortFunc(p.events, func(a, b event) int { return int(a.at - b.at) })
	return p
}

// result is the outcome of a schedule.
type result struct {
	calls   []*testCall
	cluster *fakeCluster
	// runs counts the runs of each request ID.
	runs map[string]int
}

// runSchedule executes a schedule in virtual time.
func runSchedule(p schedule) result {
	f := newFakeCluster()
	f.addEngine("e0", "p", true)
	f.addEngine("e1", "p", false)
	f.addService("l0", "lookup")
	f.addService("s0", "screen")
	f.addService("s1", "screen")
	hosts := make([]*fakeHost, scheduleHosts)
	for i := range hosts {
		hosts[i] = f.startHost(fmt.Sprintf("h%d", i))
	}
	f.publish(0, testContract)
	time.Sleep(settleTime)
	keys := map[string]string{}
	for _, scheduled := range p.calls {
		name := scheduled.keyName()
		if keys[name] == "" {
			keys[name] = uuid.Must(uuid.NewV7()).String()
		}
	}
	r := result{cluster: f, runs: map[string]int{}}
	begin := time.Now()
	var mu sync.Mutex
	var waiting sync.WaitGroup
	for i, scheduled := range p.calls {
		c := &testCall{id: fmt.Sprintf("call-%d", i), model: scheduled.model}
		if scheduled.model == "once" || scheduled.model == "screen" {
			c.key = keys[scheduled.keyName()]
		}
		r.calls = append(r.calls, c)
		waiting.Go(func() {
			time.Sleep(scheduled.at)
			mu.Lock()
			h := hosts[scheduled.host]
			mu.Unlock()
			c.send(h)
		})
	}
	for _, e := range p.events {
		time.Sleep(e.at - time.Since(begin))
		mu.Lock()
		f.inject(e, hosts)
		mu.Unlock()
	}
	waiting.Wait()
	f.stopAll()
	for _, id := range f.ranRequests() {
		r.runs[id]++
	}
	return r
}

// inject causes a failure.
func (f *fakeCluster) inject(e event, hosts []*fakeHost) {
	engines := []*fakeEngine{f.engines["e0"], f.engines["e1"], f.engines["l0"], f.engines["s0"], f.engines["s1"]}
	engine := engines[e.arg%len(engines)]
	if e.kind == "kill host" {
		i := e.arg % len(hosts)
		hosts[i].kill()
		hosts[i] = f.startHost(hosts[i].settings.Host)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch e.kind {
	case "log down":
		f.logDown = true
		time.AfterFunc(time.Duration(e.arg+1)*time.Second, func() { f.setLogDown(false) })
	case "lose append answers":
		f.loseAppendResponses += e.arg
	case "late appends":
		f.lateAppends += e.arg
	case "lose answers":
		engine.loseResponses += e.arg
	case "cut streams":
		engine.truncateAfter = e.arg
	case "cross answers":
		engine.mislabelTokens = !engine.mislabelTokens
	case "slow loads":
		engine.loadTime = time.Duration(e.arg+1) * time.Second
	case "restart endpoint":
		engine.restart()
		for i := range f.hostList {
			if f.hostList[i].Name == engine.name {
				f.hostList[i].Incarnation = engine.incarnation
			}
		}
	}
}

var allFailures = []string{
	"kill host", "log down", "lose append answers", "late appends", "lose answers",
	"cut streams", "cross answers", "slow loads", "restart endpoint",
}

// inVirtualTime runs f in a synctest bubble and returns the problems that it found.
func inVirtualTime(t *testing.T, f func() []string) (found []string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) { found = f() })
	return found
}

// checkSchedules runs generated schedules and checks each result.
func checkSchedules(t *testing.T, kinds []string, check func(result) []string) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		p := drawSchedule(rt, kinds)
		found := inVirtualTime(t, func() []string { return check(runSchedule(p)) })
		for _, problem := range found {
			rt.Errorf("%s", problem)
		}
	})
}
