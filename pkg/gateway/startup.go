package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/readbudget"
	"github.com/tealvane/tealvane/pkg/record"
)

const (
	// directReaders is the number of hosts up to which all read the whole state from the store
	// when they start. With more hosts, those that are no relays learn it from relays: together
	// they would read hosts times endpoints entries.
	directReaders = 16
	// firstReaders is the number of hosts that read everything because their entries are the first.
	firstReaders = 12
	// fewStarts is the number of entries of starting hosts up to which these are not counted.
	fewStarts = 128
	// minAnnounceWait is how long a starting host waits at least for its entry to be written before
	// it reads those of the others. When many hosts start together, entries are written one after
	// the other for longer; a random part of up to maxAnnounceSpread keeps the hosts that wait
	// from reading all at once.
	minAnnounceWait   = 300 * time.Millisecond
	maxAnnounceSpread = 1200 * time.Millisecond
	// membersRereadDelay is the delay before a host that no relay answers reads the hosts again. It
	// doubles with each read.
	membersRereadDelay = 700 * time.Millisecond
	// relayedGracePeriod is how long a host that starts among many waits for the state from its
	// relays before it reads the store. A random part is added, so that the store is not read by all of
	// them at once.
	relayedGracePeriod = 6 * time.Second
	// maxMembershipWait is how long a host waits until no more hosts are added before it relies
	// on which of them are relays.
	maxMembershipWait = 4 * time.Second
	// listRequestInterval is the interval between requests for the list to the relay.
	listRequestInterval = 250 * time.Millisecond
)

// startup is how this host gets the shared state when it starts. decided is closed once relayed and
// jitter are valid.
type startup struct {
	decided chan struct{}
	// relayed is set if relays provide the state.
	relayed bool
	// jitter is this host's random part of the grace period, from 0 to 1.
	jitter float64
	// starts is the number of hosts that have started recently, 0 if unknown.
	starts atomic.Int64
	// ownEntry is the position of this incarnation's entry in the store plus one, 0 if unknown.
	ownEntry atomic.Int64
	// attempted is closed once an attempt to write the entry has ended other than with a rejection.
	attempted     chan struct{}
	attemptedOnce sync.Once
	// failed is closed once a call to the store has failed, connectionLost once a read of the hosts, or
	// a write of this host's entry, has failed because the connection was lost. That is no sign of overload.
	failed             chan struct{}
	failedOnce         sync.Once
	connectionLost     chan struct{}
	connectionLostOnce sync.Once
	// hostsKnown is set if this host has read how many hosts there are.
	hostsKnown atomic.Bool
	// cancelAppend, if not nil, ends the append of this host's entry, which began at appendBegan.
	appendMu     sync.Mutex
	cancelAppend context.CancelFunc
	appendBegan  time.Time
}

func newStartup() *startup {
	return &startup{
		decided:        make(chan struct{}),
		attempted:      make(chan struct{}),
		failed:         make(chan struct{}),
		connectionLost: make(chan struct{}),
		jitter:         rand.Float64(),
	}
}

// recordAttempt records that an attempt to write the entry has ended other than with a rejection.
func (s *startup) recordAttempt() { s.attemptedOnce.Do(func() { close(s.attempted) }) }

// recordFailure records that a call to the store has failed.
func (s *startup) recordFailure() { s.failedOnce.Do(func() { close(s.failed) }) }

// recordHostsError records that a read of the hosts, or a write of this host's entry, has failed with err.
func (s *startup) recordHostsError(err error) {
	s.recordFailure()
	if errors.Is(err, fleet.ErrStoreConnectionLost) {
		s.connectionLostOnce.Do(func() { close(s.connectionLost) })
	}
}

// connectionFailed reports whether a read of the hosts, or a write of this host's entry, has failed
// because the connection to the store was lost.
func (s *startup) connectionFailed() bool {
	select {
	case <-s.connectionLost:
		return true
	default:
		return false
	}
}

// recordOwnEntry records that this host's entry is in the store. The response to its append may have
// been lost.
func (g *Gateway) recordOwnEntry(at fleet.Position) {
	g.startup.ownEntry.Store(int64(at) + 1)
	g.announced.Store(true)
}

// relayedStart reports whether relays provide the state to this host. It returns false until that is
// decided.
func (s *startup) relayedStart() bool {
	select {
	case <-s.decided:
		return s.relayed
	default:
		return false
	}
}

