package relay

import "time"

const (
	// MaxHold is how long a question is held while nothing changes. It is the longest interval
	// between two answers at each hop, which also serve as heartbeats of the controller.
	MaxHold = 250 * time.Millisecond
	// answersPerCore is the number of non-urgent answers per second that a host gives for each of
	// its cores.
	answersPerCore = 800
	// minSpacing is the least interval between two non-urgent answers to one host.
	minSpacing = 8 * time.Millisecond
)

// Spacing returns the least interval between two non-urgent answers to one host, for a relay with
// the given numbers of children and cores. An answer is urgent if a request waits for the change.
func Spacing(children int, cores float64) time.Duration {
	if cores <= 0 {
		cores = defaultCores
	}
	d := time.Duration(float64(children) / (answersPerCore * cores) * float64(time.Second))
	return min(MaxHold, max(minSpacing, d))
}

// Question is the timing of a host's long poll.
type Question struct {
	// Asked is when the question was received, Answered when the previous one was answered.
	Asked    time.Time
	Answered time.Time
}

// Answer returns when to answer the question: at once if a change is urgent, spaced from the
// previous answer if there is another change, else after MaxHold.
func (q Question) Answer(changed, urgent bool, spacing time.Duration) time.Time {
	latest := q.Asked.Add(MaxHold)
	switch {
	case urgent:
		return q.Asked
	case !changed:
		return latest
	}
	at := q.Answered.Add(spacing)
	if at.Before(latest) {
		return at
	}
	return latest
}
