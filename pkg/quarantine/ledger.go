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
	// blockEnds is under how many ends a request is blocked if no other explains them. With
	// fewer, one that ran twice beside another's crash would be taken for its cause.
	blockEnds = 3
	// certainEnds is under how many ends a request is blocked whatever else ran there: hosts
	// and clients together run most requests four times at most, so that an innocent one has
	// no try left to lose. Without this limit a harmful one that had run beside another
	// went to four further endpoints.
	certainEnds = 4
	// suspectEnds is under how many ends a request is put on trial: it runs one copy at a time
	// over all hosts until one was answered or it is blocked.
	suspectEnds = 2
	// suspectCopies is the same for copies that ended with their endpoints, also with a single
	// one: as many more would run at as many endpoints before the third end shows.
	suspectCopies = 3
	// gatherTime is for how long the ends of endpoints are left to be told by all hosts before
	// they count: the request to blame may have run there by way of another host. Two
	// hops of up to a quarter of a second each.
	gatherTime = 400 * time.Millisecond
	// tieTime is how long a request waits whose ends another explains as well: the one to
	// blame ends a further endpoint meanwhile, or all are blocked. It leaves two of the three
	// seconds in which all hosts have to know for the way to them.
	tieTime = 900 * time.Millisecond
	// togetherTime is within what time endpoints end together, as when a rack loses power; a
	// request ends one at a time. Hosts see and tell ends some tens of milliseconds apart.
	togetherTime = 60 * time.Millisecond
	// lookPause separates two looks for requests to blame, so that they take a small part of
	// the controller's processor (BenchmarkDecide).
	lookPause = 50 * time.Millisecond
	// crashLife is how long an end counts: clients that send a request again do so within
	// seconds to minutes.
	crashLife = 10 * time.Minute
	// maxEnds bounds the ends that are kept, the newest ones. With a batch of some tens of
	// requests each they take less than a megabyte.
	maxEnds = 512
)

// Verdict is a request that was found to crash endpoints.
type Verdict struct {
	Request fleet.BlockedRequest
	// Suspect requests are not blocked yet; Ended is when the last endpoint ended under one.
	Suspect bool
	Ended   time.Time
	// Endpoints have ended under it.
	Endpoints []fleet.EndpointID
}

// Ledger holds which requests ran at endpoints that ended, as all hosts tell it, and finds
// those to blame. It does no I/O; copies of what it knows change nothing. It is safe for
// concurrent use.
type Ledger struct {
	mu   sync.Mutex
	ends map[fleet.EndpointID]*end
	// log holds all crashes in the order in which they came, from the number first on.
	log   []fleet.Crash
	first int64
	// counts is at how many ends each content may be to blame, copies how many of its copies
	// ran there; repeated holds those that may be suspects. Kept with each change, they spare
	// a look the thousands of requests that ran at one end.
	counts   map[uint64]int
	copies   map[uint64]int
	repeated map[uint64]bool
	// open tells that something has come that may lead to a verdict, looked is when a
	// verdict was last looked for.
	open   bool
	looked time.Time
}

// end is the end of an endpoint.
type end struct {
	id fleet.EndpointID
	// at is when it ended, heard when this host first heard of it.
	at, heard time.Time
	// ran holds what ran there by content and caller. What was cleared stays, so that a
	// crash that is told once more is known.
	ran map[uint64]map[uint64]*ranThere
}

// ranThere are one caller's requests of one content that ran at an end.
type ranThere struct {
	// counts tells whether they may be to blame.
	counts bool
	// copies tells their copies apart.
	copies map[fleet.CopyID]bool
}

// number is how many copies ran there. One that is not told apart counts if it is alone.
func (r *ranThere) number() int {
	if len(r.copies) > 1 && r.copies[0] {
		return len(r.copies) - 1
	}
	return len(r.copies)
}

// mayBlame tells whether a request of a content may be to blame for the end.
func (e *end) mayBlame(content uint64) bool {
	for _, r := range e.ran[content] {
		if r.counts {
			return true
		}
	}
	return false
}

