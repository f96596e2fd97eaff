package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
)

const (
	// fullStateTimeout bounds a request for the complete list of endpoints.
	fullStateTimeout = 4 * time.Second
	// maxListChanges is the number of changes of the list above which the complete list is sent,
	// compressed and shared by all hosts that request it.
	maxListChanges = 500
	// listCopyLinkShare is the share of a host's link that copies of the complete list may use.
	listCopyLinkShare = 0.5
)

// respondToStateRequest responds to a host that does not read the store.
func (g *Gateway) respondToStateRequest(r peer.StateRequest) []*peer.StateResponse {
	first := &peer.StateResponse{Config: g.configNewerThan(r.ConfigVersion)}
	out := []*peer.StateResponse{first}
	if r.EndpointsFrom != fullStateOffset {
		entries, next := g.listChanges(r.EndpointsFrom)
		if len(entries) <= maxListChanges {
			first.Endpoints, first.EndpointsNext = entries, next
			return out
		}
	}
	if !g.storeReads.Loaded(fleet.TopicEndpoints) {
		return out
	}
	parts, next, err := g.listArchive.get(g.Now(), listCopyLinkShare*g.linkBytesPerSecond(), g.listEntries)
	if err != nil {
		g.log.Error("encoding the list of endpoints failed", "error", err)
	}
	first.EndpointsNext, first.Archives = next, len(parts)
	for _, p := range parts {
		out = append(out, &peer.StateResponse{Archive: p})
	}
	return out
}

// listChanges returns the entries of the list that changed at or after a position, and the position
// up to which they are complete. Heartbeats are left out: a host that has the endpoint does not need
// them. There may be entries after that position, since a listing holds some of them.
func (g *Gateway) listChanges(from fleet.Position) ([]fleet.Entry, fleet.Position) {
	g.listMu.Lock()
	defer g.listMu.Unlock()
	return g.cache.EndpointEntries(g.directory.RoutingChangesSince(from - 1)), g.directory.Offset()
}

// configNewerThan returns the entry of the configuration in force if it is newer than a version.
func (g *Gateway) configNewerThan(version int64) (newer *fleet.Entry) {
	g.cache.WithConfig(func(current *fleet.Entry) {
		if c := g.config.Load(); c != nil && c.Version > version {
			config := *current
			newer = &config
		}
	})
	return newer
}

// listEntries returns all entries of the list of endpoints and the position up to which they are
// complete.
func (g *Gateway) listEntries() ([]fleet.Entry, fleet.Position) {
	g.listMu.Lock()
	defer g.listMu.Unlock()
	return g.cache.AllEndpoints(), g.directory.Offset()
}

// minStateRequestInterval is the minimum interval between two state requests.
const minStateRequestInterval = 150 * time.Millisecond

// fetchState requests the state that this host cannot read from the store from a random other
// host.
func (g *Gateway) fetchState(ctx context.Context) {
	if addr := g.mesh.pickPeer(g.Now()); addr != "" {
		g.fetchStateFrom(ctx, addr)
	}
}

// fetchStateFrom requests state from the host at addr, unless a request was sent very recently
// or one to that host is in flight. It reports whether a request failed.
func (g *Gateway) fetchStateFrom(ctx context.Context, addr string) (failed bool) {
	timeout := fullStateTimeout
	if g.storeReads.Loaded(fleet.TopicEndpoints) {
		timeout = peerTimeout
	}
	return g.fetchStateWithin(ctx, addr, timeout)
}

// fetchStateWithin is like fetchStateFrom with a timeout.
func (g *Gateway) fetchStateWithin(ctx context.Context, addr string, timeout time.Duration) (failed bool) {
	if !g.mesh.beginStateRequest(g.Now(), addr) {
		return false
	}
	defer g.mesh.endStateRequest(addr)
	request := peer.StateRequest{EndpointsFrom: fullStateOffset, ConfigVersion: g.configVersion()}
	if g.storeReads.Loaded(fleet.TopicEndpoints) {
		request.EndpointsFrom = g.directory.Offset()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	responses, err := g.mesh.node.Send(ctx, addr, peer.Request{State: &request})
	if err == nil {
		err = g.applyState(responses)
	}
	if err != nil {
		g.mesh.markUnreachable(g.Now(), addr)
		g.log.Info("state request to peer failed", "peer", addr, "error", err.Error())
	}
	return err != nil
}

// requestListChanges requests the changes of the list up to a position that the next notices do not
// repeat: from the store, or from an upstream host if the store could not answer all hosts that miss them.
// Among many hosts that start, all miss most of the list.
func (g *Gateway) requestListChanges(now time.Time, change fleet.Position) {
	missing := change - g.directory.Offset() + 1
	starting := g.startup.relayedStart() && now.Sub(g.startedAt) < relayedGracePeriod
	if !starting && g.reads.Fits(g.mesh.hosts(), float64(missing)*g.cache.EndpointEntryBytes()) {
		trySend(g.listReadNow)
		return
	}
	upstreams := g.upstreams()
	if len(upstreams) == 0 || !g.mesh.beginListRequest(now, g.minListReadInterval()) {
		return
	}
	g.metrics.count("list_changes_requested", nil)
	go g.fetchStateWithin(context.Background(), g.mesh.firstReachable(now, upstreams).Addr, fullStateTimeout)
}

// applyState applies the responses to a state request. The list is applied only if it is complete.
func (g *Gateway) applyState(responses []peer.Response) error {
	first := responses[0].State
	if first == nil {
		return nil
	}
	entries := first.Endpoints
	if first.Archives != len(responses)-1 {
		return errors.Wrapf(peer.ErrInvalidMessage, "%d parts of the list of endpoints, want %d", len(responses)-1, first.Archives)
	}
	for _, r := range responses[1:] {
		if r.State == nil {
			return errors.Wrap(peer.ErrInvalidMessage, "response without a part of the list of endpoints")
		}
		part, err := r.State.Archive.Entries()
		if err != nil {
			return err
		}
		entries = append(entries, part...)
	}
	if era := first.EndpointsNext.Era(); era > 0 {
		g.observeEra(g.Now(), era)
	}
	if first.Config != nil {
		g.applyConfig(*first.Config)
	}
	if len(entries) > 0 {
		g.applyEndpoints(fleet.Batch{Entries: entries, Next: first.EndpointsNext})
		g.storeReads.SetLoaded(fleet.TopicEndpoints)
	}
	return nil
}

// beginStateRequest reports whether a state request to addr may be sent, and records it if so.
// It allows one request in flight per host, since several copies of a large configuration on a
// slow link would all time out.
func (m *mesh) beginStateRequest(now time.Time, addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastStateRequest) < minStateRequestInterval || m.pendingStateRequests[addr] {
		return false
	}
	m.lastStateRequest = now
	m.pendingStateRequests[addr] = true
	return true
}

// beginListRequest reports whether changes of the list may be requested from another host, and records it
// if so. It returns false for interval after a request.
func (m *mesh) beginListRequest(now time.Time, interval time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastListRequest) < interval {
		return false
	}
	m.lastListRequest = now
	return true
}

func (m *mesh) endStateRequest(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pendingStateRequests, addr)
}
