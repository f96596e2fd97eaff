package entryhost

import (
	"fmt"
	"net/http"
	"time"

	"github.com/tealvane/tealvane/internal/api/callers"
)

// Refusal is the typed answer to a request that is not served. Its code says
// what is known of the request's execution.
type Refusal struct {
	Status     int
	Code       callers.ErrorDetailCode
	Reason     string
	Message    string
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Message) }

func notRun(reason string, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       callers.ErrorDetailCodeNotRun,
		Reason:     reason,
		Message:    fmt.Sprintf(format, args...),
		RetryAfter: max(retryAfter, minRetryAfter),
	}
}

// minRetryAfter is the least that the Retry-After header can say.
const minRetryAfter = time.Second

func outcomeUnknown(format string, args ...any) *Refusal {
	return &Refusal{
		Status:  http.StatusBadGateway,
		Code:    callers.ErrorDetailCodeOutcomeUnknown,
		Message: fmt.Sprintf(format, args...),
	}
}

func invalid(format string, args ...any) *Refusal {
	return &Refusal{
		Status:  http.StatusBadRequest,
		Code:    callers.ErrorDetailCodeInvalid,
		Message: fmt.Sprintf(format, args...),
	}
}

func forbidden(format string, args ...any) *Refusal {
	return &Refusal{
		Status:  http.StatusForbidden,
		Code:    callers.ErrorDetailCodeForbidden,
		Message: fmt.Sprintf(format, args...),
	}
}

func notFound(format string, args ...any) *Refusal {
	return &Refusal{
		Status:  http.StatusNotFound,
		Code:    callers.ErrorDetailCodeNotFound,
		Message: fmt.Sprintf(format, args...),
	}
}

// brokenStream tells a caller who has seen a part of the answer that the rest
// will not come.
func brokenStream(err error) *Refusal {
	return &Refusal{
		Status:  http.StatusBadGateway,
		Code:    callers.ErrorDetailCodeBrokenStream,
		Message: fmt.Sprintf("the answer cannot be completed: %v", err),
	}
}

// seconds rounds up, since a caller who comes back early is refused again.
func seconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }
