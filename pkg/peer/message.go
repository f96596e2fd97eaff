// Package peer carries messages between entry hosts over QUIC with mutual
// TLS. One stream carries one request and its answer.
package peer

import (
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/membership"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/record"
)

// protocolVersion is the version that this build speaks.
const protocolVersion = 1

// maxMessageBytes bounds one message; a tail answer is the largest.
const maxMessageBytes = 8 << 20

// maxTail bounds the records of one tail answer, whatever was asked for.
const maxTail = 2000

// Request is a message to another host. Exactly one body is set; a request
// whose kind a host does not know gets an empty answer.
type Request struct {
	Version  int          `cbor:"1,keyasint"`
	Usage    *UsageReport `cbor:"2,keyasint,omitempty"`
	Tail     *TailRequest `cbor:"3,keyasint,omitempty"`
	Snapshot bool         `cbor:"4,keyasint,omitempty"`
	Leave    *LeaveNotice `cbor:"5,keyasint,omitempty"`
	// Pull tells demand on its way to the controller, and asks for what comes from it.
	Pull *fleet.Pull `cbor:"9,keyasint,omitempty"`
	// State asks for what the other host has read from the platform's store.
	State *StateRequest `cbor:"8,keyasint,omitempty"`
	// Known is set by the receiving node: the sender is a known host.
	Known bool `cbor:"-"`
}

// StateRequest asks for entries of the store beyond those that the asking host
// has: it cannot reach the store itself.
type StateRequest struct {
	// ConfigVersion is the version of the configuration that the asker has.
	ConfigVersion int64 `cbor:"1,keyasint"`
	// EndpointsFrom is the offset from which the asker misses entries.
	EndpointsFrom int64 `cbor:"2,keyasint"`
}

// StateAnswer holds entries as they stand in the store.
type StateAnswer struct {
	Config    *fleet.Entry  `cbor:"1,keyasint,omitempty"`
	Endpoints []fleet.Entry `cbor:"2,keyasint,omitempty"`
	// EndpointsNext is the offset up to which the entries are complete.
	EndpointsNext int64 `cbor:"3,keyasint,omitempty"`
}

// UsageReport tells a pool's owner how a host uses its models.
type UsageReport struct {
	Host   string       `cbor:"1,keyasint"`
	Pool   string       `cbor:"2,keyasint"`
	Models []pool.Usage `cbor:"3,keyasint"`
}

// TailRequest asks for records from an offset on.
type TailRequest struct {
	From  record.Offset `cbor:"1,keyasint"`
	Limit int           `cbor:"2,keyasint"`
}

// LeaveNotice tells that endpoints are leaving.
type LeaveNotice struct {
	Endpoints []membership.Leave `cbor:"1,keyasint"`
}

// Response is one message of an answer; a snapshot takes several.
type Response struct {
	Version int              `cbor:"1,keyasint"`
	Entries []external.Entry `cbor:"2,keyasint,omitempty"`
	// TrimmedFirst is set when the records asked for are no longer kept.
	TrimmedFirst record.Offset    `cbor:"3,keyasint,omitempty"`
	Chunk        *record.Snapshot `cbor:"4,keyasint,omitempty"`
	// Claim is the newest claim to give orders that the answering host knows.
	Claim *orders.Claim `cbor:"5,keyasint,omitempty"`
	// Controlling tells whether the answering host holds that claim.
	Controlling bool         `cbor:"6,keyasint,omitempty"`
	State       *StateAnswer `cbor:"7,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration in force there.
	ConfigVersion int64 `cbor:"8,keyasint,omitempty"`
	// HolderHeard is how many milliseconds ago the answering host has heard the
	// holder of that claim.
	HolderHeard int64 `cbor:"9,keyasint,omitempty"`
	// StoreAge is how many milliseconds ago the store answered that host.
	StoreAge int64 `cbor:"10,keyasint,omitempty"`
	// Notice answers a Pull; none comes where a newer one of the same host is answered.
	Notice *fleet.Notice `cbor:"11,keyasint,omitempty"`
}

// Handler answers the requests of other hosts.
type Handler interface {
	HandleUsage(r UsageReport)
	HandleLeave(l LeaveNotice)
	HandleTail(r TailRequest) ([]external.Entry, error)
	HandleSnapshot() ([]record.Snapshot, error)
}
