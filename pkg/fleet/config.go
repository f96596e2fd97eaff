// Package fleet holds an entry host's view of a deployment: the operator's configuration, the
// known endpoints and the models they hold. It does no I/O.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// Config is one version of the operator's configuration.
type Config struct {
	// Version increases with each change; versions are not consecutive.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Accounts is nil if no key is required.
	Accounts *Accounts
}

// Limits bounds the size of requests and the idle time of connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// RouteKind determines whether a request may be retried.
type RouteKind int

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// AtMostOnce requests run at most once.
	AtMostOnce
	// Stream requests are answered by a series of events. They may be retried only if the
	// route is resumable, and then only from the last delivered event.
	Stream
)

// Route maps a host name and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Objective is the latency objective; for streams it applies to the first event.
	Objective time.Duration
	// MaxGap is the maximum time between two events of a stream that meets its objective.
	MaxGap time.Duration
	// Priority orders routes; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of endpoints on which one request may run.
	Attempts  int
	Resumable bool
	// Public routes require no key.
	Public bool
	// Targets lists the services among which requests are split by weight.
	Targets []Target
}

// Target is one service of a route with its weight.
type Target struct {
	Service string
	Weight  int
}

// Retryable reports whether a request of the route may be retried.
func (r Route) Retryable() bool {
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
	// AdapterSlots is the maximum number of adapters on one endpoint.
	AdapterSlots int
	// LoadsPerSecond limits the rate of loads from the weight store over all endpoints.
	LoadsPerSecond float64
	Models         map[string]Model
}

// Model is one model of an engine. The load times assume that few loads run concurrently.
type Model struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
	Adapters  int
	// StoreLoad, DiskLoad and MemoryLoad are the load times from the weight store, from the
	// endpoint's disk and from its memory.
	StoreLoad  time.Duration
	DiskLoad   time.Duration
	MemoryLoad time.Duration
}

// Match returns the route with the longest matching path prefix among the routes of a host
// name.
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

// Account returns the account that owns the key of a request and reports whether the request
// is allowed on the route. A valid key selects its account also on a public route.
func (c *Config) Account(r Route, keys []string) (Account, bool) {
	if c.Accounts == nil {
		return Account{}, true
	}
	if len(keys) == 1 {
		if a, ok := c.Accounts.ByKey(keys[0]); ok {
			return a, true
		}
	}
	return Account{}, r.Public
}

// HasModel reports whether the configuration contains a model of a service and, if adapter is
// set, whether the model has adapters. It returns true for a plain service or an empty model.
func (c *Config) HasModel(service, model, adapter string) bool {
	engine := c.Services[service].Engine
	if engine == nil || model == "" {
		return true
	}
	m, ok := engine.Models[model]
	return ok && (adapter == "" || m.Adapters > 0)
}

// Serves reports whether the service is one of the targets of the route.
func (r Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// Choose returns a service of the route, selected by weight. draw returns a random number in
// [0, n).
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
