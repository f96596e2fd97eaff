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
	// ErrStoreConnectionLost means that the connection to the store was refused, reset or closed
	// before the response. Unlike a timeout, this is no sign of overload.
	ErrStoreConnectionLost = errors.New("connection to the store was lost")
	// ErrStoreConflict means that the topic already has an entry at the expected offset.
	ErrStoreConflict = errors.Wrap(ErrStoreRejected, "topic already has an entry at the expected offset")
	// ErrStoreRestored means that the store was restored from an older copy since the position
	// was read, so that the position may denote another record.
	ErrStoreRestored = errors.New("store was restored from an older copy since the position was read")
)

// Topic is one keyed topic of the platform's store.
type Topic int

// The topics that a host reads. A host writes only to TopicHosts, TopicClaims, TopicCrashes,
// TopicVersions and TopicStreams.
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
	// TopicVersions holds the software versions at which streams may have begun. It is read when a second one
	// appears, and by hosts that may have missed changes.
	TopicVersions
	// TopicStreams holds where streams began while that may be at several versions. It is read for streams that no
	// host knows.
	TopicStreams
)

// Topics lists the topics that hosts follow.
var Topics = []Topic{TopicConfig, TopicEndpoints, TopicHosts, TopicClaims, TopicCrashes}

// String implements fmt.Stringer.
func (t Topic) String() string {
	return [...]string{"config", "endpoints", "hosts", "claims", "crashes", "versions", "streams"}[t]
}

// Entry is a record of a keyed topic. An entry without a value deletes the key.
type Entry struct {
	Key   string
	Value []byte
	// Offset is the position of the record in its topic.
	Offset Position
}

// Batch is the result of a read.
type Batch struct {
	Entries []Entry
	// Malformed holds the records in between that have no valid key, so that they are no entries.
	Malformed []MalformedRecord
	// Next is the position of the next read.
	Next Position
}

// MalformedRecord is a record without a valid key, for example of another writer.
type MalformedRecord struct {
	// Offset is the position of the record, NoPosition if that is not valid either.
	Offset Position
	// Content is what can be read of the record.
	Content []byte
}

// CompactedError is returned by Read if the requested records have been compacted.
type CompactedError struct {
	// First is the first position that can be read.
	First Position
}

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("records compacted; the first readable position is %s", e.First)
}

// AnyOffset makes Put append unconditionally.
const AnyOffset = NoPosition

// Store is the platform's store of keyed topics.
type Store interface {
	// Newest returns the newest entry of each key and the position to continue from.
	Newest(ctx context.Context, t Topic) (Batch, error)
	// Page returns the newest entries of a limited number of keys, in the order of the keys and
	// beginning after the key after. more reports whether keys follow.
	Page(ctx context.Context, t Topic, after string) (b Batch, more bool, err error)
	// Read returns the entries from a position on. If there are none, it blocks for up to wait. It
	// returns ErrStoreRestored if the position is of an older era than the store's.
	Read(ctx context.Context, t Topic, from Position, wait time.Duration) (Batch, error)
	// Extent returns the first position of a topic that can still be read and the position after the
	// last entry, or a lower bound of it. Its cost does not depend on the number of entries.
	Extent(ctx context.Context, t Topic) (first, end Position, err error)
	// Put appends an entry and returns its position. Unless at is AnyOffset, the append succeeds
	// only at that position.
	Put(ctx context.Context, t Topic, key string, value []byte, at Position) (Position, error)
}

// Codec decodes the entries that the operator and the endpoints write to the store.
type Codec interface {
	// Config decodes a configuration. isConfig reports whether the key of the entry is that of
	// a configuration.
	Config(e Entry) (cfg *Config, isConfig bool, err error)
	// Endpoint decodes an endpoint's entry.
	Endpoint(e Entry) (Endpoint, error)
}
