package quarantine

import (
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// uncertainPartCrashes replaces blockCrashes for a prompt part if another one at the same position ran at as
	// many crashes, or if a response to a request with the part began shortly before one of them.
	uncertainPartCrashes = 5
	// partDecisionDelay is how long a content that ran at certainCrashes is not blocked while a prompt part
	// explains them better.
	partDecisionDelay = 1500 * time.Millisecond
)

// partVerdicts returns the verdicts on a prompt part: that it is suspect, and for which callers to block it.
func (ev evaluation) partVerdicts(digest uint64, p *promptPart) []Verdict {
	all := crashesRunning(digest, ev.all)
	if len(all) < blockCrashes {
		return nil
	}
	out := []Verdict{{Request: forAnyCaller(digest), Suspect: true, PromptPart: p.position, Endpoints: endpointIDs(all), LastCrash: all[len(all)-1].at}}
	crashes := ev.attributedTo(digest, ev.reported)
	enough := blockCrashes
	if ev.hasPartTie(digest, crashes) || slices.ContainsFunc(crashes, p.recentlySound) {
		enough = uncertainPartCrashes
	}
	if len(crashes) < enough {
		return out
	}
	for _, caller := range callersOfAll(digest, crashes) {
		r := fleet.BlockedRequest{Content: digest, Caller: caller}
		out = append(out, Verdict{Request: r, PromptPart: p.position, Endpoints: endpointIDs(crashes)})
	}
	return out
}

// callersOfAll returns the callers whose requests with the prompt part ran at all crashes. If there are none, the
// part is blocked for all callers.
func callersOfAll(part uint64, crashes []*endpointCrash) []uint64 {
	out := crashes[0].callers(part)
	for _, e := range crashes[1:] {
		callers := e.callers(part)
		out = slices.DeleteFunc(out, func(caller uint64) bool { return !slices.Contains(callers, caller) })
	}
	if len(out) == 0 {
		return []uint64{fleet.AnyCaller}
	}
	return out
}

// awaitsPart reports whether a content that ran at certainCrashes should not be blocked yet, since a prompt part
// that may still be blocked explains most of them better.
func (ev evaluation) awaitsPart(content uint64, crashes []*endpointCrash) bool {
	if !ev.withParts || ev.now.Sub(crashes[certainCrashes-1].learnedAt) >= partDecisionDelay {
		return false
	}
	unexplained := 0
	for _, e := range crashes {
		if !ev.betterExplainedByPart(content, e) {
			unexplained++
		}
	}
	return unexplained < blockCrashes
}

// betterExplainedByPart reports whether a prompt part that ran at the crash explains it better than the content.
func (ev evaluation) betterExplainedByPart(content uint64, e *endpointCrash) bool {
	return slices.ContainsFunc(ev.strong[e], func(other uint64) bool { return ev.parts[other] != nil && ev.explainsBetter(other, content, e) })
}

// hasPartTie reports whether another prompt part explains one of the crashes as well as the given one.
func (ev evaluation) hasPartTie(part uint64, crashes []*endpointCrash) bool {
	for _, e := range crashes {
		for _, other := range ev.strong[e] {
			if other != part && ev.parts[other] != nil && !ev.explainsBetter(other, part, e) && !ev.explainsBetter(part, other, e) {
				return true
			}
		}
	}
	return false
}

// findStrong returns, by crash, the contents that ran there and at blockCrashes or more in total.
func findStrong(crashes []*endpointCrash, counts map[uint64]int) map[*endpointCrash][]uint64 {
	out := map[*endpointCrash][]uint64{}
	for _, e := range crashes {
		for content := range e.requests {
			if counts[content] >= blockCrashes && e.mayBeCause(content) {
				out[e] = append(out[e], content)
			}
		}
	}
	return out
}
