package quarantine

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// soundAnswerDelay is how long all hosts have to answer whether responses to requests with a suspect prompt
	// part begin, over two hops each way.
	soundAnswerDelay = 600 * time.Millisecond
	// soundQuestionInterval is the least interval between two questions about a prompt part, and
	// soundAnswerStep by how much the answer to the second one must be newer than that to the first.
	soundQuestionInterval = 500 * time.Millisecond
	soundAnswerStep       = 100 * time.Millisecond
	// soundAnswerSpread is the time over which hosts spread their answers, so that one that has the answer of
	// another need not give its own.
	soundAnswerSpread = 100 * time.Millisecond
	// maxBegunParts bounds the prompt parts of which a host remembers for long that responses have begun.
	maxBegunParts = 16 << 10
	// collectionTime is how long a host must have received the reports of all hosts before it blocks prompt
	// parts.
	collectionTime = 600 * time.Millisecond
)

// begunParts holds when responses to requests with each prompt part last began at this host. It is safe for
// concurrent use.
type begunParts struct {
	mu sync.Mutex
	// current and previous hold these times, in Unix nanoseconds, in two generations of crashTTL. A generation
	// ends earlier if it holds maxBegunParts.
	current, previous map[uint64]int64
	rotatedAt         time.Time
}

func newBegunParts() *begunParts {
	return &begunParts{current: map[uint64]int64{}, previous: map[uint64]int64{}}
}

func (b *begunParts) add(now time.Time, parts []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.rotatedAt) >= crashTTL || len(b.current) >= maxBegunParts {
		b.current, b.previous, b.rotatedAt = map[uint64]int64{}, b.current, now
	}
	for _, p := range parts {
		b.current[p] = now.UnixNano()
	}
}

// lastBegunAt returns when a response to a request with the part last began, or the zero time.
func (b *begunParts) lastBegunAt(part uint64) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := max(b.current[part], b.previous[part])
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// RecordBegun implements serve.Guard.
func (g *Guard) RecordBegun(p fleet.Prompt) {
	if len(p.Parts) > 0 {
		g.begun.add(g.cfg.Now(), p.Parts)
	}
}

// BlockedPart implements serve.Guard.
func (g *Guard) BlockedPart(p fleet.Prompt) (part uint64, ok bool) { return g.Blocklist.BlockedPart(p) }

// WatchBlocks implements serve.Guard.
func (g *Guard) WatchBlocks(f fleet.Fingerprint, p fleet.Prompt, blocked func()) (stop func()) {
	return g.Blocklist.Watch(f, p, blocked)
}

// BlockEndsIn implements serve.Guard.
func (g *Guard) BlockEndsIn(f fleet.Fingerprint, p fleet.Prompt) time.Duration {
	return g.Blocklist.EndsIn(g.cfg.Now(), f, p)
}

// DecideForAll is like Decide, for the host that receives the reports and answers of all hosts: it also blocks
// prompt parts.
func (g *Guard) DecideForAll(now time.Time) bool {
	if now.Sub(g.decidedForAllAt) > collectionTime {
		g.decidesForAllSince = now
	}
	g.decidedForAllAt = now
	return g.apply(now, g.CrashLog.DecideWithParts(now))
}

// applyPart applies a verdict on a prompt part and reports whether there is a new block or question.
func (g *Guard) applyPart(now time.Time, v Verdict) bool {
	part := v.Request.Content
	if g.Blocklist.Has(v.Request) || g.Blocklist.Has(forAnyCaller(part)) {
		return false
	}
	if v.Suspect {
		return g.askIfSound(now, v)
	}
	t, asked := g.Blocklist.trialOf(part)
	if !asked || t.cleared() || now.Sub(t.changedAt) < soundAnswerDelay || now.Sub(g.decidesForAllSince) < collectionTime {
		return false
	}
	g.Merge(now, []fleet.Block{{Request: v.Request, Since: now.Unix(), PromptPart: v.PromptPart}})
	g.log("prompt part is blocked: endpoints crashed as responses to it began", v)
	g.clearExplainedTrials()
	return true
}

// askIfSound asks all hosts whether responses to requests with a suspect prompt part begin. It reports whether the
// question is new.
func (g *Guard) askIfSound(now time.Time, v Verdict) bool {
	t, known := g.Blocklist.trialOf(v.Request.Content)
	if known && (!t.cleared() || now.Sub(t.changedAt) < soundQuestionInterval) {
		return false
	}
	b := fleet.Block{Request: v.Request, Since: now.Unix(), Suspect: true, PromptPart: v.PromptPart}
	if known {
		b.Trial = t.nextRound()
	}
	b.Trial.LastCrashAgo = now.Sub(v.LastCrash).Milliseconds()
	return len(g.Merge(now, []fleet.Block{b})) > 0
}

// answerIfSound answers the question whether responses to requests with a prompt part begin, if this host knows a
// later one than the host that asks.
func (g *Guard) answerIfSound(now time.Time, part uint64, t trial) {
	begunAt := g.begun.lastBegunAt(part)
	if begunAt.Sub(t.begunAt) < soundAnswerStep || now.Sub(t.changedAt) < g.spreadDelay(t.Trial, part, soundAnswerSpread) {
		return
	}
	answer := fleet.Trial{Round: t.Round, Stage: fleet.TrialCleared, Host: g.cfg.Host, BegunAgo: max(1, now.Sub(begunAt).Milliseconds())}
	g.advanceTrial(part, t.Trial, answer)
}

// clearExplainedTrials ends the trials of contents that are not suspect any more, since a blocked prompt part has
// caused their crashes.
func (g *Guard) clearExplainedTrials() {
	for content, t := range g.Blocklist.openTrials() {
		if t.part == 0 && !g.CrashLog.Suspect(content) {
			g.clearTrial(content)
		}
	}
}
