package pool

import (
	"time"

	"github.com/tealvane/tealvane/pkg/record"
)

// OrderKind says what an order asks of an endpoint.
type OrderKind int

// The kinds of orders.
const (
	// OrderLoad loads a replica; it is idempotent per replica ID.
	OrderLoad OrderKind = iota
	// OrderUnload unloads a replica; it succeeds when the replica is not loaded.
	OrderUnload
)

// String names the kind.
func (k OrderKind) String() string {
	return [...]string{"load", "unload"}[k]
}

// Order is a command to an endpoint.
type Order struct {
	Kind        OrderKind
	Pool        string
	Epoch       record.Offset
	Endpoint    string
	Addr        string
	Incarnation record.Incarnation
	Replica     record.ReplicaID
	Model       string
	BaseModel   string
	MemoryMB    int64
	// Fence is the fencing token: the offset of the pool's last change that the
	// sender knew, as owner, when it decided to send.
	Fence record.Offset
}

// OrderResult is the answer to an order.
type OrderResult int

// The results of an order.
const (
	// OrderOK means that the order took effect.
	OrderOK OrderResult = iota
	// OrderRefused means that the endpoint answered and did nothing.
	OrderRefused
	// OrderUnknown means that no answer came and the connection has ended.
	OrderUnknown
)

// Observation is what the platform's list and the endpoint itself say of one
// endpoint.
type Observation struct {
	record.EndpointSeen
	// Leaving endpoints get no new replica.
	Leaving bool
	// Reachable endpoints answered the last probe; Loaded holds their answer.
	Reachable bool
	Loaded    []record.ReplicaID
}

// Usage is one host's use of one model.
type Usage struct {
	Customer string `cbor:"1,keyasint"`
	Model    string `cbor:"2,keyasint"`
	Waiting  int    `cbor:"3,keyasint"`
	Inflight int    `cbor:"4,keyasint"`
	// Remaining is the time to the earliest deadline of a waiting request.
	Remaining time.Duration `cbor:"5,keyasint"`
	// Idle is the time since the last request ended.
	Idle time.Duration `cbor:"6,keyasint"`
}

// Effect is something the host carries out for a controller. Exactly one
// field is set.
type Effect struct {
	// Plan is to be appended; PlanDone is called when it is settled.
	Plan *record.Plan
	// Quiesced is to be appended; its loss is harmless.
	Quiesced *record.Quiesced
	// Handover is to be appended; its loss is harmless.
	Handover *record.Handover
	// Order is to be sent; OrderDone is called with its result.
	Order *Order
}
