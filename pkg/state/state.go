// Package state is the replicated state machine of the entry hosts. It applies
// the records of the platform's log to the state on which all hosts agree.
//
// Applying a record depends on no clock, random number or map order, so the same
// records give the same state on every host. A record states its preconditions
// and is accepted or rejected based on the records before it alone. Safety
// therefore depends neither on leases nor on deduplicating record IDs.
//
// Records must be applied by one goroutine. Readers are safe for concurrent
// use: each part of the state has its own lock, and readers get copies.
package state

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/record"
)

// Reasons for rejecting a record. They are wrapped with details.
var (
	// ErrStale means that the expected version, epoch or sequence number is outdated.
	ErrStale = errors.New("precondition no longer holds")
	// ErrLimit means that a contract limit or an endpoint's memory is exhausted.
	ErrLimit = errors.New("limit reached")
	// ErrUnknown means that the record refers to something that does not exist.
	ErrUnknown = errors.New("no such object")
	// ErrInvalid means that the content of the record is invalid.
	ErrInvalid = errors.New("invalid record")
)

// ErrGap is returned by Apply if records were skipped.
var ErrGap = errors.New("gap in the log")

// Outcome is the result of applying one record.
type Outcome struct {
	Offset record.Offset
	ID     record.ID
	// Record is the decoded record, empty if the bytes were malformed.
	Record record.Record
	// Rejected is the reason why the record was rejected, nil if it was accepted.
	Rejected error
	// Decisions holds the result of each decision of an accepted plan: nil if the
	// decision was accepted, else the reason for its rejection.
	Decisions []error
}

// State is the replicated state.
type State struct {
	applied   atomic.Uint64
	Contracts *Contracts
	Hosts     *Hosts
	Pools     *Pools
	Keys      *Keys
	Deferred  *DeferredRequests
	Crashes   *Crashes
	Snapshots *Snapshots
}

// New returns the empty state before the first record.
func New() *State {
	return &State{
		Contracts: newContracts(),
		Hosts:     newHosts(),
		Pools:     newPools(),
		Keys:      newKeys(),
		Deferred:  newDeferredRequests(),
		Crashes:   newCrashes(),
		Snapshots: newSnapshots(),
	}
}

// Applied returns the offset of the last applied record.
func (s *State) Applied() record.Offset { return record.Offset(s.applied.Load()) }

// Apply applies the record at offset off. Offsets must be consecutive. A record
// that was already applied is skipped, and ok is false.
func (s *State) Apply(off record.Offset, data []byte) (out Outcome, ok bool, err error) {
	next := s.Applied() + 1
	if off < next {
		return Outcome{}, false, nil
	}
	if off > next {
		return Outcome{}, false, errors.Wrapf(ErrGap, "got offset %d, expected %d", off, next)
	}
	out = s.applyRecord(off, data)
	s.applied.Store(uint64(off))
	return out, true, nil
}

func (s *State) applyRecord(off record.Offset, data []byte) Outcome {
	r, err := record.Decode(data)
	if err != nil {
		return Outcome{Offset: off, Rejected: err}
	}
	out := Outcome{Offset: off, ID: r.ID, Record: r}
	switch {
	case r.Contract != nil:
		out.Rejected = s.Contracts.publish(off, *r.Contract)
	case r.Join != nil:
		s.Hosts.join(off, *r.Join)
	case r.Renew != nil:
		out.Rejected = s.Hosts.renew(off, *r.Renew)
	case r.Gone != nil:
		s.Hosts.remove(r.Gone.HostRef)
		s.Pools.removeFormerOwner(r.Gone.HostRef)
	case r.Claim != nil:
		out.Rejected = s.claim(off, *r.Claim)
	case r.Handover != nil:
		out.Rejected = s.handover(off, *r.Handover)
	case r.Quiesced != nil:
		s.Pools.removeQuiescedOwner(*r.Quiesced)
	case r.Plan != nil:
		out.Decisions, out.Rejected = s.Pools.applyPlan(off, *r.Plan, s.Contracts)
	case r.KeyBatch != nil:
		s.Keys.applyBatch(*r.KeyBatch)
	case r.Horizon != nil:
		out.Rejected = s.Keys.advanceHorizon(r.Horizon.Before)
		s.Deferred.deleteBefore(s.Keys.Horizon())
	case r.Snapshot != nil:
		s.Snapshots.add(off, *r.Snapshot)
	case r.Defer != nil:
		out.Rejected = s.Deferred.accept(*r.Defer, s.Keys.Horizon())
	case r.Finish != nil:
		out.Rejected = s.Deferred.finish(*r.Finish)
	case r.Crashed != nil:
		s.Crashes.add(off, *r.Crashed)
	}
	return out
}

// claim applies a pool claim if its host has an open session.
func (s *State) claim(off record.Offset, c record.PoolClaim) error {
	if !s.Hosts.Has(c.Owner) {
		return errors.Wrapf(ErrUnknown, "session of %s", c.Owner.Host)
	}
	return s.Pools.claim(off, c)
}

func (s *State) handover(off record.Offset, h record.Handover) error {
	if !s.Hosts.Has(h.To) {
		return errors.Wrapf(ErrUnknown, "session of %s", h.To.Host)
	}
	return s.Pools.handover(off, h)
}
