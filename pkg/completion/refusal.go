package completion

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/api/callers"
	"github.com/tealvane/tealvane/pkg/serve"
)

// causeKey is the cause of refusals that concern the idempotency key.
const causeKey serve.Cause = "idempotency_key"

// MinRetryAfter is the smallest positive value of the Retry-After header.
const MinRetryAfter = time.Second

// Refusal is the error response to a request. Its code states whether the request
// may have run.
type Refusal struct {
	Status     int
	Code       callers.ErrorDetailCode
	Reason     string
	Message    string
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Message) }

// NotRun reports whether the request certainly did not run.
func (r *Refusal) NotRun() bool { return r.Code == callers.ErrorDetailCodeNotRun }

// NotRun returns a refusal of a request that certainly did not run.
func NotRun(reason string, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       callers.ErrorDetailCodeNotRun,
		Reason:     reason,
		Message:    fmt.Sprintf(format, args...),
		RetryAfter: max(retryAfter, MinRetryAfter),
	}
}

// OutcomeUnknown returns a refusal of a request that may have run.
func OutcomeUnknown(format string, args ...any) *Refusal {
	return &Refusal{
		Status:  http.StatusBadGateway,
		Code:    callers.ErrorDetailCodeOutcomeUnknown,
		Message: fmt.Sprintf(format, args...),
	}
}

// Invalid returns a refusal of a request that must not be retried unchanged.
func Invalid(format string, args ...any) *Refusal {
	return &Refusal{
		Status:  http.StatusBadRequest,
		Code:    callers.ErrorDetailCodeInvalid,
		Message: fmt.Sprintf(format, args...),
	}
}

// brokenStream returns the refusal of a request whose response broke off after the
// caller received a part of it.
func brokenStream() *Refusal {
	return &Refusal{
		Status:  http.StatusBadGateway,
		Code:    callers.ErrorDetailCodeBrokenStream,
		Message: "the answer cannot be completed: the endpoint broke it off",
	}
}

// convertRefusal converts a refusal of package serve.
func convertRefusal(r serve.Refusal) *Refusal {
	var detail *Refusal
	hasDetail := errors.As(r.Detail, &detail)
	switch {
	case hasDetail && r.NotRun == detail.NotRun():
		return detail
	case hasDetail:
		outcomeUnknown := OutcomeUnknown("an endpoint failed while it ran the request, and then: %s", detail.Message)
		outcomeUnknown.RetryAfter = r.RetryAfter
		return outcomeUnknown
	case !r.NotRun && r.Cause == serve.CauseClientGone:
		return OutcomeUnknown("the caller has gone")
	case !r.NotRun:
		return OutcomeUnknown("the endpoint did not answer: %v", r.Detail)
	case r.Cause == serve.CauseCrashes:
		return NotRun(string(r.Cause), r.RetryAfter, "endpoints have ended each time that they ran this request")
	case r.Cause == serve.CauseNoRoom:
		return NotRun("endpoints_failed", r.RetryAfter, "%d endpoints did not take the request", maxAttempts)
	default:
		return NotRun(string(r.Cause), r.RetryAfter, "the request was not sent: %s", r.Cause)
	}
}
