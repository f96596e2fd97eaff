package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// look is what one look for requests to blame goes by.
type look struct {
	now time.Time
	// all are the ends in groups that came together, told those that all hosts have told.
	all, told [][]*end
	counts    map[uint64]int
}

// judge returns whose requests of a content to block, and that the content is suspect.
func (l look) judge(content uint64) []Verdict {
	all := ranAt(content, l.all)
	if len(all) < suspectEnds && !l.manyCopies(content) {
		return nil
	}
	any := fleet.BlockedRequest{Content: content, Caller: fleet.AnyCaller}
	out := []Verdict{{Request: any, Suspect: true, Endpoints: ids(all), Ended: all[len(all)-1].at}}
	mine := all
	if len(all) < certainEnds {
		mine = l.proven(content)
	}
	if len(mine) < blockEnds {
		return out
	}
	for _, caller := range callersToBlame(content, mine) {
		r := fleet.BlockedRequest{Content: content, Caller: caller}
		out = append(out, Verdict{Request: r, Endpoints: ids(mine)})
	}
	return out
}

// manyCopies tells whether so many copies of a content ended with their endpoints that it is
// put on trial for that alone. Endpoints that ended together, one of them without it, had
// another cause; that is known once all hosts have told what ran at each.
func (l look) manyCopies(content uint64) bool {
	n := 0
	for _, group := range l.told {
		if !slices.ContainsFunc(group, func(e *end) bool { return !e.mayBlame(content) }) {
			for _, e := range group {
				n += e.copies(content)
			}
		}
	}
	return n >= suspectCopies
}

// proven returns the ends that a content is to blame for and that all hosts have told.
func (l look) proven(content uint64) []*end {
	mine := blamed(content, l.told, l.counts)
	if tied(content, mine, l.counts) {
		mine = slices.DeleteFunc(mine, func(e *end) bool { return l.now.Sub(e.heard) < tieTime })
	}
	return mine
}

func ids(ends []*end) []fleet.EndpointID {
	var out []fleet.EndpointID
	for _, e := range ends {
		out = append(out, e.id)
	}
	return out
}

// callersToBlame returns whose requests of a content to block: those under which enough
// endpoints have ended, if they explain all ends. Another's request that ran beside one of
// these may be served. A client that comes by several addresses shows by ends at which none
// of them ran; then it is the content that does the harm, whoever sends it.
func callersToBlame(content uint64, ends []*end) []uint64 {
	count := map[uint64]int{}
	for _, e := range ends {
		for _, caller := range e.callers(content) {
			count[caller]++
		}
	}
	maps.DeleteFunc(count, func(_ uint64, n int) bool { return n < blockEnds })
	for _, e := range ends {
		explained := false
		for _, caller := range e.callers(content) {
			explained = explained || count[caller] > 0
		}
		if !explained {
			return []uint64{fleet.AnyCaller}
		}
	}
	return slices.Collect(maps.Keys(count))
}

// blamed returns the ends that a content is to blame for: no other explains them better.
func blamed(content uint64, groups [][]*end, counts map[uint64]int) []*end {
	return slices.DeleteFunc(ranAt(content, groups), func(e *end) bool { return explained(content, e, counts) })
}

// ranAt returns the ends at which a content ran. Of some that came together with the end of
// an endpoint that did not run it, it returns one.
func ranAt(content uint64, groups [][]*end) []*end {
	var out []*end
	for _, group := range groups {
		var mine []*end
		for _, e := range group {
			if e.mayBlame(content) {
				mine = append(mine, e)
			}
		}
		if len(mine) > 1 && len(mine) < len(group) {
			mine = mine[:1]
		}
		out = append(out, mine...)
	}
	return out
}

// together groups ends that came within a short time of the first of them. Ends by several
// harmful requests that follow one another closely make no group of their own accord.
func together(ends []*end) [][]*end {
	var groups [][]*end
	for _, e := range ends {
		last := len(groups) - 1
		if last >= 0 && e.at.Sub(groups[last][0].at) <= togetherTime {
			groups[last] = append(groups[last], e)
			continue
		}
		groups = append(groups, []*end{e})
	}
	return groups
}

// explained tells whether another content that ran at an end ran at more ends.
func explained(content uint64, e *end, counts map[uint64]int) bool {
	for other := range e.ran {
		if counts[other] > counts[content] && e.mayBlame(other) {
			return true
		}
	}
	return false
}

// tied tells whether another content ran at as many ends, and at one of these.
func tied(content uint64, ends []*end, counts map[uint64]int) bool {
	for _, e := range ends {
		for other := range e.ran {
			if other != content && counts[other] == counts[content] && e.mayBlame(other) {
				return true
			}
		}
	}
	return false
}
