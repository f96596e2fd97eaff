package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/follow"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/readbudget"
	"github.com/tealvane/tealvane/pkg/record"
)

const (
	// hostBatchDelay is how long host entries are collected before they are read, which is
	// about how long hosts that are started together take to write them. hostBatchDelayPerHost
	// is added for each known host, to limit wakeups when many hosts start one after the other.
	hostBatchDelay        = 300 * time.Millisecond
	hostBatchDelayPerHost = 3 * time.Millisecond
	// hostRewriteDelayPerHost, times the number of hosts, bounds the random delay before a host
	// writes its entry again after a restore of the store.
	hostRewriteDelayPerHost = 5 * time.Millisecond
	// storeRetryDelay is the delay after a failed write. It doubles with each further failure up
	// to maxStoreRetryDelay, unless the connection was lost (see readbudget.Retry).
	storeRetryDelay    = 250 * time.Millisecond
	maxStoreRetryDelay = 2 * time.Second
)

// hostEntry is the entry that a host writes to the store when it starts.
type hostEntry struct {
	Addr        string           `cbor:"1,keyasint"`
	Incarnation string           `cbor:"2,keyasint"`
	Fingerprint peer.Fingerprint `cbor:"3,keyasint"`
	Zone        string           `cbor:"4,keyasint,omitempty"`
	// Cores is the host's CPU capacity in cores, or 0 if not configured.
	Cores float64 `cbor:"5,keyasint,omitempty"`

	// at is the position of the entry in the store.
	at fleet.Position
}

// outdated reports whether the entry may be one that the older copy of a restored store holds from
// before known. Incarnations are ordered by their start time, but a host's clock may be set back.
func (h hostEntry) outdated(known hostEntry) bool {
	return h.at.MayPrecede(known.at) && h.Incarnation < known.Incarnation
}

// announce writes this host's entry, which holds its address and key, and writes it again after each
// restore of the store.
func (g *Gateway) announce(ctx context.Context) {
	value, err := record.Marshal(hostEntry{
		Addr:        g.self.Addr,
		Incarnation: g.self.Incarnation,
		Fingerprint: g.mesh.fingerprint,
		Zone:        g.settings.Zone,
		Cores:       g.settings.cores(),
	})
	if err != nil {
		g.log.Error("encoding host entry failed", "error", err)
		return
	}
	retry := readbudget.Retry{First: storeRetryDelay, Slow: follow.SlowRetryDelay, Max: maxStoreRetryDelay, Quick: follow.QuickRetries}
	for ctx.Err() == nil {
		at, err := g.appendEntry(ctx, value)
		if err != nil {
			g.startup.recordHostsError(err)
			if !errors.Is(err, fleet.ErrStoreRejected) {
				g.startup.recordAttempt() // A rejected append waits behind those of many hosts.
			}
			wait.For(ctx, retry.Next(err))
			known := fleet.Position(g.startup.ownEntry.Load() - 1)
			if era, _ := g.era.current(); known < 0 || known.Era() < era {
				continue
			}
			at = known // The entry was written although the call failed.
		}
		retry.Reset()
		g.recordOwnEntry(at)
		g.startup.recordAttempt()
		if g.awaitRestore(ctx, at.Era()) {
			wait.For(ctx, rand.N(time.Duration(g.mesh.hosts())*hostRewriteDelayPerHost))
		}
	}
}

func (g *Gateway) followHosts(ctx context.Context) {
	apply := func(b fleet.Batch) {
		g.applyHosts(b)
	}
	f := g.follower(fleet.TopicHosts, apply, apply)
	f.Start = g.awaitRelayedHosts
	f.NeededToStart = true
	f.BatchDelay = g.scaledHostBatchDelay
	// Hosts that start together would find few entries if they read at once, and would have to
	// read again.
	wait.For(ctx, hostBatchDelay)
	// A starting host must know its relay's new key before it can receive updates from it. A
	// claim alone is not sufficient here.
	f.Relayed = func() bool {
		now := g.Now()
		starting := now.Sub(g.startedAt) <= g.undecidedGrace()
		return !g.mesh.isRelay() && (g.notices.Recent(now) || starting && (g.startup.relayedStart() || g.mesh.membershipStable(now)) && g.expectsUpdates())
	}
	f.Run(ctx)
}

// scaledHostBatchDelay returns how long host entries are collected before they are read. Relays
// read them sooner, since they must know a host before they serve its pulls.
func (g *Gateway) scaledHostBatchDelay() time.Duration {
	if g.mesh.isRelay() {
		return hostBatchDelay
	}
	return hostBatchDelay + time.Duration(g.mesh.hosts())*hostBatchDelayPerHost
}

// applyHosts applies host entries that are complete up to the batch's next offset.
func (g *Gateway) applyHosts(b fleet.Batch) {
	for _, e := range b.Entries {
		g.applyHost(e)
	}
	g.cache.AddHosts(b)
	g.budget.SetHosts(g.sharingHosts())
	g.health.Signals.SetHosts(g.self.Host, g.mesh.names())
	g.slots.SetHosts(g.self.Host, g.mesh.names())
	g.children.wake()
}

func (g *Gateway) applyHost(e fleet.Entry) {
	var h hostEntry
	if err := record.Unmarshal(e.Value, &h); err != nil {
		g.log.Error("decoding host entry failed; entry ignored", "peer", e.Key, "error", err)
		return
	}
	h.at = e.Offset
	name := hostName(e.Key)
	if name == g.self.Host && h.Incarnation == g.self.Incarnation {
		g.recordOwnEntry(e.Offset)
	}
	if known, ok := g.mesh.peer(name); ok && h.outdated(known) {
		g.log.Info("host entry of a restored store ignored", "peer", name, "offset", e.Offset, "known_offset", known.at)
		return
	}
	g.mesh.updatePeer(name, h)
	g.election.RecordRestart(g.Now(), name, h.Incarnation)
}
