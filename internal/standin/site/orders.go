package site

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"time"
)

// OrderFault is what happens to an order on its way. The zero value executes and answers it.
type OrderFault struct {
	// Lost orders are neither executed nor answered.
	Lost bool
	// LateBy is how much later an order is executed. It is not answered then.
	LateBy time.Duration
	// LoseResponse executes the order without an answer.
	LoseResponse bool
}

type orderRequest struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Token     int64  `json:"fencing-token"`
}

func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var o orderRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var fault OrderFault
	if e.config.OrderFault != nil {
		fault = e.config.OrderFault()
	}
	instance := r.Header.Get("X-Expected-Instance")
	switch {
	case fault.Lost:
		<-r.Context().Done()
	case fault.LateBy > 0:
		time.AfterFunc(fault.LateBy, func() { e.executeOrder(instance, o) })
		<-r.Context().Done()
	case fault.LoseResponse:
		e.executeOrder(instance, o)
		<-r.Context().Done()
	default:
		w.WriteHeader(e.executeOrder(instance, o))
	}
}

// executeOrder checks and executes an order and returns the status of its response.
func (e *Endpoint) executeOrder(instance string, o orderRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.model(o.Model)
	load := o.Operation == "load"
	switch {
	case e.brittle.down || e.closed:
		return http.StatusServiceUnavailable
	case instance != e.config.ID:
		return http.StatusMisdirectedRequest
	case !ok || o.Adapter != "" && e.loaded[m.Name] == nil:
		return http.StatusBadRequest
	case o.Token < e.fence && !e.config.Unfenced:
		return http.StatusPreconditionFailed
	}
	e.fence = max(e.fence, o.Token)
	switch {
	case e.loading != "" || e.unloading != "" || o.Expected != nil && *o.Expected != e.sequence:
		return http.StatusConflict
	case e.holdsAlready(load, m.Name, o.Adapter):
		return http.StatusOK
	case load && o.Adapter != "" && len(e.inTransit) >= maxAdaptersInTransit:
		return http.StatusConflict
	}
	e.sequence++
	status := e.execute(load, m, o.Adapter)
	if e.checkCapacity() {
		e.fall()
	}
	e.publishEntry()
	return status
}

// holdsAlready reports whether an order changes nothing. An adapter in transit is not loaded, but is not loaded a
// second time either. e.mu must be held.
func (e *Endpoint) holdsAlready(load bool, model, adapter string) bool {
	switch {
	case adapter == "":
		return (e.loaded[model] != nil) == load
	case load:
		return e.loaded[model][adapter] || e.isInTransit(model, adapter)
	default:
		return !e.loaded[model][adapter]
	}
}

// execute carries out an order and returns the status of the response. e.mu must be held.
func (e *Endpoint) execute(load bool, m Model, adapter string) int {
	switch {
	case adapter != "" && load:
		e.loadAdapter(m.Name, adapter)
	case adapter != "" && e.uses[modelKey(m.Name, adapter)] > 0:
		e.unloading = modelKey(m.Name, adapter)
	case adapter != "":
		delete(e.loaded[m.Name], adapter)
		return http.StatusOK
	case load:
		e.load(m)
	default:
		e.unloading = m.Name
		e.finishUnload()
	}
	return http.StatusAccepted
}

// load loads a model in the background. e.mu must be held.
func (e *Endpoint) load(m Model) {
	seconds := m.LoadS
	if e.diskCopies[m.Name] {
		seconds = m.DiskS
	}
	e.loading = m.Name
	life := e.brittle.life
	time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if life != e.brittle.life {
			return
		}
		e.loading = ""
		e.loaded[m.Name] = map[string]bool{}
		e.diskCopies[m.Name] = true
		e.publishEntry()
	})
}

// checkCapacity reports whether the loaded models and adapters exceed the capacity of the endpoint, and records it
// as a violation. e.mu must be held.
func (e *Endpoint) checkCapacity() bool {
	sum, adapters := 0.0, len(e.inTransit)
	for a := range maps.Values(e.inTransit) {
		m, _ := e.model(a.model)
		sum += m.AdapterMB
	}
	for name, loadedAdapters := range e.loaded {
		m, _ := e.model(name)
		sum += m.WeightsMB + float64(len(loadedAdapters))*m.AdapterMB
		adapters += len(loadedAdapters)
	}
	if m, ok := e.model(e.loading); ok {
		sum += m.WeightsMB
	}
	exceeded := false
	if sum > e.config.WeightsMB {
		exceeded = true
		e.violations = append(e.violations, fmt.Sprintf("%s: models need %.0f MB, exceeding the capacity of %.0f MB", e.config.ID, sum, e.config.WeightsMB))
	}
	if adapters > e.config.AdapterSlots {
		exceeded = true
		e.violations = append(e.violations, fmt.Sprintf("%s: %d adapters exceed the capacity of %d", e.config.ID, adapters, e.config.AdapterSlots))
	}
	return exceeded
}
