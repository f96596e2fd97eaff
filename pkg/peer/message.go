// Package peer exchanges messages between entry hosts over QUIC with mutual TLS. Each stream
// carries one request and its responses.
package peer

import (
	"time"

	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/links"
	"github.com/tealvane/tealvane/pkg/membership"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/record"
)

// protocolVersion is sent in each message.
const protocolVersion = 1

// maxMessageBytes limits the size of one message; tail responses are the largest.
const maxMessageBytes = 8 << 20

// maxTail limits the number of records in one tail response.
const maxTail = 2000

// Request is a message to another host. At most one of its bodies is set. A request without
// a body, or with one of an unknown kind, gets a response without request-specific fields.
type Request struct {
	Version  int          `cbor:"1,keyasint"`
	Usage    *UsageReport `cbor:"2,keyasint,omitempty"`
	Tail     *TailRequest `cbor:"3,keyasint,omitempty"`
	Snapshot bool         `cbor:"4,keyasint,omitempty"`
	Drain    *DrainNotice `cbor:"5,keyasint,omitempty"`
	// Pull reports demand towards the controller and requests updates from it.
	Pull *fleet.Pull `cbor:"9,keyasint,omitempty"`
	// State requests entries that the other host has read from the platform's store.
	State *StateRequest `cbor:"8,keyasint,omitempty"`
	// Proxy is the first message of a stream that package proxy handles.
	Proxy *ProxyRequest `cbor:"10,keyasint,omitempty"`
	// Check asks for the state of an endpoint.
	Check *EndpointCheck `cbor:"11,keyasint,omitempty"`
	// StreamStarts tells where streams began, and StreamLookup asks for it.
	StreamStarts []fleet.StreamStart `cbor:"12,keyasint,omitempty"`
	StreamLookup *fleet.StreamLookup `cbor:"13,keyasint,omitempty"`
	// WriteStreams asks the receiving host to write StreamStarts to the platform's store.
	WriteStreams bool `cbor:"14,keyasint,omitempty"`
	// Reach asks whether the receiving host reaches endpoints that the sender does not.
	Reach []fleet.EndpointID `cbor:"15,keyasint,omitempty"`
	// Known is set by the receiving node if the sender is a known host.
	Known bool `cbor:"-"`
}

// StateRequest requests store entries newer than those of the requesting host, which cannot
// reach the store itself.
type StateRequest struct {
	// ConfigVersion is the configuration version of the requesting host.
	ConfigVersion int64 `cbor:"1,keyasint"`
	// EndpointsFrom is the first endpoint offset that the requesting host is missing.
	EndpointsFrom fleet.Position `cbor:"2,keyasint"`
}

// StateResponse holds entries as stored. The complete list of endpoints comes as archives in
// several responses.
type StateResponse struct {
	Config    *fleet.Entry  `cbor:"1,keyasint,omitempty"`
	Endpoints []fleet.Entry `cbor:"2,keyasint,omitempty"`
	// EndpointsNext is the offset up to which Endpoints, or the archives of all responses, are
	// complete.
	EndpointsNext fleet.Position `cbor:"3,keyasint,omitempty"`
	// Archive is a part of the complete list. Archives is the number of parts, in the first
	// response.
	Archive  Archive `cbor:"4,keyasint,omitempty"`
	Archives int     `cbor:"5,keyasint,omitempty"`
}

// UsageReport reports a host's usage of the models of a pool to the pool's owner.
type UsageReport struct {
	Host   string       `cbor:"1,keyasint"`
	Pool   string       `cbor:"2,keyasint"`
	Models []pool.Usage `cbor:"3,keyasint"`
}

// TailRequest requests the log records from an offset on.
type TailRequest struct {
	From  record.Offset `cbor:"1,keyasint"`
	Limit int           `cbor:"2,keyasint"`
}

// DrainNotice announces that endpoints are draining.
type DrainNotice struct {
	Endpoints []membership.DrainingEndpoint `cbor:"1,keyasint"`
}

// Response is one message of the answer to a request; a snapshot takes several.
type Response struct {
	Version int              `cbor:"1,keyasint"`
	Entries []external.Entry `cbor:"2,keyasint,omitempty"`
	// TrimmedFirst is the first available offset if the requested records have been trimmed.
	TrimmedFirst record.Offset    `cbor:"3,keyasint,omitempty"`
	Chunk        *record.Snapshot `cbor:"4,keyasint,omitempty"`
	// Claim is the newest controller claim known to the responding host.
	Claim *orders.Claim `cbor:"5,keyasint,omitempty"`
	// Controlling reports whether the responding host holds that claim.
	Controlling bool           `cbor:"6,keyasint,omitempty"`
	State       *StateResponse `cbor:"7,keyasint,omitempty"`
	// ConfigVersion is the configuration version in use at the responding host.
	ConfigVersion int64 `cbor:"8,keyasint,omitempty"`
	// HolderHeartbeatAge is the time in milliseconds since the responding host received a
	// heartbeat of the holder of that claim.
	HolderHeartbeatAge int64 `cbor:"9,keyasint,omitempty"`
	// StoreAge is the time in milliseconds since the store last responded to that host.
	StoreAge int64 `cbor:"10,keyasint,omitempty"`
	// Notice is the response to a Pull. It is nil if a newer Pull of the same host replaced
	// this one.
	Notice *fleet.Notice `cbor:"11,keyasint,omitempty"`
	// LinksLost reports that the responding host seems to have lost its links to endpoints.
	LinksLost bool `cbor:"12,keyasint,omitempty"`
	// Endpoint is the response to a Check.
	Endpoint *EndpointState `cbor:"13,keyasint,omitempty"`
	// StreamLookup is the response to a StreamLookup.
	StreamLookup *fleet.StreamLookupResult `cbor:"14,keyasint,omitempty"`
	// Reach is the response to Reach.
	Reach *links.Answer `cbor:"15,keyasint,omitempty"`
}

// HolderHeartbeat returns how long ago the responding host received a heartbeat of the holder of a claim, and
// whether that is less than maxAge. Hosts that do not know the caller, or that only know an older claim, have no
// information about this holder; counting them would delay the takeover from a failed holder.
func (r Response) HolderHeartbeat(token int64, maxAge time.Duration) (ago time.Duration, ok bool) {
	if r.Claim == nil || r.Claim.Token < token {
		return 0, false
	}
	ago = time.Duration(r.HolderHeartbeatAge) * time.Millisecond
	return ago, ago < maxAge
}

// Handler handles the requests of other hosts.
type Handler interface {
	HandleUsage(r UsageReport)
	HandleDrain(n DrainNotice)
	HandleTail(r TailRequest) ([]external.Entry, error)
	HandleSnapshot() ([]record.Snapshot, error)
}
