package orders

import (
	"log/slog"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// usage is the capacity of an endpoint that is in use.
type usage struct {
	mb       float64
	adapters int
}

// loadUsage returns what a load takes.
func loadUsage(engine *fleet.Engine, o Order) usage {
	switch {
	case engine == nil:
		return usage{}
	case o.Adapter != "":
		return usage{}.plusAdapter(engine.Models[o.Model])
	default:
		return usage{mb: engine.Models[o.Model].WeightsMB}
	}
}

// usage returns what the models and adapters of the endpoint take, those of orders in progress included, and what is
// reserved. mu must be held.
func (t *endpointTracker) usage(now time.Time, engine *fleet.Engine) usage {
	u := t.otherUsage(now, engine)
	for name, r := range t.models {
		u.adapters += len(r.adapters)
		u.mb += t.memoryUse(engine, name, r)
	}
	return u
}

// otherUsage returns the usage apart from that of the endpoint's models: adapters in transit whose model was unloaded,
// and loads that were sent to a former incarnation. mu must be held.
func (t *endpointTracker) otherUsage(now time.Time, engine *fleet.Engine) usage {
	u := t.unanswered.reserved(now, t.endpoint.ID, t.sequence)
	for a := range t.departing {
		u = u.plusAdapter(t.modelSize(engine, a.model))
	}
	return u
}

// plus returns the sum of two usages.
func (u usage) plus(v usage) usage { return usage{u.mb + v.mb, u.adapters + v.adapters} }

// max returns the larger memory and the larger number of adapters.
func (u usage) max(v usage) usage { return usage{max(u.mb, v.mb), max(u.adapters, v.adapters)} }

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
	now := c.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	engine := c.engine(t.endpoint.Service)
	if engine == nil {
		return false
	}
	_, listed := engine.Models[o.Model]
	used := t.usage(now, engine)
	fits := used.fits(engine) && t.adapter(o.Model, o.Adapter) != nil // The adapter's own reservation is part of the usage.
	if o.Adapter == "" {
		used = used.plus(loadUsage(engine, o))
		fits = used.mb <= engine.WeightsMB
	}
	if !fits || !listed || now.Before(t.loadsFrom) {
		reserved := t.unanswered.reserved(now, t.endpoint.ID, t.sequence)
		c.Log.Info("load order not sent: no room", "endpoint", t.endpoint.ID, "model", o.Model, "adapter", o.Adapter, "used_mb", used.mb, "capacity_mb", engine.WeightsMB,
			"adapters", used.adapters, "adapter_slots", engine.AdapterSlots, "reserved_mb", reserved.mb, "reserved_slots", reserved.adapters, "held_ms", max(0, t.loadsFrom.Sub(now).Milliseconds()))
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
	u := t.usage(c.Now(), engine)
	return slog.Group("counted", "mb", u.mb, "capacity_mb", engine.WeightsMB, "adapters", u.adapters, "adapter_slots", engine.AdapterSlots)
}
