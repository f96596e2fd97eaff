package gateway

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against counting usage twice when the upstream host accepted the pull but returned an
// outdated notice.
func TestUsageIsRestoredOnlyIfPullWasNotAccepted(t *testing.T) {
	for _, c := range []struct {
		name     string
		err      error
		accepted bool
	}{
		{"outdated response", errors.Wrap(errStaleUpstream, "pull"), true},
		{"unknown to the upstream host", errUnknownHost, false},
		{"no response", errors.New("timeout"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(pullAccepted(c.err), c.accepted)
		})
	}
}
