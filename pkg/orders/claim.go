// Package orders elects the one host that may send orders to endpoints, and sends them. An
// order loads or unloads a model or an adapter.
//
// A claim is a record in the platform's store, appended at the offset up to which its
// author has read. The store serializes claims, so one of two concurrent claims fails, and
// the position of the record is a monotonic fencing token. Clocks only decide when a host
// tries to claim, never which claim is valid.
package orders

import (
	"sync"
	"time"
)

// Holder is an incarnation of a host that holds a claim.
type Holder struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Addr is the address for requests from other hosts.
	Addr string `cbor:"3,keyasint"`
	// Released is set when the holder gives up the claim before it stops.
	Released bool `cbor:"4,keyasint,omitempty"`
	// Former lists the holders of earlier claims that its successors have to take into account.
	Former []FormerHolder `cbor:"5,keyasint,omitempty"`
}

// Claim is a record of the claims topic.
type Claim struct {
	Holder Holder `cbor:"1,keyasint"`
	// Token is the fencing token: the position of the record, starting at 1.
	Token int64 `cbor:"2,keyasint"`
}

const (
	// holderTimeout is how long the holder may be silent before other hosts claim. It
	// leaves time for one lost heartbeat that is relayed by another host.
	holderTimeout = 1200 * time.Millisecond
	// claimRetryInterval is the minimum time between two claim attempts of a host.
	claimRetryInterval = 400 * time.Millisecond
	// suspendThreshold is the gap between two readings of the boot time clock from which
	// the host counts as suspended in between.
	suspendThreshold = 500 * time.Millisecond
	// minRereadDelay and maxRereadDelay bound the mean delay before the claims are read again
	// after a lost claim whose read has failed. The delay doubles with each failure.
	minRereadDelay = 400 * time.Millisecond
	maxRereadDelay = 8 * time.Second
	// noHeartbeat is what SinceHeartbeat returns if no heartbeat was received. It is longer
	// than any timeout.
	noHeartbeat = time.Hour
)

// Election tracks the claims that one host knows. It does no I/O and is safe for concurrent
// use.
type Election struct {
	self   Holder
	timing Timing

	mu     sync.Mutex
	newest Claim
	// former are the holders of the claims before the newest one. goneSince is since when the holder
	// of the newest claim certainly sends no orders, or zero.
	former    formerHolders
	goneSince time.Time
	// announced holds the incarnation in the last entry of each host.
	announced map[string]string
	// silentSince is when the holder of the newest claim last sent a heartbeat, or when its
	// claim was first read. lastHeartbeat excludes the latter.
	silentSince   time.Time
	lastHeartbeat time.Time
	lastAttempt   time.Time
	// held is the token of this host's claim, or 0. ordersFrom is the earliest time
	// at which it may send orders.
	held       int64
	ordersFrom time.Time
	// releasing is set while the held claim is being released. No orders are sent meanwhile.
	releasing bool
	// needsConfirm is set after a suspend until the store confirms that the claim is still
	// the newest.
	needsConfirm bool
	// ownOrdersUntil is after the arrival of the last order of this host, former incarnations included.
	ownOrdersUntil time.Time
	lastBoottime   time.Duration
	synced         bool
	// outdated is set after a lost claim until the claim that won is known. rereadAt is when to
	// read the claims, rereads the number of reads since then.
	outdated bool
	rereadAt time.Time
	rereads  int
}

// Timing holds the periods of an Election.
type Timing struct {
	// Lease is the minimum time between two orders of a host if another one sends orders in between.
	Lease time.Duration
	// Takeover is the minimum time between the last heartbeat of a former holder and the first
	// order of a new one.
	Takeover time.Duration
	// Handoff is how long a former holder may send orders after a claim that it does not know of.
	Handoff time.Duration
}

// NewElection returns the election of a host that has just started and knows no claim.
func NewElection(self Holder, timing Timing, now time.Time) *Election {
	return &Election{self: self, timing: timing, silentSince: now, ownOrdersUntil: now, announced: map[string]string{}}
}

