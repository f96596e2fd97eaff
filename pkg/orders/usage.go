package orders

import (
	"log/slog"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// usage is the capacity of an endpoint that is in use.
type usage struct {
	mb       float64
	adapters int
}

// usage returns what the models and adapters of the endpoint take, those of orders in progress included. mu must be
// held.
func (t *endpointTracker) usage(engine *fleet.Engine) usage {
	u := usage{mb: t.departingMB(engine), adapters: len(t.departing)}
	for name, r := range t.models {
		u.adapters += len(r.adapters)
		u.mb += t.memoryUse(engine, name, r)
	}
	return u
}

// departingMB returns the memory of the adapters in transit whose model was unloaded. mu must be held.
func (t *endpointTracker) departingMB(engine *fleet.Engine) float64 {
	sum := 0.0
	for a := range t.departing {
		sum += t.modelSize(engine, a.model).AdapterMB
	}
	return sum
}

// plusAdapter adds an adapter of a model.
func (u usage) plusAdapter(m fleet.Model) usage {
	u.adapters++
	u.mb += m.AdapterMB
	return u
}

// minusAdapter removes an adapter of a model.
func (u usage) minusAdapter(m fleet.Model) usage {
	u.adapters--
	u.mb -= m.AdapterMB
	return u
}

// fits reports whether the usage is within the capacity of an endpoint.
func (u usage) fits(engine *fleet.Engine) bool {
	return u.mb <= engine.WeightsMB && u.adapters <= engine.AdapterSlots
}

// hasRoom reports whether the endpoint has room for a load. It is checked whenever the order is sent: an endpoint that
// exceeds its capacity crashes.
func (c *Controller) hasRoom(t *endpointTracker, o Order) bool {
	reservedMB := c.reservedMB(c.Now(), t)
	t.mu.Lock()
	defer t.mu.Unlock()
	engine := c.engine(t.endpoint.Service)
	if engine == nil {
		return false
	}
	m, listed := engine.Models[o.Model]
	used := t.usage(engine)
	fits := used.fits(engine) && t.adapter(o.Model, o.Adapter) != nil // The adapter's own reservation is part of the usage.
	if o.Adapter == "" {
		used.mb += m.WeightsMB + reservedMB
		fits = used.mb <= engine.WeightsMB
	}
	if !fits || !listed {
		c.Log.Info("load order not sent: no room", "endpoint", t.endpoint.ID, "model", o.Model, "adapter", o.Adapter, "used_mb", used.mb, "capacity_mb", engine.WeightsMB,
			"reserved_mb", reservedMB, "adapters", used.adapters, "adapter_slots", engine.AdapterSlots)
		return false
	}
	return true
}

// countedUsage returns the usage that an order counts on, for the log.
func (c *Controller) countedUsage(t *endpointTracker) slog.Attr {
	t.mu.Lock()
	defer t.mu.Unlock()
	engine := c.engine(t.endpoint.Service)
	if engine == nil {
		return slog.Attr{}
	}
	u := t.usage(engine)
	return slog.Group("counted", "mb", u.mb, "capacity_mb", engine.WeightsMB, "adapters", u.adapters, "adapter_slots", engine.AdapterSlots)
}
