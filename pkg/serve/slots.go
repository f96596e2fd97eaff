package serve

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/slotshare"
)

// SlotLimits tells about services whose endpoints are brittle, so that no more requests are sent to them than they have
// slots. The Backend enforces that.
type SlotLimits interface {
	// Limited reports whether the endpoints of a service are brittle.
	Limited(service string) bool
	// Free reports whether this host has a free slot of an endpoint, so that a request needs no other host.
	Free(e fleet.Endpoint) bool
	// MayAsk reports whether this host may ask another one for a slot now, and Asks whether it asks for one of an
	// endpoint, given the number of endpoints that can serve the request.
	MayAsk() bool
	Asks(e fleet.Endpoint, endpoints int) bool
}

// limitedToSlots reports whether the endpoints of a service are brittle.
func (d *Dispatcher) limitedToSlots(service string) bool {
	return d.Slots != nil && d.Slots.Limited(service)
}

// limitToSlots sets the limits of options at brittle endpoints. All hosts together keep within the slots, whatever
// this host knows of the others, and no request waits in the queue of an endpoint.
func limitToSlots(options []option) {
	for i := range options {
		options[i].candidate.Limit = options[i].endpoint.Slots
		options[i].fallbackLimit = 0
		options[i].shared = false
	}
}

// optionsWithSlots returns the options where this host has a free slot, or if there are none those for which it may ask
// another host. What an endpoint keeps of the prompts of earlier requests is worth more than a request by way of
// another host.
func (d *Dispatcher) optionsWithSlots(options []option, r *Request) []option {
	mayAsk := d.Slots.MayAsk()
	if r.Affinity != "" && mayAsk {
		return options
	}
	own := filterOptions(options, d.Slots.Free)
	if len(own) > 0 || !mayAsk {
		return own
	}
	if asked := filterOptions(options, func(e fleet.Endpoint) bool { return d.Slots.Asks(e, len(options)) }); len(asked) > 0 {
		return asked
	}
	return options
}

func filterOptions(options []option, include func(fleet.Endpoint) bool) []option {
	var out []option
	for _, o := range options {
		if include(o.endpoint) {
			out = append(out, o)
		}
	}
	return out
}

// noSlot records that a request found no slot of a brittle endpoint, which may have one later.
func (x *exchange) noSlot(e fleet.Endpoint, retryIn time.Duration) {
	s := x.server
	s.Health.recordNoSlot(s.Now().Add(retryIn), e.ID, x.request.Need().QualifiedName())
	x.result.NoSlot++
	s.Queue.Release(x.request, e.ID, SlotResult{NotRun: true})
}

// rejectionsExplain reports whether the failure of a run is explained by a brittle endpoint that has fallen over because it
// had to reject requests, as far as this host or the one that sent the request knows.
func (s *Server) rejectionsExplain(e fleet.Endpoint, err error) bool {
	_, _, brittle := s.Health.Brittle.Find(e.Service)
	return errors.Is(err, slotshare.ErrRejecting) || brittle && s.Health.rejectedWithin(s.Now(), e.ID, slotshare.RejectionMemory)
}

// rejectedWithin reports whether an endpoint has rejected a request of this host for lack of slots within a time.
func (h *Health) rejectedWithin(now time.Time, id fleet.EndpointID, d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.endpoints[id]
	return e != nil && !e.rejectedAt.IsZero() && now.Sub(e.rejectedAt) < d
}

// recordNoSlot records that an endpoint gets no requests for the named model or adapter until a time.
func (h *Health) recordNoSlot(until time.Time, id fleet.EndpointID, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.state(id); until.After(e.closedUntil[name]) {
		e.closedUntil[name] = until
	}
}

// rankWaiting ranks the waiting requests of a service. At brittle endpoints, which are not sent more requests than they have
// slots, those that can no longer meet their objective with the usual time to the first byte give way to
// those that can. It must be called with s.mu held.
func (d *Dispatcher) rankWaiting(now time.Time, s *shard) {
	s.waiting.leastRun = minRunTime
	if d.limitedToSlots(s.service) {
		s.waiting.leastRun = max(minRunTime, s.firstByte)
	}
	s.waiting.rank(now, s.firstByte)
}