// copies is how many copies of a content that may be to blame ran at the end.
func (e *end) copies(content uint64) int {
	n := 0
	for _, r := range e.ran[content] {
		if r.counts {
			n += r.number()
		}
	}
	return n
}

// callers returns whose requests of a content may be to blame for the end.
func (e *end) callers(content uint64) []uint64 {
	var out []uint64
	for caller, r := range e.ran[content] {
		if r.counts {
			out = append(out, caller)
		}
	}
	return out
}

// NewLedger returns a ledger without any end.
func NewLedger() *Ledger {
	return &Ledger{
		ends:     map[fleet.EndpointID]*end{},
		counts:   map[uint64]int{},
		copies:   map[uint64]int{},
		repeated: map[uint64]bool{},
	}
}

// Add takes in crashes and tells whether any is new.
func (l *Ledger) Add(now time.Time, crashes []fleet.Crash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	added := false
	for _, c := range crashes {
		added = l.add(now, c) || added
	}
	l.open = l.open || added
	return added
}

func (l *Ledger) add(now time.Time, c fleet.Crash) bool {
	at := c.At(now)
	if now.Sub(at) > crashLife {
		return false
	}
	e := l.ends[c.Endpoint]
	if e == nil {
		e = &end{id: c.Endpoint, at: at, heard: now, ran: map[uint64]map[uint64]*ranThere{}}
		l.ends[c.Endpoint] = e
	}
	if at.Before(e.at) {
		e.at = at
	}
	r := e.of(c.Request)
	if r.copies[c.Copy] {
		return false
	}
	if len(r.copies) > 0 && !r.counts {
		r.copies[c.Copy] = true
		return false
	}
	l.change(e, c.Request.Content, func() {
		r.counts = true
		r.copies[c.Copy] = true
	})
	l.log = append(l.log, c)
	return true
}

// of returns what ran of a caller's request at an end.
func (e *end) of(f fleet.Fingerprint) *ranThere {
	callers := e.ran[f.Content]
	if callers == nil {
		callers = map[uint64]*ranThere{}
		e.ran[f.Content] = callers
	}
	r := callers[f.Caller]
	if r == nil {
		r = &ranThere{copies: map[fleet.CopyID]bool{}}
		callers[f.Caller] = r
	}
	return r
}

// change changes what may be to blame of a content at an end, and keeps the counts. The
// ledger is locked.
func (l *Ledger) change(e *end, content uint64, do func()) {
	ends, copies := e.weigh(content)
	do()
	endsNow, copiesNow := e.weigh(content)
	l.count(content, endsNow-ends, copiesNow-copies)
}

// weigh is what an end adds to the counts of a content.
func (e *end) weigh(content uint64) (ends, copies int) {
	if !e.mayBlame(content) {
		return 0, 0
	}
	return 1, e.copies(content)
}

// Clear takes in that a request has just done no harm: an endpoint that ran it lives on. It
// is not to blame for the ends before, whoever tells of them again; one that turns harmful
// counts anew.
func (l *Ledger) Clear(f fleet.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.ends {
		if r := e.ran[f.Content][f.Caller]; r != nil {
			l.change(e, f.Content, func() { r.counts = false })
		}
	}
}

// ClearContent does the same for a content, whoever sends it.
func (l *Ledger) ClearContent(content uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.ends {
		l.change(e, content, func() {
			for _, r := range e.ran[content] {
				r.counts = false
			}
		})
	}
}

// LastHeard is when this host heard of the last end that a content may be to blame for, zero
// if there is none.
func (l *Ledger) LastHeard(content uint64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last time.Time
	for _, e := range l.ends {
		if e.mayBlame(content) && e.heard.After(last) {
			last = e.heard
		}
	}
	return last
}

