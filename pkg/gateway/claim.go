package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/record"
)

const (
	// electionInterval is how often a host checks whether it should claim.
	electionInterval = 100 * time.Millisecond
	// holderCheckTimeout bounds the requests to other hosts before a claim. A holder counts as
	// alive if another host has received its heartbeat within maxHolderAge.
	holderCheckTimeout = 300 * time.Millisecond
	maxHolderAge       = 700 * time.Millisecond
	// maxHolderChecks is how many other hosts are asked. While the holder is alive most hosts
	// receive its heartbeats, so a small random sample is enough; asking all hosts would open a
	// connection from each host to every other one at the same time.
	maxHolderChecks = 8
	// firstClaimDelay is how long no host must have been added before the first claim of all, if
	// hosts are many. Until then they do not know the claimant and would replace it. It exceeds the
	// interval between two reads of the hosts.
	firstClaimDelay = time.Second
	// claimRenewInterval is the minimum interval between two attempts to write a claim again.
	claimRenewInterval = 500 * time.Millisecond
)

// elect claims whenever there is no controller.
func (g *Gateway) elect(ctx context.Context) {
	var renewedAt time.Time
	wait.Every(ctx, electionInterval, func() {
		if g.election.CheckSuspend(g.bootTime()) {
			g.log.Warn("host was suspended; orders are paused until the store confirms the claim")
		}
		if g.election.AwaitingConfirmation() {
			g.confirmClaim(ctx)
		}
		if g.election.ShouldReread(g.Now(), rand.Float64()) {
			g.confirmClaim(ctx)
		}
		if g.claimPredatesRestore() && g.Now().Sub(renewedAt) > claimRenewInterval {
			renewedAt = g.Now()
			g.renewClaim(ctx)
		}
		// The host entry must precede the claim: others consider a holder failed if its host has
		// an entry of another incarnation.
		g.releaseIfCutOff(ctx)
		if g.stopping.Load() || !g.announced.Load() || g.hostsArrive() || !g.election.ShouldClaim(g.Now()) {
			return
		}
		if g.mayClaim(ctx) {
			g.challenge(ctx, g.holderAliveAtPeer)
		}
	})
}

// hostsArrive reports whether hosts start for the first time, so that there is no claim yet, and this
// host does not know the others or, if they are many, more of them are still being added.
func (g *Gateway) hostsArrive() bool {
	if g.election.Newest().Token != 0 {
		return false
	}
	return !g.storeReads.Loaded(fleet.TopicHosts) || g.mesh.hosts() > directReaders && g.mesh.sinceAdded(g.Now()) < firstClaimDelay
}

// claimPredatesRestore reports whether this host holds a claim that the store may have lost.
func (g *Gateway) claimPredatesRestore() bool {
	held := g.election.HeldToken()
	era, _ := g.era.current()
	return held != 0 && claimPosition(held).Era() < era
}

// renewClaim claims again after a restore of the store. A claim that the older copy holds counts as a
// new one with a greater token; if it is another host's, that host becomes the controller.
func (g *Gateway) renewClaim(ctx context.Context) {
	g.confirmClaim(ctx)
	if end := g.mesh.claimsOffset(); g.claimPredatesRestore() && end.Era() > claimPosition(g.election.HeldToken()).Era() {
		g.claim(ctx, end)
	}
}

// challenge claims, unless another host has a recent heartbeat from the holder of the newest
// claim. It gives up if a newer claim appears meanwhile, so that a delayed host does not replace
// a controller that was just elected.
func (g *Gateway) challenge(ctx context.Context, holderAlive func(context.Context) bool) {
	challenged := g.election.Newest()
	end := g.mesh.claimsOffset()
	reads := g.mesh.isRelay()
	if reads && !g.election.Vacant() && holderAlive(ctx) {
		return
	}
	delay := g.mesh.weakHostDelay() + g.election.TurnDelay(g.Now()) + orders.ClaimDelay(g.mesh.claimRank(challenged.Holder.Host), reads, g.mesh.hosts(), rand.Float64())
	if !wait.For(ctx, delay) || g.election.Newest().Token != challenged.Token || g.election.SinceHeartbeat(g.Now()) < delay {
		return
	}
	if !reads && holderAlive(ctx) {
		return // Other hosts learned of the holder before this one.
	}
	if !g.yieldsToLinkedPeer(ctx) {
		g.claim(ctx, end)
	}
}

// holderAliveAtPeer reports whether another host has a recent heartbeat of the holder of the
// newest claim. If so the holder is alive, and only this host cannot reach it.
func (g *Gateway) holderAliveAtPeer(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, holderCheckTimeout)
	defer cancel()
	holder := g.election.Newest()
	addrs := g.mesh.sample(g.Now(), maxHolderChecks)
	type observation struct {
		at time.Time
		ok bool
	}
	alive := make(chan observation, len(addrs))
	checks := 0
	for _, addr := range addrs {
		if addr == holder.Holder.Addr {
			continue
		}
		checks++
		go func() {
			response, err := g.mesh.send(ctx, addr, peer.Request{})
			if err == nil && response.Claim != nil && response.Claim.Supersedes(holder) {
				g.election.Observe(g.Now(), *response.Claim)
			}
			ago, ok := response.HolderHeartbeat(holder.Token, maxHolderAge)
			alive <- observation{g.Now().Add(-ago), err == nil && ok}
		}()
	}
	for range checks {
		if o := <-alive; o.ok {
			g.election.RecordHeartbeat(o.at, holder.Token)
			return true
		}
	}
	return false
}

// claim appends a claim at end, the offset up to which this host had read the topic when it
// decided to claim.
func (g *Gateway) claim(ctx context.Context, end fleet.Position) {
	offset, err := g.putClaim(ctx, g.election.NextHolder(g.Now()), end)
	if err != nil {
		g.log.Info("claim failed", "error", err.Error())
		if errors.Is(err, fleet.ErrStoreConflict) {
			// Another host claimed first, and this host's read of the topic has not returned it
			// yet.
			g.election.RecordConflict(g.Now())
		}
		return
	}
	g.election.RecordClaimAppended(g.Now(), claimToken(offset))
	g.log.Info("claim won", "token", claimToken(offset))
	trySend(g.stepNow)
}

// putClaim appends a claim at offset end of the topic. It fails if another claim was appended
// in between.
func (g *Gateway) putClaim(ctx context.Context, h orders.Holder, end fleet.Position) (fleet.Position, error) {
	value, err := record.Marshal(h)
	if err != nil {
		return 0, err
	}
	return g.store.Put(ctx, fleet.TopicClaims, claimKey, value, end)
}

// claimKey is the only key of the claims topic, which keeps the newest claim.
const claimKey = "controller"

// confirmClaim reads the newest claim from the store, after this host was suspended or its own
// claim conflicted with another.
func (g *Gateway) confirmClaim(ctx context.Context) {
	batch, err := g.store.Newest(ctx, fleet.TopicClaims)
	if err != nil {
		g.log.Info("confirming the claim failed", "error", err.Error())
		return
	}
	for _, e := range batch.Entries {
		g.applyClaim(e)
	}
	g.mesh.advanceClaimsOffset(batch.Next)
	g.election.RecordCaughtUp()
}
