package serve

import (
	"hash/fnv"
	"time"
)

// Urgency levels of requests at an endpoint, where 0 is the highest. Requests of the highest
// priority precede all others. Of the others, those that missed their objective come last.
const (
	topPriorityLevels   = 3
	firstOtherLevel     = topPriorityLevels
	otherPriorityLevels = 6
	lateUrgency         = firstOtherLevel + otherPriorityLevels
)

// Urgency returns the priority of a request in the queue of an endpoint, where 0 is the
// highest.
//
// If a model gets more requests than its replicas can serve, serving them in order of arrival
// would delay all of them beyond their objective. Requests of the same priority are therefore
// ordered by a hash of their ID, which is the same at each endpoint, so that most of them meet
// the objective and the others are late. Without a queue, the order has no effect.
func Urgency(r *Request, now time.Time) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.ID)) // Write of a hash never fails.
	level := int(h.Sum32() >> 8)
	switch {
	case r.Route.Priority == 0:
		return level % topPriorityLevels
	case r.Route.Objective > 0 && now.After(r.ObjectiveTime()):
		return lateUrgency
	default:
		return firstOtherLevel + level%otherPriorityLevels
	}
}

// urgency returns the urgency of an attempt. A stream that goes on precedes others.
func (x *exchange) urgency(now time.Time) int {
	if x.requiredVersion().Set {
		return 0
	}
	return Urgency(x.request, now)
}
