// Package external declares what the system needs from the outside: the log
// service, the model engines, the weight store and the list of hosts.
// Adapters implement it; their addresses come from settings.
package external

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/record"
)

var (
	// ErrUnavailable means that no answer came: the call may have taken effect.
	ErrUnavailable = errors.New("no answer")
	// ErrRejected means that the call certainly had no effect.
	ErrRejected = errors.New("rejected")
	// ErrRefused means that no process listens at the address; the call had no effect.
	ErrRefused = errors.Wrap(ErrRejected, "connection refused")
	// ErrInvalid means that a repeat of the same call would be rejected again.
	ErrInvalid = errors.Wrap(ErrRejected, "invalid call")
	// ErrNotLoaded means that the endpoint does not serve the model; nothing ran.
	ErrNotLoaded = errors.Wrap(ErrRejected, "model is not loaded")
	// ErrBroken means that an answer came that is not the whole answer to the
	// request: cut, crossed or out of order.
	ErrBroken = errors.New("broken answer")
)

// PauseError is a rejection by an endpoint that wants no other call of this host for a while.
type PauseError struct {
	Pause time.Duration
	// Cause wraps ErrRejected.
	Cause error
}

// Error implements error.
func (e *PauseError) Error() string { return fmt.Sprintf("%v; pause of %v", e.Cause, e.Pause) }

// Unwrap implements errors.Wrapper.
func (e *PauseError) Unwrap() error { return e.Cause }

// Entry is one record in the log.
type Entry struct {
	Offset record.Offset `cbor:"1,keyasint" json:"offset"`
	Data   []byte        `cbor:"2,keyasint" json:"data"`
}

// TrimmedError is returned by Read when the records asked for are no longer kept.
type TrimmedError struct {
	// First is the oldest offset that can be read.
	First record.Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("trimmed: the first readable offset is %d", e.First)
}

// LogReader reads records in order.
type LogReader interface {
	// Read returns up to limit records from an offset on. Without any it waits
	// up to wait. It returns *TrimmedError or wraps ErrUnavailable.
	Read(ctx context.Context, from record.Offset, limit int, wait time.Duration) ([]Entry, error)
}

// Log is the platform's append-only log service.
type Log interface {
	LogReader
	// Append adds a record. An error that wraps ErrRejected means that it was
	// not added; with any other it may have been.
	Append(ctx context.Context, data []byte) (record.Offset, error)
}

// HostKind tells entry hosts from endpoints in the platform's list.
type HostKind string

// The kinds of listed hosts.
const (
	EntryHost    HostKind = "entry"
	EndpointHost HostKind = "endpoint"
)

// ListedHost is one line of the platform's list, which lags.
type ListedHost struct {
	Name        string             `json:"name"`
	Kind        HostKind           `json:"kind"`
	Incarnation record.Incarnation `json:"incarnation"`
	// Addr is an endpoint's base URL or an entry host's peer address.
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
	// Pool is the pool of an engine; Service the name of a plain service.
	Pool    string `json:"pool,omitempty"`
	Service string `json:"service,omitempty"`
	// ChecksFencing tells whether the engine refuses old fencing tokens.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	List(ctx context.Context) ([]ListedHost, error)
}

// StoreLimits are the limits of the weight store.
type StoreLimits struct {
	LoadsPerSecond float64 `json:"loads_per_second"`
	// Concurrent loads run at full speed up to this number.
	Concurrent int `json:"concurrent"`
}

// WeightStore is the rate-limited store that engines load checkpoints from.
type WeightStore interface {
	Limits(ctx context.Context) (StoreLimits, error)
}

// EngineStatus is what an engine says of itself.
type EngineStatus struct {
	Incarnation record.Incarnation `json:"incarnation"`
	MemoryMB    int64              `json:"memory_mb"`
	Replicas    []EngineReplica    `json:"replicas"`
	// Running and Queued count requests; the report lags.
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// EngineReplica is a replica that an engine holds.
type EngineReplica struct {
	ID       record.ReplicaID `json:"id"`
	Model    string           `json:"model"`
	MemoryMB int64            `json:"memory_mb"`
	Running  int              `json:"running"`
}

// GenerateRequest asks an engine for a completion.
type GenerateRequest struct {
	RequestID   string           `json:"request_id"`
	Replica     record.ReplicaID `json:"replica"`
	Model       string           `json:"model"`
	Prompt      string           `json:"prompt"`
	MaxTokens   int              `json:"max_tokens"`
	Temperature float64          `json:"temperature,omitempty"`
	Priority    int              `json:"priority,omitempty"`
	// ResumeFrom is the index of the first token wanted, to go on with a
	// stream that broke.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// Token is one piece of a generated stream. Every token names its request, and
// the last one says so, so that a crossed or cut answer is noticed.
type Token struct {
	RequestID string `json:"request_id"`
	Index     int    `json:"index"`
	Text      string `json:"text,omitempty"`
	Done      bool   `json:"done,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

// TokenStream yields the tokens of one request.
type TokenStream interface {
	// Next returns the next token. The token with Done is the last one and has
	// no text. Any error means that the answer is not whole.
	Next() (Token, error)
	Close() error
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	RequestID string          `json:"request_id"`
	Service   string          `json:"service"`
	Body      json.RawMessage `json:"body"`
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	RequestID string          `json:"request_id"`
	Status    int             `json:"status"`
	Body      json.RawMessage `json:"body"`
}

// CacheEvent says that an engine stored or dropped a prompt prefix. Events
// come late and with gaps, which Seq shows.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Model   string `json:"model"`
	Prefix  string `json:"prefix"`
	Dropped bool   `json:"dropped,omitempty"`
}

// Engine is the protocol of model endpoints and plain services. addr is the
// base URL of the endpoint.
type Engine interface {
	Status(ctx context.Context, addr string) (EngineStatus, error)
	// Order carries out an order. It takes effect only on the incarnation that
	// the order names.
	Order(ctx context.Context, o pool.Order) (pool.OrderResult, error)
	// Generate starts a completion. An error that wraps ErrRejected means that
	// nothing ran; with any other it may have run.
	Generate(ctx context.Context, addr string, r GenerateRequest) (TokenStream, error)
	Cancel(ctx context.Context, addr, requestID string) error
	// Call calls a plain service; errors are as for Generate.
	Call(ctx context.Context, addr string, c ServiceCall) (ServiceAnswer, error)
	CacheEvents(ctx context.Context, addr string, from uint64) ([]CacheEvent, error)
	ExportKV(ctx context.Context, addr, requestID string) ([]byte, error)
	ImportKV(ctx context.Context, addr, requestID string, data []byte) error
	SetRole(ctx context.Context, addr, role string, fence record.Offset) error
}
