package serve

import "time"

const (
	// spareObjective is the objective above which a request has time to spare: it fills gaps until
	// its latest start time.
	spareObjective = 2 * time.Second
	// minUsualRun is the least usual time to the first byte. It leaves time to grant a slot between
	// the latest start time of a request and the last time at which it can meet its objective.
	minUsualRun = 250 * time.Millisecond
)

// waitingClass ranks waiting requests of one priority under contention, first to be served first.
type waitingClass int

const (
	// classDueNow requests have time to spare, but none left.
	classDueNow waitingClass = iota
	// classOnTime requests can still meet their objective.
	classOnTime
	// classSpareTime requests can meet their objective if they are started later.
	classSpareTime
	// classTooLate requests can no longer meet their objective.
	classTooLate
)

// classify returns the class of a waiting request. usualRun is the usual time to the first byte.
func classify(now time.Time, usualRun time.Duration, r *Request) waitingClass {
	return classifyWith(now, usualRun, minRunTime, r)
}

// classifyWith is like classify. leastRun is the time to the first byte with which a request can still meet its
// objective.
func classifyWith(now time.Time, usualRun, leastRun time.Duration, r *Request) waitingClass {
	objective := r.ObjectiveTime()
	switch {
	case now.Add(leastRun).After(objective):
		return classTooLate
	case r.Route.Objective <= spareObjective:
		return classOnTime
	case now.Before(objective.Add(-max(usualRun, minUsualRun))):
		return classSpareTime
	default:
		return classDueNow
	}
}

// goesOnRank is added to the rank of streams that go on where they began, which puts them ahead of the other requests of
// their account.
const goesOnRank = 2 * returnRank

// returnRank is added to the rank of requests that have been refused before, which puts them ahead of
// all others.
const returnRank = -int(classTooLate) - 1

// waitingRank ranks the waiting requests of one priority under contention, lowest first. It changes
// with time. Requests of one rank are served by their objective.
func waitingRank(now time.Time, usualRun, leastRun time.Duration, w *waiter) int {
	rank := int(classifyWith(now, usualRun, leastRun, w.request))
	switch {
	case w.goesOn():
		rank += goesOnRank
	case w.request.returned:
		rank += returnRank
	}
	return rank
}
