// Package state folds the records of the platform's log into the state that
// every entry host agrees on.
//
// The fold reads no clock, no random number and no map order: the same records
// give the same state on every host. Each record states its preconditions and
// is accepted or voided from the records before it alone, so safety depends
// neither on leases nor on remembering the IDs of past records.
//
// One goroutine applies records. Readers may run at any time: each aggregate
// has a lock of its own, and readers get copies.
package state

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/record"
)

// Reasons for which a record is void. They are wrapped with details.
var (
	// ErrStale means that a precondition (version, epoch, sequence) no longer holds.
	ErrStale = errors.New("precondition no longer holds")
	// ErrLimit means that a contract's limit or an endpoint's memory is exhausted.
	ErrLimit = errors.New("limit reached")
	// ErrUnknown means that the record names something that does not exist.
	ErrUnknown = errors.New("no such object")
	// ErrInvalid means that the content of the record is not valid.
	ErrInvalid = errors.New("invalid record")
)

// ErrGap is returned by Apply when records were skipped.
var ErrGap = errors.New("gap in the log")

// Outcome is what the fold decided about one record.
type Outcome struct {
	Offset record.Offset
	ID     record.ID
	// Record is the decoded record; it is empty when the bytes were malformed.
	Record record.Record
	// Void is the reason why the record has no effect, nil when it was accepted.
	Void error
	// Decisions holds the reason for each decision of an accepted plan, nil
	// for those accepted.
	Decisions []error
}

// State is the folded state.
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

// New returns the state before the first record.
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

// Applied returns the offset of the last record in the state.
func (s *State) Applied() record.Offset { return record.Offset(s.applied.Load()) }

// Apply folds the record at offset off. Offsets must follow one another
// without a gap; records that were applied before are skipped, ok is false.
func (s *State) Apply(off record.Offset, data []byte) (out Outcome, ok bool, err error) {
	next := s.Applied() + 1
	if off < next {
		return Outcome{}, false, nil
	}
	if off > next {
		return Outcome{}, false, errors.Wrapf(ErrGap, "at offset %d, expected %d", off, next)
	}
	out = s.fold(off, data)
	s.applied.Store(uint64(off))
	return out, true, nil
}

func (s *State) fold(off record.Offset, data []byte) Outcome {
	r, err := record.Decode(data)
	if err != nil {
		return Outcome{Offset: off, Void: err}
	}
	out := Outcome{Offset: off, ID: r.ID, Record: r}
	switch {
	case r.Contract != nil:
		out.Void = s.Contracts.publish(off, *r.Contract)
	case r.Join != nil:
		s.Hosts.join(off, *r.Join)
	case r.Renew != nil:
		out.Void = s.Hosts.renew(off, *r.Renew)
	case r.Gone != nil:
		s.Hosts.remove(r.Gone.HostRef)
		s.Pools.dropFormer(r.Gone.HostRef)
	case r.Claim != nil:
		out.Void = s.claim(off, *r.Claim)
	case r.Handover != nil:
		out.Void = s.handover(off, *r.Handover)
	case r.Quiesced != nil:
		s.Pools.quiesced(*r.Quiesced)
	case r.Plan != nil:
		out.Decisions, out.Void = s.Pools.applyPlan(off, *r.Plan, s.Contracts)
	case r.Dispatch != nil:
		s.Keys.dispatch(*r.Dispatch)
	case r.Horizon != nil:
		out.Void = s.Keys.advance(r.Horizon.Before)
		s.Deferred.dropBefore(s.Keys.Horizon())
	case r.Snapshot != nil:
		s.Snapshots.add(off, *r.Snapshot)
	case r.Defer != nil:
		out.Void = s.Deferred.accept(*r.Defer, s.Keys.Horizon())
	case r.Finish != nil:
		out.Void = s.Deferred.finish(*r.Finish)
	case r.Crashed != nil:
		s.Crashes.add(off, *r.Crashed)
	}
	return out
}

// claim accepts a pool claim of a host with an open session.
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