// join decides how this host gets the shared state. The first hosts that write their entries read
// everything, so that there are relays to learn from. Later ones read which hosts there are.
func (g *Gateway) join(ctx context.Context) {
	defer close(g.startup.decided)
	wait.ForOrWake(ctx, minAnnounceWait+rand.N(maxAnnounceSpread), g.startup.attempted)
	if at := g.startup.ownEntry.Load(); at > 0 && fleet.Position(at-1).Offset() < firstReaders {
		return
	}
	retry := readbudget.Retry{First: hostsRetryDelay, Slow: slowHostsRetryDelay, Max: maxStartRetryDelay, Quick: quickHostsRetries}
	g.countStarts(ctx, &retry)
	retry.Window = g.reads.HostsWindow(int(g.startup.starts.Load()))
	wait.For(ctx, rand.N(retry.Window+1))
	for ctx.Err() == nil {
		err := g.readMembers(ctx)
		if err == nil {
			go g.resendLostAppend(ctx)
			break
		}
		g.startup.recordHostsError(err)
		g.log.Info("reading the hosts failed", "error", err.Error())
		wait.For(ctx, retry.Next(err))
	}
	g.startup.relayed = g.mesh.hosts() > directReaders
	g.log.Info("hosts read", "hosts", g.mesh.hosts(), "starting", g.startup.starts.Load(), "relayed", g.startup.relayed)
}

// countStarts determines how many hosts have started recently, and so may read the store at the same time
// as this one. It gives up if the connection to the store is lost, which is no sign that they are many.
func (g *Gateway) countStarts(ctx context.Context, retry *readbudget.Retry) {
	for ctx.Err() == nil {
		own := fleet.Position(g.startup.ownEntry.Load() - 1)
		if own >= 0 && own.Offset() < fewStarts {
			g.startup.starts.Store(own.Offset() + 1)
			return
		}
		first, end, err := g.store.Extent(ctx, fleet.TopicHosts)
		if err == nil {
			// The history may also hold the entries of former incarnations.
			g.startup.starts.Store(min(max(end, own+1).Offset()-first.Offset(), maxAssumedHosts))
			return
		}
		g.startup.recordHostsError(err)
		g.log.Info("counting the starting hosts failed", "error", err.Error())
		if g.startup.connectionFailed() {
			return
		}
		wait.For(ctx, retry.Next(err))
	}
}

// readMembers reads the entries of all hosts if these may fit a page, otherwise those of the hosts in
// this host's zone, whose keys begin with the zone. The position of this host's entry is at least the
// number of hosts whose entries precede it. Beside a faulty store, one call is tried first, since two
// seldom succeed one after the other.
func (g *Gateway) readMembers(ctx context.Context) error {
	at := fleet.Position(g.startup.ownEntry.Load() - 1)
	onePage := g.startup.starts.Load() <= maxOnePageHosts
	if onePage && (at >= 0 && at.Offset() < maxOnePageHosts || at < 0 && g.startup.connectionFailed()) {
		if more, err := g.readAllHosts(ctx); err != nil || !more {
			return err
		}
	}
	b, more, err := g.store.Page(ctx, fleet.TopicHosts, g.settings.Zone+zoneSeparator)
	if err != nil {
		return err
	}
	g.applyHosts(fleet.Batch{Entries: b.Entries})
	mayFit := onePage && (at >= 0 && g.mesh.hosts() <= maxZonePageHosts || g.startup.connectionFailed() || g.ranBefore(b.Entries)) && !more && g.reads.StartFits(g.mesh.hosts(), assumedConfigBytes)
	if g.mesh.hosts() > directReaders && !mayFit {
		return nil
	}
	_, err = g.readAllHosts(ctx)
	return err
}

// readAllHosts reads the first page of the hosts. more reports whether that are not all hosts. Where
// hosts start for the first time, others are still being added, and the page does not tell how many
// there are.
func (g *Gateway) readAllHosts(ctx context.Context) (more bool, err error) {
	b, more, err := g.store.Page(ctx, fleet.TopicHosts, "")
	if err != nil {
		return false, err
	}
	known := !more && (b.Next.Offset() > int64(len(b.Entries)) || g.ranBefore(b.Entries))
	g.startup.hostsKnown.Store(known)
	if known || !more && len(b.Entries) <= directReaders {
		g.storeReads.SetLoaded(fleet.TopicHosts)
	} else {
		b.Next = 0 // The page is not complete.
	}
	g.applyHosts(b)
	return more, nil
}

// ranBefore reports whether the entries of the hosts hold one of a former incarnation of this host.
func (g *Gateway) ranBefore(entries []fleet.Entry) bool {
	key := hostKey(g.settings.Zone, g.self.Host)
	return slices.ContainsFunc(entries, func(e fleet.Entry) bool {
		var h hostEntry
		return e.Key == key && record.Unmarshal(e.Value, &h) == nil && h.Incarnation != g.self.Incarnation
	})
}

// zoneSeparator separates the zone from the name in the key of a host's entry.
const zoneSeparator = "/"

func hostKey(zone, name string) string { return zone + zoneSeparator + name }

// hostName returns the name of the host whose entry has a key.
func hostName(key string) string { return key[strings.LastIndex(key, zoneSeparator)+1:] }

// awaitProvided blocks until the state of a topic is known, and returns the position to read on from.
// It returns NoPosition if this host must read the state itself: few hosts start, it is a relay, or
// relays have not provided the state in time. provided returns the position once the state is known.
func (g *Gateway) awaitProvided(ctx context.Context, provided func() (fleet.Position, bool)) fleet.Position {
	select {
	case <-g.startup.decided:
	case <-ctx.Done():
		return fleet.NoPosition
	}
	for ctx.Err() == nil {
		if at, ok := provided(); ok {
			return at
		}
		if !g.startup.relayed || g.membershipSettled() && g.mesh.isRelay() || g.Now().Sub(g.startedAt) > g.startupGrace() {
			break
		}
		wait.For(ctx, startupCheckInterval)
	}
	return fleet.NoPosition
}

// membershipSettled reports whether this host may rely on which hosts are relays.
func (g *Gateway) membershipSettled() bool {
	now := g.Now()
	return g.mesh.rolesStable(now) || now.Sub(g.startedAt) > maxMembershipWait
}

// startupGrace returns how long a starting host defers reads of the store in the expectation that
// other hosts provide the data.
func (g *Gateway) startupGrace() time.Duration {
	if !g.startup.relayedStart() {
		return g.undecidedGrace()
	}
	random := g.startup.jitter * float64(g.reads.Window(g.mesh.hosts(), g.readBytes(fleet.TopicEndpoints)))
	return relayedGracePeriod + time.Duration(random)
}

// undecidedGrace returns how long a starting host defers reads before it knows how it gets the shared state.
func (g *Gateway) undecidedGrace() time.Duration {
	return startupGracePeriod + g.reads.HostsWindow(g.readers())
}

// awaitRelayedConfig blocks until a configuration is known or this host reads it itself.
func (g *Gateway) awaitRelayedConfig(ctx context.Context) fleet.Position {
	if !g.awaitReadStart(ctx) || g.readsOwnState() {
		return fleet.NoPosition
	}
	return g.awaitProvided(ctx, func() (fleet.Position, bool) {
		if g.config.Load() == nil {
			return fleet.NoPosition, false
		}
		return g.cache.ConfigOffset() + 1, true
	})
}

// awaitRelayedHosts blocks until the entries of all hosts are known or this host must read them. While
// no relay answers, it reads those of its zone again: its relays may have started later and have new
// keys.
func (g *Gateway) awaitRelayedHosts(ctx context.Context) fleet.Position {
	var delay time.Duration
	var next time.Time
	return g.awaitProvided(ctx, func() (fleet.Position, bool) {
		now := g.Now()
		if known := g.cache.HostsOffset(); known > 0 {
			return known, true
		}
		if next.IsZero() {
			delay = max(membersRereadDelay, g.reads.HostsWindow(g.readers()))
			next = now.Add(wait.Jitter(delay))
		}
		if g.startup.relayed && !now.Before(next) && !g.notices.Recent(now) {
			delay *= 2
			next = now.Add(wait.Jitter(delay))
			if err := g.readMembers(ctx); err != nil {
				g.log.Info("reading the hosts failed", "error", err.Error())
			}
		}
		return fleet.NoPosition, false
	})
}

// awaitRelayedClaim blocks until a claim is known or this host must read the claims.
func (g *Gateway) awaitRelayedClaim(ctx context.Context) fleet.Position {
	return g.awaitProvided(ctx, func() (fleet.Position, bool) {
		return g.mesh.claimsOffset(), g.election.Newest().Token > 0
	})
}

// awaitRelayedList requests the list of endpoints from the relay until it is known or this host must
// read it.
func (g *Gateway) awaitRelayedList(ctx context.Context) fleet.Position {
	if next, ok := g.readOwnList(ctx); ok {
		return next
	}
	var next time.Time
	return g.awaitProvided(ctx, func() (fleet.Position, bool) {
		if g.storeReads.Loaded(fleet.TopicEndpoints) {
			return g.directory.Offset(), true
		}
		now := g.Now()
		if upstreams := g.upstreams(); g.startup.relayed && len(upstreams) > 0 && !now.Before(next) && g.membershipSettled() && !g.mesh.isRelay() {
			next = now.Add(wait.Jitter(listRequestInterval))
			g.fetchStateFrom(ctx, g.mesh.firstReachable(now, upstreams).Addr)
		}
		return fleet.NoPosition, false
	})
}
