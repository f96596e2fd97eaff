package serve

import "time"

const (
	// runTimeWeight is the least weight of one run in the moving averages of runTime.
	runTimeWeight = 0.1
	// unknownRunTime is the time that a run is expected to take at most before any was measured.
	unknownRunTime = 2500 * time.Millisecond
	// runTimeDeviations is the number of mean deviations, and runTimeMargin the least share of the mean as a
	// divisor, by which hardly any run takes longer than the mean.
	runTimeDeviations = 4
	runTimeMargin     = 8
)

// runTime learns how long runs take: moving averages of their time and of its deviation, as RFC 6298 keeps for
// round-trip times.
type runTime struct {
	runs            int
	mean, deviation time.Duration
}

// add adds a run that was not cut short.
func (r *runTime) add(d time.Duration) {
	r.runs++
	if r.runs == 1 {
		r.mean = d
		return
	}
	weight := max(runTimeWeight, 1/float64(r.runs))
	r.deviation += time.Duration(float64((d-r.mean).Abs()-r.deviation) * weight)
	r.mean += time.Duration(float64(d-r.mean) * weight)
}

// atMost returns a time that hardly any run exceeds.
func (r *runTime) atMost() time.Duration {
	if r.runs == 0 {
		return unknownRunTime
	}
	return r.mean + max(runTimeDeviations*r.deviation, r.mean/runTimeMargin)
}