// Observe records a claim read from the store or received from another host.
func (e *Election) Observe(now time.Time, c Claim) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.synced = true
	if c.Token < e.newest.Token {
		return
	}
	if e.isOwn(c) {
		// The response to this host's append was lost, or arrives after this read.
		e.acceptClaim(now, c.Token)
	}
	if c.Token > e.newest.Token {
		e.former = receiveFormerHolders(now, c.Holder.Former)
		// A heartbeat that this host has acknowledged allows orders for a lease, also if the newer claim was
		// made before it and not by a host that has acknowledged it.
		if h := e.newest.Holder; h.Host != e.self.Host && e.goneSince.IsZero() && !e.lastHeartbeat.IsZero() {
			e.former = e.former.extend(formerHolder{h.Host, h.Incarnation, e.lastHeartbeat.Add(e.timing.Takeover)})
		}
		e.silentSince = now
		e.lastHeartbeat = time.Time{}
		e.outdated = false
		e.goneSince = time.Time{}
	} else {
		// The record in the store does not show that its holder has given up the claim since.
		c.Holder.Released = c.Holder.Released || e.newest.Holder.Released
	}
	if c.Holder.Released && e.goneSince.IsZero() {
		e.goneSince = now
	}
	c.Holder.Former = nil
	e.newest = c
	if e.held != 0 && c.Token > e.held {
		e.dropHeld()
	}
	if e.held != 0 && c.Token == e.held {
		e.needsConfirm = false
	}
}

// isOwn reports whether a claim belongs to this incarnation and is not released.
func (e *Election) isOwn(c Claim) bool {
	return c.Holder.Host == e.self.Host && c.Holder.Incarnation == e.self.Incarnation && !c.Holder.Released
}

// RecordCaughtUp records that all claims in the store were read.
func (e *Election) RecordCaughtUp() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.synced = true
	e.outdated = false
	if e.held != 0 && e.newest.Token == e.held {
		e.needsConfirm = false
	}
}

// RecordConflict records that the store has rejected this host's claim because of one that the
// host does not know. No further claim is made until that one is known: the store would reject
// it too.
func (e *Election) RecordConflict(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outdated = true
	e.rereadAt = now
	e.rereads = 0
}

// ShouldReread reports whether to read the claims now because another host's claim has won. The
// delay between reads doubles and is spread by jitter, a random number from 0 to 1, so that hosts
// that all lost do not keep the store from answering.
func (e *Election) ShouldReread(now time.Time, jitter float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.outdated || now.Before(e.rereadAt) {
		return false
	}
	delay := min(maxRereadDelay, minRereadDelay<<min(e.rereads, maxRereadShift))
	e.rereadAt = now.Add(time.Duration((0.5 + jitter) * float64(delay)))
	e.rereads++
	return true
}

// maxRereadShift bounds the number of times that the delay doubles.
const maxRereadShift = 8

// RecordHeartbeat records a heartbeat of the holder of a token. at is when the heartbeat was first
// received, possibly by another host. Hosts must forward it with that time: heartbeats that
// become newer on the way would make a dead holder seem alive.
func (e *Election) RecordHeartbeat(at time.Time, token int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if token < e.newest.Token {
		return
	}
	if at.After(e.silentSince) {
		e.silentSince = at
	}
	if at.After(e.lastHeartbeat) {
		e.lastHeartbeat = at
	}
}

// ShouldClaim reports whether to claim now: the newest claim is vacant, or its holder has
// been silent for holderTimeout.
func (e *Election) ShouldClaim(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.synced || e.outdated || e.held != 0 || now.Sub(e.lastAttempt) < claimRetryInterval {
		return false
	}
	if !e.vacant() && now.Sub(e.silentSince) < holderTimeout {
		return false
	}
	e.lastAttempt = now
	return true
}

// vacant reports whether no host can send orders under the newest claim. It must be called
// with e.mu held.
func (e *Election) vacant() bool {
	return e.newest.Token == 0 || e.newest.Holder.Host == e.self.Host || !e.goneSince.IsZero()
}

// Vacant reports whether the newest claim certainly has no live holder.
func (e *Election) Vacant() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.vacant()
}

// SinceHeartbeat returns the time since this host last knew of a heartbeat of the holder of the
// newest claim. Reading the claim does not count as a heartbeat: otherwise hosts that
// restart one after the other delay the successor of a dead holder.
func (e *Election) SinceHeartbeat(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.held != 0:
		return 0
	case e.lastHeartbeat.IsZero():
		return noHeartbeat
	default:
		return now.Sub(e.lastHeartbeat)
	}
}

