package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// evaluation is the input of one evaluation of the recorded crashes.
type evaluation struct {
	now time.Time
	// all holds all crashes, grouped by time; reported holds those old enough that all hosts have
	// reported them.
	all, reported [][]*endpointCrash
	counts        map[uint64]int
	// parts holds what is known of prompt parts. They are ignored unless withParts is set: a host that does
	// not receive the reports of all hosts cannot tell which of them are sound.
	parts     map[uint64]*promptPart
	withParts bool
	// unreported is the number of crashes, among those that not all hosts have reported yet, at which each content
	// ran.
	unreported map[uint64]int
	// strong holds, by crash, the contents that ran there and at blockCrashes or more in total. Only these can
	// explain a crash better than a prompt part that may be blocked.
	strong map[*endpointCrash][]uint64
}

// countUnreported returns the number of crashes learned less than reportDelay ago at which each content ran.
func countUnreported(now time.Time, crashes []*endpointCrash) map[uint64]int {
	out := map[uint64]int{}
	for _, e := range crashes {
		if now.Sub(e.learnedAt) >= reportDelay {
			continue
		}
		for content := range e.requests {
			if e.mayBeCause(content) {
				out[content]++
			}
		}
	}
	return out
}

// reportedCount returns the number of crashes at which the content ran, of those that all hosts have reported.
func (ev evaluation) reportedCount(content uint64) int {
	return ev.counts[content] - ev.unreported[content]
}

// verdicts returns the verdicts on a content: that it is suspect, and for which callers to block
// it.
func (ev evaluation) verdicts(content uint64) []Verdict {
	all := crashesRunning(content, ev.all)
	if len(all) < suspectCrashes && !ev.ranManyCopies(content) {
		return nil
	}
	allCallers := fleet.BlockedRequest{Content: content, Caller: fleet.AnyCaller}
	out := []Verdict{{Request: allCallers, Suspect: true, Endpoints: endpointIDs(all), LastCrash: all[len(all)-1].at}}
	crashes := all
	if len(all) < certainCrashes || ev.awaitsPart(content, all) {
		crashes = ev.attributed(content)
	}
	if len(crashes) < blockCrashes {
		return out
	}
	for _, caller := range callersToBlock(content, crashes) {
		r := fleet.BlockedRequest{Content: content, Caller: caller}
		out = append(out, Verdict{Request: r, Endpoints: endpointIDs(crashes)})
	}
	return out
}

// ranManyCopies reports whether enough copies of the content were running at crashed endpoints to
// make it suspect. Crashes that occurred together are ignored if the content did not run at all of
// them, since they have another cause.
func (ev evaluation) ranManyCopies(content uint64) bool {
	n := 0
	for _, group := range ev.reported {
		if !slices.ContainsFunc(group, func(e *endpointCrash) bool { return !e.mayBeCause(content) }) {
			for _, e := range group {
				n += e.copyCount(content)
			}
		}
	}
	return n >= suspectCopies
}

// attributed returns the crashes that are attributed to the content and that all hosts have
// reported. If another content ran at as many, only crashes older than tieDelay count.
func (ev evaluation) attributed(content uint64) []*endpointCrash {
	crashes := ev.attributedTo(content, ev.reported)
	if ev.hasTie(content, crashes) {
		crashes = slices.DeleteFunc(crashes, func(e *endpointCrash) bool { return ev.now.Sub(e.learnedAt) < tieDelay })
	}
	return crashes
}

func endpointIDs(crashes []*endpointCrash) []fleet.EndpointID {
	var out []fleet.EndpointID
	for _, e := range crashes {
		out = append(out, e.id)
	}
	return out
}

