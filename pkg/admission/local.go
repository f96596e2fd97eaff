package admission

import (
	"math"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// localSlices slices of localSlice are the window over which a host counts its own requests.
	localSlices = 10
	localSlice  = 100 * time.Millisecond
	// minLocalRejections is the least number of rejections in the window that limits requests.
	// Fewer may be chance.
	minLocalRejections = 4
	// maxLocalRefused is the largest share of requests refused because of rejections, so that the
	// host notices when endpoints accept requests again.
	maxLocalRefused = 0.8
)

// Local counts a host's own requests for one model and how many of them endpoints rejected as full
// within the last second. It limits requests while no level is known. It is not safe for concurrent
// use.
type Local struct {
	arrived, rejected [localSlices]int
	// current is the number of the latest slice, counted from the Unix epoch.
	current int64
}

// Arrive counts a received request.
func (l *Local) Arrive(now time.Time) {
	l.advance(now)
	l.arrived[l.current%localSlices]++
}

// Reject counts a request that an endpoint rejected.
func (l *Local) Reject(now time.Time) {
	l.advance(now)
	l.rejected[l.current%localSlices]++
}

// Share returns the share of requests to admit, in units of 1/fleet.FullShare.
func (l *Local) Share(now time.Time) int {
	arrived, rejected := l.counts(now)
	if rejected < minLocalRejections {
		return fleet.FullShare
	}
	refused := min(maxLocalRefused, float64(rejected)/float64(max(1, arrived)))
	return int(math.Round(fleet.FullShare * (1 - refused)))
}

// Idle reports whether nothing was counted within the window.
func (l *Local) Idle(now time.Time) bool {
	arrived, rejected := l.counts(now)
	return arrived+rejected == 0
}

func (l *Local) counts(now time.Time) (arrived, rejected int) {
	l.advance(now)
	for i := range localSlices {
		arrived += l.arrived[i]
		rejected += l.rejected[i]
	}
	return arrived, rejected
}

func (l *Local) advance(now time.Time) {
	slice := now.UnixNano() / int64(localSlice)
	for step := 0; l.current < slice && step < localSlices; step++ {
		l.current++
		l.arrived[l.current%localSlices] = 0
		l.rejected[l.current%localSlices] = 0
	}
	l.current = max(l.current, slice)
}
