package routing

import "time"

// Completion is what the expected time to completion at a replica follows from.
type Completion struct {
	// OtherRequests is the estimated number of other hosts' requests now.
	OtherRequests float64
	Slots         int
	// RunTimePercent is how long requests take at the replica, 100 as the mean.
	RunTimePercent float64
	// SuccessRate is the share of requests that do not fail, in relation to the mean of the service
	// and at most 1.
	SuccessRate float64
}

// minSuccessRate bounds the expected number of attempts. A replica that always fails still gets a
// request from time to time, which shows whether it has recovered.
const minSuccessRate = 0.05

// completionTime returns the expected time until one more request completes at the replica: its run
// time, shared among the slots, with the requests that are there already. A failed request is
// expected to run again.
func (c Candidate) completionTime(service time.Duration) float64 {
	x := c.Completion
	requests := float64(c.OwnRequests) + x.OtherRequests + 1
	run := service.Seconds() / float64(max(1, x.Slots)) * x.RunTimePercent / 100
	return requests * run / max(minSuccessRate, x.SuccessRate)
}

// completesSooner reports whether a replica should be used instead of the preferred one, by the time
// until completion.
func completesSooner(a, preferred Candidate, options Options) bool {
	return a.completionTime(options.ServiceTime)+preferredTime(a, preferred, options) < preferred.completionTime(options.ServiceTime)
}

// preferredTime returns the time in seconds that the preferred replica saves compared with another
// one: that of reading the cached prompt prefix, or of preferredLoadMargin requests if it is not known
// or the preferred replica is just nearer.
func preferredTime(a, preferred Candidate, options Options) float64 {
	margin := preferredLoadMargin * options.ServiceTime.Seconds() / float64(max(1, preferred.Completion.Slots))
	switch {
	case options.Affinity == "" && a.Zone == preferred.Zone:
		return 0
	case options.Affinity != "" && options.SavedTime > 0:
		return options.SavedTime.Seconds()
	default:
		return margin
	}
}
