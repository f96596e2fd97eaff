package relay

import "time"

const (
	// MaxPullHold is how long a pull is held while nothing changes. It is the longest interval
	// between two responses at each hop, which also serve as heartbeats of the controller.
	MaxPullHold = 250 * time.Millisecond
	// responsesPerCore is the number of non-urgent responses per second that a host gives
	// for each of its cores.
	responsesPerCore = 800
	// minSpacing is the least interval between two non-urgent responses to one host.
	minSpacing = 8 * time.Millisecond
)

// Spacing returns the least interval between two non-urgent responses to one host, for a relay with
// the given numbers of children and cores. A response is urgent if a request waits for the change.
func Spacing(children int, cores float64) time.Duration {
	if cores <= 0 {
		cores = defaultCores
	}
	d := time.Duration(float64(children) / (responsesPerCore * cores) * float64(time.Second))
	return min(MaxPullHold, max(minSpacing, d))
}

// PullTiming is the timing of a host's long poll.
type PullTiming struct {
	// ReceivedAt is when the pull was received, PreviousResponseAt when the previous one was
	// answered.
	ReceivedAt         time.Time
	PreviousResponseAt time.Time
}

// RespondAt returns when to respond to the pull: at once if a change is urgent, spaced from the
// previous response if there is another change, else after MaxPullHold.
func (p PullTiming) RespondAt(changed, urgent bool, spacing time.Duration) time.Time {
	latest := p.ReceivedAt.Add(MaxPullHold)
	switch {
	case urgent:
		return p.ReceivedAt
	case !changed:
		return latest
	}
	at := p.PreviousResponseAt.Add(spacing)
	if at.Before(latest) {
		return at
	}
	return latest
}
