package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// blockCrashes is the number of crashes after which a request is blocked if no other request
	// explains them. With fewer, a request that ran twice beside another's crash would be blamed.
	blockCrashes = 3
	// certainCrashes is the number of crashes after which a request is blocked whatever else ran
	// there. Hosts and clients together run most requests four times at most, so that an innocent
	// one has no attempt left to lose.
	certainCrashes = 4
	// suspectCrashes is the number of crashes after which a request is put on trial: one copy at a
	// time runs over all hosts until one is answered or the request is blocked.
	suspectCrashes = 2
	// suspectCopies is the number of copies running at crashed endpoints after which a request is
	// put on trial, even if all of them ran at one endpoint: as many more would run before the
	// third crash shows.
	suspectCopies = 3
	// reportDelay is the time after the first report of a crash within which the reports of all
	// hosts are expected. They take up to two hops through relays, a quarter of a second each.
	reportDelay = 400 * time.Millisecond
	// tieDelay is how long a block is delayed when another request explains the crashes equally
	// well. A further crash in that time resolves the tie; otherwise both are blocked. It leaves two
	// of the three seconds in which all hosts have to know of a block.
	tieDelay = 900 * time.Millisecond
	// correlationWindow is the time within which crashes are taken to have a common cause, such as
	// a rack that loses power. It allows for differences in when hosts detect and report them.
	correlationWindow = 60 * time.Millisecond
	// evaluationPeriod is how long after a crash verdicts are evaluated.
	evaluationPeriod = 3 * time.Second
	// evaluationInterval is the least interval between two evaluations, which bounds their CPU
	// cost.
	evaluationInterval = 50 * time.Millisecond
	// crashTTL is how long a crash counts. Clients resend a request within seconds to minutes.
	crashTTL = 10 * time.Minute
	// maxCrashes bounds the number of crashes that are kept. The oldest ones are dropped.
	maxCrashes = 512
)

// Verdict is a request that was found to crash endpoints.
type Verdict struct {
	Request fleet.BlockedRequest
	// Suspect requests are put on trial instead of blocked; LastCrash is when the last
	// endpoint crashed while running one.
	Suspect   bool
	LastCrash time.Time
	// PromptPart is the position of the prompt part that the verdict is on, as in fleet.CrashReport, or 0. A
	// suspect part is not put on trial: hosts are asked whether responses to requests with it begin.
	PromptPart int
	// Endpoints are those that crashed while running the request.
	Endpoints []fleet.EndpointID
}

// CrashLog holds the requests that ran at crashed endpoints, as reported by all hosts, and finds
// those that cause the crashes. It does no I/O, ignores duplicate reports, and is safe for
// concurrent use.
type CrashLog struct {
	mu      sync.Mutex
	crashes map[fleet.EndpointID]*endpointCrash
	// log holds the crash reports in order of arrival. The first one has the sequence number
	// firstSeq.
	log      []fleet.CrashReport
	firstSeq int64
	// crashCounts is the number of crashes that each content may have caused, copyCounts the number
	// of its copies that ran there. candidates holds the contents that may be suspects, so that an
	// evaluation skips the many that ran at a single crash.
	crashCounts map[uint64]int
	copyCounts  map[uint64]int
	candidates  map[uint64]bool
	// parts holds what is known of the contents that are prompt parts.
	parts map[uint64]*promptPart
	// pending is set while a new verdict is possible. evaluatedAt is when verdicts were last
	// evaluated.
	pending     bool
	evaluatedAt time.Time
}

// endpointCrash is the crash of an endpoint.
type endpointCrash struct {
	id fleet.EndpointID
	// at is when it crashed, learnedAt when this host first learned of it.
	at, learnedAt time.Time
	// requests holds the requests that were running there, by content and caller. Cleared ones are
	// kept to recognize duplicate reports.
	requests map[uint64]map[uint64]*crashedRequest
	// cause is the blocked prompt part that has caused the crash, or 0.
	cause uint64
	// parts is the number of prompt parts in requests.
	parts int
}

// crashedRequest holds one caller's requests of one content that were running at a crash.
type crashedRequest struct {
	// mayBeCause is set while they may have caused the crash.
	mayBeCause bool
	// copies holds the IDs of the copies. An unknown ID is 0.
	copies map[fleet.CopyID]bool
}

// copyCount returns the number of copies. A copy without an ID counts only if there is no other.
func (r *crashedRequest) copyCount() int {
	if len(r.copies) > 1 && r.copies[0] {
		return len(r.copies) - 1
	}
	return len(r.copies)
}

// mayBeCause reports whether a request with the content may have caused the crash.
func (e *endpointCrash) mayBeCause(content uint64) bool {
	if e.cause != 0 && e.cause != content {
		return false
	}
	for _, r := range e.requests[content] {
		if r.mayBeCause {
			return true
		}
	}
	return false
}

// copyCount returns the number of copies of the content that may have caused the crash.
func (e *endpointCrash) copyCount(content uint64) int {
	n := 0
	for _, r := range e.requests[content] {
		if r.mayBeCause {
			n += r.copyCount()
		}
	}
	return n
}

