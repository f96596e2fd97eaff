package gateway

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// A controller dies, and all hosts answer one another with old news. Each question was taken in
// and told again, and what was let through of an account doubled with each: it was held to
// two fifths of its allowance for seconds after the next controller had come.
func TestOldNewsIsNoReasonToTellAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		err   error
		taken bool
	}{
		{"the answer is old", errors.Wrap(errStaleNews, "asked"), true},
		{"the host that was asked does not know this one", errNotKnown, false},
		{"no answer", errors.New("timeout"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(takenIn(c.err), c.taken)
		})
	}
}
