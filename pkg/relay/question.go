package relay

import "time"

const (
	// MaxHold is how long a question waits for something to change. It is the longest
	// pause between two signs of life of the controller at each hop.
	MaxHold = 250 * time.Millisecond
	// answersPerCore is how many answers about changes that nobody waits for a host gives
	// in a second for each of its cores: at a third of a millisecond each, a quarter of it.
	answersPerCore = 800
	// minSpacing is the least time between two of them to one host.
	minSpacing = 8 * time.Millisecond
)

// Spacing is the least time between two answers to one host about changes for which no
// request of it waits, where some hosts are answered by a host with some cores.
func Spacing(children int, cores float64) time.Duration {
	if cores <= 0 {
		cores = leastCores
	}
	d := time.Duration(float64(children) / (answersPerCore * cores) * float64(time.Second))
	return min(MaxHold, max(minSpacing, d))
}

// Question is a host's question as far as its pace goes.
type Question struct {
	// Asked is when it came, Answered when the one before was answered.
	Asked    time.Time
	Answered time.Time
}

// Answer tells when a question is to be answered, given what has changed for it.
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
