package serve

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Queue assigns requests to slots at endpoints: it admits or refuses them, lets them wait, and
// chooses the endpoint. Server decides whether a request may be sent again and what a refusal
// promises. Implementations are safe for concurrent use.
type Queue interface {
	// Arrive counts a received request.
	Arrive(r *Request)
	// Acquire blocks until a slot at an endpoint is granted, the request is refused, or ctx is
	// done. The caller must return the slot with Release.
	Acquire(ctx context.Context, r *Request, t Tried) (fleet.Endpoint, *Refusal)
	// Release returns a slot.
	Release(r *Request, e fleet.EndpointID, u Use)
	// Began records how long after it was sent a request got the first byte of its response.
	Began(r *Request, after time.Duration)
	// HasOther reports whether an endpoint other than e could serve the request now.
	HasOther(r *Request, e fleet.EndpointID) bool
	// ServiceTime returns the moving average of the service time of a service.
	ServiceTime(service string) time.Duration
}

// Tried describes the earlier attempts of a request.
type Tried struct {
	// At holds the endpoints to avoid.
	At Avoidance
	// Begun reports whether a part of the response was sent to the client.
	Begun bool
}

// Avoidance maps endpoints to how strictly a request must avoid them.
type Avoidance map[fleet.EndpointID]Avoid

// Avoid is how strictly a request must avoid an endpoint. The zero value means not at all.
type Avoid int

const (
	// LastChoice endpoints failed the request and are used only if no other endpoint is
	// available.
	LastChoice Avoid = iota + 1
	// Never excludes an endpoint, because another endpoint took over its address.
	Never
)

// Use is the result of using a slot.
type Use struct {
	// Took is the duration of a successful run, or zero.
	Took time.Duration
	// Failed reports that the endpoint failed or rejected the request.
	Failed bool
	// Unreachable reports that no connection to the endpoint could be made.
	Unreachable bool
}
