package site

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Model is a model of the stand-in's engine.
type Model struct {
	Name      string  `json:"name"`
	WeightsMB float64 `json:"weights-mb"`
	LoadS     float64 `json:"load-s"`
	WarmS     float64 `json:"warm-s"`
	DiskS     float64 `json:"disk-s"`
	Adapters  int     `json:"adapters"`
	AdapterMB float64 `json:"adapter-mb"`
}

// Behavior is what an endpoint does with one request, beyond serving it.
type Behavior struct {
	// BreakAfter resets the connection after that many events; 0 never does.
	BreakAfter int
	// Lose runs the request and resets the connection before any answer.
	Lose bool
	// Status is answered in place of 200 after a run.
	Status int
	// Delay passes from the start of a run until anything comes of it.
	Delay time.Duration
	// Reject refuses without running.
	Reject bool
	// Pause is stated in a rejection, in seconds, unless it is empty.
	Pause string
}

// EndpointConfig describes one endpoint.
type EndpointConfig struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Born is stated as the start, in Unix milliseconds; 0 states none.
	Born int64
	// WeightsMB and AdapterSlots are the memory; without models it is a plain service.
	WeightsMB    float64
	AdapterSlots int
	Models       []Model
	// Holds are loaded at the start, OnDisk have a copy there.
	Holds  []string
	OnDisk []string
	// Events is the number of events of a stream and Pace the pause between them.
	Events int
	Pace   time.Duration
	// CrashOn is the body of a request that ends the endpoint as soon as it runs.
	CrashOn string
	// Behave chooses what happens to a request; nil serves all.
	Behave func(id, model string, n int) Behavior
}

// Run is one run that truly took place.
type Run struct {
	ID, Model, Path, Body string
	// From is the ID of the last event that the client had.
	From string
	// Header is what the endpoint got.
	Header http.Header
}

// Endpoint is one endpoint.
type Endpoint struct {
	Addr   string
	config EndpointConfig
	store  *Store
	server *http.Server

	mu       sync.Mutex
	holds    map[string]map[string]bool
	copies   map[string]bool
	loading  string
	sequence int64
	fence    int64
	running  int
	runs     []Run
	faults   []string
	beats    int64
	draining bool
	// rate is the request rate that answers state, empty for none.
	rate string
	// leaving makes answers state that the endpoint leaves.
	leaving bool
	// arrivals are when requests came, calls of hosts among them.
	arrivals []time.Time
}

// topicEndpoints is the topic of the endpoints' entries.
const topicEndpoints = "keyed.servers"

// StartEndpoint serves an endpoint and enters it into the store.
func StartEndpoint(s *Store, c EndpointConfig) (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Addr: l.Addr().String(), config: c, store: s, holds: map[string]map[string]bool{}, copies: map[string]bool{}}
	for _, m := range c.Holds {
		e.holds[m] = map[string]bool{}
		e.copies[m] = true
	}
	for _, m := range c.OnDisk {
		e.copies[m] = true
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: e.arrive(mux), ReadHeaderTimeout: time.Second}
	go func() { _ = e.server.Serve(l) }() // It ends with Close.
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beat()
	return e, nil
}

// Close ends the endpoint without a word, as a crash does.
func (e *Endpoint) Close() { _ = e.server.Close() }

// Drain announces that the endpoint leaves; it goes on to serve.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.beat()
}

// StateRate makes all answers state how many requests a second the endpoint takes; an empty text
// makes them state none.
func (e *Endpoint) StateRate(rate string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rate = rate
}

// StateLeaving makes all answers state that the endpoint leaves; its entry does not.
func (e *Endpoint) StateLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Arrivals returns when requests came, orders and questions of hosts among them.
func (e *Endpoint) Arrivals() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// arrive notes a request and states what all answers state.
func (e *Endpoint) arrive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.arrivals = append(e.arrivals, time.Now())
		if e.rate != "" {
			w.Header().Set("Server-Limit", e.rate)
		}
		if e.leaving {
			w.Header().Set("Server-Leaving", "1")
		}
		e.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// Runs returns what the endpoint has run.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

// Faults returns what the endpoint was ordered that would crash a real one.
func (e *Endpoint) Faults() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.faults)
}

type wireHeld struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (e *Endpoint) held() []wireHeld {
	out := []wireHeld{}
	for m, adapters := range e.holds {
		h := wireHeld{Name: m, Version: 1, Adapters: []string{}}
		for a := range adapters {
			h.Adapters = append(h.Adapters, a)
		}
		out = append(out, h)
	}
	return out
}

// beat writes the endpoint's entry; it is locked.
func (e *Endpoint) beat() {
	e.beats++
	onDisk := []string{}
	for m := range e.copies {
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
		"version":  "v1",
		"slots":    e.config.Slots,
		"state":    state,
		"models":   e.held(),
		"at-hand":  map[string][]string{"in-memory": {}, "on-disk": onDisk},
		"sequence": e.beats,

		"cold-remaining-ms": 0,
	}
	if e.config.Born != 0 {
		entry["born"] = e.config.Born
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err) // The entry holds nothing that cannot be encoded.
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

func (e *Endpoint) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := map[string]any{
		"models":   e.held(),
		"busy":     e.loading != "",
		"sequence": e.sequence,
		"running":  e.running,
	}
	if e.config.Born != 0 {
		report["born"] = e.config.Born
	}
	answer(w, http.StatusOK, report)
}
