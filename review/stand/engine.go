package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
)

// serversTopic is the topic of the entries of workers.
const serversTopic = "keyed.servers"

// heartbeatInterval is how often a worker writes its entry.
const heartbeatInterval = 1200 * time.Millisecond

// order is an order as it arrived at a worker.
type order struct {
	at        time.Time
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Token     int64  `json:"fencing-token"`
	status    int
}

// engine is a model worker that does not check fences.
type engine struct {
	c       *cluster
	id      string
	zone    string
	addr    string
	service string
	models  []site.Model
	memory  float64

	mu        sync.Mutex
	loaded    []string
	running   map[string]int
	loading   string
	unloading string
	sequence  int64
	beats     int64
	orders    []order
	runs      int
}

const (
	engineSlots  = 64
	eventCount   = 13
	eventPause   = 20 * time.Millisecond
	adapterSlots = 8
)

func startEngine(c *cluster, id, zone, service string, models []site.Model, memory float64, loaded ...string) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{c: c, id: id, zone: zone, addr: l.Addr().String(), service: service, models: models, memory: memory, loaded: loaded, running: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /order", e.serveOrder)
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", e.id) })
	mux.HandleFunc("/", e.serveRequest)
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Second}).Serve(l) }()
	go func() {
		for {
			e.publish()
			time.Sleep(heartbeatInterval)
		}
	}()
	return e, nil
}

// publish writes the worker's entry.
func (e *engine) publish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publishLocked()
}

func (e *engine) publishLocked() {
	e.beats++
	onDisk := []string{}
	for _, m := range e.models {
		onDisk = append(onDisk, m.Name)
	}
	value, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": engineSlots,
		"state": "ready", "cold-remaining-ms": 0, "sequence": e.beats, "stage": "combined",
		"models": e.modelList(), "at-hand": map[string][]string{"in-memory": {}, "on-disk": onDisk},
	})
	if err != nil {
		panic(err)
	}
	e.c.store.Put(serversTopic, e.id, value)
}

func (e *engine) modelList() []map[string]any {
	out := []map[string]any{}
	for _, m := range e.loaded {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

func (e *engine) model(name string) (site.Model, bool) {
	i := slices.IndexFunc(e.models, func(m site.Model) bool { return m.Name == name })
	if i < 0 {
		return site.Model{}, false
	}
	return e.models[i], true
}

func (e *engine) serveReport(w http.ResponseWriter, r *http.Request) {
	if !e.addressed(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	running := 0
	for _, n := range e.running {
		running += n
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "combined", "models": e.modelList(), "busy": e.loading != "" || e.unloading != "", "sequence": e.sequence,
		"waiting": 0, "running": running, "kv-cache-used": 0, "kv-cache-total": 240000, "handles": 0, "runs": []any{}, "coming": []string{},
	})
}

// addressed reports whether a call is for this worker, and answers 421 otherwise.
func (e *engine) addressed(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	o := order{at: time.Now()}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !e.addressed(w, r) {
		return
	}
	e.mu.Lock()
	o.status = e.execute(o)
	e.orders = append(e.orders, o)
	e.mu.Unlock()
	e.c.logf("order at %s: %s %s by %s, epoch number %d, status %d", e.id, o.Operation, o.Model, o.Holder, o.Token, o.status)
	w.WriteHeader(o.status)
}

// execute carries out an order and returns the status of its answer. e.mu must be held.
func (e *engine) execute(o order) int {
	m, known := e.model(o.Model)
	holds := slices.Contains(e.loaded, o.Model)
	switch {
	case !known || o.Adapter != "":
		return http.StatusBadRequest
	case e.loading != "" || e.unloading != "" || o.Expected != nil && *o.Expected != e.sequence:
		return http.StatusConflict
	case holds == (o.Operation == "load"):
		return http.StatusOK
	}
	e.sequence++
	if o.Operation == "load" {
		e.loading = m.Name
		time.AfterFunc(time.Duration(m.DiskS*float64(time.Second)), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.loading = ""
			e.loaded = append(e.loaded, m.Name)
			e.publishLocked()
		})
		return http.StatusAccepted
	}
	e.unloading = m.Name
	e.finishUnload()
	return http.StatusAccepted
}

// finishUnload ends an unload once nothing runs on the model. e.mu must be held.
func (e *engine) finishUnload() {
	if e.unloading == "" || e.running[e.unloading] > 0 {
		return
	}
	e.loaded = slices.DeleteFunc(e.loaded, func(m string) bool { return m == e.unloading })
	e.unloading = ""
	e.publishLocked()
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id, model := r.Header.Get("X-Request-Attempt-Id"), r.Header.Get("X-Model-Name")
	w.Header().Set("X-Request-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", e.id)
	if !e.addressed(w, r) {
		return
	}
	last, err := strconv.Atoi(cmp.Or(r.Header.Get("Last-Event-Id"), "0"))
	if err != nil || id == "" {
		w.Header().Set("X-Request-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := e.begin(model); status != 0 {
		if status != http.StatusMisdirectedRequest {
			w.Header().Set("X-Request-Not-Run", "1")
		}
		w.WriteHeader(status)
		return
	}
	defer e.end(model)
	w.Header().Set("X-Server-Signature", "sig-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := last + 1; n <= eventCount; n++ {
		time.Sleep(eventPause)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}

func (e *engine) begin(model string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case model != "" && (e.loading == model || e.unloading == model):
		return http.StatusServiceUnavailable // The order is not complete.
	case !slices.Contains(e.loaded, model):
		return http.StatusMisdirectedRequest
	}
	e.running[model]++
	e.runs++
	return 0
}

func (e *engine) end(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[model]--
	e.finishUnload()
}

// takeOrders returns the orders that have arrived, in order.
func (e *engine) takeOrders() []order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}
