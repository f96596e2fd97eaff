// Package routing chooses a replica for a request.
package routing

import (
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

// firstLoad is by how many requests the first choice, which is near or has read what a
// request shares with others, may be busier than another: reading a shared part again
// takes about as long as one request waits for another's prompt.
const firstLoad = 1.0

// Pick returns the index of the replica to use, or -1 when none has room. pick
// returns a number below n. Two candidates are compared: one of the own availability
// zone if it has any, with an affinity the one that all hosts of the zone prefer for
// it; and one at random, so that hosts with the same late reports do not all choose
// the same replica.
func Pick(candidates []Candidate, c Choice, pick func(n int) int) int {
	var open, near []int
	for i, x := range candidates {
		if x.Own >= x.Limit {
			continue
		}
		open = append(open, i)
		if x.Zone == c.Zone {
			near = append(near, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	if len(near) == 0 {
		near = open
	}
	a := near[pick(len(near))]
	if c.Affinity != "" {
		a = preferred(candidates, near, c.Affinity)
	}
	b := open[pick(len(open))]
	if better(candidates[b], candidates[a], c.Service) {
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

// better tells whether a replica is so much less busy than the first choice that it
// is used instead.
func better(a, first Candidate, service time.Duration) bool {
	if a.Suspect != first.Suspect {
		return first.Suspect
	}
	return a.load(service)+firstLoad < first.load(service)
}
