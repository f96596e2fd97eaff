package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
)

// state answers a host that cannot read the store.
func (g *Gateway) state(r peer.StateRequest) *peer.StateAnswer {
	g.listMu.Lock()
	defer g.listMu.Unlock()
	g.feed.mu.Lock()
	defer g.feed.mu.Unlock()
	out := &peer.StateAnswer{EndpointsNext: g.directory.Offset()}
	if c := g.config.Load(); c != nil && c.Version > r.ConfigVersion {
		config := g.feed.config
		out.Config = &config
	}
	out.Endpoints = g.listFrom(r.EndpointsFrom)
	return out
}

// listFrom returns what has changed in the list from an offset on, or all of it. It is
// called with the feed locked. Heartbeats change nothing that a host needs which knew the
// endpoints before, and while the controller changes all hosts ask for it.
func (g *Gateway) listFrom(from int64) []fleet.Entry {
	var out []fleet.Entry
	if from == stateFrom {
		return slices.Collect(maps.Values(g.feed.endpoints))
	}
	for _, id := range g.directory.MaterialSince(from - 1) {
		if e, ok := g.feed.endpoints[id.Name()]; ok {
			out = append(out, e)
		}
	}
	return out
}

// askPause separates two questions to peers for what the store does not tell.
const askPause = 150 * time.Millisecond

// askPeer asks some other host for what this one cannot read from the store.
func (g *Gateway) askPeer(ctx context.Context) {
	if addr := g.mesh.anyNear(g.Now()); addr != "" {
		g.askPeerAt(ctx, addr)
	}
}

// askPeerAt asks a host, unless one was asked just now or a question to it is under way. It tells whether
// a question had no answer.
func (g *Gateway) askPeerAt(ctx context.Context, addr string) (failed bool) {
	if !g.mesh.beginAsk(g.Now(), addr) {
		return false
	}
	defer g.mesh.endAsk(addr)
	request := peer.StateRequest{EndpointsFrom: stateFrom, ConfigVersion: g.configVersion()}
	if g.reads.Loaded(fleet.TopicEndpoints) {
		request.EndpointsFrom = g.directory.Offset()
	}
	answer, err := g.mesh.send(ctx, addr, peer.Request{State: &request})
	if err != nil {
		g.mesh.noteSilent(g.Now(), addr)
		g.log.Info("peer did not answer", "peer", addr, "error", err.Error())
		return true
	}
	if answer.State == nil {
		return false
	}
	if answer.State.Config != nil {
		g.takeConfig(*answer.State.Config)
	}
	if len(answer.State.Endpoints) > 0 {
		g.takeEndpoints(fleet.Batch{Entries: answer.State.Endpoints, Next: answer.State.EndpointsNext})
		g.reads.SetLoaded(fleet.TopicEndpoints)
	}
	return false
}

// beginAsk keeps questions to peers apart, and asks none again while its answer is on the way: on
// a slow link, copies of a large configuration would hold one another up until none comes in
// time.
func (m *mesh) beginAsk(now time.Time, addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.asked) < askPause || m.asking[addr] {
		return false
	}
	m.asked = now
	m.asking[addr] = true
	return true
}

func (m *mesh) endAsk(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.asking, addr)
}
