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
	// RecordArrival counts a received request.
	RecordArrival(r *Request)
	// Acquire blocks until a slot at an endpoint is granted, the request is refused, or ctx is
	// done. The caller must return the slot with Release.
	Acquire(ctx context.Context, r *Request, prior PriorAttempts) (fleet.Endpoint, *Refusal)
	// Release returns a slot.
	Release(r *Request, e fleet.EndpointID, result SlotResult)
	// RecordFirstByte records the time from sending a request to the first byte of its
	// response.
	RecordFirstByte(r *Request, after time.Duration)
	// HasAlternative reports whether an endpoint other than e can meet a need now.
	HasAlternative(n Need, e fleet.EndpointID) bool
	// LatestStart returns the time after which a request is not sent to an endpoint because the host shuts down, or
	// the zero time.
	LatestStart(r *Request) time.Time
	// ServiceTime returns the moving average of the service time of a service.
	ServiceTime(service string) time.Duration
}

// PriorAttempts describes the earlier attempts of a request.
type PriorAttempts struct {
	// Version is the software version that the rest of the response requires.
	Version fleet.VersionRequirement
	// Avoid holds the endpoints to avoid.
	Avoid Avoidance
	// ResponseStarted reports whether a part of the response was sent to the client.
	ResponseStarted bool
}

// Avoidance maps endpoints to how strictly a request must avoid them.
type Avoidance map[fleet.EndpointID]Avoid

// Avoid is how strictly a request must avoid an endpoint. The zero value means not at all.
type Avoid int

const (
	// LastResort endpoints failed the request and are used only if no other endpoint is
	// available.
	LastResort Avoid = iota + 1
	// Exclude excludes an endpoint, because another endpoint took over its address.
	Exclude
)

// SlotResult is the result of using a slot.
type SlotResult struct {
	// Duration is the duration of a run that is not known to have failed, or zero.
	Duration time.Duration
	// Failed reports that the endpoint failed or rejected the request.
	Failed bool
	// Rejected reports that the endpoint rejected the request for lack of slots.
	Rejected bool
	// NotRun reports that the request certainly did not run in the slot.
	NotRun bool
	// Unreachable reports that no connection to the endpoint could be made.
	Unreachable bool
}
