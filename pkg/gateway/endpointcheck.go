package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
)

const (
	// endpointCheckTimeout bounds a check of an endpoint for another host.
	endpointCheckTimeout = 400 * time.Millisecond
	// maxEndpointChecks is the number of other hosts that are asked about an endpoint.
	maxEndpointChecks = 4
)

// errEndpointUnknown means that neither this host nor others could find out whether an endpoint has
// terminated.
var errEndpointUnknown = errors.New("this host seems to have lost its links to endpoints and no other host knows")

// terminated reports whether an endpoint has terminated. A host that seems to have lost its links asks
// others, since a refused connection then says nothing about the endpoint.
func (g *Gateway) terminated(ctx context.Context, e fleet.Endpoint) (bool, error) {
	terminated, err := g.endpoints.Terminated(ctx, e)
	if err != nil || !terminated || !g.settings.Endpoints.ViaPeers || g.mesh.hosts() == 1 || !g.linksLost(ctx) {
		return terminated, err
	}
	for _, addr := range g.mesh.sample(g.Now(), maxEndpointChecks) {
		response, err := g.mesh.send(ctx, addr, peer.Request{Check: &peer.EndpointCheck{Endpoint: e.ID}})
		if err == nil && response.Endpoint != nil && response.Endpoint.Known {
			return response.Endpoint.Terminated, nil
		}
	}
	if g.links.ReachedAny() {
		return terminated, nil // Some links work, and most endpoints may have terminated.
	}
	return false, errEndpointUnknown
}

// respondToCheck finds out for another host whether an endpoint has terminated.
func (g *Gateway) respondToCheck(c peer.EndpointCheck) *peer.EndpointState {
	ctx, cancel := context.WithTimeout(context.Background(), endpointCheckTimeout)
	defer cancel()
	e, ok := g.directory.InUse(g.Now(), c.Endpoint)
	if !ok {
		return &peer.EndpointState{}
	}
	terminated, err := g.endpoints.Terminated(ctx, e)
	if err != nil || terminated && g.linksLost(ctx) {
		return &peer.EndpointState{}
	}
	return &peer.EndpointState{Known: true, Terminated: terminated}
}
