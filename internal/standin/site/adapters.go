package site

import (
	"strings"
	"time"
)

// maxAdaptersInTransit is the number of adapters that an endpoint fetches at once.
const maxAdaptersInTransit = 4

// adapterInTransit is an adapter in transit. It takes a slot until it arrives, also if its model is unloaded meanwhile.
type adapterInTransit struct {
	model, name string
	// dropped is set once its model was unloaded.
	dropped bool
}

// modelKey returns the key of a model or, if adapter is not empty, of one of its adapters.
func modelKey(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// isInTransit reports whether an adapter is in transit. e.mu must be held.
func (e *Endpoint) isInTransit(model, name string) bool {
	for _, a := range e.inTransit {
		if a.model == model && a.name == name {
			return true
		}
	}
	return false
}

// loadAdapter fetches an adapter. e.mu must be held.
func (e *Endpoint) loadAdapter(model, name string) {
	if e.config.AdapterTransit == nil {
		e.loaded[model][name] = true
		return
	}
	a := &adapterInTransit{model: model, name: name}
	id := e.sequence
	e.inTransit[id] = a
	life := e.brittle.life
	time.AfterFunc(e.config.AdapterTransit(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if life != e.brittle.life {
			return
		}
		delete(e.inTransit, id)
		if !a.dropped {
			e.loaded[model][name] = true
		}
		e.recordReport()
	})
}

// finishUnload completes an unload once no request uses what is unloaded. e.mu must be held.
func (e *Endpoint) finishUnload() {
	if e.unloading == "" || e.uses[e.unloading] > 0 {
		return
	}
	model, adapter, _ := strings.Cut(e.unloading, "/")
	e.unloading = ""
	if adapter != "" {
		delete(e.loaded[model], adapter)
		return
	}
	delete(e.loaded, model)
	for _, a := range e.inTransit {
		a.dropped = a.dropped || a.model == model
	}
}
