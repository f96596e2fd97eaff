// Package routing chooses a replica for a request.
package routing

import (
	"cmp"
	"math"
	"time"
)

// Candidate is a loaded replica as one host sees it.
type Candidate struct {
	Replica string
	Zone    string
	// Own is the number of this host's running requests at the replica.
	Own int
	// Others is the number of other hosts' requests at the replica, by the
	// engine's last report, and Age how old that report is.
	Others int
	Age    time.Duration
	// Limit is the number of this host's requests that may run at once.
	Limit int
	// Suspect replicas failed lately and are used only when no other has room.
	Suspect bool
}

// load estimates the requests at the replica. What a report says of the other
// hosts' requests loses its meaning with their service time: those that it saw
// have ended, and its difference from other replicas is only noise.
func (c Candidate) load(service time.Duration) float64 {
	fresh := math.Exp(-float64(c.Age) / float64(max(service, time.Millisecond)))
	return float64(c.Own) + float64(c.Others)*fresh
}

// Pick returns the index of the replica to use, or -1 when none has room.
// service is the usual time of a request. pick returns a number below n; of two random candidates the better one is
// taken, so that hosts with the same late reports do not all choose the same
// replica.
func Pick(candidates []Candidate, zone string, service time.Duration, pick func(n int) int) int {
	var open []int
	for i, c := range candidates {
		if c.Own < c.Limit {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	a := open[pick(len(open))]
	b := open[pick(len(open))]
	if better(candidates[b], candidates[a], zone, service) {
		return b
	}
	return a
}

func better(a, b Candidate, zone string, service time.Duration) bool {
	return cmp.Or(
		boolCompare(a.Suspect, b.Suspect),
		cmp.Compare(a.load(service), b.load(service)),
		boolCompare(a.Zone != zone, b.Zone != zone),
	) < 0
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
