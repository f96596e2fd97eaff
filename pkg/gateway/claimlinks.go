package gateway

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/pkg/links"
	"github.com/tealvane/tealvane/pkg/peer"
)

const (
	// lossConfirmTime is how long a controller's links have to be lost before it gives up the claim. It
	// covers two more samples.
	lossConfirmTime = 1100 * time.Millisecond
	// claimSampleSize is the number of endpoints that a host tries to reach before it claims. A claim of a
	// host that reaches only some of them costs more than a few connections.
	claimSampleSize = 2 * links.SampleSize
	// linkedPeerTTL is how long another host's word that it has links counts.
	linkedPeerTTL = time.Second
	// maxLinkQueries is the number of hosts that are asked at once whether they have links, and
	// linkQueryTimeout bounds their answers.
	maxLinkQueries   = 8
	linkQueryTimeout = 300 * time.Millisecond
)

// peerHasLinks reports whether another host has shown recently, or says now, that it has links to
// endpoints, and otherwise whether all hosts that were asked have answered.
func (g *Gateway) peerHasLinks(ctx context.Context) (linked, allAnswered bool) {
	now := g.Now()
	if g.links.Peers.LinkedWithin(now, linkedPeerTTL) || g.helpers.HelpedWithin(now, linkedPeerTTL) {
		return true, true
	}
	ctx, cancel := context.WithTimeout(ctx, linkQueryTimeout)
	defer cancel()
	addrs := g.mesh.sampleWithUnreachable(now, maxLinkQueries)
	linked, allAnswered = links.AskAny(addrs, func(addr string) (bool, error) {
		response, err := g.mesh.send(ctx, addr, peer.Request{})
		return err == nil && response.Claim != nil && !response.LinksLost, err
	})
	if linked {
		g.links.Peers.RecordLinked(g.Now())
	}
	return linked, allAnswered
}

// releaseIfCutOff releases the claim if this host is the controller and has lost its links to endpoints
// while another host has some, so that such a host can claim at once.
func (g *Gateway) releaseIfCutOff(ctx context.Context) {
	held := g.election.HeldToken()
	if held == 0 || g.links.LostFor(g.Now()) < lossConfirmTime {
		return
	}
	if linked, _ := g.peerHasLinks(ctx); !linked {
		return
	}
	g.log.Warn("controller has lost its links to endpoints; releasing the claim", "token", held)
	g.tryReleaseClaim(ctx, held)
}

// mayClaim reports whether this host could control endpoints: it has links to most of them, or no other host
// has.
func (g *Gateway) mayClaim(ctx context.Context) bool {
	if !g.settings.Endpoints.ViaPeers || g.mesh.hosts() == 1 {
		return true
	}
	if reached, unreached := g.prober.Reach(claimSampleSize); reached >= unreached {
		return true
	}
	linked, allAnswered := g.peerHasLinks(ctx)
	return !linked && g.links.Peers.NoneLinked(g.Now(), allAnswered)
}

// yieldsToLinkedPeer reports whether this host has lost its links while another one says now that it has some. A
// host without links may have decided to claim when that one did not answer.
func (g *Gateway) yieldsToLinkedPeer(ctx context.Context) bool {
	if !g.links.Table.Lost() {
		return false
	}
	linked, _ := g.peerHasLinks(ctx)
	return linked
}
