package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/record"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	MemoryMB      int64
	ChecksFencing bool
	FirstToken    time.Duration
	PerToken      time.Duration
	// Fetch fetches a checkpoint from the weight store.
	Fetch func(ctx context.Context, memoryMB int64) error
}

// EngineFaults configures the faults of an Engine.
type EngineFaults struct {
	// TruncateAfter truncates each stream after that many tokens. Zero disables the fault.
	TruncateAfter int `json:"cut_after"`
	// MislabelTokens sends tokens with the ID of another request.
	MislabelTokens bool `json:"cross"`
	// LoseResponses is the number of service calls that run without a response. The connection is
	// closed instead.
	LoseResponses int `json:"lose_answers"`
	// LoadDelay is added to each load.
	LoadDelay time.Duration `json:"load_delay"`
	// FailLoads makes each load fail.
	FailLoads bool `json:"fail_loads"`
}

// Engine is a model engine that also serves calls as a plain service. It is safe for concurrent
// use.
type Engine struct {
	cfg         EngineConfig
	incarnation record.Incarnation

	mu         sync.Mutex
	faults     EngineFaults
	fenceToken record.Offset
	replicas   map[record.ReplicaID]*replica
	// running holds the cancel functions of requests in progress by request ID.
	running map[string]context.CancelFunc
	// ran lists the IDs of all requests that ran.
	ran    []string
	peakMB int64
	// peakReplicas is the peak number of replicas of each model.
	peakReplicas map[string]int
	loads        int
}

type replica struct {
	external.EngineReplica
	loaded chan struct{}
	failed error
}

// NewEngine returns an engine without replicas.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg:          cfg,
		incarnation:  record.Incarnation(uuid.NewString()),
		replicas:     map[record.ReplicaID]*replica{},
		running:      map[string]context.CancelFunc{},
		peakReplicas: map[string]int{},
	}
}

// Incarnation returns the ID of this incarnation of the engine.
func (e *Engine) Incarnation() record.Incarnation { return e.incarnation }

// SetFaults replaces the current faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Activity records the activity of an engine for tests.
type Activity struct {
	// Ran lists the IDs of all requests that ran, in order.
	Ran []string `json:"ran"`
	// PeakMB is the peak memory usage of all replicas.
	PeakMB int64 `json:"peak_mb"`
	// PeakReplicas is the peak number of replicas of each model.
	PeakReplicas map[string]int `json:"peak"`
	Loads        int            `json:"loads"`
}

// Activity returns the activity of the engine so far.
func (e *Engine) Activity() Activity {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Activity{slices.Clone(e.ran), e.peakMB, maps.Clone(e.peakReplicas), e.loads}
}

// Handler returns a handler for the engine protocol and, under /control, for fault injection.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.status()) })
	mux.HandleFunc("POST /v1/generate", e.serveGenerate)
	mux.HandleFunc("POST /v1/cancel", e.serveCancel)
	mux.HandleFunc("POST /v1/call", e.serveCall)
	mux.HandleFunc("POST /v1/orders/{kind}", e.serveOrder)
	mux.HandleFunc("GET /v1/cache-events", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]any{"events": []external.CacheEvent{}})
	})
	mux.HandleFunc("POST /control/engine", controlHandler(e.SetFaults))
	mux.HandleFunc("GET /control/observed", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Activity()) })
	return mux
}

func (e *Engine) status() external.EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := external.EngineStatus{Incarnation: e.incarnation, MemoryMB: e.cfg.MemoryMB, Running: len(e.running)}
	for _, id := range slices.Sorted(maps.Keys(e.replicas)) {
		s.Replicas = append(s.Replicas, e.replicas[id].EngineReplica)
	}
	return s
}

