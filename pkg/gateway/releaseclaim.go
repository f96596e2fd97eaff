package gateway

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
)

const (
	// releaseRetryDelay is the delay between two attempts to release the claim on shutdown.
	releaseRetryDelay = 400 * time.Millisecond
	// maxReleaseStoreAge is the age of the controller's last read of the store from which on it does not
	// try to release the claim. It covers a lost read.
	maxReleaseStoreAge = 2 * controllerListPollInterval
)

// releaseClaim releases the claim on shutdown so that another host can claim at once. While the
// store is unavailable nobody can claim; this host then remains the controller until it stops.
func (g *Gateway) releaseClaim(ctx context.Context, end time.Time) {
	for ctx.Err() == nil && g.Now().Before(end) {
		held := g.election.HeldToken()
		if held == 0 {
			return
		}
		if g.readAge(g.Now(), fleet.TopicEndpoints) < maxReleaseStoreAge {
			g.tryReleaseClaim(ctx, held)
		}
		wait.For(ctx, releaseRetryDelay)
	}
	g.log.Info("claim not released; it expires", "token", g.election.HeldToken())
}

// tryReleaseClaim releases the claim with a token.
func (g *Gateway) tryReleaseClaim(ctx context.Context, held int64) {
	outcome, err := g.controller.Release(ctx, held, func(ctx context.Context, released orders.Holder) error {
		_, err := g.putClaim(ctx, released, fleet.Position(held)) // right after the held claim
		return err
	})
	g.metrics.count("claim_releases", map[string]string{"outcome": string(outcome)})
	if outcome == orders.Released {
		g.log.Info("claim released", "token", held)
		return
	}
	g.log.Warn("claim not released", "token", held, "given_up", outcome == orders.ReleaseUnknown, "error", err)
}
