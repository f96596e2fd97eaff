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
	"golang.org/x/sys/unix"
)

const (
	// electPeriod is how often a host looks whether it should claim.
	electPeriod = 100 * time.Millisecond
	// secondOpinion bounds the questions to other hosts before a claim, and
	// heardLately is how fresh a sign of the holder's life has to be.
	secondOpinion = 300 * time.Millisecond
	heardLately   = 700 * time.Millisecond
	// maxOpinions is how many other hosts are asked. Where the holder lives, most hosts
	// hear it, and one of eight at random is among these; each host that asked all others
	// would make as many connections as there are hosts, all at the same moment.
	maxOpinions = 8
	// claimTime is about how long a claim takes to be appended and read by others, and
	// maxClaimDelay bounds the pause before one, a quarter of the silence after which a
	// holder is challenged.
	claimTime     = 5 * time.Millisecond
	maxClaimDelay = 300 * time.Millisecond
	// releaseRetry separates two tries of a stopping host to hand its claim on.
	releaseRetry = 400 * time.Millisecond
)

// elect claims when nobody gives orders.
func (g *Gateway) elect(ctx context.Context) {
	every(ctx, electPeriod, func() {
		if g.election.Running(bootTime()) {
			g.log.Warn("host was frozen; orders wait until the store confirms the claim")
		}
		if g.election.Confirming() {
			g.confirmClaim(ctx)
		}
		// A claim must come after this incarnation's entry: others take the holder
		// for dead by an entry of another incarnation.
		if g.leaving.Load() || !g.announced.Load() || !g.election.ShouldClaim(g.Now()) {
			return
		}
		g.challenge(ctx, g.heardElsewhere)
	})
}

// challenge claims, unless another host has heard the holder of the newest claim. It
// challenges only the claim that was the newest when it began: hosts that had waited
// for the others' opinions claimed over a claim that was won meanwhile, and among 78
// hosts orders changed hands six times in four seconds.
func (g *Gateway) challenge(ctx context.Context, heardElsewhere func(context.Context) bool) {
	challenged := g.election.Newest().Token
	end := g.mesh.claimsEnd()
	if !g.election.Vacant() && heardElsewhere(ctx) {
		return
	}
	wait.For(ctx, g.mesh.modesty()+claimDelay(g.mesh.hosts()))
	if ctx.Err() != nil || g.election.Newest().Token != challenged {
		return
	}
	g.claim(ctx, end)
}

// claimDelay is a random pause before a claim, so that most hosts read the first one's
// instead of making one of their own in vain.
func claimDelay(hosts int) time.Duration {
	return rand.N(min(time.Duration(hosts)*claimTime, maxClaimDelay))
}

// heardElsewhere tells whether another host has heard the holder of the newest
// claim lately. If so the holder lives, and only this host does not hear it.
func (g *Gateway) heardElsewhere(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, secondOpinion)
	defer cancel()
	holder := g.election.Newest()
	addrs := g.mesh.some(g.Now(), maxOpinions)
	type sign struct {
		at time.Time
		ok bool
	}
	heard := make(chan sign, len(addrs))
	asked := 0
	for _, addr := range addrs {
		if addr == holder.Holder.Addr {
			continue
		}
		asked++
		go func() {
			answer, err := g.mesh.send(ctx, addr, peer.Request{})
			if err == nil && answer.Claim != nil && answer.Claim.Token > holder.Token {
				g.election.Observe(g.Now(), *answer.Claim)
			}
			ago, ok := witnessed(answer, holder.Token)
			heard <- sign{g.Now().Add(-ago), err == nil && ok}
		}()
	}
	for range asked {
		if s := <-heard; s.ok {
			g.election.Heard(s.at, holder.Token)
			return true
		}
	}
	return false
}

// witnessed tells how long ago another host has heard the holder of a claim, if it
// can witness that. A host that does not know the asker yet answers without its
// claim, and one that knows an older claim speaks of another holder; taken for
// witnesses, they would put the successor of a dead holder off for as long as their
// reads of the store hang.
func witnessed(answer peer.Response, token int64) (ago time.Duration, ok bool) {
	if answer.Claim == nil || answer.Claim.Token < token {
		return 0, false
	}
	ago = time.Duration(answer.HolderHeard) * time.Millisecond
	return ago, ago < heardLately
}

// bootTime is the clock that goes on while the host is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without that clock a suspension shows only in the steady one, which
		// stands still meanwhile; the fencing tokens remain.
		return 0
	}
	return time.Duration(ts.Nano())
}

// claim appends a claim where the topic ended when the host decided to.
func (g *Gateway) claim(ctx context.Context, end int64) {
	offset, err := g.putClaim(ctx, g.self, end)
	if err != nil {
		g.log.Info("claim failed", "error", err.Error())
		if errors.Is(err, fleet.ErrStoreConflict) {
			// Another claim came first, and the read that should have told hangs.
			g.confirmClaim(ctx)
		}
		return
	}
	g.election.Won(g.Now(), token(offset))
	g.log.Info("claim won", "token", token(offset))
	signal(g.noticeNow)
}

// putClaim appends a claim at an end of the topic that this host has read: if another
// claim came in between, it fails.
func (g *Gateway) putClaim(ctx context.Context, h orders.Holder, end int64) (int64, error) {
	value, err := record.Marshal(h)
	if err != nil {
		return 0, err
	}
	return g.store.Put(ctx, fleet.TopicClaims, claimKey, value, end)
}

// claimKey is the only key of the claims topic; the newest claim stays.
const claimKey = "controller"

// confirmClaim reads the newest claim now: after a freeze, or when this host's
// own has met another.
func (g *Gateway) confirmClaim(ctx context.Context) {
	batch, err := g.store.Newest(ctx, fleet.TopicClaims)
	if err != nil {
		g.log.Info("claim is not confirmed yet", "error", err.Error())
		return
	}
	for _, e := range batch.Entries {
		g.takeClaim(e)
	}
	g.mesh.setClaimsNext(batch.Next)
	g.election.Caught()
}

// releaseClaim hands the claim on when the host stops. While the store does not
// answer nobody can claim; the host then goes on to give orders until its end,
// or no cold model would be loaded until the store is back.
func (g *Gateway) releaseClaim(ctx context.Context, end time.Time) {
	released := g.self
	released.Released = true
	for ctx.Err() == nil && g.Now().Before(end) {
		held := g.election.Held()
		if held == 0 {
			return
		}
		if _, err := g.putClaim(ctx, released, g.mesh.claimsEnd()); err == nil {
			g.election.Lost(held)
			g.log.Info("claim handed on", "token", held)
			return
		}
		wait.For(ctx, releaseRetry)
	}
	g.log.Info("claim is not handed on; it lapses", "token", g.election.Held())
}
