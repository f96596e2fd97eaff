package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrStoreRejected means that a call had no effect on the store.
	ErrStoreRejected = errors.New("store rejected the call")
	// ErrStoreUnavailable means that the store did not respond; the call may still take
	// effect.
	ErrStoreUnavailable = errors.New("store did not respond; the call may have taken effect")
	// ErrStoreConflict means that the topic already has an entry at the expected offset.
	ErrStoreConflict = errors.Wrap(ErrStoreRejected, "topic already has an entry at the expected offset")
)

// Topic is one keyed topic of the platform's store.
type Topic int

// The topics that a host reads. A host writes only to TopicHosts, TopicClaims and
// TopicCrashes.
const (
	// TopicConfig holds the operator's configuration.
	TopicConfig Topic = iota
	// TopicEndpoints holds an entry for each endpoint.
	TopicEndpoints
	// TopicHosts holds the address and certificate fingerprint of each entry host.
	TopicHosts
	// TopicClaims holds the claims to the controller role.
	TopicClaims
	// TopicCrashes holds the requests that crash endpoints.
	TopicCrashes
)

// String implements fmt.Stringer.
func (t Topic) String() string {
	return [...]string{"config", "endpoints", "hosts", "claims", "crashes"}[t]
}

// Entry is a record of a keyed topic. An entry without a value deletes the key.
type Entry struct {
	Key    string
	Value  []byte
	Offset int64
}

// Batch is the result of a read.
type Batch struct {
	Entries []Entry
	// Next is the offset of the next read.
	Next int64
}

// CompactedError is returned by Read if the requested records have been compacted.
type CompactedError struct {
	// First is the first offset that can be read.
	First int64
}

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("records compacted; the first readable offset is %d", e.First)
}

// AnyOffset makes Put append unconditionally.
const AnyOffset = -1

// Store is the platform's store of keyed topics.
type Store interface {
	// Newest returns the newest entry of each key and the offset to continue from.
	Newest(ctx context.Context, t Topic) (Batch, error)
	// Read returns the entries from an offset on. If there are none, it blocks for up to wait.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (Batch, error)
	// Put appends an entry and returns its offset. Unless at is AnyOffset, the append succeeds
	// only at that offset.
	Put(ctx context.Context, t Topic, key string, value []byte, at int64) (int64, error)
}

// Codec decodes the entries that the operator and the endpoints write to the store.
type Codec interface {
	// Config decodes a configuration. isConfig reports whether the key of the entry is that of
	// a configuration.
	Config(e Entry) (cfg *Config, isConfig bool, err error)
	// Endpoint decodes an endpoint's entry.
	Endpoint(e Entry) (Endpoint, error)
}
