package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
)

// respondToStateRequest responds to a host that cannot read the store.
func (g *Gateway) respondToStateRequest(r peer.StateRequest) *peer.StateResponse {
	g.listMu.Lock()
	defer g.listMu.Unlock()
	g.cache.mu.Lock()
	defer g.cache.mu.Unlock()
	out := &peer.StateResponse{EndpointsNext: g.directory.Offset()}
	if c := g.config.Load(); c != nil && c.Version > r.ConfigVersion {
		config := g.cache.config
		out.Config = &config
	}
	out.Endpoints = g.endpointEntriesFrom(r.EndpointsFrom)
	return out
}

// endpointEntriesFrom returns the list entries that changed at or after an offset, or all
// entries. It must be called with the cache's mu held. Heartbeats of listed endpoints
// are left out to limit the size: a host that has the endpoint does not need them, and all hosts
// send state requests while the controller changes.
func (g *Gateway) endpointEntriesFrom(from fleet.Position) []fleet.Entry {
	var out []fleet.Entry
	if from == fullStateOffset {
		return slices.Collect(maps.Values(g.cache.endpoints))
	}
	for _, id := range g.directory.RoutingChangesSince(from - 1) {
		if e, ok := g.cache.endpoints[id.Name()]; ok {
			out = append(out, e)
		}
	}
	return out
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
	if !g.mesh.beginStateRequest(g.Now(), addr) {
		return false
	}
	defer g.mesh.endStateRequest(addr)
	request := peer.StateRequest{EndpointsFrom: fullStateOffset, ConfigVersion: g.configVersion()}
	if g.storeReads.Loaded(fleet.TopicEndpoints) {
		request.EndpointsFrom = g.directory.Offset()
	}
	response, err := g.mesh.send(ctx, addr, peer.Request{State: &request})
	if err != nil {
		g.mesh.markUnreachable(g.Now(), addr)
		g.log.Info("state request to peer failed", "peer", addr, "error", err.Error())
		return true
	}
	if response.State == nil {
		return false
	}
	if era := response.State.EndpointsNext.Era(); era > 0 {
		g.observeEra(g.Now(), era)
	}
	if response.State.Config != nil {
		g.applyConfig(*response.State.Config)
	}
	if len(response.State.Endpoints) > 0 {
		g.applyEndpoints(fleet.Batch{Entries: response.State.Endpoints, Next: response.State.EndpointsNext})
		g.storeReads.SetLoaded(fleet.TopicEndpoints)
	}
	return false
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

func (m *mesh) endStateRequest(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pendingStateRequests, addr)
}
