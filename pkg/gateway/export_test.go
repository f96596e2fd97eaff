package gateway

import (
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// ReadinessAddr returns the address of the readiness endpoint.
func (g *Gateway) ReadinessAddr() string { return g.readinessListener.Addr().String() }

// IsController reports whether the host holds the claim.
func (g *Gateway) IsController() bool { return g.election.HeldToken() != 0 }

// Peers returns the number of other known hosts.
func (g *Gateway) Peers() int { return g.mesh.hosts() - 1 }

// Kill simulates a crash of the host as seen by other hosts and clients.
func (g *Gateway) Kill() {
	_ = g.mesh.node.Close()
	_ = g.clientListener.Close()
	g.stopping.Store(true)
}

// StoreUnavailable reports whether the host has noticed that the store does not respond.
func (g *Gateway) StoreUnavailable() bool {
	unavailable, _ := g.storeReads.ListUnavailable()
	return unavailable
}

// ListLoaded reports whether the list of endpoints is known.
func (g *Gateway) ListLoaded() bool { return g.storeReads.Loaded(fleet.TopicEndpoints) }

// OrdersAllowed reports whether the host may issue orders.
func (g *Gateway) OrdersAllowed() bool { return g.ordersAllowed() }

// DisconnectPeers disconnects the host from the other hosts, but not from the store and the
// endpoints.
func (g *Gateway) DisconnectPeers() { _ = g.mesh.node.Close() }

// ApplyConfig applies a record of the configuration topic and returns the version in force
// afterwards.
func (g *Gateway) ApplyConfig(e fleet.Entry) int64 {
	g.applyConfig(e)
	return g.configVersion()
}

// ApplyNotice applies a notice as if received from another host.
func (g *Gateway) ApplyNotice(n fleet.Notice) { g.applyNotice(g.Now(), n) }

// ControllerAddr returns the address of the controller known to the host.
func (g *Gateway) ControllerAddr() string { return g.election.Newest().Holder.Addr }

// ListAge returns the time since the store last answered a read of the list of endpoints.
func (g *Gateway) ListAge() time.Duration { return g.readAge(g.Now(), fleet.TopicEndpoints) }

// ListConfirmed reports whether the controller confirms this host's list of endpoints.
func (g *Gateway) ListConfirmed() bool { return g.listConfirmed() }

// ListOffset returns the offset up to which the host knows the list of endpoints.
func (g *Gateway) ListOffset() fleet.Position { return g.directory.Offset() }

// LiveEndpoints returns the number of endpoints that the host considers alive.
func (g *Gateway) LiveEndpoints() int { return len(g.directory.Live(g.Now())) }

// UpdateAge returns the time since the host last received an update.
func (g *Gateway) UpdateAge() time.Duration { return g.notices.Age(g.Now()) }

// BlockCount returns the number of requests that the host blocks.
func (g *Gateway) BlockCount() int { return g.guard.Blocklist.Count() }

// UpdatedDuringStartup reports whether the host received its first update well within the
// startup grace period.
func (g *Gateway) UpdatedDuringStartup() bool {
	first := g.notices.FirstResponse()
	return !first.IsZero() && first.Sub(g.startedAt) < startupGracePeriod*4/5
}

// Levels returns the levels in force, or nil if none are known.
func (g *Gateway) Levels() *fleet.Levels { return g.levels.Current(g.Now()) }

// DrainingOrGone reports whether the host considers an endpoint draining or gone.
func (g *Gateway) DrainingOrGone(id fleet.EndpointID) bool { return g.directory.DrainingOrGone(id) }

// NewestToken returns the token of the newest claim known to the host.
func (g *Gateway) NewestToken() int64 { return g.election.Newest().Token }

// ConfigVersion returns the version of the configuration in force.
func (g *Gateway) ConfigVersion() int64 { return g.configVersion() }

// CrashesSeen returns the number of crashes that the host knows of.
func (g *Gateway) CrashesSeen() int {
	crashes, _ := g.guard.CrashLog.Since(g.Now(), 0, maxCrashesPerPull)
	return len(crashes)
}

// LinksLost reports whether the host has found that its links to endpoints are lost.
func (g *Gateway) LinksLost() bool { return g.links.Table.Lost() }

// SendingForPeers returns the number of requests of other hosts in progress.
func (g *Gateway) SendingForPeers() int { return g.proxy.Load() }

// PeerAddr returns the address for requests of other hosts.
func (g *Gateway) PeerAddr() string { return g.self.Addr }

// KnowsStream reports whether the host remembers where the stream of an attempt began.
func (g *Gateway) KnowsStream(attempt string) bool {
	return g.streams.Knows(attempt)
}

// Isolated reports whether the host neither reads the list of endpoints nor hears of its changes.
func (g *Gateway) Isolated() bool { return g.isolated(g.Now()) }

// SlotsLimited reports whether the host takes the endpoints of a service for brittle.
func (g *Gateway) SlotsLimited(service string) bool { return g.slots.Limited(service) }
