package site

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
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

func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Adapter   string `json:"adapter"`
		Expected  *int64 `json:"expected"`
		Holder    string `json:"holder"`
		Token     int64  `json:"fencing-token"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.model(o.Model)
	switch {
	case r.Header.Get("X-Expected-Instance") != e.config.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case !ok:
		w.WriteHeader(http.StatusBadRequest)
	case o.Token < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case e.loading != "" || o.Expected != nil && *o.Expected != e.sequence:
		e.fence = o.Token
		w.WriteHeader(http.StatusConflict)
	default:
		e.fence = o.Token
		e.sequence++
		w.WriteHeader(e.carryOut(o.Operation == "load", m, o.Adapter))
		e.beat()
	}
}

// carryOut starts an order; the endpoint is locked.
func (e *Endpoint) carryOut(load bool, m Model, adapter string) int {
	switch {
	case adapter != "" && e.holds[m.Name] == nil:
		return http.StatusMisdirectedRequest
	case adapter != "" && load:
		e.holds[m.Name][adapter] = true
	case adapter != "":
		delete(e.holds[m.Name], adapter)
	case !load:
		delete(e.holds, m.Name)
	default:
		e.load(m)
	}
	e.check()
	return http.StatusAccepted
}

func (e *Endpoint) load(m Model) {
	seconds := m.LoadS
	if e.copies[m.Name] {
		seconds = m.DiskS
	}
	e.loading = m.Name
	time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loading = ""
		e.holds[m.Name] = map[string]bool{}
		e.copies[m.Name] = true
		e.beat()
	})
}

// check notes what would crash a real endpoint.
func (e *Endpoint) check() {
	sum, adapters := 0.0, 0
	for name, held := range e.holds {
		m, _ := e.model(name)
		sum += m.WeightsMB + float64(len(held))*m.AdapterMB
		adapters += len(held)
	}
	if m, ok := e.model(e.loading); ok {
		sum += m.WeightsMB
	}
	if sum > e.config.WeightsMB {
		e.faults = append(e.faults, fmt.Sprintf("%.0f MB ordered into %.0f", sum, e.config.WeightsMB))
	}
	if adapters > e.config.AdapterSlots {
		e.faults = append(e.faults, fmt.Sprintf("%d adapters ordered into %d places", adapters, e.config.AdapterSlots))
	}
}

// serve answers a client's request.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Attempt-Id")
	w.Header().Set("X-Request-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", e.config.ID)
	b, status := e.admit(r, id, string(body))
	if status != 0 {
		if status != http.StatusMisdirectedRequest {
			w.Header().Set("X-Request-Not-Run", "1")
		}
		if b.Pause != "" {
			w.Header().Set("Retry-After", b.Pause)
		}
		w.WriteHeader(status)
		return
	}
	defer e.done()
	select {
	case <-time.After(b.Delay):
	case <-r.Context().Done():
		return
	}
	if b.Lose {
		panic(http.ErrAbortHandler)
	}
	if e.config.CrashOn != "" && string(body) == e.config.CrashOn {
		e.Close()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Signature", "sig-"+id)
	if b.Status != 0 {
		w.WriteHeader(b.Status)
		return
	}
	if e.config.Events == 0 {
		_, _ = io.WriteString(w, "answer to "+id) // The caller may have gone.
		return
	}
	e.stream(w, r, b)
}

// admit decides whether a request runs, and notes it if so.
func (e *Endpoint) admit(r *http.Request, id, body string) (Behavior, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model-Name"), "/")
	var b Behavior
	if e.config.Behave != nil {
		b = e.config.Behave(id, model, len(e.runs))
	}
	held := e.holds[model]
	switch {
	case r.Header.Get("X-Expected-Instance") != e.config.ID:
		return b, http.StatusMisdirectedRequest
	case len(e.config.Models) > 0 && (held == nil || adapter != "" && !held[adapter]):
		return b, http.StatusMisdirectedRequest
	case b.Reject || e.running >= e.config.Slots:
		return b, http.StatusServiceUnavailable
	}
	e.running++
	e.runs = append(e.runs, Run{ID: id, Model: model, Path: r.RequestURI, Body: body, From: r.Header.Get("Last-Event-Id"), Header: r.Header.Clone()})
	return b, 0
}

func (e *Endpoint) done() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// stream sends events with growing IDs, from the one after Last-Event-Id on.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, b Behavior) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	// Without an ID the stream starts at its first event.
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for sent, n := 0, last+1; n <= e.config.Events; n++ {
		if b.BreakAfter > 0 && sent == b.BreakAfter {
			// A part of an event goes out before the connection breaks.
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
		sent++
		select {
		case <-time.After(e.config.Pace):
		case <-r.Context().Done():
			return
		}
	}
}
