// Package routing chooses a replica for a request.
package routing

import (
	"hash/fnv"
	"math"
	"time"
)

// Candidate is a loaded replica as observed by one host.
type Candidate struct {
	Replica string
	Zone    string
	// OwnRequests is the number of this host's running requests at the replica.
	OwnRequests int
	// OtherRequests is the number of other hosts' requests at the replica according to its last
	// load report, and ReportAge the age of that report.
	OtherRequests int
	ReportAge     time.Duration
	// Limit is the maximum number of this host's concurrent requests.
	Limit int
	// Suspect replicas failed recently and are used only if no other has a free slot.
	Suspect bool
	// Completion is used instead of the load report with Options.ByCompletion.
	Completion Completion
}

// load estimates the number of requests at the replica. The weight of the load report decays
// with its age relative to the service time, since the reported requests end. After that, a
// difference between reports is only noise.
func (c Candidate) load(service time.Duration) float64 {
	weight := math.Exp(-float64(c.ReportAge) / float64(max(service, time.Millisecond)))
	return float64(c.OwnRequests) + float64(c.OtherRequests)*weight
}

// Options holds the parameters of Pick.
type Options struct {
	// Zone is the availability zone of this host.
	Zone string
	// ServiceTime is the average service time of a request.
	ServiceTime time.Duration
	// Affinity identifies a prompt prefix shared with other requests, or is empty.
	Affinity string
	// ByCompletion compares replicas by the expected time until completion instead of the number of
	// requests.
	ByCompletion bool
	// SavedTime is the time that a request saves at a replica that has its prompt prefix cached, or
	// 0 if it is not known.
	SavedTime time.Duration
}

// preferredLoadMargin is the number of requests by which the preferred replica, which is in
// the same zone or has the prompt prefix cached, may be busier than the alternative. Processing
// a shared prefix again takes about as long as one request waits for another's prompt.
const preferredLoadMargin = 1.0

// Pick returns the index of the replica to use, or -1 if none has a free slot. randIntN
// returns a random number from 0 to n-1. Pick compares two candidates. The first is in the
// same availability zone if possible, and chosen by rendezvous hashing if an affinity is set.
// The second is chosen at random, so that hosts with the same outdated load reports do not all
// choose the same replica.
func Pick(candidates []Candidate, options Options, randIntN func(n int) int) int {
	var available, sameZone []int
	for i, x := range candidates {
		if x.OwnRequests >= x.Limit {
			continue
		}
		available = append(available, i)
		if x.Zone == options.Zone {
			sameZone = append(sameZone, i)
		}
	}
	if len(available) == 0 {
		return -1
	}
	if len(sameZone) == 0 {
		sameZone = available
	}
	a := sameZone[randIntN(len(sameZone))]
	if options.Affinity != "" {
		a = preferred(candidates, sameZone, options.Affinity)
	}
	b := available[randIntN(len(available))]
	if better(candidates[b], candidates[a], options) {
		return b
	}
	return a
}

// preferred returns the candidate with the highest rendezvous hash for a key. All hosts
// compute the same result, and few keys move when a replica is added or removed.
func preferred(candidates []Candidate, available []int, key string) int {
	best, highest := available[0], uint64(0)
	for _, i := range available {
		h := fnv.New64a()
		_, _ = h.Write([]byte(key + "/" + candidates[i].Replica)) // Write of a hash never fails.
		if sum := h.Sum64(); sum >= highest {
			best, highest = i, sum
		}
	}
	return best
}

// better reports whether replica a should be used instead of the preferred one.
func better(a, preferred Candidate, options Options) bool {
	if a.Suspect != preferred.Suspect {
		return preferred.Suspect
	}
	if options.ByCompletion {
		return completesSooner(a, preferred, options)
	}
	return a.load(options.ServiceTime)+preferredLoadMargin < preferred.load(options.ServiceTime)
}
