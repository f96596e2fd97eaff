package site

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Model describes a model.
type Model struct {
	Name      string  `json:"name"`
	WeightsMB float64 `json:"weights-mb"`
	LoadS     float64 `json:"load-s"`
	WarmS     float64 `json:"warm-s"`
	DiskS     float64 `json:"disk-s"`
	Adapters  int     `json:"adapters"`
	AdapterMB float64 `json:"adapter-mb"`
}

// Behavior configures how an endpoint handles one request. The zero value serves it normally.
type Behavior struct {
	// BreakAfter resets the connection after that many events. Zero disables the fault.
	BreakAfter int
	// LoseResponse runs the request and resets the connection without a response.
	LoseResponse bool
	// Status replaces the status 200 after the request has run. Zero means 200.
	Status int
	// Delay is added before the response.
	Delay time.Duration
	// Reject rejects the request without running it.
	Reject bool
	// RetryAfter is the Retry-After value of a rejection, in seconds. It is optional.
	RetryAfter string
	// Unframed sends the response with neither a length nor chunks if it is not nil.
	Unframed *Unframed
	// Raw, if not nil, writes the whole response to a request that runs. The connection is closed afterwards.
	Raw func(conn net.Conn, header http.Header, r *http.Request)
}

// Unframed is a response whose body ends with its connection.
type Unframed struct {
	// Cut is where the body ends.
	Cut Cut
	// Reset resets the connection instead of closing it.
	Reset bool
}

// Cut is where a response ends.
type Cut int

const (
	// CutNowhere sends the complete body.
	CutNowhere Cut = iota
	// CutBetweenEvents ends a stream after its first event, CutInsideEvent within its second one. Both
	// end other bodies after a part.
	CutBetweenEvents
	CutInsideEvent
	// CutBeforeBody ends after the head.
	CutBeforeBody
)

// EndpointConfig configures an Endpoint.
type EndpointConfig struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Queue is the number of requests that wait while all slots are in use.
	Queue int
	// FallTime is how long the endpoint is away after it has fallen over.
	FallTime time.Duration
	// Version is the software version, which each event of a stream names. Empty means "v1", and events do
	// not name it.
	Version string
	// StartMillis is the reported start time in Unix milliseconds. Zero means that none is reported.
	StartMillis int64
	// WeightsMB and AdapterSlots are the capacity for models and adapters. An endpoint without
	// Models is a plain service.
	WeightsMB    float64
	AdapterSlots int
	Models       []Model
	// LoadedModels lists the models that are loaded initially, and OnDisk those with a copy on disk.
	LoadedModels []string
	OnDisk       []string
	// Events is the number of events of a stream and EventInterval the interval between them.
	Events        int
	EventInterval time.Duration
	// CrashOn is the body of requests that crash the endpoint.
	CrashOn string
	// CrashOnPart is the ID of a part of prompts. The endpoint crashes as it begins to respond to a request
	// with this prompt part: a stream has a head then, but no event.
	CrashOnPart string
	// OnCrash is called after a crash by CrashOn or CrashOnPart. It may be nil.
	OnCrash func()
	// AdapterTransit returns how long the next adapter takes to arrive. Nil means that adapters arrive at once.
	AdapterTransit func() time.Duration
	// OrderFault selects what happens to the next order. It may be nil.
	OrderFault func() OrderFault
	// Unfenced executes orders also after one with a newer token.
	Unfenced bool
	// ReportLag is how old the state in a report is.
	ReportLag time.Duration
	// Behave selects the behavior for a request. n is the number of previous runs. If Behave is
	// nil, all requests are served normally.
	Behave func(id, model string, n int) Behavior
}

// Run records a request that ran.
type Run struct {
	ID, Model, Path, Body string
	// LastEventID is the Last-Event-Id header of the request.
	LastEventID string
	// Header holds all headers of the request.
	Header http.Header
}

// Endpoint is a model engine or plain service. It is safe for concurrent use.
type Endpoint struct {
	Addr    string
	config  EndpointConfig
	store   *Store
	handler http.Handler

	mu sync.Mutex
	// server is replaced when the endpoint returns after it has fallen over.
	server *http.Server
	closed bool
	// loaded holds the set of loaded adapters of each loaded model.
	loaded     map[string]map[string]bool
	diskCopies map[string]bool
	loading    string
	// unloading is the key of what is unloaded once no request uses it. uses counts the requests by key.
	unloading string
	uses      map[string]int
	// inTransit holds the adapters in transit by the sequence after their order.
	inTransit map[int64]*adapterInTransit
	// history holds the recent states for reports.
	history []pastReport
	// sequence counts the orders that passed the fencing and conflict checks.
	sequence int64
	// fence is the highest fencing token accepted.
	fence      int64
	running    int
	runs       []Run
	violations []string
	// entrySequence counts the entries published to the store.
	entrySequence int64
	draining      bool
	// rate is the rate limit sent in the Server-Limit header. It is optional.
	rate string
	// leavingHeader adds the Server-Leaving header to all responses.
	leavingHeader bool
	// brittle is the state that SetBrittle sets.
	brittle brittleState
	// arrivals are the arrival times of all requests, including orders and status queries of
	// hosts.
	arrivals []time.Time
}

// topicEndpoints is the topic of the endpoint entries.
const topicEndpoints = "keyed.servers"

