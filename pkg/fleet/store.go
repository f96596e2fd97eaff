package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrStoreRejected means that a call to the store certainly had no effect.
	ErrStoreRejected = errors.New("rejected by the store")
	// ErrStoreUnavailable means that no answer came: the call may take effect.
	ErrStoreUnavailable = errors.New("no answer from the store")
	// ErrStoreConflict means that the topic has grown past the expected offset.
	ErrStoreConflict = errors.Wrap(ErrStoreRejected, "topic has grown")
)

// Topic is one keyed topic of the platform's store.
type Topic int

// The topics that a host reads; it writes only to the last three.
const (
	// TopicConfig holds the operator's configuration.
	TopicConfig Topic = iota
	// TopicEndpoints holds an entry for each endpoint.
	TopicEndpoints
	// TopicHosts holds address and key of each entry host.
	TopicHosts
	// TopicClaims holds the claims to give orders.
	TopicClaims
	// TopicCrashes holds the requests that crash endpoints.
	TopicCrashes
)

// String implements fmt.Stringer, for logs.
func (t Topic) String() string {
	return [...]string{"config", "endpoints", "hosts", "claims", "crashes"}[t]
}

// Entry is a record of a keyed topic. An entry without a value removes the key.
type Entry struct {
	Key    string
	Value  []byte
	Offset int64
}

// Batch is the result of a read.
type Batch struct {
	Entries []Entry
	// Next is the offset to read from next.
	Next int64
}

// CompactedError is returned by Read when the records asked for are gone.
type CompactedError struct {
	// First is the first offset that can be read.
	First int64
}

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("records are gone; the first readable offset is %d", e.First)
}

// AnyOffset appends without a condition.
const AnyOffset = -1

// Store is the platform's store of keyed topics.
type Store interface {
	// Newest returns the newest entry of each key and where to read on.
	Newest(ctx context.Context, t Topic) (Batch, error)
	// Read returns entries from an offset on. Without any it waits up to wait.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (Batch, error)
	// Put appends an entry, at an expected offset if that is not AnyOffset, and
	// returns its offset.
	Put(ctx context.Context, t Topic, key string, value []byte, at int64) (int64, error)
}

// Codec decodes what the operator and the endpoints write to the store.
type Codec interface {
	// Config decodes a configuration; key tells whether the entry is one.
	Config(e Entry) (cfg *Config, isConfig bool, err error)
	// Endpoint decodes an endpoint's entry.
	Endpoint(e Entry) (Endpoint, error)
}
