package openai

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/tealvane/tealvane/internal/api/callers"
	"github.com/tealvane/tealvane/pkg/completion"
)

// NewError implements callers.Handler. It converts any error to the error response.
func (h Handler) NewError(_ context.Context, err error) *callers.ErrorStatusCodeWithHeaders {
	r := asRefusal(err)
	out := &callers.ErrorStatusCodeWithHeaders{
		StatusCode: r.Status,
		Response:   callers.Error{Error: callers.ErrorDetail{Code: r.Code, Message: r.Message}},
	}
	if r.Reason != "" {
		out.Response.Error.Reason.SetTo(r.Reason)
	}
	if r.RetryAfter > 0 {
		out.RetryAfter.SetTo(retryAfterSeconds(r.RetryAfter))
	}
	return out
}

func asRefusal(err error) *completion.Refusal {
	var r *completion.Refusal
	if errors.As(err, &r) {
		return r
	}
	var security *ogenerrors.SecurityError
	if errors.As(err, &security) {
		return unauthenticated()
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &completion.Refusal{Status: http.StatusRequestEntityTooLarge, Code: callers.ErrorDetailCodeInvalid, Message: err.Error()}
	}
	return completion.Invalid("%v", err)
}

// writeError writes the error response to requests that the generated code rejects
// before it calls the handler.
func (h Handler) writeError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	out := h.NewError(ctx, err)
	body, _ := out.Response.MarshalJSON()
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(out.StatusCode)
	_, _ = w.Write(body)
}

func unauthenticated() *completion.Refusal {
	return &completion.Refusal{
		Status:  http.StatusUnauthorized,
		Code:    callers.ErrorDetailCodeUnauthenticated,
		Message: "a bearer token of a contract in force is expected",
	}
}

func forbidden(format string, args ...any) *completion.Refusal {
	return &completion.Refusal{
		Status:  http.StatusForbidden,
		Code:    callers.ErrorDetailCodeForbidden,
		Message: fmt.Sprintf(format, args...),
	}
}

func notFound(format string, args ...any) *completion.Refusal {
	return &completion.Refusal{
		Status:  http.StatusNotFound,
		Code:    callers.ErrorDetailCodeNotFound,
		Message: fmt.Sprintf(format, args...),
	}
}

// retryAfterSeconds rounds up, so that a retry does not arrive too early.
func retryAfterSeconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }
