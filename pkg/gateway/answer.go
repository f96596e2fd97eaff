package gateway

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/peer"
)

// answerPeer answers the messages of other hosts.
func (g *Gateway) answerPeer(r peer.Request) []peer.Response {
	now := g.Now()
	answer := peer.Response{ConfigVersion: g.configVersion()}
	if !r.Known {
		g.lease.UnknownHost(now)
		// A host that the store turned away before its entry was written. It may
		// read what the store would tell it, and say nothing.
		if r.State != nil {
			answer.State = g.state(*r.State)
		}
		return []peer.Response{answer}
	}
	switch {
	case r.Pull != nil:
		g.compareConfig(r.Pull.Demand.Addr, r.Pull.Demand.ConfigVersion)
		answer.Notice = g.answerPull(*r.Pull)
		now = g.Now()
		answer.ConfigVersion = g.configVersion()
	case r.State != nil:
		answer.State = g.state(*r.State)
	}
	claim := g.election.Newest()
	answer.Claim = &claim
	answer.Controlling = g.election.Held() != 0
	answer.HolderHeard = g.election.HeardAgo(now).Milliseconds()
	answer.StoreAge = g.listAge(now).Milliseconds()
	return []peer.Response{answer}
}

func (g *Gateway) configVersion() int64 {
	if c := g.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// compareConfig asks a host that knows a newer configuration for it. A host
// whose read of the store hangs, or that the store turns away, would keep an old
// one in force for seconds; every message between hosts tells the version.
func (g *Gateway) compareConfig(addr string, version int64) {
	if version <= g.configVersion() || addr == "" {
		return
	}
	go func() {
		if g.askPeerAt(context.Background(), addr) {
			g.configMissed.Store(version)
		}
	}()
}

// lacksConfig tells whether another host knows a newer configuration and did not pass it on in time:
// a large one takes the links of hosts that many others ask for seconds. This host reads the
// store then.
func (g *Gateway) lacksConfig() bool { return g.configMissed.Load() > g.configVersion() }

// takeNotice takes in what the controller says, as another host has told it.
func (g *Gateway) takeNotice(now time.Time, n fleet.Notice) {
	if !g.news.fresh(n) || !g.board.Notice(now, n) {
		return
	}
	if n.Token != 0 {
		g.election.Observe(now, orders.Claim{
			Holder: orders.Holder{Host: n.Holder, Incarnation: n.Incarnation, Addr: n.Addr},
			Token:  n.Token,
		})
		g.election.Heard(now.Add(-milliseconds(n.HeardAgo)), n.Token)
		g.heardStamp.Store(&stamp{token: n.Token, at: n.Stamp})
	}
	g.takeListNotice(now, n)
	g.dispatcher.Kick()
	g.children.wake()
}

// takeListNotice takes in what the controller tells of the list of endpoints. Changes
// that came in a notice which was lost are not in this one: a host that lacks what
// came before reads the store itself. Else it would send requests for ten seconds to
// an endpoint that has left.
func (g *Gateway) takeListNotice(now time.Time, n fleet.Notice) {
	if n.StoreBackAgo > 0 {
		g.directory.StoreBack(now.Add(-milliseconds(n.StoreBackAgo)))
	}
	if len(n.ListEntries) > 0 && g.directory.Offset() > n.ListSince {
		g.takeEndpoints(fleet.Batch{Entries: n.ListEntries})
	}
	if n.ListChange >= g.directory.Offset() {
		if !g.listConfirmed() {
			signal(g.listNow)
		}
		return // Else the next answers bring it, or the confirmation ends.
	}
	g.mesh.confirm(now.Add(-milliseconds(n.ListAge)))
	if g.listConfirmed() {
		g.directory.Confirmed()
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