// callers returns the callers whose requests with the content may have caused the crash.
func (e *endpointCrash) callers(content uint64) []uint64 {
	var out []uint64
	for caller, r := range e.requests[content] {
		if r.mayBeCause {
			out = append(out, caller)
		}
	}
	return out
}

// NewCrashLog returns an empty crash log.
func NewCrashLog() *CrashLog {
	return &CrashLog{
		crashes:     map[fleet.EndpointID]*endpointCrash{},
		crashCounts: map[uint64]int{},
		copyCounts:  map[uint64]int{},
		candidates:  map[uint64]bool{},
		parts:       map[uint64]*promptPart{},
	}
}

// Add records crash reports and reports whether any is new.
func (l *CrashLog) Add(now time.Time, crashes []fleet.CrashReport) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	added := false
	for _, c := range crashes {
		added = l.add(now, c) || added
	}
	l.pending = l.pending || added
	return added
}

func (l *CrashLog) add(now time.Time, c fleet.CrashReport) bool {
	at := c.At(now)
	if now.Sub(at) > crashTTL {
		return false
	}
	e := l.crashes[c.Endpoint]
	if e == nil {
		e = &endpointCrash{id: c.Endpoint, at: at, learnedAt: now, requests: map[uint64]map[uint64]*crashedRequest{}}
		l.crashes[c.Endpoint] = e
	}
	if at.Before(e.at) {
		e.at = at
	}
	if c.PromptPart > 0 && e.requests[c.Request.Content] == nil && e.parts >= maxPartsPerCrash {
		return false
	}
	r := e.request(c.Request)
	if r.copies[c.CopyID] {
		return false
	}
	if len(r.copies) > 0 && !r.mayBeCause {
		r.copies[c.CopyID] = true
		return false
	}
	harmless := l.addPart(e, c)
	l.update(e, c.Request.Content, func() {
		r.mayBeCause = !harmless
		r.copies[c.CopyID] = true
	})
	if harmless {
		return false
	}
	l.setCause(e, c.Request.Content)
	l.log = append(l.log, c)
	return true
}

// request returns the entry for the request, which it creates if there is none.
func (e *endpointCrash) request(f fleet.Fingerprint) *crashedRequest {
	callers := e.requests[f.Content]
	if callers == nil {
		callers = map[uint64]*crashedRequest{}
		e.requests[f.Content] = callers
	}
	r := callers[f.Caller]
	if r == nil {
		r = &crashedRequest{copies: map[fleet.CopyID]bool{}}
		callers[f.Caller] = r
	}
	return r
}

// update calls apply, which modifies what the content may have caused at the crash, and updates the
// counts. It must be called with l.mu held.
func (l *CrashLog) update(e *endpointCrash, content uint64, apply func()) {
	crashes, copies := e.contribution(content)
	apply()
	crashesNow, copiesNow := e.contribution(content)
	l.adjustCounts(content, crashesNow-crashes, copiesNow-copies)
}

// contribution returns what the crash contributes to the counts of the content.
func (e *endpointCrash) contribution(content uint64) (crashes, copies int) {
	if !e.mayBeCause(content) {
		return 0, 0
	}
	return 1, e.copyCount(content)
}

// Clear records that an endpoint has survived the request, which is then not the cause of any crash
// recorded so far. Later reports of these crashes do not undo that; new crashes count.
func (l *CrashLog) Clear(f fleet.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.crashes {
		if r := e.requests[f.Content][f.Caller]; r != nil {
			l.update(e, f.Content, func() { r.mayBeCause = false })
		}
	}
}

// ClearContent is like Clear for all callers of the content.
func (l *CrashLog) ClearContent(content uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.crashes {
		l.update(e, content, func() {
			for _, r := range e.requests[content] {
				r.mayBeCause = false
			}
		})
	}
}

// LastReportedAt returns when this host learned of the last crash that the content may have
// caused, or the zero time.
func (l *CrashLog) LastReportedAt(content uint64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last time.Time
	for _, e := range l.crashes {
		if e.mayBeCause(content) && e.learnedAt.After(last) {
			last = e.learnedAt
		}
	}
	return last
}

// adjustCounts adjusts the counts of the content by the given numbers of crashes and copies. It
// must be called with l.mu held.
func (l *CrashLog) adjustCounts(content uint64, crashes, copies int) {
	n, c := l.crashCounts[content]+crashes, l.copyCounts[content]+copies
	l.crashCounts[content], l.copyCounts[content] = n, c
	if n == 0 {
		delete(l.crashCounts, content)
		delete(l.copyCounts, content)
	}
	if n >= suspectCrashes || c >= suspectCopies && l.parts[content] == nil {
		l.candidates[content] = true
	} else {
		delete(l.candidates, content)
	}
}

// remove removes the crash. It must be called with l.mu held.
func (l *CrashLog) remove(e *endpointCrash) {
	delete(l.crashes, e.id)
	for content := range e.requests {
		crashes, copies := e.contribution(content)
		l.adjustCounts(content, -crashes, -copies)
	}
}