type order struct {
	Replica   record.ReplicaID `json:"replica"`
	Model     string           `json:"model"`
	BaseModel string           `json:"base_model"`
	MemoryMB  int64            `json:"memory_mb"`
	Fence     record.Offset    `json:"fence"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var in order
	if !readJSON(w, r, &in) {
		return
	}
	if !e.checkFence(in.Fence) {
		http.Error(w, "stale fencing token", http.StatusPreconditionFailed)
		return
	}
	var err error
	switch r.PathValue("kind") {
	case "load":
		err = e.load(in)
	case "unload":
		err = e.unload(in.Replica)
	case "fence", "role":
	default:
		http.NotFound(w, r)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, in)
}

func (e *Engine) checkFence(fenceToken record.Offset) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cfg.ChecksFencing {
		return true
	}
	if fenceToken < e.fenceToken {
		return false
	}
	e.fenceToken = fenceToken
	return true
}

// load loads a replica and returns when it is loaded. Concurrent loads of the same replica share
// the first one.
func (e *Engine) load(o order) error {
	r, created, faults := e.reserve(o)
	if !created {
		<-r.loaded
		return r.failed
	}
	if faults.FailLoads {
		r.failed = fmt.Errorf("load of model %s failed: injected fault", o.Model)
	} else {
		time.Sleep(faults.LoadDelay)
		r.failed = e.cfg.Fetch(context.Background(), o.MemoryMB)
	}
	if r.failed != nil {
		e.mu.Lock()
		delete(e.replicas, o.Replica)
		e.mu.Unlock()
	}
	close(r.loaded)
	return r.failed
}

// reserve returns the replica of a load order, whether it was created by this call, and the
// current faults.
func (e *Engine) reserve(o order) (*replica, bool, EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.replicas[o.Replica]; r != nil {
		return r, false, e.faults
	}
	r := &replica{
		EngineReplica: external.EngineReplica{ID: o.Replica, Model: o.Model, MemoryMB: o.MemoryMB},
		loaded:        make(chan struct{}),
	}
	e.replicas[o.Replica] = r
	e.loads++
	var sum int64
	counts := map[string]int{}
	for _, r := range e.replicas {
		sum += r.MemoryMB
		counts[r.Model]++
	}
	e.peakMB = max(e.peakMB, sum)
	e.peakReplicas[o.Model] = max(e.peakReplicas[o.Model], counts[o.Model])
	return r, true, e.faults
}

// unload fails while the replica is serving requests.
func (e *Engine) unload(id record.ReplicaID) error {
	e.mu.Lock()
	r := e.replicas[id]
	e.mu.Unlock()
	if r == nil {
		return nil
	}
	<-r.loaded
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Running > 0 {
		return fmt.Errorf("replica %s is still serving %d requests", id, r.Running)
	}
	delete(e.replicas, id)
	return nil
}

// startRequest registers a request with a loaded replica of the model. It returns a nil replica if
// there is none.
func (e *Engine) startRequest(ctx context.Context, requestID, model string) (context.Context, *replica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.replicas {
		if r.Model != model || !isClosed(r.loaded) {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		e.running[requestID] = cancel
		e.ran = append(e.ran, requestID)
		r.Running++
		return ctx, r
	}
	return ctx, nil
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (e *Engine) finishRequest(requestID string, r *replica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel := e.running[requestID]; cancel != nil {
		cancel()
	}
	delete(e.running, requestID)
	r.Running--
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var in external.GenerateRequest
	if !readJSON(w, r, &in) {
		return
	}
	ctx, replica := e.startRequest(r.Context(), in.RequestID, in.Model)
	if replica == nil {
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	defer e.finishRequest(in.RequestID, replica)
	e.stream(ctx, w, in)
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, in external.GenerateRequest) {
	faults := e.currentFaults()
	id := in.RequestID
	if faults.MislabelTokens {
		id = "another-request"
	}
	words := responseTokens(in)
	out := json.NewEncoder(w)
	delay := e.cfg.FirstToken
	for i := in.ResumeFrom; i < len(words); i++ {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
		delay = e.cfg.PerToken
		if faults.TruncateAfter > 0 && i >= in.ResumeFrom+faults.TruncateAfter {
			panic(http.ErrAbortHandler)
		}
		_ = out.Encode(external.Token{RequestID: id, Index: i, Text: words[i]})
		w.(http.Flusher).Flush()
	}
	_ = out.Encode(external.Token{RequestID: id, Index: len(words), Done: true, Reason: "stop"})
}

// responseTokens returns the tokens of the response. They depend only on the request, so that a stream
// can be resumed on another replica.
func responseTokens(in external.GenerateRequest) []string {
	words := strings.Fields(fmt.Sprintf("%s answers: %s", in.Model, in.Prompt))
	for i := range words[1:] {
		words[i+1] = " " + words[i+1]
	}
	if in.MaxTokens > 0 && in.MaxTokens < len(words) {
		words = words[:in.MaxTokens]
	}
	return words
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var in struct {
		RequestID string `json:"request_id"`
	}
	if !readJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel := e.running[in.RequestID]; cancel != nil {
		cancel()
	}
	writeJSON(w, in)
}

func (e *Engine) serveCall(w http.ResponseWriter, r *http.Request) {
	var in external.ServiceCall
	if !readJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	e.ran = append(e.ran, in.RequestID)
	n := len(e.ran)
	lose := e.faults.LoseResponses > 0
	if lose {
		e.faults.LoseResponses--
	}
	e.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	body, _ := json.Marshal(map[string]any{"service": in.Service, "run": n, "echo": in.Body})
	writeJSON(w, external.ServiceResponse{RequestID: in.RequestID, Status: http.StatusOK, Body: body})
}