// StartEndpoint starts an endpoint and registers it in the store.
func StartEndpoint(s *Store, c EndpointConfig) (*Endpoint, error) {
	netListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Addr: netListener.Addr().String(), config: c, store: s, loaded: map[string]map[string]bool{}, diskCopies: map[string]bool{}, uses: map[string]int{}, inTransit: map[int64]*adapterInTransit{}}
	for _, m := range c.LoadedModels {
		e.loaded[m] = map[string]bool{}
		e.diskCopies[m] = true
	}
	for _, m := range c.OnDisk {
		e.diskCopies[m] = true
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("/", e.serve)
	e.handler = e.recordArrival(mux)
	e.server = e.newServer()
	go func() { _ = e.server.Serve(netListener) }()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publishEntry()
	return e, nil
}

// Close stops the endpoint without deregistering it, like a crash.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
}

func (e *Endpoint) newServer() *http.Server {
	return &http.Server{Handler: e.handler, ReadHeaderTimeout: time.Second}
}

// crash stops the endpoint because of a request.
func (e *Endpoint) crash() {
	e.Close()
	if e.config.OnCrash != nil {
		e.config.OnCrash()
	}
}

// Drain announces in the store that the endpoint is draining. The endpoint continues to serve.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.publishEntry()
}

// Name returns the name of the endpoint.
func (e *Endpoint) Name() string { return e.config.ID }

// Remove stops the endpoint and removes its entry from the store.
func (e *Endpoint) Remove() {
	e.Close()
	e.store.Put(topicEndpoints, e.config.ID, nil)
}

// Heartbeat writes the entry of the endpoint again, as endpoints do from time to time.
func (e *Endpoint) Heartbeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publishEntry()
}

// SetRateLimitHeader sets the rate limit, in requests per second, that responses contain. An
// empty string removes it.
func (e *Endpoint) SetRateLimitHeader(rate string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rate = rate
}

// SetDrainingHeader makes all responses announce that the endpoint is draining, without updating its
// entry in the store.
func (e *Endpoint) SetDrainingHeader() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leavingHeader = true
}

// Arrivals returns the arrival times of all requests, including orders and status queries of
// hosts.
func (e *Endpoint) Arrivals() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// recordArrival wraps a handler to record arrival times and add the common response headers.
func (e *Endpoint) recordArrival(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.arrivals = append(e.arrivals, time.Now())
		if e.rate != "" {
			w.Header().Set("Server-Limit", e.rate)
		}
		if e.leavingHeader {
			w.Header().Set("Server-Leaving", "1")
		}
		if e.brittle.header != "" {
			w.Header().Set("Server-Brittle", e.brittle.header)
		}
		e.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// Runs returns the requests that ran, in order.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

// Running returns the number of requests in progress.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Violations returns the orders that exceeded the capacity of the endpoint.
func (e *Endpoint) Violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.violations)
}

type wireModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// loadedModels returns the loaded models and adapters. e.mu must be held.
func (e *Endpoint) loadedModels() []wireModel {
	out := []wireModel{}
	for m, adapters := range e.loaded {
		entry := wireModel{Name: m, Version: 1, Adapters: []string{}}
		for a := range adapters {
			entry.Adapters = append(entry.Adapters, a)
		}
		out = append(out, entry)
	}
	return out
}

// publishEntry writes the entry of the endpoint to the store. e.mu must be held.
func (e *Endpoint) publishEntry() {
	e.recordReport()
	e.entrySequence++
	onDisk := []string{}
	for m := range e.diskCopies {
		onDisk = append(onDisk, m)
	}
	state := "ready"
	if e.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service":  e.config.Service,
		"address":  e.Addr,
		"zone":     e.config.Zone,
		"version":  cmp.Or(e.config.Version, "v1"),
		"slots":    e.config.Slots,
		"state":    state,
		"models":   e.loadedModels(),
		"at-hand":  map[string][]string{"in-memory": {}, "on-disk": onDisk},
		"sequence": e.entrySequence,

		"cold-remaining-ms": 0,
	}
	if e.config.StartMillis != 0 {
		entry["born"] = e.config.StartMillis
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	e.store.Put(topicEndpoints, e.config.ID, value)
}

func (e *Endpoint) model(name string) (Model, bool) {
	i := slices.IndexFunc(e.config.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return e.config.Models[i], true
}

// pastReport is a report with the time of its state.
type pastReport struct {
	at     time.Time
	report map[string]any
}

// recordReport records the state for reports. e.mu must be held.
func (e *Endpoint) recordReport() {
	coming := []string{}
	for _, a := range e.inTransit {
		coming = append(coming, modelKey(a.model, a.name)+"@1")
	}
	_, isModel := e.model(e.unloading)
	report := map[string]any{
		"models":   e.loadedModels(),
		"coming":   coming,
		"busy":     e.loading != "" || isModel,
		"sequence": e.sequence,
		"running":  e.running,
	}
	if e.config.StartMillis != 0 {
		report["born"] = e.config.StartMillis
	}
	now := time.Now()
	for len(e.history) > 1 && now.Sub(e.history[1].at) >= e.config.ReportLag {
		e.history = e.history[1:]
	}
	e.history = append(e.history, pastReport{now, report})
}

// report responds with the newest state that is as old as the ReportLag, or the oldest one known.
func (e *Endpoint) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ReportLag == 0 {
		e.recordReport()
	}
	newest := e.history[0]
	for _, p := range e.history[1:] {
		if time.Since(p.at) >= e.config.ReportLag {
			newest = p
		}
	}
	writeJSON(w, http.StatusOK, newest.report)
}