// RecordRestart records the incarnation in a host's entry. A claim held by a former incarnation of
// it is vacant at once, without waiting for the lease. Entries may arrive late: one is of a later incarnation
// than another if it follows its entry, or if its host started later by its clock.
func (e *Election) RecordRestart(now time.Time, host, incarnation string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.announced[host]
	e.announced[host] = incarnation
	ended := func(former string) bool { return former != incarnation && (former == known || former < incarnation) }
	if h := e.newest.Holder; h.Host == host && ended(h.Incarnation) && e.goneSince.IsZero() {
		e.goneSince = now
	}
	e.former = e.former.bound(now, func(f formerHolder) bool { return f.host == host && ended(f.incarnation) })
}

// RecordClaimAppended records that this host's claim was appended.
func (e *Election) RecordClaimAppended(now time.Time, token int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acceptClaim(now, token)
}

// acceptClaim makes this host the holder. It must be called with e.mu held.
func (e *Election) acceptClaim(now time.Time, token int64) {
	// A claim that this host has given up is not newer than the newest known one.
	if token <= e.newest.Token {
		return
	}
	e.former = e.predecessors(now)
	e.ordersFrom = later(now, e.former.ordersFrom(e.self.Host, e.timing.Lease))
	e.newest = Claim{Holder: e.self, Token: token}
	e.goneSince = time.Time{}
	e.held = token
	e.releasing = false
	e.needsConfirm = false
}

// predecessors returns the holders that a claim of this host would succeed. The holder of the newest
// claim may send orders until its lease has expired, counted from its last heartbeat. If this host
// cannot reach it, it may have read the store just before the claim of this host. It must be called with
// e.mu held.
func (e *Election) predecessors(now time.Time) formerHolders {
	former := e.former.bound(e.ownOrdersUntil, func(f formerHolder) bool { return f.host == e.self.Host })
	if e.newest.Token == 0 {
		return former
	}
	h := e.newest.Holder
	until := later(e.silentSince.Add(e.timing.Takeover), now.Add(e.timing.Handoff))
	switch {
	case h.Host == e.self.Host:
		until = e.ownOrdersUntil
	case !e.goneSince.IsZero():
		until = e.goneSince
	}
	return former.append(now, e.timing.Lease, formerHolder{h.Host, h.Incarnation, until})
}

// NextHolder returns the holder for the record of a claim of this host.
func (e *Election) NextHolder(now time.Time) Holder {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.self
	h.Former = e.predecessors(now).encode(now)
	return h
}

// TurnDelay returns how much longer this host would have to wait than another one before it sends
// orders under a new claim, because it has sent some within the lease. It is at most maxRankDelay.
func (e *Election) TurnDelay(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	former := e.predecessors(now)
	own, others := former.ordersFrom(e.self.Host, e.timing.Lease), later(now, former.ordersFrom("", e.timing.Lease))
	return min(max(0, own.Sub(others)), maxRankDelay)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// OrderToken returns the token for orders sent now, or 0 if this host must not send any.
func (e *Election) OrderToken(now time.Time) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held == 0 || e.releasing || e.needsConfirm || now.Before(e.ordersFrom) {
		return 0
	}
	e.ownOrdersUntil = now.Add(leaseMargin)
	return e.held
}

// HeldToken returns the token of this host's claim, or 0. Orders must use OrderToken
// instead.
func (e *Election) HeldToken() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

// Newest returns the newest known claim without the former holders. Its token is 0 if there is none.
func (e *Election) Newest() Claim {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// NewestToSend returns the newest known claim for a message that is sent now.
func (e *Election) NewestToSend(now time.Time) Claim {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.newest
	c.Holder.Former = e.former.encode(now)
	return c
}

// Relinquish gives up the claim with the given token after an endpoint has seen a newer one.
func (e *Election) Relinquish(token int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held == token {
		e.dropHeld()
		// The holder of the newer token is not known yet. Its silence counts from the last
		// heartbeat.
		e.newest.Holder = Holder{}
	}
}

// CheckSuspend takes a reading of the clock that includes suspended time. After a gap another
// host may have claimed, so no orders are sent until the store confirms the claim. It
// reports whether a held claim now waits for confirmation because of a gap.
func (e *Election) CheckSuspend(boottime time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	gap := boottime - e.lastBoottime
	suspended := e.lastBoottime != 0 && gap > suspendThreshold
	e.lastBoottime = boottime
	if suspended && e.held != 0 {
		e.needsConfirm = true
	}
	return suspended && e.held != 0
}

// AwaitingConfirmation reports whether the claim waits for confirmation by the store.
func (e *Election) AwaitingConfirmation() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.needsConfirm
}
