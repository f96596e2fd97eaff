package upstream

import "github.com/cockroachdb/errors"

// Violation is a way in which an endpoint does not answer in HTTP/1.
type Violation string

// The violations, as they appear in metrics and logs.
const (
	HeadTooLong   Violation = "head_too_long"
	HeadMalformed Violation = "head_malformed"
)

// violationOf returns the violation that a read of a head has failed with, or "".
func violationOf(err error) Violation {
	switch {
	case errors.Is(err, ErrHeadTooLong):
		return HeadTooLong
	case errors.Is(err, ErrMalformedHead):
		return HeadMalformed
	default:
		return ""
	}
}
