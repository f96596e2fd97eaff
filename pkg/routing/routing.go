// Package routing chooses a replica for a request.
package routing

import "cmp"

// Candidate is a loaded replica as one host sees it.
type Candidate struct {
	Replica string
	Zone    string
	// Own is the number of this host's running requests at the replica.
	Own int
	// Reported is the load that the engine reported, which lags. OwnAtReport
	// is how many of this host's requests it already holds.
	Reported    int
	OwnAtReport int
	// Limit is the number of this host's requests that may run at once.
	Limit int
	// Suspect replicas failed lately and are used only when no other has room.
	Suspect bool
}

// load counts this host's requests since the report in.
func (c Candidate) load() int {
	return max(c.Own, c.Reported+c.Own-c.OwnAtReport)
}

// Pick returns the index of the replica to use, or -1 when none has room.
// pick returns a number below n; of two random candidates the better one is
// taken, so that hosts with the same late reports do not all choose the same
// replica.
func Pick(candidates []Candidate, zone string, pick func(n int) int) int {
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
	if better(candidates[b], candidates[a], zone) {
		return b
	}
	return a
}

func better(a, b Candidate, zone string) bool {
	return cmp.Or(
		boolCompare(a.Suspect, b.Suspect),
		cmp.Compare(a.load(), b.load()),
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
