package serve

import "time"

const (
	// runTimeWindow is the time over which the longest run is kept; the window before it counts as well.
	runTimeWindow = time.Minute
	// unknownRunTime is the least time that a run is expected to take at most before minRunTimeRuns were measured.
	unknownRunTime = 2500 * time.Millisecond
	minRunTimeRuns = 10
	// runTimeMargin is added to the longest run, as a divisor of its time.
	runTimeMargin = 4
)

// runTime learns how long runs take at most: the longest ones in the current window and in the one before.
type runTime struct {
	since             time.Time
	current, previous runTimeStats
}

// runTimeStats are the number of runs in a window and the time of the longest one.
type runTimeStats struct {
	runs    int
	longest time.Duration
}

// add adds a run that was not cut short.
func (r *runTime) add(now time.Time, d time.Duration) {
	r.advance(now)
	r.current.runs++
	r.current.longest = max(r.current.longest, d)
}

// advance begins a new window if the current one has ended.
func (r *runTime) advance(now time.Time) {
	switch age := now.Sub(r.since); {
	case age >= 2*runTimeWindow:
		r.previous, r.current, r.since = runTimeStats{}, runTimeStats{}, now
	case age >= runTimeWindow:
		r.previous, r.current, r.since = r.current, runTimeStats{}, now
	}
}

// atMost returns a time that hardly any run exceeds. Runs of a service differ by their models and lengths, so that
// an average would not do.
func (r *runTime) atMost(now time.Time) time.Duration {
	r.advance(now)
	longest := max(r.current.longest, r.previous.longest)
	longest += longest / runTimeMargin
	if r.current.runs+r.previous.runs < minRunTimeRuns {
		return max(longest, unknownRunTime)
	}
	return longest
}
