package site

import "encoding/json"

// DevRequestHelp describes the requests that the development configuration accepts.
const DevRequestHelp = "Host: dev.example, path /summary/, X-Key: " + DevKey + ", X-Request-Attempt-Id: any, X-Model-Name: warm, rare or idle\n"

// DevKey is the API key of the client account in the development configuration.
const DevKey = "dev-key"

// Route is a route in the operator's configuration.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path-prefix"`
	// Kind is "safe", "unsafe" or "streaming".
	Kind            string `json:"kind"`
	TimeoutMS       int    `json:"timeout-ms"`
	TargetLatencyMS int    `json:"target-latency-ms"`
	TargetGapMS     int    `json:"target-gap-ms"`
	Priority        int    `json:"priority"`
	Service         string `json:"service,omitempty"`
	// Split is set instead of Service if requests go to several services.
	Split []Target `json:"traffic-split,omitempty"`

	Attempts  int  `json:"attempts"`
	Resumable bool `json:"resumable"`
	Public    bool `json:"public"`
}

// Target is a service of a route, which gets requests in proportion to its weight.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Account is a client account in the operator's configuration.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"api-keys"`
	// Unit is "requests" or "tokens".
	Unit        string  `json:"unit"`
	PlainTokens float64 `json:"plain-tokens"`
	Rate        float64 `json:"rate-per-s"`
	Burst       float64 `json:"burst"`
	// Priority overrides the priority of routes. It is optional.
	Priority *int `json:"priority,omitempty"`
}

// Engine describes the endpoints of a service that run models.
type Engine struct {
	Slots        int     `json:"slots"`
	WeightsMB    float64 `json:"weights-mb"`
	AdapterSlots int     `json:"adapter-slots"`
	LoadsPerS    float64 `json:"loads-per-s"`
	Models       []Model `json:"models"`
}

// Service is a service in the operator's configuration.
type Service struct {
	Name            string  `json:"name"`
	HealthCheckPath string  `json:"health-check-path"`
	ConnectionLimit int     `json:"connection-limit"`
	Engine          *Engine `json:"engine,omitempty"`
}

// Config is the operator's configuration.
type Config struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// Accounts is empty if callers do not need a key.
	Accounts []Account `json:"tenants,omitempty"`
}

// Limits bounds requests of clients.
type Limits struct {
	MaxHeaderBytes  int `json:"max-header-bytes"`
	MaxBodyBytes    int `json:"max-body-bytes"`
	HeaderTimeoutMS int `json:"header-timeout-ms"`
	IdleTimeoutMS   int `json:"idle-timeout-ms"`
}

// DefaultLimits are high enough not to affect tests.
var DefaultLimits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}

// Publish writes a configuration to the store.
func (s *Store) Publish(c Config) error {
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	s.Put("keyed.op", "config", value)
	return nil
}
