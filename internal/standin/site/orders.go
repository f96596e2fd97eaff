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
