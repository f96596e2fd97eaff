package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// maxPartsPerCrash bounds the prompt parts that are kept of one crash.
	maxPartsPerCrash = 256
	// tiedPartCrashes replaces blockCrashes for a prompt part if another one at the same position ran at as
	// many crashes.
	tiedPartCrashes = 5
	// recentlySoundWindow is how long before a crash a response to a request with a prompt part must have begun
	// for the part to be an unlikely cause. It may have turned harmful since.
	recentlySoundWindow = 3 * time.Second
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
	// maxSuspectParts bounds the prompt parts that hosts are asked about at a time.
	maxSuspectParts = 16
	// partDecisionDelay is how long a content that ran at certainCrashes is not blocked while a prompt part
	// explains them better.
	partDecisionDelay = 1500 * time.Millisecond
	// collectionTime is how long a host must have received the reports of all hosts before it blocks prompt
	// parts.
	collectionTime = 600 * time.Millisecond
)

// promptPart is what is known of a prompt part that ran at crashes.
type promptPart struct {
	// position counts as in fleet.CrashReport. It is the largest one reported: a part that ends some prompts may
	// be followed by others elsewhere.
	position int
	// begunAt is when a response to a request with the part last began, blockedAt when the part was blocked. They
	// are zero if that is not known or has not happened.
	begunAt, blockedAt time.Time
}

// recentlySound reports whether a response to a request with the part began shortly before the crash.
func (p *promptPart) recentlySound(e *endpointCrash) bool {
	return !p.begunAt.IsZero() && e.at.Sub(p.begunAt) <= recentlySoundWindow
}

// part returns what is known of a prompt part. It must be called with l.mu held.
func (l *CrashLog) part(digest uint64) *promptPart {
	p := l.parts[digest]
	if p == nil {
		p = &promptPart{}
		l.parts[digest] = p
	}
	return p
}

// addPart records the prompt part of a report, if it has one, and reports whether the part is known not to have
// caused the crash, since a response to a request with it has begun after the crash. It must be called with l.mu
// held.
func (l *CrashLog) addPart(e *endpointCrash, c fleet.CrashReport) bool {
	if c.PromptPart == 0 {
		return false
	}
	p := l.part(c.Request.Content)
	p.position = max(p.position, c.PromptPart)
	e.parts++
	return p.begunAt.After(e.at)
}

// setCause attributes the crash to the content if it is a blocked prompt part, so that nothing else that ran there
// is blamed. It must be called with l.mu held.
func (l *CrashLog) setCause(e *endpointCrash, content uint64) {
	p := l.parts[content]
	if p == nil || p.blockedAt.IsZero() || e.cause != 0 || !e.mayBeCause(content) {
		return
	}
	for other := range e.requests {
		if other != content {
			crashes, copies := e.contribution(other)
			l.adjustCounts(other, -crashes, -copies)
		}
	}
	e.cause = content
}

// RecordBegun records when a response to a request with the prompt part last began. The part is not the cause of
// any crash before.
func (l *CrashLog) RecordBegun(part uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(part)
	if !at.After(p.begunAt) {
		return
	}
	p.begunAt = at
	for _, e := range l.crashes {
		if e.cause != part && e.at.Before(at) && e.requests[part] != nil {
			l.update(e, part, func() {
				for _, r := range e.requests[part] {
					r.mayBeCause = false
				}
			})
		}
	}
}

// RecordBlockedPart records that the prompt part is blocked. All crashes that it may have caused are attributed to
// it, also those that are reported later.
func (l *CrashLog) RecordBlockedPart(now time.Time, part uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.part(part).blockedAt = now
	for _, e := range l.crashes {
		l.setCause(e, part)
	}
}

// Suspect reports whether the content still ran at enough crashes to be suspect.
func (l *CrashLog) Suspect(content uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidates[content]
}

// expireParts removes the prompt parts of which nothing counts any more. It must be called with l.mu held.
func (l *CrashLog) expireParts(now time.Time) {
	for digest, p := range l.parts {
		if l.crashCounts[digest] == 0 && now.Sub(p.begunAt) > crashTTL && now.Sub(p.blockedAt) > BlockTTL {
			delete(l.parts, digest)
		}
	}
}

// suspectParts returns the prompt parts that ran at the most crashes, maxSuspectParts at most. It must be called
// with l.mu held.
func (l *CrashLog) suspectParts() []uint64 {
	var out []uint64
	for digest := range l.parts {
		if l.crashCounts[digest] >= blockCrashes {
			out = append(out, digest)
		}
	}
	slices.SortFunc(out, func(a, b uint64) int { return cmp.Or(l.crashCounts[b]-l.crashCounts[a], cmp.Compare(a, b)) })
	return out[:min(len(out), maxSuspectParts)]
}

// partVerdicts returns the verdicts on a prompt part: that it is suspect, and for which callers to block it.
func (ev evaluation) partVerdicts(digest uint64, p *promptPart) []Verdict {
	all := crashesRunning(digest, ev.all)
	if len(all) < blockCrashes {
		return nil
	}
	out := []Verdict{{Request: forAnyCaller(digest), Suspect: true, PromptPart: p.position, Endpoints: endpointIDs(all), LastCrash: all[len(all)-1].at}}
	crashes := ev.attributedTo(digest, ev.reported)
	if ev.hasTie(digest, crashes) && len(crashes) < tiedPartCrashes || len(crashes) < blockCrashes {
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
	for other := range e.requests {
		if ev.parts[other] != nil && e.mayBeCause(other) && ev.explainsBetter(other, content, e) {
			return true
		}
	}
	return false
}

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
