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
	// settleTime lets hosts join, claim the pool and see its endpoints.
	settleTime = 6 * time.Second
	// tolerance covers hops of the fakes after a decision was due.
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

// testCall is one request of a test with all that its caller saw.
type testCall struct {
	id       string
	model    string
	key      string
	start    time.Time
	end      time.Time
	deadline time.Time
	text     string
	refusal  *completion.Refusal
	answers  int
	// wait is the caller's longest wait, by default that of the contract.
	wait time.Duration
	// customer is "c" unless set, and body names the call.
	customer string
	body     string
}

// expected is the whole answer to the call.
func (c *testCall) expected() string { return fakeText(c.prompt()) }

// prompt is the same for repeats with one key.
func (c *testCall) prompt() string {
	if c.key != "" {
		return c.key
	}
	return c.id
}

// do sends a request to a host and notes the answer.
func (c *testCall) do(h *fakeHost) {
	h.active.Add(1)
	defer h.active.Done()
	c.start = time.Now()
	c.deadline = c.start.Add(cmp.Or(c.wait, maxWait))
	defer func() {
		c.end = time.Now()
		c.answers++
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

// event is something that happens in a schedule.
type event struct {
	at   time.Duration
	kind string
	arg  int
}

// plan is a drawn schedule of requests and failures.
type plan struct {
	calls  []plannedCall
	events []event
}

type plannedCall struct {
	at    time.Duration
	host  int
	model string
	key   int
}

func (p plannedCall) keyName() string { return fmt.Sprintf("%s %d", p.model, p.key) }

const (
	hostsInPlan = 3
	horizonMS   = 20_000
)

func drawPlan(t *rapid.T, kinds []string) plan {
	ms := rapid.IntRange(0, horizonMS)
	var p plan
	for range rapid.IntRange(5, 60).Draw(t, "calls") {
		p.calls = append(p.calls, plannedCall{
			// Many calls start at the same moment.
			at:    time.Duration(ms.Draw(t, "call at")/1000) * time.Second,
			host:  rapid.IntRange(0, hostsInPlan-1).Draw(t, "host"),
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

// result is what a schedule led to.
type result struct {
	calls []*testCall
	fakes *fakes
	// runs maps each request ID to the number of its runs.
	runs map[string]int
}

// runPlan carries a schedule out in virtual time.
func runPlan(p plan) result {
	f := newFakes()
	f.addEngine("e0", "p", true)
	f.addEngine("e1", "p", false)
	f.addService("l0", "lookup")
	f.addService("s0", "screen")
	f.addService("s1", "screen")
	hosts := make([]*fakeHost, hostsInPlan)
	for i := range hosts {
		hosts[i] = f.boot(fmt.Sprintf("h%d", i))
	}
	f.publish(0, testContract)
	time.Sleep(settleTime)
	keys := map[string]string{}
	for _, planned := range p.calls {
		name := planned.keyName()
		if keys[name] == "" {
			keys[name] = uuid.Must(uuid.NewV7()).String()
		}
	}
	r := result{fakes: f, runs: map[string]int{}}
	begin := time.Now()
	var mu sync.Mutex
	var waiting sync.WaitGroup
	for i, planned := range p.calls {
		c := &testCall{id: fmt.Sprintf("call-%d", i), model: planned.model}
		if planned.model == "once" || planned.model == "screen" {
			c.key = keys[planned.keyName()]
		}
		r.calls = append(r.calls, c)
		waiting.Go(func() {
			time.Sleep(planned.at)
			mu.Lock()
			h := hosts[planned.host]
			mu.Unlock()
			c.do(h)
		})
	}
	for _, e := range p.events {
		time.Sleep(e.at - time.Since(begin))
		mu.Lock()
		f.fail(e, hosts)
		mu.Unlock()
	}
	waiting.Wait()
	f.end()
	for _, id := range f.allRan() {
		r.runs[id]++
	}
	return r
}

// fail brings one failure about.
func (f *fakes) fail(e event, hosts []*fakeHost) {
	engines := []*fakeEngine{f.engines["e0"], f.engines["e1"], f.engines["l0"], f.engines["s0"], f.engines["s1"]}
	engine := engines[e.arg%len(engines)]
	if e.kind == "kill host" {
		i := e.arg % len(hosts)
		hosts[i].kill()
		hosts[i] = f.boot(hosts[i].settings.Host)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch e.kind {
	case "log down":
		f.down = true
		time.AfterFunc(time.Duration(e.arg+1)*time.Second, func() { f.setDown(false) })
	case "lose append answers":
		f.lose += e.arg
	case "late appends":
		f.late += e.arg
	case "lose answers":
		engine.loseAnswers += e.arg
	case "cut streams":
		engine.cutAfter = e.arg
	case "cross answers":
		engine.cross = !engine.cross
	case "slow loads":
		engine.loadTime = time.Duration(e.arg+1) * time.Second
	case "restart endpoint":
		engine.restart()
		for i := range f.list {
			if f.list[i].Name == engine.name {
				f.list[i].Incarnation = engine.incarnation
			}
		}
	}
}

var allFailures = []string{
	"kill host", "log down", "lose append answers", "late appends", "lose answers",
	"cut streams", "cross answers", "slow loads", "restart endpoint",
}

// inBubble runs f in virtual time and returns what it found.
func inBubble(t *testing.T, f func() []string) (found []string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) { found = f() })
	return found
}

// checkPlans runs drawn schedules and checks each result.
func checkPlans(t *testing.T, kinds []string, check func(result) []string) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt, kinds)
		found := inBubble(t, func() []string { return check(runPlan(p)) })
		for _, problem := range found {
			rt.Errorf("%s", problem)
		}
	})
}
