package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

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
		w.WriteHeader(e.execute(o.Operation == "load", m, o.Adapter))
		e.publishEntry()
	}
}

// execute carries out an order and returns the status of the response. e.mu must be held.
func (e *Endpoint) execute(load bool, m Model, adapter string) int {
	switch {
	case adapter != "" && e.loaded[m.Name] == nil:
		return http.StatusMisdirectedRequest
	case adapter != "" && load:
		e.loaded[m.Name][adapter] = true
	case adapter != "":
		delete(e.loaded[m.Name], adapter)
	case !load:
		delete(e.loaded, m.Name)
	default:
		e.load(m)
	}
	e.checkCapacity()
	return http.StatusAccepted
}

// load loads a model in the background. e.mu must be held.
func (e *Endpoint) load(m Model) {
	seconds := m.LoadS
	if e.diskCopies[m.Name] {
		seconds = m.DiskS
	}
	e.loading = m.Name
	time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loading = ""
		e.loaded[m.Name] = map[string]bool{}
		e.diskCopies[m.Name] = true
		e.publishEntry()
	})
}

// checkCapacity records a violation if the loaded models and adapters exceed the capacity of the
// endpoint. e.mu must be held.
func (e *Endpoint) checkCapacity() {
	sum, adapters := 0.0, 0
	for name, loadedAdapters := range e.loaded {
		m, _ := e.model(name)
		sum += m.WeightsMB + float64(len(loadedAdapters))*m.AdapterMB
		adapters += len(loadedAdapters)
	}
	if m, ok := e.model(e.loading); ok {
		sum += m.WeightsMB
	}
	if sum > e.config.WeightsMB {
		e.violations = append(e.violations, fmt.Sprintf("models need %.0f MB, exceeding the capacity of %.0f MB", sum, e.config.WeightsMB))
	}
	if adapters > e.config.AdapterSlots {
		e.violations = append(e.violations, fmt.Sprintf("%d adapters exceed the capacity of %d", adapters, e.config.AdapterSlots))
	}
}
