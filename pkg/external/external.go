// Package external declares the interfaces of the external systems: the log
// service, the model engines, the weight store and the list of hosts.
// Adapters implement them.
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
	// ErrUnavailable means that no valid response was received. The call may have
	// taken effect.
	ErrUnavailable = errors.New("no response from the external system")
	// ErrRejected means that the call certainly had no effect.
	ErrRejected = errors.New("call rejected")
	// ErrRefused means that no process listens at the address; the call had no effect.
	ErrRefused = errors.Wrap(ErrRejected, "connection refused")
	// ErrInvalid means that a retry of the same call would be rejected again.
	ErrInvalid = errors.Wrap(ErrRejected, "invalid call")
	// ErrNotLoaded means that the endpoint does not serve the model; nothing ran.
	ErrNotLoaded = errors.Wrap(ErrRejected, "model is not loaded")
	// ErrBroken means that the response is truncated, out of order or belongs to
	// another request.
	ErrBroken = errors.New("incomplete or invalid response")
)

// RetryAfterError is a rejection by an endpoint that asks this host to send no calls
// for the duration of RetryAfter.
type RetryAfterError struct {
	RetryAfter time.Duration
	// Cause wraps ErrRejected.
	Cause error
}

// Error implements error.
func (e *RetryAfterError) Error() string {
	return fmt.Sprintf("%v; requested pause: %v", e.Cause, e.RetryAfter)
}

// Unwrap implements errors.Wrapper.
func (e *RetryAfterError) Unwrap() error { return e.Cause }

// Entry is one record in the log.
type Entry struct {
	Offset record.Offset `cbor:"1,keyasint" json:"offset"`
	Data   []byte        `cbor:"2,keyasint" json:"data"`
}

// TrimmedError is returned by Read when the requested records have been deleted.
type TrimmedError struct {
	// First is the oldest offset that can be read.
	First record.Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("log is trimmed: first readable offset is %d", e.First)
}

// LogReader reads records in order.
type LogReader interface {
	// Read returns up to limit records, starting at offset from. If there are
	// none, it blocks up to wait. Errors are *TrimmedError or wrap ErrUnavailable.
	Read(ctx context.Context, from record.Offset, limit int, wait time.Duration) ([]Entry, error)
}

// Log is the platform's append-only log service.
type Log interface {
	LogReader
	// Append appends a record. If the error wraps ErrRejected, the record was not
	// appended; after any other error it may have been.
	Append(ctx context.Context, data []byte) (record.Offset, error)
}

// HostKind distinguishes entry hosts and endpoints in the platform's list.
type HostKind string

// The kinds of listed hosts.
const (
	EntryHost    HostKind = "entry"
	EndpointHost HostKind = "endpoint"
)

// ListedHost is one entry of the platform's list. The list may be stale.
type ListedHost struct {
	Name        string             `json:"name"`
	Kind        HostKind           `json:"kind"`
	Incarnation record.Incarnation `json:"incarnation"`
	// Addr is an endpoint's base URL or an entry host's peer address.
	Addr     string `json:"addr"`
	Zone     string `json:"zone"`
	Draining bool   `json:"leaving,omitempty"`
	// Pool is set for engines, Service for plain services.
	Pool    string `json:"pool,omitempty"`
	Service string `json:"service,omitempty"`
	// ChecksFencing reports whether the engine rejects stale fencing tokens.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// HostList is the platform's list of live and draining hosts.
type HostList interface {
	List(ctx context.Context) ([]ListedHost, error)
}

// StoreLimits are the limits of the weight store.
type StoreLimits struct {
	LoadsPerSecond float64 `json:"loads_per_second"`
	// Concurrent is the number of concurrent loads that run at full speed.
	Concurrent int `json:"concurrent"`
}

// WeightStore is the rate-limited store that engines load checkpoints from.
type WeightStore interface {
	Limits(ctx context.Context) (StoreLimits, error)
}

// EngineStatus is the status that an engine reports.
type EngineStatus struct {
	Incarnation record.Incarnation `json:"incarnation"`
	MemoryMB    int64              `json:"memory_mb"`
	Replicas    []EngineReplica    `json:"replicas"`
	// Running and Queued count requests. They may be stale.
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
	// ResumeFrom is the index of the first token to send. It is set to resume a
	// broken stream.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// Token is one token of a generated stream. RequestID and Done allow the reader to
// detect a response of another request and a truncated response.
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
	// no text. An error means that the stream is incomplete.
	Next() (Token, error)
	Close() error
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	RequestID string          `json:"request_id"`
	Service   string          `json:"service"`
	Body      json.RawMessage `json:"body"`
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	RequestID string          `json:"request_id"`
	Status    int             `json:"status"`
	Body      json.RawMessage `json:"body"`
}

// CacheEvent reports that an engine cached or evicted a prompt prefix. Events may
// be late or missing; gaps in Seq show missing events.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Model   string `json:"model"`
	Prefix  string `json:"prefix"`
	Dropped bool   `json:"dropped,omitempty"`
}

// Engine is the client interface of model endpoints and plain services. addr is
// the base URL of the endpoint.
type Engine interface {
	Status(ctx context.Context, addr string) (EngineStatus, error)
	// Order sends an order. It takes effect only on the incarnation that the order
	// names.
	Order(ctx context.Context, o pool.Order) (pool.OrderResult, error)
	// Generate starts a completion. If the error wraps ErrRejected, the request did
	// not run; after any other error it may have run.
	Generate(ctx context.Context, addr string, r GenerateRequest) (TokenStream, error)
	Cancel(ctx context.Context, addr, requestID string) error
	// Call calls a plain service; errors are as for Generate.
	Call(ctx context.Context, addr string, c ServiceCall) (ServiceResponse, error)
	CacheEvents(ctx context.Context, addr string, from uint64) ([]CacheEvent, error)
	ExportKV(ctx context.Context, addr, requestID string) ([]byte, error)
	ImportKV(ctx context.Context, addr, requestID string, data []byte) error
	SetRole(ctx context.Context, addr, role string, fence record.Offset) error
}
