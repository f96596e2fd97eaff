package serve

import (
	"strconv"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Outcome returns the label of the result: the status of the response and whether its end is unconfirmed, or
// the cause of a refusal or failure.
func (r Result) Outcome() string {
	switch {
	case r.Refusal != nil && r.Refusal.NotRun:
		return "refused_" + string(r.Refusal.Cause)
	case r.Refusal != nil:
		return "failed_" + string(r.Refusal.Cause)
	case r.Unconfirmed:
		return "unconfirmed_" + strconv.Itoa(r.Status)
	default:
		return "status_" + strconv.Itoa(r.Status)
	}
}

// LogAttrs returns the log attributes of the result.
func (r Result) LogAttrs() []any {
	attrs := []any{
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
		"full", r.Full,
		"resumed", r.Resumed,
		"wait_ms", r.Waited.Milliseconds(),
		"first_byte_ms", r.FirstByte.Milliseconds(),
		"total_ms", r.Total.Milliseconds(),
		"budget_ms", r.Request.Deadline.Sub(r.Request.Arrived).Milliseconds(),
		"note", r.Note,
	}
	if len(r.Request.Prompt.Parts) > 0 {
		attrs = append(attrs, "prompt_parts", fleet.HexAll(r.Request.Prompt.Parts))
	}
	if r.BlockedPart != 0 {
		attrs = append(attrs, "blocked_part", fleet.Hex(r.BlockedPart))
	}
	// These are set only for services that are scheduled for contention.
	if r.Request.limited {
		attrs = append(attrs, "share", r.Request.share)
	}
	if r.NoSlot > 0 {
		attrs = append(attrs, "no_slot", r.NoSlot)
	}
	if r.Framing != "" {
		attrs = append(attrs, "framing", string(r.Framing))
	}
	if r.Via != "" {
		attrs = append(attrs, "via", r.Via)
	}
	if r.EndpointVersion != "" {
		attrs = append(attrs, "endpoint_version", r.EndpointVersion)
	}
	if r.Request.resumesStream() {
		attrs = append(attrs, "resumes", r.Request.Resumes, "version", r.StreamVersion.Required.Version, "version_source", r.StreamVersion.Source, "version_age_ms", r.StreamVersion.Age.Milliseconds())
	}
	if r.Request.returned {
		attrs = append(attrs, "returned", true)
	}
	return attrs
}
