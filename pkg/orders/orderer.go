package orders

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// Order is one order to an endpoint.
type Order struct {
	// Load loads, otherwise the order unloads.
	Load  bool
	Model string
	// Adapter is empty for the model itself.
	Adapter string
	// Expected is the number of orders that the endpoint must have accepted; an
	// order that is carried out late fails instead of undoing a newer one.
	Expected int64
	Holder   string
	Token    int64
}

// Result is an endpoint's answer to an order.
type Result int

// The results.
const (
	// Accepted orders are being carried out.
	Accepted Result = iota
	// Done orders needed nothing more.
	Done
	// Conflict means another order under way, or another sequence.
	Conflict
	// Fenced means that the endpoint has seen a newer token.
	Fenced
	// Gone means that another endpoint has the address.
	Gone
	// Invalid orders are refused for what they say.
	Invalid
)

// String implements fmt.Stringer.
func (r Result) String() string {
	return [...]string{"accepted", "done", "conflict", "fenced", "gone", "invalid"}[r]
}

// ErrNoAnswer means that an order may have been accepted, or may be later.
var ErrNoAnswer = errors.New("no answer to an order")

// ErrUnreachable means that no connection to the endpoint could be made.
var ErrUnreachable = errors.New("endpoint is not reachable")

// ErrRestarted means that the endpoint has started again under its name: what was asked
// of its former incarnation has no answer.
var ErrRestarted = errors.New("endpoint has started again")

// ErrLimited means that nothing was sent, since the endpoint states a request rate of which this
// host has nothing left, or has asked it for a pause.
var ErrLimited = errors.New("endpoint states a request rate that is used up, or has asked for a pause")

// Orderer reaches endpoints.
type Orderer interface {
	// Order sends an order once. An error means that its outcome is unknown.
	Order(ctx context.Context, e fleet.Endpoint, o Order) (Result, error)
	// Report asks an endpoint for its state, which lags.
	Report(ctx context.Context, e fleet.Endpoint) (fleet.Report, error)
}
