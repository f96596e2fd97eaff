// Package record defines the records that entry hosts and operators append to
// the platform's log, and their encoding.
//
// Every record carries the preconditions under which it takes effect. Package
// state accepts or rejects it based on the records before it alone, so a record
// that is appended late or twice has no unintended effect.
package record

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// FormatVersion is the version of the encoding that this build writes.
const FormatVersion = 1

// MaxBytes is the maximum size of an encoded record; the log rejects larger ones.
const MaxBytes = 256 << 10

// Offset is a position in the log. Offsets start at 1; 0 means none.
type Offset uint64

// Incarnation identifies one run of a process. It changes with every restart.
type Incarnation string

// ID identifies a record. A retried append repeats the ID.
type ID string

// NewID returns a new record ID.
func NewID() ID { return ID(uuid.Must(uuid.NewV7()).String()) }

// ErrMalformed is returned for bytes that are not a record of a supported version.
var ErrMalformed = errors.New("malformed record")

// Record is the envelope of a log record. Exactly one body is set. A record
// whose body is unknown to this build has no effect.
type Record struct {
	Version  int               `cbor:"1,keyasint"`
	ID       ID                `cbor:"2,keyasint"`
	Contract *Contract         `cbor:"3,keyasint,omitempty"`
	Join     *SessionOpen      `cbor:"4,keyasint,omitempty"`
	Renew    *SessionRenew     `cbor:"5,keyasint,omitempty"`
	Gone     *SessionClose     `cbor:"6,keyasint,omitempty"`
	Claim    *PoolClaim        `cbor:"7,keyasint,omitempty"`
	Handover *Handover         `cbor:"8,keyasint,omitempty"`
	Quiesced *Quiesced         `cbor:"9,keyasint,omitempty"`
	Plan     *Plan             `cbor:"10,keyasint,omitempty"`
	KeyBatch *KeyBatch         `cbor:"11,keyasint,omitempty"`
	Horizon  *KeyHorizon       `cbor:"12,keyasint,omitempty"`
	Snapshot *Snapshot         `cbor:"13,keyasint,omitempty"`
	Defer    *DeferredRequest  `cbor:"14,keyasint,omitempty"`
	Finish   *DeferredResponse `cbor:"15,keyasint,omitempty"`
	Crashed  *EndpointCrash    `cbor:"16,keyasint,omitempty"`
}

// Contract publishes a customer's contract. It takes effect if Base is the
// current version and the document is valid; the new version is Base+1.
type Contract struct {
	Customer string `cbor:"1,keyasint"`
	Base     uint64 `cbor:"2,keyasint"`
	Document []byte `cbor:"3,keyasint"`
}

