package serve

import (
	"hash/fnv"
	"time"
)

// Urgencies of requests at an endpoint, 0 first. The first rank goes before all others,
// late requests come last.
const (
	firstRankLevels  = 3
	otherRanksFrom   = firstRankLevels
	otherRanksLevels = 6
	lateUrgency      = otherRanksFrom + otherRanksLevels
)

// Urgency is how soon an endpoint takes a request up, as against others that wait there.
//
// The load pattern: more requests come for a model than its replicas can serve, and it can
// be loaded nowhere else soon. Taken up in the order in which they come, all of them wait
// for as long, and nearly all are late. So requests of a rank are taken up in an order that their IDs
// decide, the same at each endpoint: those that can be served are served in time, and the
// lateness falls on the rest. Where nothing waits, the order changes nothing.
func Urgency(r *Request, now time.Time) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.ID)) // A hash takes all.
	draw := int(h.Sum32() >> 8)
	switch {
	case r.Route.Priority == 0:
		return draw % firstRankLevels
	case r.Route.Objective > 0 && now.After(r.Aim()):
		return lateUrgency
	default:
		return otherRanksFrom + draw%otherRanksLevels
	}
}