// Expire removes crashes that are older than crashTTL or exceed maxCrashes.
func (l *CrashLog) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.crashes {
		if now.Sub(e.at) > crashTTL {
			l.remove(e)
		}
	}
	if len(l.crashes) > maxCrashes {
		for _, e := range l.sortedCrashes()[:len(l.crashes)-maxCrashes] {
			l.remove(e)
		}
	}
	l.expireParts(now)
	kept := slices.IndexFunc(l.log, func(c fleet.CrashReport) bool { return l.crashes[c.Endpoint] != nil })
	if kept < 0 {
		kept = len(l.log)
	}
	l.firstSeq += int64(kept)
	l.log = slices.Delete(l.log, 0, kept)
}

// Version is incremented with each new crash report.
func (l *CrashLog) Version() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstSeq + int64(len(l.log))
}

// Since returns up to limit crash reports from the given sequence number on, and the number that
// follows the last one.
func (l *CrashLog) Since(now time.Time, from int64, limit int) ([]fleet.CrashReport, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = max(from, l.firstSeq)
	rest := l.log[from-l.firstSeq:]
	rest = rest[:min(len(rest), limit)]
	var out []fleet.CrashReport
	for _, c := range rest {
		if e := l.crashes[c.Endpoint]; e != nil && e.request(c.Request).mayBeCause {
			c.Ago = now.Sub(e.at).Milliseconds()
			out = append(out, c)
		}
	}
	return out, from + int64(len(rest))
}

// Decide returns the requests that cause crashes.
//
// A crash is attributed to a request unless another request that ran there also ran at more crashes
// in total. Crashes that occur together count as one unless the request ran at all of them.
func (l *CrashLog) Decide(now time.Time) []Verdict { return l.decide(now, false) }

// DecideWithParts is like Decide, and also returns the prompt parts that cause crashes.
func (l *CrashLog) DecideWithParts(now time.Time) []Verdict { return l.decide(now, true) }

func (l *CrashLog) decide(now time.Time, withParts bool) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.pending || now.Sub(l.evaluatedAt) < evaluationInterval {
		return nil
	}
	l.evaluatedAt = now
	crashes := l.sortedCrashes()
	l.pending = slices.ContainsFunc(crashes, func(e *endpointCrash) bool { return now.Sub(e.learnedAt) < evaluationPeriod })
	reported := slices.DeleteFunc(slices.Clone(crashes), func(e *endpointCrash) bool { return now.Sub(e.learnedAt) < reportDelay })
	ev := evaluation{now: now, all: groupByTime(crashes), reported: groupByTime(reported), counts: l.crashCounts, parts: l.parts, withParts: withParts}
	if withParts && len(l.parts) > 0 {
		ev.unreported = countUnreported(now, crashes)
		ev.strong = findStrong(crashes, l.crashCounts)
	}
	var out []Verdict
	for content := range l.candidates {
		if l.parts[content] == nil {
			out = append(out, ev.verdicts(content)...)
		}
	}
	if withParts {
		for _, part := range l.suspectParts() {
			out = append(out, ev.partVerdicts(part, l.parts[part])...)
		}
	}
	return out
}

// Attributed returns, by content, the reports of the crashes that are attributed to it. A content
// is included only if include returns true both for the number of all its crashes and for the
// number of those attributed to it.
func (l *CrashLog) Attributed(now time.Time, include func(content uint64, crashes int) bool) map[uint64][]fleet.CrashReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	crashes := l.sortedCrashes()
	ev := evaluation{now: now, counts: l.crashCounts, parts: l.parts, strong: findStrong(crashes, l.crashCounts)}
	groups := groupByTime(crashes)
	out := map[uint64][]fleet.CrashReport{}
	for content, n := range l.crashCounts {
		if !include(content, n) {
			continue
		}
		// Hosts without the reports of all others store crashes too, and do not know which parts are sound.
		ev.withParts = l.parts[content] != nil
		if attributed := ev.attributedTo(content, groups); len(attributed) > 0 && include(content, len(attributed)) {
			out[content] = l.crashReports(now, content, attributed)
		}
	}
	return out
}

// crashReports returns the reports of the given crashes for one content.
func (l *CrashLog) crashReports(now time.Time, content uint64, crashes []*endpointCrash) []fleet.CrashReport {
	position := 0
	if part := l.parts[content]; part != nil {
		position = part.position
	}
	var out []fleet.CrashReport
	for _, e := range crashes {
		for _, caller := range e.callers(content) {
			f := fleet.Fingerprint{Content: content, Caller: caller}
			for id := range e.requests[content][caller].copies {
				r := newCrash(now, e.id, requestCopy{f, id}, e.at)
				r.PromptPart = position
				out = append(out, r)
			}
		}
	}
	return out
}

// sortedCrashes returns all crashes by time. It must be called with l.mu held.
func (l *CrashLog) sortedCrashes() []*endpointCrash {
	return slices.SortedFunc(maps.Values(l.crashes), func(a, b *endpointCrash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
	})
}
