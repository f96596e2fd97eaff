package gateway

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/signals"
	"github.com/tealvane/tealvane/pkg/slotshare"
)

// slotLimit returns what is known of a service whose endpoints are brittle.
func (g *Gateway) slotLimit(service string) (slotshare.Limit, bool) {
	n, since, ok := g.health.Brittle.Find(service)
	return slotshare.Limit{MaxRejections: n, Since: since}, ok
}

// maxRejections returns how many requests an endpoint of a service can reject in a second without crashing.
func (g *Gateway) maxRejections(service string) float64 {
	n, _, _ := g.health.Brittle.Find(service)
	return n
}

// observeSignals applies the signals in the response to an order or a question of this host.
func (g *Gateway) observeSignals(e fleet.Endpoint, s signals.Response, sent time.Time) {
	g.health.Brittle.Observe(g.Now(), e.Service, s.Brittle, sent)
}

// brittleChanged announces that the endpoints of a service have become brittle, or no longer are.
func (g *Gateway) brittleChanged(b fleet.BrittleService) {
	g.logBrittle(b, "response")
	g.brittle.peerBehind.Store(true)
	g.requestReport()
	g.children.wake()
}

// mergeBrittle merges what another host knows of brittle endpoints, and announces what is new.
func (g *Gateway) mergeBrittle(now time.Time, received []fleet.BrittleService) {
	changed := g.health.Brittle.Merge(now, received)
	for _, b := range changed {
		g.logBrittle(b, "host")
	}
	if len(changed) > 0 {
		g.brittle.peerBehind.Store(true)
		g.requestReport()
		g.children.wake()
	}
}

func (g *Gateway) logBrittle(b fleet.BrittleService, from string) {
	g.log.Info("brittleness of endpoints changed", "service", b.Service, "brittle", b.Brittle, "max_rejections", b.MaxRejections, "version", b.Version, "from", from)
}

// probeSlotOwners probes the hosts that seem to be down and would own slots of brittle endpoints.
func (g *Gateway) probeSlotOwners(ctx context.Context) {
	for _, host := range g.slots.ProbesDue(g.health.Brittle.Count() > 0) {
		go g.endpointTransport.Probe(ctx, host)
	}
}

// slotMetrics updates the gauges of the slots of brittle endpoints.
func (g *Gateway) slotMetrics() {
	u := g.slots.Use()
	g.metrics.gauge("brittle_services", float64(g.health.Brittle.Count()))
	g.metrics.gauge("brittle_slots_owned", float64(u.Slots))
	g.metrics.gauge("brittle_slots_in_use", float64(u.InUse))
	g.metrics.gauge("brittle_slots_waited_for", float64(u.Waiting))
	g.metrics.gauge("endpoint_rejections_last_second", float64(u.Rejections))
}
