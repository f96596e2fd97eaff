package entryhost

import (
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/record"
)

// peerHandler handles requests from other entry hosts.
type peerHandler struct{ host *Host }

// HandleUsage implements peer.Handler.
func (p peerHandler) HandleUsage(r peer.UsageReport) { p.host.handleUsage(r) }

// HandleDrain implements peer.Handler.
func (p peerHandler) HandleDrain(n peer.DrainNotice) {
	p.host.membersMu.Lock()
	defer p.host.membersMu.Unlock()
	for _, draining := range n.Endpoints {
		p.host.members.MarkDraining(draining)
	}
}

// HandleTail implements peer.Handler.
func (p peerHandler) HandleTail(r peer.TailRequest) ([]external.Entry, error) {
	return p.host.journal.Recent(r.From, r.Limit)
}

// HandleSnapshot implements peer.Handler. It returns external.ErrUnavailable until the host has
// caught up with the log.
func (p peerHandler) HandleSnapshot() ([]record.Snapshot, error) {
	if !p.host.journal.CaughtUp() {
		return nil, external.ErrUnavailable
	}
	records, err := p.host.journal.Snapshot()
	if err != nil {
		return nil, err
	}
	chunks := make([]record.Snapshot, len(records))
	for i, r := range records {
		chunks[i] = *r.Snapshot
	}
	return chunks, nil
}
