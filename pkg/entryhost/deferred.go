package entryhost

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/completion"
	"github.com/tealvane/tealvane/pkg/lease"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/state"
)

const (
	// deferredTimeout is the timeout of one attempt at a deferred request.
	deferredTimeout       = 10 * time.Minute
	deferredRetryInterval = 5 * time.Second
	// maxConcurrentDeferred bounds the deferred requests that one host runs concurrently.
	maxConcurrentDeferred = 16
)

// deferredRunner runs the deferred requests that are assigned to this host.
type deferredRunner struct {
	host    *Host
	mu      sync.Mutex
	running map[string]bool
}

func newDeferredRunner(h *Host) *deferredRunner {
	return &deferredRunner{host: h, running: map[string]bool{}}
}

func (d *deferredRunner) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	every(ctx, d.host.settings.Timing.SessionRenew, func(ctx context.Context) {
		if d.host.stopping.Load() || !d.host.journal.CaughtUp() {
			return
		}
		for _, r := range d.host.state.Deferred.Open() {
			if d.assignedToSelf(r.ID) && d.start(r.ID) {
				running.Go(func() { d.runRequest(ctx, r) })
			}
		}
	})
}

// assignedToSelf reports whether this host runs a deferred request. Requests are distributed over
// the live hosts; those of a lost host are reassigned.
func (d *deferredRunner) assignedToSelf(id string) bool {
	d.host.watchMu.Lock()
	defer d.host.watchMu.Unlock()
	best, ok := lease.Preferred(id, d.host.watch.Candidates(d.host.now()))
	return ok && best == d.host.self
}

func (d *deferredRunner) start(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running[id] || len(d.running) >= maxConcurrentDeferred {
		return false
	}
	d.running[id] = true
	return true
}

func (d *deferredRunner) finish(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, id)
}

func (d *deferredRunner) runRequest(ctx context.Context, r state.DeferredRequest) {
	defer d.finish(r.ID)
	result, status, retry := d.complete(ctx, r)
	if retry {
		select {
		case <-ctx.Done():
		case <-time.After(deferredRetryInterval):
		}
		return
	}
	body, err := json.Marshal(result)
	if err != nil || len(body) > completion.MaxDeferredBytes {
		body, status = []byte(`{"error":"the answer is too large to keep"}`), http.StatusInsufficientStorage
	}
	_ = d.host.appendWithTimeout(ctx, record.Record{Finish: &record.DeferredResponse{ID: r.ID, Status: status, Body: body}})
}

// complete runs the request and reports whether it should be retried.
func (d *deferredRunner) complete(ctx context.Context, r state.DeferredRequest) (result completion.DeferredResult, status int, retry bool) {
	entry, ok := d.host.state.Contracts.Get(r.Customer)
	if !ok {
		return completion.DeferredResult{Error: "the customer has no contract any more"}, http.StatusForbidden, false
	}
	m, ok := entry.Contract.Model(r.Model)
	if !ok {
		return completion.DeferredResult{Error: "the contract does not hold the model any more"}, http.StatusForbidden, false
	}
	var body completion.DeferredBody
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return completion.DeferredResult{Error: err.Error()}, http.StatusBadRequest, false
	}
	c := completion.Call{
		Customer:    r.Customer,
		Model:       m,
		Weight:      entry.Contract.Weight,
		Rank:        entry.Contract.Class(m).RefuseRank,
		RequestID:   completion.NewRequestID(),
		Deadline:    d.host.now().Add(deferredTimeout),
		Prompt:      body.Prompt,
		MaxTokens:   body.MaxTokens,
		Temperature: body.Temperature,
	}
	if m.NonIdempotent {
		c.Key = &record.Key{Customer: r.Customer, Value: r.ID}
		c.Digest = completion.Digest(r.Model, string(r.Body))
	}
	a, refusal := d.host.runner.Start(ctx, c)
	if refusal == nil {
		result.Text, result.Tokens, result.Reason, refusal = a.Collect()
	}
	if refusal == nil {
		return result, http.StatusOK, false
	}
	if refusal.Reason == string(serve.CauseCrashes) {
		// Do not retry: the request would crash another endpoint each time its block expires.
		return completion.DeferredResult{Error: refusal.Message}, http.StatusBadGateway, false
	}
	if refusal.RetryAfter > 0 || !m.NonIdempotent {
		return completion.DeferredResult{}, 0, true
	}
	return completion.DeferredResult{Error: refusal.Message}, refusal.Status, false
}
