package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// Guards against keeping each run that has ended without a confirmed response for as long as its endpoint serves.
func TestOldBrokenRunsAreDropped(t *testing.T) {
	is := is.New(t)
	r := NewRecentRuns()
	now := time.Now()
	r.RecordBroken(now, "e", fleet.Fingerprint{Content: 1}, fleet.NewCopyID("a"))
	now = now.Add(runRetention + time.Second)
	r.RecordBroken(now, "e", fleet.Fingerprint{Content: 2}, fleet.NewCopyID("b"))
	r.Prune(now)
	is.Equal(len(r.endpoints["e"].brokenAt), 1)
}
