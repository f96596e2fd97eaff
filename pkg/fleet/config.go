// Package fleet holds what an entry host knows of a deployment: the operator's
// configuration, the endpoints that live and what they hold. It does no I/O.
package fleet

import (
	"strings"
	"time"
)

// Config is one version of the operator's configuration.
type Config struct {
	// Version grows with each change, in uneven steps.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Accounts are nil where callers need no key.
	Accounts *Accounts
}

// Limits bound what a client may send and how long a connection may idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Kind tells what may be repeated.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once marks requests that may run at most once.
	Once
	// Stream is answered by a series of events; it may run again only from the
	// last event that was delivered, and only where its route is resumable.
	Stream
)

// Route maps a host name and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the latency within which an answer is in time; for
	// streams that of the first event.
	Objective time.Duration
	// MaxGap is the longest pause between events of a stream that is on time.
	MaxGap time.Duration
	// Priority is the rank of the route, 0 is the most urgent.
	Priority int
	// Attempts is the number of endpoints on which one request may run.
	Attempts  int
	Resumable bool
	// Public routes need no key.
	Public bool
	// Targets are the services that requests are split over, by weight.
	Targets []Target
}

// Target is one service of a route and its share.
type Target struct {
	Service string
	Weight  int
}

// Repeatable tells whether a request of the route may run again.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name            string
	HealthCheckPath string
	ConnectionLimit int
	// Engine is set for services whose endpoints run models.
	Engine *Engine
}

// Engine describes the endpoints of a service that runs models.
type Engine struct {
	Slots         int
	KVCacheTokens int
	// WeightsMB is the memory of one endpoint for weights and adapters.
	WeightsMB float64
	// AdapterSlots is how many adapters an endpoint may hold.
	AdapterSlots int
	// LoadsPerSecond bounds the loads from the weight store over all endpoints.
	LoadsPerSecond float64
	Models         map[string]Model
}

// Model is one model of an engine. The load times hold while few loads run.
type Model struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
	Adapters  int
	// StoreLoad, DiskLoad and MemoryLoad are the times of a load from the weight
	// store, the endpoint's disk and its memory.
	StoreLoad  time.Duration
	DiskLoad   time.Duration
	MemoryLoad time.Duration
}

// Match returns the route of a host name and a path: the longest prefix among
// the routes of the host.
func (c *Config) Match(host, path string) (Route, bool) {
	best := -1
	for i, r := range c.Routes {
		if r.Host != host || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if best < 0 || len(r.PathPrefix) > len(c.Routes[best].PathPrefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// Account returns the account of a request on a route by the keys that it states, and whether
// the request is allowed. Where no key is needed, that of a key that is known still counts.
func (c *Config) Account(r Route, keys []string) (Account, bool) {
	if c.Accounts == nil {
		return Account{}, true
	}
	if len(keys) == 1 {
		if a, ok := c.Accounts.Of(keys[0]); ok {
			return a, true
		}
	}
	return Account{}, r.Public
}

// Names tells whether the configuration names a model of a service and, unless it is
// empty, an adapter of it. A plain service has no models; any is as good as none.
func (c *Config) Names(service, model, adapter string) bool {
	engine := c.Services[service].Engine
	if engine == nil || model == "" {
		return true
	}
	m, ok := engine.Models[model]
	return ok && (adapter == "" || m.Adapters > 0)
}

// Choose returns the service of a request. draw returns a number below n.
func (r Route) Choose(draw func(n int) int) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	n := draw(total)
	for _, t := range r.Targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return ""
}
