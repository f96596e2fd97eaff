package pool

import (
	"time"

	"github.com/tealvane/tealvane/pkg/record"
)

// OrderKind is the kind of an order.
type OrderKind int

// The kinds of orders.
const (
	// OrderLoad loads a replica. It is idempotent per replica ID.
	OrderLoad OrderKind = iota
	// OrderUnload unloads a replica. It also succeeds if the replica is not loaded.
	OrderUnload
)

// String implements fmt.Stringer.
func (k OrderKind) String() string {
	return [...]string{"load", "unload"}[k]
}

// Order is an order for an endpoint.
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
	// Fence is the fencing token: the offset of the last change of the pool in the state
	// that the order was decided on.
	Fence record.Offset
}

// OrderResult is the result of an order.
type OrderResult int

// The results of an order.
const (
	// OrderOK means that the order took effect.
	OrderOK OrderResult = iota
	// OrderRejected means that the endpoint responded and did nothing.
	OrderRejected
	// OrderUnknown means that the connection ended without a response.
	OrderUnknown
)

// Observation is the state of an endpoint according to the platform's list and the endpoint
// itself.
type Observation struct {
	record.EndpointRegistered
	// Draining is set if no new replicas may be placed on the endpoint.
	Draining bool
	// Reachable is set if the endpoint responded to the last health check. Loaded is taken from
	// that response.
	Reachable bool
	Loaded    []record.ReplicaID
}

// Usage is a host's usage of a model.
type Usage struct {
	Customer string `cbor:"1,keyasint"`
	Model    string `cbor:"2,keyasint"`
	Waiting  int    `cbor:"3,keyasint"`
	Inflight int    `cbor:"4,keyasint"`
	// Remaining is the time until the earliest deadline of a waiting request.
	Remaining time.Duration `cbor:"5,keyasint"`
	// Idle is the time since the last request ended.
	Idle time.Duration `cbor:"6,keyasint"`
}

// Effect is an action that the host executes for a controller. Exactly one field is set.
type Effect struct {
	// Plan must be appended. The host calls PlanDone when it is applied or abandoned.
	Plan *record.Plan
	// Quiesced must be appended. It may be lost, since it is appended again.
	Quiesced *record.Quiesced
	// Handover must be appended. It may be lost, since it is appended again.
	Handover *record.Handover
	// Order must be sent. The host calls OrderDone with its result.
	Order *Order
}
