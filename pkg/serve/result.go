package serve

import (
	"strconv"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Outcome names how a request ended: a status, a cause, or both.
func (r Result) Outcome() string {
	switch {
	case r.Refusal != nil && r.Refusal.NotRun:
		return "refused_" + string(r.Refusal.Cause)
	case r.Refusal != nil:
		return "failed_" + string(r.Refusal.Cause)
	default:
		return "status_" + strconv.Itoa(r.Status)
	}
}

// LogAttrs is the request's line in the log: what was decided, and by what.
func (r Result) LogAttrs() []any {
	return []any{
		"id", r.Request.ID,
		"content", fleet.Hex(r.Request.Fingerprint.Content),
		"caller", fleet.Hex(r.Request.Fingerprint.Caller),
		"account", r.Request.Account,
		"cost", r.Request.Cost,
		"route", r.Request.Route.Name,
		"service", r.Request.Service,
		"model", r.Request.Model,
		"adapter", r.Request.Adapter,
		"outcome", r.Outcome(),
		"complete", r.Complete,
		"endpoint", r.Endpoint,
		"sent", r.Sent,
		"runs", r.Runs,
		"resumed", r.Resumed,
		"wait_ms", r.Waited.Milliseconds(),
		"first_byte_ms", r.FirstByte.Milliseconds(),
		"total_ms", r.Total.Milliseconds(),
		"budget_ms", r.Request.Deadline.Sub(r.Request.Arrived).Milliseconds(),
		"note", r.Note,
	}
}