// HostRef identifies one incarnation of an entry host.
type HostRef struct {
	Host        string      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// SessionOpen opens the session of an entry host.
type SessionOpen struct {
	HostRef
	PeerAddr string `cbor:"3,keyasint"`
	Zone     string `cbor:"4,keyasint"`
}

// SessionRenew is the heartbeat of a session. It renews the host's ownership of all
// its pools.
type SessionRenew struct {
	HostRef
	// Leaving hosts are shutting down and claim no more pools.
	Leaving bool `cbor:"3,keyasint,omitempty"`
}

// SessionClose closes the session of an incarnation that has terminated.
type SessionClose struct{ HostRef }

// PoolClaim takes ownership of a pool. It takes effect if PrevEpoch is still the
// pool's epoch; the new epoch is the offset of this record.
type PoolClaim struct {
	Pool      string  `cbor:"1,keyasint"`
	PrevEpoch Offset  `cbor:"2,keyasint"`
	Owner     HostRef `cbor:"3,keyasint"`
}

// Handover transfers a pool from its owner to another host.
type Handover struct {
	Pool  string  `cbor:"1,keyasint"`
	Epoch Offset  `cbor:"2,keyasint"`
	To    HostRef `cbor:"3,keyasint"`
}

// Quiesced states that a former owner has no orders in flight for epochs
// before Epoch and will send none.
type Quiesced struct {
	Pool  string  `cbor:"1,keyasint"`
	Epoch Offset  `cbor:"2,keyasint"`
	Owner HostRef `cbor:"3,keyasint"`
}

// Plan is a batch of decisions by a pool's owner. It takes effect if Epoch is the
// pool's epoch and Seq is the number of plans accepted in that epoch.
type Plan struct {
	Pool      string     `cbor:"1,keyasint"`
	Epoch     Offset     `cbor:"2,keyasint"`
	Seq       uint64     `cbor:"3,keyasint"`
	Decisions []Decision `cbor:"4,keyasint"`
}

// ReplicaID identifies a replica. IDs are never reused.
type ReplicaID string

// Decision is one decision of a plan. Exactly one field is set.
type Decision struct {
	Endpoint *EndpointRegistered `cbor:"1,keyasint,omitempty"`
	Place    *Place              `cbor:"3,keyasint,omitempty"`
	Ready    *Ready              `cbor:"4,keyasint,omitempty"`
	Retire   *Retire             `cbor:"5,keyasint,omitempty"`
	Free     *Free               `cbor:"6,keyasint,omitempty"`
	Lost     *EndpointRemoved    `cbor:"7,keyasint,omitempty"`
}

// EndpointRegistered registers an endpoint or its restart under a new incarnation.
type EndpointRegistered struct {
	Endpoint      string      `cbor:"1,keyasint"`
	Incarnation   Incarnation `cbor:"2,keyasint"`
	Addr          string      `cbor:"3,keyasint"`
	Zone          string      `cbor:"4,keyasint"`
	MemoryMB      int64       `cbor:"5,keyasint"`
	ChecksFencing bool        `cbor:"6,keyasint"`
}

// EndpointRemoved removes an endpoint that is no longer in the platform's list.
type EndpointRemoved struct {
	Endpoint    string      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// Place reserves memory for a replica. It must be appended before the load order is sent.
type Place struct {
	Replica  ReplicaID `cbor:"1,keyasint"`
	Customer string    `cbor:"2,keyasint"`
	Model    string    `cbor:"3,keyasint"`
	Endpoint string    `cbor:"4,keyasint"`
}

// Ready states that the endpoint has reported the replica as loaded.
type Ready struct {
	Replica ReplicaID `cbor:"1,keyasint"`
}

// Retire stops routing to a replica. Its memory stays reserved.
type Retire struct {
	Replica ReplicaID `cbor:"1,keyasint"`
}

// Free releases the memory of a retired replica after its unload is confirmed.
type Free struct {
	Replica ReplicaID `cbor:"1,keyasint"`
}

// Key is the idempotency key of a customer's request. Value is a version 7 UUID,
// whose timestamp is compared with the horizon.
type Key struct {
	Customer string `cbor:"1,keyasint"`
	Value    string `cbor:"2,keyasint"`
}

// Time returns the creation time of the key. It returns false if the value is not
// a version 7 UUID.
func (k Key) Time() (time.Time, bool) {
	id, err := uuid.Parse(k.Value)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}

// KeyBatch is a batch of key claims, outcomes and releases of one host.
type KeyBatch struct {
	Holder   HostRef      `cbor:"1,keyasint"`
	Claims   []KeyClaim   `cbor:"2,keyasint,omitempty"`
	Outcomes []KeyOutcome `cbor:"3,keyasint,omitempty"`
	Releases []KeyRelease `cbor:"4,keyasint,omitempty"`
}

// KeyClaim claims a key before its request is sent to an endpoint. Attempt is the
// number of times the key has been released before.
type KeyClaim struct {
	Key
	Attempt uint32 `cbor:"3,keyasint"`
	// Digest is a hash of the request. It distinguishes a retry from a different
	// request with the same key.
	Digest uint64 `cbor:"4,keyasint"`
}

// KeyOutcome stores the response for retries of the request.
type KeyOutcome struct {
	Key
	Status  int    `cbor:"3,keyasint"`
	Body    []byte `cbor:"4,keyasint,omitempty"`
	Omitted bool   `cbor:"5,keyasint,omitempty"`
}

// KeyRelease releases a key whose request was certainly not sent.
type KeyRelease struct {
	Key
	Attempt uint32 `cbor:"3,keyasint"`
}

// KeyHorizon rejects idempotency keys and deferred requests created before a time and
// deletes those held.
type KeyHorizon struct {
	Before time.Time `cbor:"1,keyasint"`
}

// DeferredRequest accepts a request whose response is fetched later. ID is a version 7 UUID.
type DeferredRequest struct {
	ID       string `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	Model    string `cbor:"3,keyasint"`
	Body     []byte `cbor:"4,keyasint"`
}

// DeferredResponse stores the complete response to a deferred request. Only the first
// one takes effect.
type DeferredResponse struct {
	ID     string `cbor:"1,keyasint"`
	Status int    `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}

// EndpointCrash reports that an endpoint crashed with requests in flight. Every host
// that observes the crash reports its own requests.
type EndpointCrash struct {
	// Endpoint is the ID of a replica, or the incarnation of a service.
	Endpoint string           `cbor:"1,keyasint"`
	Requests []CrashedRequest `cbor:"2,keyasint"`
	At       time.Time        `cbor:"3,keyasint"`
}

// CrashedRequest identifies a request by digests of its content and its caller.
type CrashedRequest struct {
	Content uint64 `cbor:"1,keyasint"`
	Caller  uint64 `cbor:"2,keyasint"`
}

// Snapshot is one chunk of a snapshot of the state at offset AsOf. Chunks with the
// same AsOf and Digest are interchangeable, regardless of the host that wrote them.
type Snapshot struct {
	AsOf   Offset `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	Index  int    `cbor:"3,keyasint"`
	Count  int    `cbor:"4,keyasint"`
	Data   []byte `cbor:"5,keyasint"`
}

// Limits on decoded input that bound its memory. The limit for a snapshot is
// higher, because its size is bounded and its digest has been verified.
const (
	maxElements         = 100_000
	maxSnapshotElements = 50_000_000
	maxNesting          = 16
)

var (
	encMode      = must(cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeUnixMicro}.EncMode())
	decMode      = must(decOptions(maxElements).DecMode())
	snapshotMode = must(decOptions(maxSnapshotElements).DecMode())
)

func decOptions(maxItems int) cbor.DecOptions {
	return cbor.DecOptions{MaxArrayElements: maxItems, MaxMapPairs: maxItems, MaxNestedLevels: maxNesting}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal encodes v deterministically: equal values have equal encodings.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes data written by Marshal. It limits the size of the input and
// ignores unknown fields.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }

// UnmarshalSnapshot decodes the joined chunks of a snapshot.
func UnmarshalSnapshot(data []byte, v any) error { return snapshotMode.Unmarshal(data, v) }

// Encode returns the encoding of a record, or an error if it exceeds MaxBytes.
func Encode(r Record) ([]byte, error) {
	r.Version = FormatVersion
	data, err := Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(data) > MaxBytes {
		return nil, errors.Newf("record has %d bytes, the maximum is %d", len(data), MaxBytes)
	}
	return data, nil
}

// Decode decodes a record. It returns ErrMalformed if data is not a valid record.
func Decode(data []byte) (Record, error) {
	var r Record
	if len(data) > MaxBytes {
		return r, errors.Wrapf(ErrMalformed, "record has %d bytes, the maximum is %d", len(data), MaxBytes)
	}
	if err := Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrapf(ErrMalformed, "%v", err)
	}
	if r.Version < 1 || r.Version > FormatVersion {
		return Record{}, errors.Wrapf(ErrMalformed, "unsupported version %d", r.Version)
	}
	return r, nil
}
