package entryhost

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/lease"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

const (
	// deferredWait is the deadline of one try; a deferred request waits longer
	// than any caller would, and is tried again.
	deferredWait  = 10 * time.Minute
	deferredRetry = 5 * time.Second
	// maxDeferred bounds the deferred requests that one host runs at once.
	maxDeferred = 16
	// maxDeferredBytes bounds a deferred request and its answer, which are records.
	maxDeferredBytes = 128 << 10
)

// deferredRunner runs the deferred requests that fall to this host.
type deferredRunner struct {
	host *Host
	mu   sync.Mutex
	busy map[string]bool
}

func newDeferredRunner(h *Host) *deferredRunner {
	return &deferredRunner{host: h, busy: map[string]bool{}}
}

// deferredBody is the recorded form of a deferred request.
type deferredBody struct {
	Prompt    string  `json:"prompt"`
	MaxTokens int     `json:"max_tokens,omitempty"`
	Temp      float64 `json:"temperature,omitempty"`
}

// deferredAnswer is the recorded form of its answer.
type deferredAnswer struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	Reason string `json:"reason"`
	Error  string `json:"error,omitempty"`
}

func (d *deferredRunner) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	every(ctx, d.host.settings.Timing.SessionRenew, func(ctx context.Context) {
		if d.host.stopping.Load() || !d.host.journal.CaughtUp() {
			return
		}
		for _, r := range d.host.state.Deferred.Open() {
			if d.mine(r.ID) && d.begin(r.ID) {
				running.Go(func() { d.runOne(ctx, r) })
			}
		}
	})
}

// mine spreads the requests over the live hosts; when a host is lost, its
// requests fall to others.
func (d *deferredRunner) mine(id string) bool {
	d.host.watchMu.Lock()
	defer d.host.watchMu.Unlock()
	best, ok := lease.Preferred(id, d.host.watch.Candidates(d.host.now()))
	return ok && best == d.host.self
}

func (d *deferredRunner) begin(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.busy[id] || len(d.busy) >= maxDeferred {
		return false
	}
	d.busy[id] = true
	return true
}

func (d *deferredRunner) end(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busy, id)
}

func (d *deferredRunner) runOne(ctx context.Context, r state.DeferredRequest) {
	defer d.end(r.ID)
	answer, status, retry := d.answer(ctx, r)
	if retry {
		select {
		case <-ctx.Done():
		case <-time.After(deferredRetry):
		}
		return
	}
	body, err := json.Marshal(answer)
	if err != nil || len(body) > maxDeferredBytes {
		body, status = []byte(`{"error":"the answer is too large to keep"}`), http.StatusInsufficientStorage
	}
	_ = d.host.appendSoon(ctx, record.Record{Finish: &record.DeferFinish{ID: r.ID, Status: status, Body: body}})
}

// answer runs the request. A refusal that invites a repeat is tried again.
func (d *deferredRunner) answer(ctx context.Context, r state.DeferredRequest) (answer deferredAnswer, status int, retry bool) {
	entry, ok := d.host.state.Contracts.Get(r.Customer)
	if !ok {
		return deferredAnswer{Error: "the customer has no contract any more"}, http.StatusForbidden, false
	}
	m, ok := entry.Contract.Model(r.Model)
	if !ok {
		return deferredAnswer{Error: "the contract does not hold the model any more"}, http.StatusForbidden, false
	}
	var body deferredBody
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return deferredAnswer{Error: err.Error()}, http.StatusBadRequest, false
	}
	c := call{
		customer:  r.Customer,
		model:     m,
		rank:      entry.Contract.Class(m).RefuseRank,
		requestID: newRequestID(),
		deadline:  d.host.now().Add(deferredWait),
		prompt:    body.Prompt,
		maxTokens: body.MaxTokens,
		temp:      body.Temp,
	}
	if m.NonIdempotent {
		c.key = &record.Key{Customer: r.Customer, Value: r.ID}
		c.digest = digest(r.Model, string(r.Body))
	}
	a, refusal := d.host.start(ctx, c)
	if refusal == nil {
		answer.Text, answer.Tokens, answer.Reason, refusal = a.collect()
	}
	if refusal == nil {
		return answer, http.StatusOK, false
	}
	if refusal.RetryAfter > 0 || !m.NonIdempotent {
		return deferredAnswer{}, 0, true
	}
	return deferredAnswer{Error: refusal.Message}, refusal.Status, false
}
