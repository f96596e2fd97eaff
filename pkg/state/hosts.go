package state

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/record"
)

// Session is the session of one incarnation of an entry host.
type Session struct {
	record.HostRef
	PeerAddr string
	Zone     string
	// Renewed is the offset of the last heartbeat. Callers decide whether the
	// session has expired, because the state reads no clock.
	Renewed record.Offset
	// Leaving is set while the host shuts down gracefully.
	Leaving bool
}

// Hosts holds the open sessions of entry hosts.
type Hosts struct {
	mu       sync.RWMutex
	sessions map[record.HostRef]Session
}

func newHosts() *Hosts {
	return &Hosts{sessions: map[record.HostRef]Session{}}
}

func (h *Hosts) join(off record.Offset, j record.SessionOpen) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sessions[j.HostRef] = Session{HostRef: j.HostRef, PeerAddr: j.PeerAddr, Zone: j.Zone, Renewed: off}
}

func (h *Hosts) renew(off record.Offset, r record.SessionRenew) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.sessions[r.HostRef]
	if !ok {
		return errors.Wrapf(ErrUnknown, "session of %s", r.Host)
	}
	s.Renewed = off
	s.Leaving = s.Leaving || r.Leaving
	h.sessions[r.HostRef] = s
	return nil
}

func (h *Hosts) remove(ref record.HostRef) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.sessions, ref)
}

// Has reports whether a session is open.
func (h *Hosts) Has(ref record.HostRef) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	_, ok := h.sessions[ref]
	return ok
}

// Sessions returns the open sessions, ordered by host and incarnation.
func (h *Hosts) Sessions() []Session {
	h.mu.RLock()
	defer h.mu.RUnlock()
	all := make([]Session, 0, len(h.sessions))
	for _, s := range h.sessions {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Session) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return all
}
