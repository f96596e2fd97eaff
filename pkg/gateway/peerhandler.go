package gateway

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/peer"
)

// handlePeer responds to a request from another host.
func (g *Gateway) handlePeer(r peer.Request) []peer.Response {
	now := g.Now()
	response := peer.Response{ConfigVersion: g.configVersion()}
	if !r.Known {
		g.lease.RecordUnknownHost(now)
		// The store has rejected this host, so its entry was never written. It may read the
		// shared state, but nothing that it reports is used.
		if r.State != nil {
			return withState(response, g.respondToStateRequest(*r.State))
		}
		return []peer.Response{response}
	}
	var state []*peer.StateResponse
	switch {
	case r.Pull != nil:
		g.fetchNewerConfig(r.Pull.Demand.Addr, r.Pull.Demand.ConfigVersion)
		response.Notice = g.respondToPull(*r.Pull)
		now = g.Now()
		response.ConfigVersion = g.configVersion()
	case r.State != nil:
		state = g.respondToStateRequest(*r.State)
	case r.Check != nil:
		response.Endpoint = g.respondToCheck(*r.Check)
	case len(r.Reach) > 0:
		reach := g.prober.Answer(r.Reach)
		response.Reach = &reach
	case r.StreamLookup != nil:
		response.StreamLookup = g.streams.Respond(*r.StreamLookup)
	case len(r.StreamStarts) > 0:
		g.streams.Add(r.StreamStarts, r.WriteStreams)
	}
	response.LinksLost = g.links.Table.Lost()
	claim := g.election.NewestToSend(now)
	response.Claim = &claim
	response.Controlling = g.election.HeldToken() != 0
	response.HolderHeartbeatAge = g.election.SinceHeartbeat(now).Milliseconds()
	response.StoreAge = g.readAge(now, fleet.TopicEndpoints).Milliseconds()
	return withState(response, state)
}

// withState returns a response followed by those that carry the rest of the state.
func withState(first peer.Response, state []*peer.StateResponse) []peer.Response {
	out := []peer.Response{first}
	for i, s := range state {
		if i == 0 {
			out[0].State = s
			continue
		}
		out = append(out, peer.Response{State: s})
	}
	return out
}

func (g *Gateway) configVersion() int64 {
	if c := g.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// fetchNewerConfig fetches the configuration from the host at addr if version is newer than the
// one in force. Every message between hosts carries the version, so that a host whose store
// reads hang does not keep an outdated configuration.
func (g *Gateway) fetchNewerConfig(addr string, version int64) {
	if version <= g.configVersion() || addr == "" {
		return
	}
	go func() {
		if g.fetchStateFrom(context.Background(), addr) {
			g.missedConfigVersion.Store(version)
		}
	}()
}

// missedNewerConfig reports whether another host has a newer configuration but failed to send
// it in time, as happens with large configurations on slow links. This host then reads the
// store.
func (g *Gateway) missedNewerConfig() bool { return g.missedConfigVersion.Load() > g.configVersion() }

// applyNotice applies a notice of the controller that another host has sent.
func (g *Gateway) applyNotice(now time.Time, n fleet.Notice) {
	if !g.notices.Accept(n) || !g.locator.ApplyNotice(now, n) {
		return
	}
	if n.Token != 0 {
		g.election.Observe(now, orders.Claim{
			Holder: orders.Holder{Host: n.Holder, Incarnation: n.Incarnation, Addr: n.Addr},
			Token:  n.Token,
		})
		g.election.RecordHeartbeat(now.Add(-milliseconds(n.HeartbeatAge)), n.Token)
		g.lastStamp.Store(&stamp{token: n.Token, at: n.Stamp})
	}
	g.applyListNotice(now, n)
	g.dispatcher.DispatchWaiting()
	g.children.wake()
}

// applyListNotice applies the changes to the list of endpoints in a notice. The notice does not
// repeat changes from earlier, lost notices: a host that is missing earlier changes reads the
// store instead, so that it does not keep sending requests to a draining or removed endpoint.
func (g *Gateway) applyListNotice(now time.Time, n fleet.Notice) {
	// Entries that a restore has lost may return only for a limited time after it.
	var restored time.Time
	if n.StoreRestoredAgo > 0 {
		restored = now.Add(-milliseconds(n.StoreRestoredAgo))
		g.directory.ObserveOutageEnd(restored)
	}
	if n.StoreEra > 0 {
		g.observeEra(restored, n.StoreEra)
	}
	if len(n.ListEntries) > 0 && g.directory.Offset() > n.ListSince {
		g.applyEndpoints(fleet.Batch{Entries: n.ListEntries, Next: n.ListChange + 1})
	}
	if era, _ := g.era.current(); n.StoreEra < era {
		return // The sender does not know of the restore that this host's list may come from.
	}
	if n.ListChange >= g.directory.Offset() {
		if !g.listConfirmed() {
			g.requestListChanges(now, n.ListChange)
		}
		return // The next notices carry the change, or the confirmation expires.
	}
	readAt := now.Add(-milliseconds(n.ListAge))
	g.mesh.confirmList(readAt)
	if g.listConfirmed() {
		g.directory.MarkStoreAvailable(readAt)
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
