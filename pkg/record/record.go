// Package record defines the records that entry hosts and operators append to
// the platform's log, and their encoding.
//
// Every record carries the preconditions under which it takes effect. The
// fold in package state accepts or voids it from the records before it alone,
// so a record that is appended late or twice is harmless.
package record

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// FormatVersion is the encoding version that this build writes.
const FormatVersion = 1

// MaxBytes bounds one encoded record; the log refuses larger ones.
const MaxBytes = 256 << 10

// Offset is a position in the log. Offsets start at 1; 0 means "none".
type Offset uint64

// Incarnation identifies one run of a process. A restarted process has a new one.
type Incarnation string

// ID identifies one intention to append. A retry repeats the ID.
type ID string

// NewID returns a fresh record ID.
func NewID() ID { return ID(uuid.Must(uuid.NewV7()).String()) }

// ErrMalformed is returned for bytes that are no record of a known version.
var ErrMalformed = errors.New("malformed record")

// Record is the envelope of one log record. Exactly one body is set; a record
// without a body that this build knows has no effect.
type Record struct {
	Version  int          `cbor:"1,keyasint"`
	ID       ID           `cbor:"2,keyasint"`
	Contract *Contract    `cbor:"3,keyasint,omitempty"`
	Join     *HostJoin    `cbor:"4,keyasint,omitempty"`
	Renew    *HostRenew   `cbor:"5,keyasint,omitempty"`
	Gone     *HostGone    `cbor:"6,keyasint,omitempty"`
	Claim    *PoolClaim   `cbor:"7,keyasint,omitempty"`
	Handover *Handover    `cbor:"8,keyasint,omitempty"`
	Quiesced *Quiesced    `cbor:"9,keyasint,omitempty"`
	Plan     *Plan        `cbor:"10,keyasint,omitempty"`
	Dispatch *Dispatch    `cbor:"11,keyasint,omitempty"`
	Horizon  *Horizon     `cbor:"12,keyasint,omitempty"`
	Snapshot *Snapshot    `cbor:"13,keyasint,omitempty"`
	Defer    *Deferred    `cbor:"14,keyasint,omitempty"`
	Finish   *DeferFinish `cbor:"15,keyasint,omitempty"`
	Crashed  *Crashed     `cbor:"16,keyasint,omitempty"`
}

// Contract publishes a customer's contract. It takes effect when Base is the
// version in force and the document is valid; the new version is Base+1.
type Contract struct {
	Customer string `cbor:"1,keyasint"`
	Base     uint64 `cbor:"2,keyasint"`
	Document []byte `cbor:"3,keyasint"`
}

