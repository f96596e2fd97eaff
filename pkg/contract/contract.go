// Package contract defines a customer's contract: its YAML document, the
// validation of the document and the limits that it sets.
package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"regexp"
	"time"

	"github.com/tealvane/tealvane/pkg/finding"
	"github.com/tealvane/tealvane/pkg/yamlx"
)

// Kind is the kind of a model entry.
type Kind string

// The kinds of model entries.
const (
	// Base is a model with its own weights.
	Base Kind = "base"
	// Adapter is loaded on top of a replica of its base model.
	Adapter Kind = "adapter"
	// Service is a service that always runs; entry hosts do not load or unload it.
	Service Kind = "service"
)

// Defaults of a model entry.
const (
	DefaultMaxWait      = 30 * time.Second
	DefaultKeepAlive    = 2 * time.Minute
	DefaultConcurrency  = 8
	DefaultLoadEstimate = 5 * time.Second
	DefaultWeight       = 1.0
	defaultKeyRetention = 7 * 24 * time.Hour
)

// Bounds on the size of a contract.
const (
	maxModels      = 20_000
	maxCredentials = 100
	maxReplicas    = 10_000
	maxMemoryMB    = 16 << 20
	maxWait        = 24 * time.Hour
	maxConcurrency = 4096
	maxRefuseRank  = 9
)

// Contract is a customer's contract.
type Contract struct {
	Customer    string       `yaml:"customer"`
	Credentials []Credential `yaml:"credentials"`
	Classes     []Class      `yaml:"classes"`
	Models      []Model      `yaml:"models"`
	// Weight is the customer's share of a model's slots relative to other customers, while
	// requests wait for the model.
	Weight float64 `yaml:"weight"`
	// KeyRetention is how long the idempotency key of a request is kept.
	KeyRetention time.Duration `yaml:"key_retention"`
	// Weights are the costs of keeping an idle model loaded and of a cold start.
	// If set, they determine how long an idle model stays loaded; otherwise
	// keep_alive applies.
	Weights CostWeights `yaml:"weights"`

	byName map[string]*Model
	doc    *yamlx.Document
}

// Credential is the hex-encoded SHA-256 digest of a bearer token.
type Credential struct {
	SHA256 string `yaml:"sha256"`
}

// Class is a class of requests that share a maximum wait.
type Class struct {
	Name    string        `yaml:"name"`
	MaxWait time.Duration `yaml:"max_wait"`
	// RefuseRank is the rank for load shedding, from 0 to 9. Requests of a higher
	// rank are rejected first.
	RefuseRank int `yaml:"refuse_rank"`
}

// CostWeights are relative costs; only their ratio matters.
type CostWeights struct {
	IdleHour        float64 `yaml:"idle_hour"`
	ColdStartSecond float64 `yaml:"cold_start_second"`
}

// Model is a model, adapter or service and its limits.
type Model struct {
	Name string `yaml:"name"`
	Kind Kind   `yaml:"kind"`
	// BaseModel is the name of an adapter's base model in the same contract.
	BaseModel string `yaml:"base_model"`
	Pool      string `yaml:"pool"`
	Class     string `yaml:"class"`
	// MinReplicas is the number of replicas that stay loaded without requests.
	// MaxReplicas bounds the replicas in any phase, including those being loaded
	// or unloaded.
	MinReplicas int `yaml:"min_replicas"`
	MaxReplicas int `yaml:"max_replicas"`
	// WeightsMB and KVCacheMB are both reserved for each replica.
	WeightsMB int64 `yaml:"weights_mb"`
	KVCacheMB int64 `yaml:"kv_cache_mb"`
	// Concurrency is the number of requests that a replica serves concurrently.
	Concurrency int           `yaml:"concurrency"`
	KeepAlive   time.Duration `yaml:"keep_alive"`
	// LoadEstimate is the expected load time until one has been observed.
	LoadEstimate time.Duration `yaml:"load_estimate"`
	// NonIdempotent requests run at most once and require an Idempotency-Key.
	NonIdempotent bool `yaml:"non_idempotent"`
	// Deferrable requests may be accepted now and answered later.
	Deferrable bool `yaml:"deferrable"`
}

// MemoryMB returns the accelerator memory of one replica in megabytes.
func (m Model) MemoryMB() int64 { return m.WeightsMB + m.KVCacheMB }

// Loadable reports whether replicas of the model are loaded and unloaded by entry hosts.
func (m Model) Loadable() bool { return m.Kind != Service }

// Parse decodes and validates a document. It returns either a contract or all
// findings.
func Parse(file string, data []byte) (*Contract, finding.List) {
	c := &Contract{Weight: DefaultWeight}
	doc := yamlx.Decode(file, data, c)
	c.doc = doc
	if len(doc.Findings()) == 0 {
		c.setDefaults()
		c.check(doc)
	}
	if findings := doc.Findings(); len(findings) > 0 {
		return nil, findings
	}
	c.index()
	return c, nil
}

// Model returns the model entry with the given name.
func (c *Contract) Model(name string) (Model, bool) {
	m, ok := c.byName[name]
	if !ok {
		return Model{}, false
	}
	return *m, true
}

// Class returns the class of a model, or default limits if it has none.
func (c *Contract) Class(m Model) Class {
	for _, class := range c.Classes {
		if class.Name == m.Class {
			return class
		}
	}
	return Class{MaxWait: DefaultMaxWait}
}

// TokenDigest returns the hex-encoded SHA-256 digest of a token, as in Credential.
func TokenDigest(token string) []byte {
	sum := sha256.Sum256([]byte(token))
	return []byte(hex.EncodeToString(sum[:]))
}

// HasCredential reports whether digest is one of the contract's credentials. It compares
// in constant time so that response times reveal nothing about a digest.
func (c *Contract) HasCredential(digest []byte) bool {
	match := 0
	for _, credential := range c.Credentials {
		match |= subtle.ConstantTimeCompare(digest, []byte(credential.SHA256))
	}
	return match == 1
}

func (c *Contract) setDefaults() {
	if c.KeyRetention == 0 {
		c.KeyRetention = defaultKeyRetention
	}
	for i := range c.Models {
		m := &c.Models[i]
		setDefault(&m.Kind, Base)
		setDefault(&m.Concurrency, DefaultConcurrency)
		setDefault(&m.KeepAlive, DefaultKeepAlive)
		setDefault(&m.LoadEstimate, DefaultLoadEstimate)
		if m.Kind != Service {
			setDefault(&m.MaxReplicas, max(1, m.MinReplicas))
		}
	}
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

func (c *Contract) index() {
	c.byName = make(map[string]*Model, len(c.Models))
	for i := range c.Models {
		c.byName[c.Models[i].Name] = &c.Models[i]
	}
}

// A name has 1 to 128 characters and starts with a letter or a digit.
var (
	namePattern   = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:/-]{0,127}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)