// callersToBlock returns the callers for which to block the content: those whose requests ran at
// enough of the crashes, if they cover all crashes. Otherwise the content is blocked for all
// callers, since its client uses several addresses.
func callersToBlock(content uint64, crashes []*endpointCrash) []uint64 {
	count := map[uint64]int{}
	for _, e := range crashes {
		for _, caller := range e.callers(content) {
			count[caller]++
		}
	}
	maps.DeleteFunc(count, func(_ uint64, n int) bool { return n < blockCrashes })
	for _, e := range crashes {
		covered := false
		for _, caller := range e.callers(content) {
			covered = covered || count[caller] > 0
		}
		if !covered {
			return []uint64{fleet.AnyCaller}
		}
	}
	return slices.Collect(maps.Keys(count))
}

// attributedTo returns the crashes that are attributed to the content: those at which no content
// ran that ran at more crashes.
func (ev evaluation) attributedTo(content uint64, groups [][]*endpointCrash) []*endpointCrash {
	return slices.DeleteFunc(crashesRunning(content, groups), func(e *endpointCrash) bool { return ev.betterExplained(content, e) })
}

// crashesRunning returns the crashes at which the content ran. A group in which some endpoint did
// not run it counts once.
func crashesRunning(content uint64, groups [][]*endpointCrash) []*endpointCrash {
	var out []*endpointCrash
	for _, group := range groups {
		var running []*endpointCrash
		for _, e := range group {
			if e.mayBeCause(content) {
				running = append(running, e)
			}
		}
		if len(running) > 1 && len(running) < len(group) {
			running = running[:1]
		}
		out = append(out, running...)
	}
	return out
}

// groupByTime groups crashes that occurred within correlationWindow of the first one of their
// group. Crashes must be sorted by time.
func groupByTime(crashes []*endpointCrash) [][]*endpointCrash {
	var groups [][]*endpointCrash
	for _, e := range crashes {
		last := len(groups) - 1
		if last >= 0 && e.at.Sub(groups[last][0].at) <= correlationWindow {
			groups[last] = append(groups[last], e)
			continue
		}
		groups = append(groups, []*endpointCrash{e})
	}
	return groups
}

// betterExplained reports whether another content that ran at the crash explains it better.
func (ev evaluation) betterExplained(content uint64, e *endpointCrash) bool {
	if ev.parts[content] != nil {
		return slices.ContainsFunc(ev.strong[e], func(other uint64) bool { return other != content && ev.explainsBetter(other, content, e) })
	}
	for other := range e.requests {
		if other != content && e.mayBeCause(other) && ev.explainsBetter(other, content, e) {
			return true
		}
	}
	return false
}

// explainsBetter reports whether other explains the crash better than the content, both of which ran there:
// the one that ran at more crashes. Of a prompt part and contents or parts that follow it in the prompts of
// the same crashes, the latter are more specific.
func (ev evaluation) explainsBetter(other, content uint64, e *endpointCrash) bool {
	o, c := ev.parts[other], ev.parts[content]
	if c == nil && o == nil {
		return ev.counts[other] > ev.counts[content]
	}
	// A host may have reported one of them and not the other yet.
	byCount := ev.reportedCount(other) - ev.reportedCount(content)
	switch {
	case !ev.withParts:
		return false
	case c == nil:
		return byCount > 0 && !o.recentlySound(e)
	case o == nil:
		return byCount >= 0
	case c.recentlySound(e) && !o.recentlySound(e) && ev.reportedCount(other) >= blockCrashes:
		return true
	case o.recentlySound(e) && !c.recentlySound(e) && ev.reportedCount(content) >= blockCrashes:
		return false
	}
	return byCount > 0 || byCount == 0 && o.position < c.position
}

// hasTie reports whether another content ran at one of the crashes and at as many in total.
func (ev evaluation) hasTie(content uint64, crashes []*endpointCrash) bool {
	for _, e := range crashes {
		for other := range e.requests {
			if other != content && ev.parts[other] == nil && ev.counts[other] == ev.counts[content] && e.mayBeCause(other) {
				return true
			}
		}
	}
	return false
}
