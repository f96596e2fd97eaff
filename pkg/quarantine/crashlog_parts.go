package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// maxPartsPerCrash bounds the prompt parts that are kept of one crash.
	maxPartsPerCrash = 256
	// recentlySoundWindow is how long before a crash a response to a request with a prompt part must have begun
	// for the part to be an unlikely cause. It may have turned harmful since.
	recentlySoundWindow = 3 * time.Second
	// maxSuspectParts bounds the prompt parts that hosts are asked about at a time.
	maxSuspectParts = 16
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
