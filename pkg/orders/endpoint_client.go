package orders

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// Order is an order for an endpoint.
type Order struct {
	// Load is set for a load and not set for an unload.
	Load  bool
	Model string
	// Adapter is empty if the order is for the model itself.
	Adapter string
	// Expected is the number of orders that the endpoint must have accepted so far. It
	// keeps a delayed order from undoing a newer one.
	Expected int64
	Holder   string
	Token    int64
}

// Result is an endpoint's response to an order.
type Result int

// The results of an order.
const (
	// Accepted means that the endpoint executes the order.
	Accepted Result = iota
	// Done means that the endpoint was already in the requested state.
	Done
	// Conflict means that another order is in progress or that Expected does not match.
	Conflict
	// Fenced means that the endpoint has seen a newer token.
	Fenced
	// WrongEndpoint means that the address belongs to another endpoint.
	WrongEndpoint
	// Invalid means that the endpoint rejected the order as malformed.
	Invalid
)

// String implements fmt.Stringer.
func (r Result) String() string {
	return [...]string{"accepted", "done", "conflict", "fenced", "gone", "invalid"}[r]
}

// ErrNoResponse means that it is unknown whether the endpoint has accepted or will accept an
// order.
var ErrNoResponse = errors.New("no response to order")

// ErrUnreachable means that no connection to the endpoint could be made.
var ErrUnreachable = errors.New("endpoint is not reachable")

// ErrRestarted means that the endpoint has restarted under the same name, so a request for
// its former incarnation cannot be answered.
var ErrRestarted = errors.New("endpoint has restarted")

// ErrRateLimited means that nothing was sent because the endpoint's rate limit is exhausted at
// this host or the endpoint has asked it to back off.
var ErrRateLimited = errors.New("endpoint rate limit exhausted or backoff requested")

// EndpointClient sends orders and report requests to endpoints.
type EndpointClient interface {
	// Order sends an order once. After an error its outcome is unknown.
	Order(ctx context.Context, e fleet.Endpoint, o Order) (Result, error)
	// Report requests an endpoint's state, which may lag.
	Report(ctx context.Context, e fleet.Endpoint) (fleet.Report, error)
}
