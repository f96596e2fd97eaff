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
	// suspectEnds is under how many ends a request may run only once for each attempt of a
	// client: a second try by its host doubles what it does until it is blocked.
	suspectEnds = 2
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
	// Suspect requests are not blocked yet.
	Suspect bool
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
	// counts is at how many ends each content may be to blame; repeated holds those that may
	// be at suspectEnds or more. Kept with each change, they spare a look the thousands of
	// requests that ran at one end: 6.1 ms before, 1.1 ms after for 512 ends (BenchmarkDecide).
	counts   map[uint64]int
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
	// ran holds the callers of each content that ran there, with whether the request may be
	// to blame. Cleared ones stay, so that a late copy of their crash is known.
	ran map[uint64]map[uint64]bool
}

// mayBlame tells whether a request of a content may be to blame for the end.
func (e *end) mayBlame(content uint64) bool {
	for _, counts := range e.ran[content] {
		if counts {
			return true
		}
	}
	return false
}

// callers returns whose requests of a content may be to blame for the end.
func (e *end) callers(content uint64) []uint64 {
	var out []uint64
	for caller, counts := range e.ran[content] {
		if counts {
			out = append(out, caller)
		}
	}
	return out
}

// NewLedger returns a ledger without any end.
func NewLedger() *Ledger {
	return &Ledger{ends: map[fleet.EndpointID]*end{}, counts: map[uint64]int{}, repeated: map[uint64]bool{}}
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
		e = &end{id: c.Endpoint, at: at, heard: now, ran: map[uint64]map[uint64]bool{}}
		l.ends[c.Endpoint] = e
	}
	if at.Before(e.at) {
		e.at = at
	}
	callers := e.ran[c.Request.Content]
	if _, known := callers[c.Request.Caller]; known {
		return false
	}
	if callers == nil {
		callers = map[uint64]bool{}
		e.ran[c.Request.Content] = callers
	}
	if !e.mayBlame(c.Request.Content) {
		l.count(c.Request.Content, 1)
	}
	callers[c.Request.Caller] = true
	l.log = append(l.log, c)
	return true
}

// Clear takes in that a request has just done no harm: an endpoint that ran it lives on. It
// is not to blame for the ends before, whoever tells of them again; one that turns harmful
// counts anew.
func (l *Ledger) Clear(f fleet.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.ends {
		if !e.ran[f.Content][f.Caller] {
			continue
		}
		e.ran[f.Content][f.Caller] = false
		if !e.mayBlame(f.Content) {
			l.count(f.Content, -1)
		}
	}
}

// count notes that a content may be to blame for one end more, or less. The ledger is locked.
func (l *Ledger) count(content uint64, by int) {
	n := l.counts[content] + by
	l.counts[content] = n
	if n == 0 {
		delete(l.counts, content)
	}
	if n >= suspectEnds {
		l.repeated[content] = true
	} else {
		delete(l.repeated, content)
	}
}

// drop forgets an end. The ledger is locked.
func (l *Ledger) drop(e *end) {
	delete(l.ends, e.id)
	for content := range e.ran {
		if e.mayBlame(content) {
			l.count(content, -1)
		}
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
		if e := l.ends[c.Endpoint]; e != nil && e.ran[c.Request.Content][c.Request.Caller] {
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

// Unexplained returns the contents under which at least so many endpoints have ended without
// another that explains it, with all crashes of each.
func (l *Ledger) Unexplained(now time.Time, least int) map[uint64][]fleet.Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	groups := together(l.sorted())
	out := map[uint64][]fleet.Crash{}
	for content, n := range l.counts {
		if n < least {
			continue
		}
		if mine := blamed(content, groups, l.counts); len(mine) >= least {
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
			out = append(out, crash(now, e.id, fleet.Fingerprint{Content: content, Caller: caller}, e.at))
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
	if len(all) < suspectEnds {
		return nil
	}
	any := fleet.BlockedRequest{Content: content, Caller: fleet.AnyCaller}
	out := []Verdict{{Request: any, Suspect: true, Endpoints: ids(all)}}
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
