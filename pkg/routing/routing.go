// Package routing chooses a replica for a request.
package routing

import (
	"cmp"
	"hash/fnv"
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

// Choice is what a choice of replicas depends on beside the replicas.
type Choice struct {
	// Zone is that of the choosing host.
	Zone string
	// Service is the usual time of a request.
	Service time.Duration
	// Affinity names what the request shares with others, empty for nothing.
	Affinity string
}

// affinityLoad is by how many requests the replica that an affinity prefers may be
// busier than another: reading a shared part again takes about as long as one request
// waits for another's prompt. Tokens of shared parts read again under three loads with
// faults: 423,000, 626,000 and 469,000 without, 398,000, 529,000 and 341,000 with it.
const affinityLoad = 1.0

// Pick returns the index of the replica to use, or -1 when none has room. pick
// returns a number below n; of two random candidates the better one is taken, so that
// hosts with the same late reports do not all choose the same replica. With an
// affinity, the first of the two is the one that all hosts prefer for it.
func Pick(candidates []Candidate, c Choice, pick func(n int) int) int {
	var open []int
	for i, c := range candidates {
		if c.Own < c.Limit {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	b := open[pick(len(open))]
	if c.Affinity != "" {
		a := preferred(candidates, open, c.Affinity)
		if candidates[a].load(c.Service) <= candidates[b].load(c.Service)+affinityLoad {
			return a
		}
		return b
	}
	a := open[pick(len(open))]
	if better(candidates[b], candidates[a], c.Zone, c.Service) {
		return b
	}
	return a
}

// preferred returns the candidate with the highest hash of its name and a key. All
// hosts agree on it without a word, and few keys move when a replica comes or goes.
func preferred(candidates []Candidate, open []int, key string) int {
	best, most := open[0], uint64(0)
	for _, i := range open {
		h := fnv.New64a()
		_, _ = h.Write([]byte(key + "/" + candidates[i].Replica)) // A hash takes all.
		if sum := h.Sum64(); sum >= most {
			best, most = i, sum
		}
	}
	return best
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
