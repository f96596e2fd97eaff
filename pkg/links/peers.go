package links

import (
	"sync"
	"time"
)

// maxSilence is how long hosts that are asked may give no answer before this host acts as if none of them has links.
const maxSilence = time.Second

// silenceGap is the time between two questions without an answer from which they do not belong to one silence. A
// host whose connections time out asks every two seconds or so.
const silenceGap = 5 * time.Second

// Peers tracks what other hosts say about their links. It is safe for concurrent use.
type Peers struct {
	mu sync.Mutex
	// linkedAt is when another host last said that it has links.
	linkedAt time.Time
	// silentSince is when a host first gave no answer while no other had links, silentAt when one last did so.
	// Both are zero after an answer.
	silentSince, silentAt time.Time
}

// RecordLinked records that another host has links to endpoints.
func (p *Peers) RecordLinked(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.linkedAt = now
	p.silentSince, p.silentAt = time.Time{}, time.Time{}
}

// LinkedWithin reports whether another host has said within a time that it has links.
func (p *Peers) LinkedWithin(now time.Time, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.linkedAt.IsZero() && now.Sub(p.linkedAt) < d
}

// NoneLinked reports whether this host may act as if no other had links, after it has asked some and none has said
// that it has. Silence is not a no: a host that answers late may be the only one with links.
func (p *Peers) NoneLinked(now time.Time, allAnswered bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case allAnswered:
		p.silentSince, p.silentAt = time.Time{}, time.Time{}
		return true
	case now.Sub(p.silentAt) > silenceGap:
		p.silentSince = now // The hosts were not asked in between.
	}
	p.silentAt = now
	return now.Sub(p.silentSince) >= maxSilence
}
