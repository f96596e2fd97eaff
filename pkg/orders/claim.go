// Package orders lets exactly one host at a time give orders to endpoints:
// which model and which adapter to load or unload.
//
// A claim is a record in the platform's store, appended at the offset that its
// author had read. The store orders claims, so of two that race one fails, and
// the record's offset is a fencing token that only grows. Time decides only
// when a host tries to claim, never who is right.
package orders

import (
	"sync"
	"time"
)

// Holder is one incarnation of a host.
type Holder struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Addr is where other hosts reach it.
	Addr string `cbor:"3,keyasint"`
	// Released claims were given up by their holder before it stopped.
	Released bool `cbor:"4,keyasint,omitempty"`
}

// Claim is a record of the claims topic.
type Claim struct {
	Holder Holder `cbor:"1,keyasint"`
	// Token is the fencing token: the offset of the record, counted from 1.
	Token int64 `cbor:"2,keyasint"`
}

const (
	// challengeAfter is how long a holder may be silent before others claim. A host that
	// asks a relay hears of it at least every half second; one question may time out.
	challengeAfter = 1200 * time.Millisecond
	// claimPause separates two tries, so that hosts don't fill the store.
	claimPause = 400 * time.Millisecond
	// frozenAfter is the gap between two looks at the clock that counts
	// suspended time after which a host was not running.
	frozenAfter = 500 * time.Millisecond
	// neverHeard is longer than any silence that counts.
	neverHeard = time.Hour
)

// Election is one host's knowledge of the claims. It does no I/O and is safe
// for concurrent use.
type Election struct {
	self Holder
	// lease is the time within which two holders must not give orders in turn.
	lease time.Duration
	// settle is how long a former holder may give orders after a claim that it does
	// not know of.
	settle time.Duration

	mu     sync.Mutex
	newest Claim
	// heard is since when the holder of the newest claim has been silent: its last
	// sign of life, or when its claim was first read. alive is the former only.
	heard   time.Time
	alive   time.Time
	tried   time.Time
	held    int64
	startAt time.Time
	// confirm is set after a freeze until the store has shown that the claim is
	// still the newest.
	confirm bool
	// dead is the token of a claim whose holder has started anew since.
	dead    int64
	lastRun time.Duration
	known   bool
}

// NewElection returns the state of a host that knows no claim. Two holders do not
// give orders in turn within the lease; settle is how long a holder may go on after
// a claim that it does not know of.
func NewElection(self Holder, lease, settle time.Duration, now time.Time) *Election {
	return &Election{self: self, lease: lease, settle: settle, heard: now}
}

// Observe takes in a claim from the store, or from another host's notice.
func (e *Election) Observe(now time.Time, c Claim) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known = true
	if c.Token < e.newest.Token {
		return
	}
	if e.own(c) {
		// The answer to this host's append was lost, or comes after this read.
		e.win(now, c.Token)
	}
	if c.Token > e.newest.Token {
		e.heard = now
		e.alive = time.Time{}
	}
	e.newest = c
	if e.held != 0 && c.Token > e.held {
		e.held = 0
	}
	if e.held != 0 && c.Token == e.held {
		e.confirm = false
	}
}

// own tells whether a claim is this incarnation's and still good.
func (e *Election) own(c Claim) bool {
	return c.Holder.Host == e.self.Host && c.Holder.Incarnation == e.self.Incarnation && !c.Holder.Released
}

// Caught notes that the claims in the store were read to their end.
func (e *Election) Caught() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known = true
	if e.held != 0 && e.newest.Token == e.held {
		e.confirm = false
	}
}

// Heard notes a sign of life of the holder of a token, given at a time: now, or
// earlier if another host has heard it. Hosts that passed on what they had from
// others as if it were of now would keep a dead holder alive among themselves.
func (e *Election) Heard(at time.Time, token int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if token < e.newest.Token {
		return
	}
	if at.After(e.heard) {
		e.heard = at
	}
	if at.After(e.alive) {
		e.alive = at
	}
}

// ShouldClaim tells whether to try now: nobody holds the newest claim, or its
// holder has been silent towards this host.
func (e *Election) ShouldClaim(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || e.held != 0 || now.Sub(e.tried) < claimPause {
		return false
	}
	if !e.vacant() && now.Sub(e.heard) < challengeAfter {
		return false
	}
	e.tried = now
	return true
}

// vacant tells whether nobody can give orders by the newest claim.
func (e *Election) vacant() bool {
	h := e.newest.Holder
	return e.newest.Token == 0 || h.Released || h.Host == e.self.Host || e.dead == e.newest.Token
}

// Vacant tells whether the newest claim is without a holder for certain.
func (e *Election) Vacant() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.vacant()
}

// HeardAgo is how long ago the holder of the newest claim has given a sign of
// life, as far as this host can witness. A host that has only read the claim is no
// witness: hosts that were restarted one after the other put off the successor of
// a dead holder by seconds.
func (e *Election) HeardAgo(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.held != 0:
		return 0
	case e.alive.IsZero():
		return neverHeard
	default:
		return now.Sub(e.alive)
	}
}

// Restarted takes in that a host has started a new incarnation. If its former
// one holds the claim, that claim is vacant: waiting for its lease would leave
// all hosts without orders for seconds after all have been killed at once.
func (e *Election) Restarted(host, incarnation string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h := e.newest.Holder; h.Host == host && h.Incarnation != incarnation {
		e.dead = e.newest.Token
	}
}

// Won takes in that this host's claim was appended.
func (e *Election) Won(now time.Time, token int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.win(now, token)
}

// win takes the claim up. The former holder may have given orders until it was
// last heard; a holder within its lease after that would take turns with it. One
// that was cut off from this host for longer may have read the store just before
// this claim, and goes on for as long as that counts: an order of the new holder
// before that would meet one with an older token.
func (e *Election) win(now time.Time, token int64) {
	// A token that was given up is the newest one known, or older.
	if token <= e.newest.Token {
		return
	}
	e.startAt = now
	if !e.vacant() {
		e.startAt = later(e.heard.Add(e.lease), now.Add(e.settle))
	}
	e.newest = Claim{Holder: e.self, Token: token}
	e.held = token
	e.confirm = false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Token returns the token with which orders may be given now, 0 without one.
func (e *Election) Token(now time.Time) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held == 0 || e.confirm || now.Before(e.startAt) {
		return 0
	}
	return e.held
}

// Held returns the token of this host's claim, 0 without one. Orders need Token.
func (e *Election) Held() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

// Newest returns the newest claim known; its token is 0 if there is none.
func (e *Election) Newest() Claim {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// Lost gives the claim up for good: an endpoint has seen a newer token. Every
// further order with this one would be refused.
func (e *Election) Lost(token int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held == token {
		e.held = 0
		// Whoever holds the newer token is not known yet; it gets time to speak.
		e.newest.Holder = Holder{}
	}
}

// Running takes in the clock that counts suspended time. After a gap the host
// was frozen, and another may have claimed meanwhile: no order is given until
// the store confirms the claim. It tells whether that was so.
func (e *Election) Running(boot time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	gap := boot - e.lastRun
	frozen := e.lastRun != 0 && gap > frozenAfter
	e.lastRun = boot
	if frozen && e.held != 0 {
		e.confirm = true
	}
	return frozen && e.held != 0
}

// Confirming tells whether the claim waits for the store's confirmation.
func (e *Election) Confirming() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirm
}