// count notes that a content may be to blame for some ends more, or less, and that so many
// of its copies more ran there. The ledger is locked.
func (l *Ledger) count(content uint64, ends, copies int) {
	n, c := l.counts[content]+ends, l.copies[content]+copies
	l.counts[content], l.copies[content] = n, c
	if n == 0 {
		delete(l.counts, content)
		delete(l.copies, content)
	}
	if n >= suspectEnds || c >= suspectCopies {
		l.repeated[content] = true
	} else {
		delete(l.repeated, content)
	}
}

// drop forgets an end. The ledger is locked.
func (l *Ledger) drop(e *end) {
	delete(l.ends, e.id)
	for content := range e.ran {
		ends, copies := e.weigh(content)
		l.count(content, -ends, -copies)
	}
}

// Expire forgets ends that count no more.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.ends {
		if now.Sub(e.at) > crashLife {
			l.drop(e)
		}
	}
	if len(l.ends) > maxEnds {
		for _, e := range l.sorted()[:len(l.ends)-maxEnds] {
			l.drop(e)
		}
	}
	kept := slices.IndexFunc(l.log, func(c fleet.Crash) bool { return l.ends[c.Endpoint] != nil })
	if kept < 0 {
		kept = len(l.log)
	}
	l.first += int64(kept)
	l.log = slices.Delete(l.log, 0, kept)
}

// Version grows with each crash that is new.
func (l *Ledger) Version() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first + int64(len(l.log))
}

// Since returns up to most crashes from a number on, and the number after the last one.
func (l *Ledger) Since(now time.Time, from int64, most int) ([]fleet.Crash, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = max(from, l.first)
	rest := l.log[from-l.first:]
	rest = rest[:min(len(rest), most)]
	var out []fleet.Crash
	for _, c := range rest {
		if e := l.ends[c.Endpoint]; e != nil && e.of(c.Request).counts {
			c.Ago = now.Sub(e.at).Milliseconds()
			out = append(out, c)
		}
	}
	return out, from + int64(len(rest))
}

// Decide returns the requests that are to blame for the ends of endpoints.
//
// A request is to blame for an end if none ran there under which more endpoints have ended:
// whatever runs beside a request that crashes endpoints is broken off again and again, and
// would be taken for the cause itself. Endpoints that end together count as one unless the
// request ran at all of them.
func (l *Ledger) Decide(now time.Time) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.open || now.Sub(l.looked) < lookPause {
		return nil
	}
	l.looked = now
	ends := l.sorted()
	l.open = slices.ContainsFunc(ends, func(e *end) bool { return now.Sub(e.heard) < tieTime })
	told := slices.DeleteFunc(slices.Clone(ends), func(e *end) bool { return now.Sub(e.heard) < gatherTime })
	seen := look{now: now, all: together(ends), told: together(told), counts: l.counts}
	var out []Verdict
	for content := range l.repeated {
		out = append(out, seen.judge(content)...)
	}
	return out
}

// Unexplained returns the contents under which endpoints have ended without another that
// explains it, if wanted with that many ends, with all crashes of each.
func (l *Ledger) Unexplained(now time.Time, wanted func(content uint64, ends int) bool) map[uint64][]fleet.Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	groups := together(l.sorted())
	out := map[uint64][]fleet.Crash{}
	for content, n := range l.counts {
		if !wanted(content, n) {
			continue
		}
		if mine := blamed(content, groups, l.counts); len(mine) > 0 && wanted(content, len(mine)) {
			out[content] = crashes(now, content, mine)
		}
	}
	return out
}

// crashes are those of one content at some ends.
func crashes(now time.Time, content uint64, ends []*end) []fleet.Crash {
	var out []fleet.Crash
	for _, e := range ends {
		for _, caller := range e.callers(content) {
			f := fleet.Fingerprint{Content: content, Caller: caller}
			for id := range e.ran[content][caller].copies {
				out = append(out, crash(now, e.id, copyOf{f, id}, e.at))
			}
		}
	}
	return out
}

// sorted returns all ends, the first one first. The ledger is locked.
func (l *Ledger) sorted() []*end {
	return slices.SortedFunc(maps.Values(l.ends), func(a, b *end) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
	})
}
