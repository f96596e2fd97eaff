package gateway

import (
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/occupancy"
	"github.com/tealvane/tealvane/pkg/relay"
)

// sharedOccupancy exchanges the view of the endpoints' occupancy with the other hosts. Its messages
// are parts of demand reports and notices that are sent anyway.
type sharedOccupancy struct {
	local *occupancy.Local
	// sums are the reports of the hosts that pull from this one, publisher the view that this host
	// publishes while it is the controller.
	sums      *occupancy.Sums
	publisher *occupancy.Publisher
}

func newSharedOccupancy(host string) *sharedOccupancy {
	sums := occupancy.NewSums()
	return &sharedOccupancy{local: occupancy.NewLocal(host), sums: sums, publisher: occupancy.NewPublisher(sums)}
}

// ownEndpointLoads returns the report of this host's own requests, or nil if no service is scheduled
// for contention.
func (g *Gateway) ownEndpointLoads(now time.Time) *fleet.EndpointLoads {
	c := g.config.Load()
	if c == nil {
		return nil
	}
	for service := range c.Services {
		if g.contention(service) {
			return g.occupancy.local.Report(now, g.health.InFlight(g.contention))
		}
	}
	return nil
}

// upstreamEndpointLoads returns the report of the hosts that pull from this one and of this host.
func (g *Gateway) upstreamEndpointLoads(now time.Time, own *fleet.EndpointLoads) *fleet.EndpointLoads {
	return occupancy.FitReport(g.occupancy.sums.Report(now, own), g.reportBytes())
}

// reportBytes returns how many bytes of endpoint loads a demand report may carry.
func (g *Gateway) reportBytes() int {
	return int(g.linkBytesPerSecond() * relay.FullDemandInterval.Seconds() / listLinkDivisor)
}

// sentOccupancy is the view last sent to a child.
type sentOccupancy struct {
	version occupancy.Version
	at      time.Time
}

// occupancyFor returns the view for a child that has last received the given one, or nil if there is
// no newer one or the link cannot carry it to all children yet.
func (g *Gateway) occupancyFor(now time.Time, sent sentOccupancy) (*fleet.Occupancy, sentOccupancy) {
	g.publishOccupancy(now)
	v := g.occupancy.local.Current(now)
	if v == nil || v.Version() == sent.version {
		return nil, sent
	}
	o := occupancy.Fit(v.Published(now), g.maxListBytes())
	if now.Sub(sent.at) < g.occupancyInterval(o) {
		return nil, sent
	}
	return &o, sentOccupancy{v.Version(), now}
}

// occupancyInterval returns the least interval between two views to a child, so that views take no
// more of the link than list entries may.
func (g *Gateway) occupancyInterval(o fleet.Occupancy) time.Duration {
	return time.Duration(float64(noticeInterval) * float64(occupancy.Size(o)) / float64(max(1, g.maxListBytes())))
}

// publishOccupancy builds the next view if this host is the controller.
func (g *Gateway) publishOccupancy(now time.Time) {
	token := g.election.HeldToken()
	if token == 0 {
		g.occupancy.publisher.Stop()
		return
	}
	if o, ok := g.occupancy.publisher.View(now, token); ok {
		g.applyOccupancy(now, &o)
	}
}

// applyOccupancy applies a view, which may be nil.
func (g *Gateway) applyOccupancy(now time.Time, o *fleet.Occupancy) {
	if o != nil {
		g.occupancy.local.Apply(now, g.mesh.hosts(), *o)
	}
}

// occupancyMetrics updates the metrics of the view. They keep their last values while there is none,
// except for the age.
func (g *Gateway) occupancyMetrics(now time.Time) {
	v := g.occupancy.local.Newest()
	if v == nil {
		return
	}
	g.metrics.gauge("occupancy_age_seconds", v.Age(now).Seconds())
	g.metrics.gauge("occupancy_endpoints", float64(v.Len()))
}
