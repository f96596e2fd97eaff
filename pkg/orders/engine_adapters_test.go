package orders_test

import (
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/orders"
)

// maxInTransit is the number of adapters that may be on their way to an endpoint at once.
const maxInTransit = 4

// adapterTransit is how a simulated endpoint handles adapters that take time to arrive. The zero value has them
// arrive at once. An adapter in transit takes a slot until it arrives, also if its model is unloaded meanwhile; an
// unload of it changes nothing.
type adapterTransit struct {
	// duration returns how long the next adapter takes to arrive.
	duration func() time.Duration
	// inUse returns how long requests keep an adapter from being unloaded.
	inUse func() time.Duration
	// sizes holds the sizes of the adapters of models in MB, where they differ from adapterMB.
	sizes map[string]float64

	adapters []*adapterInTransit
	// unloading is set while an adapter that is unloaded is still in use. The endpoint executes no other order.
	unloading bool
}

type adapterInTransit struct {
	model, name string
	// dropped is set if the model was unloaded, so that the adapter is dropped when it arrives.
	dropped bool
}

func (a *adapterTransit) sizeMB(model string) float64 {
	if mb, ok := a.sizes[model]; ok {
		return mb
	}
	return adapterMB
}

func (a *adapterTransit) contains(model, name string) bool {
	return slices.ContainsFunc(a.adapters, func(c *adapterInTransit) bool { return c.model == model && c.name == name })
}

func (a *adapterTransit) unloadModel(model string) {
	for _, c := range a.adapters {
		c.dropped = c.dropped || c.model == model
	}
}

// executeAdapterOrder executes an order whose sequence matches. mu must be held.
func (e *engine) executeAdapterOrder(o orders.Order) orders.Result {
	if e.holds[o.Model] == nil {
		return orders.Invalid
	}
	held := e.holds[o.Model][o.Adapter] || o.Load && e.transit.contains(o.Model, o.Adapter)
	switch {
	case held == o.Load:
		return orders.Done
	case o.Load && len(e.transit.adapters) >= maxInTransit:
		return orders.Conflict
	}
	e.sequence++
	result := orders.Accepted
	if o.Load {
		e.loadAdapter(o)
	} else {
		result = e.unloadAdapter(o)
	}
	e.record()
	return result
}

func (e *engine) loadAdapter(o orders.Order) {
	if e.transit.duration == nil {
		e.holds[o.Model][o.Adapter] = true
		return
	}
	c := &adapterInTransit{model: o.Model, name: o.Adapter}
	e.transit.adapters = append(e.transit.adapters, c)
	time.AfterFunc(e.transit.duration(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !slices.Contains(e.transit.adapters, c) {
			return // The endpoint has restarted.
		}
		e.transit.adapters = slices.DeleteFunc(e.transit.adapters, func(x *adapterInTransit) bool { return x == c })
		if !c.dropped {
			e.holds[c.model][c.name] = true
		}
		e.record()
	})
}

// unloadAdapter unloads an adapter that is loaded, at once unless it is in use.
func (e *engine) unloadAdapter(o orders.Order) orders.Result {
	remaining := time.Duration(0)
	if e.transit.inUse != nil {
		remaining = e.transit.inUse()
	}
	if remaining == 0 {
		delete(e.holds[o.Model], o.Adapter)
		return orders.Done
	}
	e.transit.unloading = true
	restarts := e.restarts
	time.AfterFunc(remaining, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.restarts == restarts {
			e.transit.unloading = false
			delete(e.holds[o.Model], o.Adapter)
			e.record()
		}
	})
	return orders.Accepted
}
