// Package contract is the aggregate of a customer's contract: the document
// that operators publish, its checks, and the limits that follow from it.
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

// Kind says what a model entry stands for.
type Kind string

// The kinds of model entries.
const (
	// Base is a model with weights of its own.
	Base Kind = "base"
	// Adapter is loaded on top of a replica of its base model.
	Adapter Kind = "adapter"
	// Service is a plain service that is always running and never loaded.
	Service Kind = "service"
)

// Defaults of a model entry.
const (
	DefaultMaxWait      = 30 * time.Second
	DefaultKeepAlive    = 2 * time.Minute
	DefaultConcurrency  = 8
	DefaultLoadEstimate = 5 * time.Second
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

// Contract is one customer's contract.
type Contract struct {
	Customer    string       `yaml:"customer"`
	Credentials []Credential `yaml:"credentials"`
	Classes     []Class      `yaml:"classes"`
	Models      []Model      `yaml:"models"`
	// KeyRetention is how long the idempotency key of a request is kept.
	KeyRetention time.Duration `yaml:"key_retention"`
	// Weights price the two measures against each other. With them the time for
	// which an idle model stays loaded follows from its own gaps between
	// requests; without them keep_alive counts.
	Weights Weights `yaml:"weights"`

	byName map[string]*Model
	doc    *yamlx.Document
}

// Credential is the SHA-256 of a bearer token, in hexadecimal.
type Credential struct {
	SHA256 string `yaml:"sha256"`
}

// Class is a class of requests with a common longest wait.
type Class struct {
	Name    string        `yaml:"name"`
	MaxWait time.Duration `yaml:"max_wait"`
	// RefuseRank orders refusals under pressure: a higher rank, from 0 to 9, is
	// refused first.
	RefuseRank int `yaml:"refuse_rank"`
}

// Weights are costs; only their ratio matters.
type Weights struct {
	IdleHour        float64 `yaml:"idle_hour"`
	ColdStartSecond float64 `yaml:"cold_start_second"`
}

// Model is one model, adapter or plain service with its limits.
type Model struct {
	Name string `yaml:"name"`
	Kind Kind   `yaml:"kind"`
	// BaseModel names the base of an adapter; it stands in the same contract.
	BaseModel string `yaml:"base_model"`
	Pool      string `yaml:"pool"`
	Class     string `yaml:"class"`
	// MinReplicas stay loaded without requests; MaxReplicas bounds all that
	// are loaded, loading or in doubt.
	MinReplicas int `yaml:"min_replicas"`
	MaxReplicas int `yaml:"max_replicas"`
	// WeightsMB and KVCacheMB are reserved together for one replica.
	WeightsMB int64 `yaml:"weights_mb"`
	KVCacheMB int64 `yaml:"kv_cache_mb"`
	// Concurrency is the number of requests one replica serves at a time.
	Concurrency int           `yaml:"concurrency"`
	KeepAlive   time.Duration `yaml:"keep_alive"`
	// LoadEstimate is the expected load time until one was observed.
	LoadEstimate time.Duration `yaml:"load_estimate"`
	// NonIdempotent requests run at most once and need an Idempotency-Key.
	NonIdempotent bool `yaml:"non_idempotent"`
	// Deferrable requests may be accepted now and answered later.
	Deferrable bool `yaml:"deferrable"`
}

// MemoryMB is the accelerator memory of one replica in megabytes.
func (m Model) MemoryMB() int64 { return m.WeightsMB + m.KVCacheMB }

// Loadable tells whether replicas of the model are loaded by the system.
func (m Model) Loadable() bool { return m.Kind != Service }

// Parse decodes and checks one document. All findings are returned together.
func Parse(file string, data []byte) (*Contract, finding.List) {
	c := &Contract{}
	doc := yamlx.Decode(file, data, c)
	c.doc = doc
	if len(doc.Findings()) == 0 {
		c.setDefaults()
		c.check(doc)
	}
	if found := doc.Findings(); len(found) > 0 {
		return nil, found
	}
	c.index()
	return c, nil
}

// Model returns the entry of that name.
func (c *Contract) Model(name string) (Model, bool) {
	m, ok := c.byName[name]
	if !ok {
		return Model{}, false
	}
	return *m, true
}

// Class returns the class of a model; without one the defaults apply.
func (c *Contract) Class(m Model) Class {
	for _, class := range c.Classes {
		if class.Name == m.Class {
			return class
		}
	}
	return Class{MaxWait: DefaultMaxWait}
}

// TokenDigest returns what a credential holds of a token.
func TokenDigest(token string) []byte {
	sum := sha256.Sum256([]byte(token))
	return []byte(hex.EncodeToString(sum[:]))
}

// Holds tells whether a token's digest is one of the contract's credentials.
// The comparison takes the same time for every wrong token, so that an
// attacker learns no prefix of a digest.
func (c *Contract) Holds(digest []byte) bool {
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

// name allows what stands in URLs and file names without quoting.
var (
	namePattern   = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:/-]{0,127}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)