// HostRef names one run of an entry host.
type HostRef struct {
	Host        string      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// HostJoin opens the session of an entry host.
type HostJoin struct {
	HostRef
	PeerAddr string `cbor:"3,keyasint"`
	Zone     string `cbor:"4,keyasint"`
}

// HostRenew is the heartbeat of a session; one renews all claims of the host.
type HostRenew struct {
	HostRef
	// Leaving hosts take no more pools.
	Leaving bool `cbor:"3,keyasint,omitempty"`
}

// HostGone states that a run of an entry host has ended for good.
type HostGone struct{ HostRef }

// PoolClaim takes a pool. It takes effect when PrevEpoch is still the pool's
// epoch; the new epoch is the offset of this record.
type PoolClaim struct {
	Pool      string  `cbor:"1,keyasint"`
	PrevEpoch Offset  `cbor:"2,keyasint"`
	Owner     HostRef `cbor:"3,keyasint"`
}

// Handover passes a pool from its owner to another host without a gap.
type Handover struct {
	Pool  string  `cbor:"1,keyasint"`
	Epoch Offset  `cbor:"2,keyasint"`
	To    HostRef `cbor:"3,keyasint"`
}

// Quiesced states that a former owner has no order for epochs before Epoch
// under way and will send none.
type Quiesced struct {
	Pool  string  `cbor:"1,keyasint"`
	Epoch Offset  `cbor:"2,keyasint"`
	Owner HostRef `cbor:"3,keyasint"`
}

// Plan is a batch of an owner's decisions about its pool. It takes effect
// when Epoch is the pool's epoch and Seq the number of plans accepted in it.
type Plan struct {
	Pool      string     `cbor:"1,keyasint"`
	Epoch     Offset     `cbor:"2,keyasint"`
	Seq       uint64     `cbor:"3,keyasint"`
	Decisions []Decision `cbor:"4,keyasint"`
}

// ReplicaID identifies a replica for ever; an ID is never used again.
type ReplicaID string

// Decision is one step of a plan. Exactly one field is set.
type Decision struct {
	Endpoint *EndpointSeen `cbor:"1,keyasint,omitempty"`
	Place    *Place        `cbor:"3,keyasint,omitempty"`
	Ready    *Ready        `cbor:"4,keyasint,omitempty"`
	Retire   *Retire       `cbor:"5,keyasint,omitempty"`
	Free     *Free         `cbor:"6,keyasint,omitempty"`
	Lost     *EndpointLost `cbor:"7,keyasint,omitempty"`
}

// EndpointSeen registers an endpoint, or its restart under a new incarnation.
type EndpointSeen struct {
	Endpoint      string      `cbor:"1,keyasint"`
	Incarnation   Incarnation `cbor:"2,keyasint"`
	Addr          string      `cbor:"3,keyasint"`
	Zone          string      `cbor:"4,keyasint"`
	MemoryMB      int64       `cbor:"5,keyasint"`
	ChecksFencing bool        `cbor:"6,keyasint"`
}

// EndpointLost removes an endpoint that has left the platform's list.
type EndpointLost struct {
	Endpoint    string      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// Place reserves memory for a replica and allows its load order.
type Place struct {
	Replica  ReplicaID `cbor:"1,keyasint"`
	Customer string    `cbor:"2,keyasint"`
	Model    string    `cbor:"3,keyasint"`
	Endpoint string    `cbor:"4,keyasint"`
}

// Ready states that the endpoint has reported the replica loaded.
type Ready struct {
	Replica ReplicaID `cbor:"1,keyasint"`
}

// Retire ends routing to a replica; its memory stays reserved.
type Retire struct {
	Replica ReplicaID `cbor:"1,keyasint"`
}

// Free gives the memory of a retired replica back after its unload was confirmed.
type Free struct {
	Replica ReplicaID `cbor:"1,keyasint"`
}

// Key identifies a non-idempotent request of a customer. Value is a version 7
// UUID, whose time decides whether the key is older than the horizon.
type Key struct {
	Customer string `cbor:"1,keyasint"`
	Value    string `cbor:"2,keyasint"`
}

// Time returns the key's creation time, false when the value is no version 7 UUID.
func (k Key) Time() (time.Time, bool) {
	id, err := uuid.Parse(k.Value)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}

// Dispatch is a batch of key claims, outcomes and releases of one host.
type Dispatch struct {
	Holder   HostRef      `cbor:"1,keyasint"`
	Claims   []KeyClaim   `cbor:"2,keyasint,omitempty"`
	Outcomes []KeyOutcome `cbor:"3,keyasint,omitempty"`
	Releases []KeyRelease `cbor:"4,keyasint,omitempty"`
}

// KeyClaim takes a key before its request is sent to an endpoint. Attempt is
// the number of releases before it.
type KeyClaim struct {
	Key
	Attempt uint32 `cbor:"3,keyasint"`
	// Digest is a hash of the request, to tell a repeat from another request
	// under the same key.
	Digest uint64 `cbor:"4,keyasint"`
}

// KeyOutcome keeps the answer for repeats of the request.
type KeyOutcome struct {
	Key
	Status  int    `cbor:"3,keyasint"`
	Body    []byte `cbor:"4,keyasint,omitempty"`
	Omitted bool   `cbor:"5,keyasint,omitempty"`
}

// KeyRelease gives back a key whose request was certainly not sent.
type KeyRelease struct {
	Key
	Attempt uint32 `cbor:"3,keyasint"`
}

// Horizon forbids keys created before a time and drops what is kept of them.
type Horizon struct {
	Before time.Time `cbor:"1,keyasint"`
}

// Deferred accepts a request whose answer is fetched later. ID is a version 7 UUID.
type Deferred struct {
	ID       string `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	Model    string `cbor:"3,keyasint"`
	Body     []byte `cbor:"4,keyasint"`
}

// DeferFinish records the whole answer of a deferred request. The first one wins.
type DeferFinish struct {
	ID     string `cbor:"1,keyasint"`
	Status int    `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}

// Crashed states that an endpoint has ended while requests ran there. Hosts that saw the same
// end each tell what ran there on their account.
type Crashed struct {
	// Endpoint is the ID of a replica, or of an incarnation of a plain service.
	Endpoint string           `cbor:"1,keyasint"`
	Requests []CrashedRequest `cbor:"2,keyasint"`
	At       time.Time        `cbor:"3,keyasint"`
}

// CrashedRequest names a request by digests of what it asks for and of who asks.
type CrashedRequest struct {
	Content uint64 `cbor:"1,keyasint"`
	Caller  uint64 `cbor:"2,keyasint"`
}

// Snapshot is one chunk of the folded state after offset AsOf. Chunks with the
// same AsOf and Digest are interchangeable, whoever wrote them.
type Snapshot struct {
	AsOf   Offset `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	Index  int    `cbor:"3,keyasint"`
	Count  int    `cbor:"4,keyasint"`
	Data   []byte `cbor:"5,keyasint"`
}

// Limits on decoded input; they bound memory for hostile bytes. A snapshot may
// hold more elements: its bytes are bounded and were digested before.
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

func decOptions(elements int) cbor.DecOptions {
	return cbor.DecOptions{MaxArrayElements: elements, MaxMapPairs: elements, MaxNestedLevels: maxNesting}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal encodes v deterministically: equal values give equal bytes.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes bytes written by Marshal; sizes are bounded and unknown
// fields are ignored.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }

// UnmarshalSnapshot decodes the joined data of a snapshot.
func UnmarshalSnapshot(data []byte, v any) error { return snapshotMode.Unmarshal(data, v) }

// Encode returns the record's bytes; it fails for a record above MaxBytes.
func Encode(r Record) ([]byte, error) {
	r.Version = FormatVersion
	data, err := Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(data) > MaxBytes {
		return nil, errors.Newf("record has %d bytes, at most %d are allowed", len(data), MaxBytes)
	}
	return data, nil
}

// Decode parses the bytes of one record.
func Decode(data []byte) (Record, error) {
	var r Record
	if len(data) > MaxBytes {
		return r, errors.Wrapf(ErrMalformed, "%d bytes", len(data))
	}
	if err := Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrapf(ErrMalformed, "%v", err)
	}
	if r.Version < 1 || r.Version > FormatVersion {
		return Record{}, errors.Wrapf(ErrMalformed, "version %d", r.Version)
	}
	return r, nil
}
