package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/links"
	"github.com/tealvane/tealvane/pkg/upstream"
)

const (
	// sampleTimeout is the time to connect to a sampled endpoint.
	sampleTimeout = 300 * time.Millisecond
	// sampleTTL is how long the result of a sample answers further questions.
	sampleTTL = 300 * time.Millisecond
)

// endpointLinks tracks the links of this host to endpoints. It is safe for concurrent use.
type endpointLinks struct {
	table *links.Table
	peers links.Peers

	mu sync.Mutex
	// sampled is when the last sample ended, sampling is closed when the current one ends; nil if none
	// is in progress.
	sampled  time.Time
	sampling chan struct{}
	// reached is the number of endpoints that the last sample reached.
	reached int
	// lostSince is when the links were found lost, or zero while they work.
	lostSince time.Time
}

func newEndpointLinks() *endpointLinks { return &endpointLinks{table: links.NewTable()} }

// lostFor returns for how long this host's links have been lost.
func (l *endpointLinks) lostFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lostSince.IsZero() {
		return 0
	}
	return now.Sub(l.lostSince)
}

// beginSample returns a channel that is closed when the current sample ends. begun reports whether the
// caller has to take it. If a recent sample still applies, the channel is nil.
func (l *endpointLinks) beginSample(now time.Time) (ended chan struct{}, begun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.sampling != nil:
		return l.sampling, false
	case now.Sub(l.sampled) < sampleTTL:
		return nil, false
	}
	l.sampling = make(chan struct{})
	return l.sampling, true
}

// endSample records the result of a sample and reports whether the links have become lost, or work
// again.
func (l *endpointLinks) endSample(now time.Time, reached, failed int) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed = l.table.RecordSample(now, reached, failed)
	if changed {
		l.lostSince = time.Time{}
		if l.table.Lost() {
			l.lostSince = now
		}
	}
	l.sampled, l.reached = now, reached
	close(l.sampling)
	l.sampling = nil
	return changed
}

// reachedAny reports whether the last sample reached an endpoint.
func (l *endpointLinks) reachedAny() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reached > 0
}

// recordLink records an attempt to connect to an endpoint, or a connection whose data was not acknowledged.
func (g *Gateway) recordLink(id fleet.EndpointID, err error) {
	switch {
	case err == nil:
		g.links.table.RecordConnected(id)
		return
	case errors.Is(err, upstream.ErrConnectSlow):
		g.recordSlowConnect(id)
		return
	}
	g.transport.CloseIdle(id)
	if g.links.table.RecordFailed(g.Now(), id) {
		g.startSample(id)
	}
}

// recordSlowConnect records that connecting to an endpoint takes long.
func (g *Gateway) recordSlowConnect(id fleet.EndpointID) {
	if g.links.table.RecordSlow(g.Now(), id) {
		g.startSample(id)
	}
}

// startSample takes a sample in the background if there are other hosts that could help.
func (g *Gateway) startSample(failed fleet.EndpointID) {
	if g.mesh.hosts() > 1 {
		go g.sampleLinks(context.Background(), failed)
	}
}

// sampleLinks finds out whether this host seems to have lost its links to endpoints. failed is an endpoint
// that could not be reached, or "". It returns at once if a recent sample still applies.
func (g *Gateway) sampleLinks(ctx context.Context, failed fleet.EndpointID) {
	ended, begun := g.links.beginSample(g.Now())
	if !begun {
		if ended != nil {
			select {
			case <-ended:
			case <-ctx.Done():
			}
		}
		return
	}
	reached, unreached := g.connectToSample(failed, links.SampleSize)
	if failed != "" {
		unreached++
	}
	if !g.links.endSample(g.Now(), reached, unreached) {
		return
	}
	msg := "links to endpoints work again"
	if g.links.table.Lost() {
		msg = "links to endpoints lost; requests are sent by way of other hosts"
	}
	g.log.Warn(msg, "reached", reached, "unreached", unreached, "links_down", g.links.table.DownCount())
}

// connectToSample connects to a sample of endpoints other than failed and returns how many were reached and
// how many not.
func (g *Gateway) connectToSample(failed fleet.EndpointID, size int) (reached, unreached int) {
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	sample := links.Sample(g.endpointsInUse(), failed, size)
	results := make(chan error, len(sample))
	for _, e := range sample {
		go func() { results <- g.transport.Check(ctx, e) }()
	}
	for range sample {
		switch err := <-results; {
		case err == nil:
			reached++
		case !errors.Is(err, upstream.ErrPoolExhausted):
			unreached++
		}
	}
	return reached, unreached
}

// endpointsInUse returns the endpoints that take requests.
func (g *Gateway) endpointsInUse() []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, v := range g.directory.Live(g.Now()) {
		if v.TakesRequests() {
			out = append(out, v.Endpoint)
		}
	}
	return out
}

// linksLost finds out whether this host seems to have lost its links to endpoints.
func (g *Gateway) linksLost(ctx context.Context) bool {
	g.sampleLinks(ctx, "")
	return g.links.table.Lost()
}

// checkLinks starts the checks that are due of links that are down or suspect.
func (g *Gateway) checkLinks(ctx context.Context, now time.Time) {
	if g.links.table.ResampleDue(now) {
		g.startSample("")
	}
	if g.links.table.DownCount() == 0 {
		return
	}
	for _, e := range g.links.table.ChecksDue(now, g.endpointsInUse()) {
		go func() {
			defer g.links.table.EndCheck(e.ID)
			// The result is recorded by recordLink.
			_ = g.transport.Check(ctx, e)
		}()
	}
}

// linkMetrics updates the gauges of links to endpoints.
func (g *Gateway) linkMetrics() {
	lost := 0.0
	if g.links.table.Lost() {
		lost = 1
	}
	g.metrics.gauge("endpoint_links_down", float64(g.links.table.DownCount()))
	g.metrics.gauge("endpoint_links_lost", lost)
	g.metrics.gauge("peer_requests_in_progress", float64(g.proxy.Load()))
}
