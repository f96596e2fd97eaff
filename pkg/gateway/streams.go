package gateway

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/pkg/follow"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/streamorigin"
	"github.com/tealvane/tealvane/pkg/streamversions"
)

// newStreamVersions returns what knows which software versions began streams.
func (g *Gateway) newStreamVersions(store *follow.RateLimitedStore) *streamversions.Directory {
	d := streamversions.New()
	d.Now, d.Config, d.Count = g.Now, g.config.Load, g.metrics.add
	d.Era = func() int64 { return g.directory.Offset().Era() }
	d.Locator, d.Store, d.StreamStore, d.Log = g.locator, store, store.ForStreams(), g.log
	d.Hosts = func() (streamorigin.Host, []streamorigin.Host) {
		self, others := g.mesh.member, []streamorigin.Host(nil)
		for _, m := range g.mesh.others() {
			others = append(others, streamorigin.Host{Name: m.Name, Addr: m.Addr, Zone: m.Zone})
		}
		return streamorigin.Host{Name: self.Name, Zone: self.Zone}, others
	}
	d.HostEntries = func() int64 { return int64(g.cache.HostsOffset()) }
	d.Send = func(ctx context.Context, addr string, r peer.Request) (peer.Response, error) {
		return g.mesh.send(ctx, addr, r)
	}
	d.Isolated = g.isolated
	d.Controlling = func() bool { return g.election.HeldToken() != 0 }
	return d
}

// isolated reports whether this host neither reads the list of endpoints nor hears of its changes.
func (g *Gateway) isolated(now time.Time) bool {
	return g.listViewAge(now) > streamorigin.TrustTime && g.notices.ViewAge(now) > streamorigin.TrustTime && g.election.HeldToken() == 0
}
