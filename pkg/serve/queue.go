package serve

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Queue gives requests places at endpoints: it admits or refuses them, lets them
// wait, and chooses the replica. What may be sent again, and what a refusal may
// promise, is decided by Server. Implementations are safe for concurrent use.
type Queue interface {
	// Arrive counts a request that has come in.
	Arrive(r *Request)
	// Acquire waits for a place at an endpoint. The place must be given back with
	// Release. ctx ends when the client has gone or its time is over.
	Acquire(ctx context.Context, r *Request, t Tried) (fleet.Endpoint, *Refusal)
	// Release gives a place back.
	Release(r *Request, e fleet.EndpointID, u Use)
	// Began notes that an endpoint has begun to answer, some time after it was sent
	// the request.
	Began(r *Request, after time.Duration)
	// HasOther tells whether an endpoint other than e could take the request now.
	HasOther(r *Request, e fleet.EndpointID) bool
	// ServiceTime is the usual time of a request of a service.
	ServiceTime(service string) time.Duration
}

// Tried is what has become of a request so far.
type Tried struct {
	// At tells at which endpoints the request was tried.
	At Avoidance
	// Begun tells whether a part of the answer went to the client.
	Begun bool
}

// Avoidance tells how far endpoints have to be avoided.
type Avoidance map[fleet.EndpointID]Avoid

// Avoid is how far one endpoint has to be avoided; the zero value is not at all.
type Avoid int

const (
	// LastChoice endpoints have failed the request; another is better, but one
	// that alone holds the model may be asked again.
	LastChoice Avoid = iota + 1
	// Never marks that another endpoint has the address.
	Never
)

// Use is how a place was used.
type Use struct {
	// Took is how long a successful run took, zero for any other.
	Took time.Duration
	// Failed uses ended by a fault of the endpoint, also if it only refused.
	Failed bool
	// Unreachable endpoints could not be connected to.
	Unreachable bool
}
