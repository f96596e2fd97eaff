package gateway

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/relay"
)

// children tracks the hosts that pull from this one and wakes their pending pulls when
// something changes. It is safe for concurrent use.
type children struct {
	mu     sync.Mutex
	byHost map[string]*child
}

// child is a host that pulls from this one.
type child struct {
	responded time.Time
	sent      stateVersions
	// waiting is the set of models that requests on the child wait for.
	waiting map[fleet.ModelRef]bool
	// wake makes the pending pull check for changes; superseded is closed when a newer pull
	// arrives from the same child.
	wake       chan struct{}
	superseded chan struct{}
}

// stateVersions holds the versions of the state last sent to a child.
type stateVersions struct {
	// list is the position of the newest change to the list of endpoints, hosts the position up to
	// which host entries were sent.
	list, hosts fleet.Position
	// claim is the token of the newest claim, config the version of the configuration and blocks
	// that of the blocked requests.
	claim, config, blocks int64
	// accounts is the version of the accounts near their limits.
	accounts int64
	// signals is the version of the endpoint signals.
	signals int64
	// occupancy is the view of the occupancy, which never makes a response urgent.
	occupancy sentOccupancy
	// levels is the version of the levels of models.
	levels int64
}

// anyNewerThan reports whether any version in v that is urgent is newer than in o.
func (v stateVersions) anyNewerThan(o stateVersions) bool {
	return v.list > o.list || v.claim > o.claim || v.config > o.config || v.hosts > o.hosts || v.blocks > o.blocks ||
		v.accounts > o.accounts || v.signals > o.signals || v.levels > o.levels
}

func newChildren() *children { return &children{byHost: map[string]*child{}} }

// register registers a pull of a child. It supersedes the child's previous pull, which carries
// older demand.
func (c *children) register(r fleet.DemandReport) *child {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := &child{wake: make(chan struct{}, 1), superseded: make(chan struct{})}
	if old := c.byHost[r.Host]; old != nil {
		ch.responded = old.responded
		ch.sent = old.sent
		ch.waiting = old.waiting
		close(old.superseded)
	}
	if !r.Unchanged {
		ch.waiting = r.Waiting()
	}
	c.byHost[r.Host] = ch
	return ch
}

// responded records when a pull was answered and the versions that were sent.
func (c *children) responded(ch *child, now time.Time, sent stateVersions) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch.responded = now
	ch.sent = sent
}

// count returns the number of children.
func (c *children) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byHost)
}

// wake makes all pending pulls check for changes.
func (c *children) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ch := range c.byHost {
		trySend(ch.wake)
	}
}

// evict removes children that have not pulled within childTTL.
func (c *children) evict(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, ch := range c.byHost {
		if !ch.responded.IsZero() && now.Sub(ch.responded) > childTTL {
			delete(c.byHost, host)
		}
	}
}

// childTTL is how long a child is kept after its last pull.
const childTTL = 4 * time.Second

// respondToPull records the demand of a child and of the hosts behind it, blocks until something
// has changed for the child or the next heartbeat is due, and returns the notice for the child. It
// returns nil if a newer pull has arrived.
func (g *Gateway) respondToPull(p fleet.Pull) *fleet.Notice {
	now := g.Now()
	g.recordDemand(now, p)
	g.occupancy.sums.Add(now, p.Demand)
	g.mergeCrashes(now, p)
	g.mergeAccountUsage(now, p)
	g.mergeSignals(now, p.Signals)
	g.mergeBrittle(now, p.Brittle)
	ch := g.children.register(p.Demand)
	spacing := relay.Spacing(g.children.count(), g.settings.cores())
	timing := relay.PullTiming{ReceivedAt: now, PreviousResponseAt: ch.responded}
	for {
		changed, urgent := g.locator.ChangedFor(g.self.Incarnation, p, ch.waiting)
		urgent = urgent || g.currentVersions().anyNewerThan(ch.sent)
		remaining := timing.RespondAt(changed, urgent, spacing).Sub(g.Now())
		if remaining <= 0 {
			break
		}
		timer := time.NewTimer(remaining)
		select {
		case <-ch.wake:
			timer.Stop()
			continue
		case <-ch.superseded:
			timer.Stop()
			return nil
		case <-timer.C:
		}
		break
	}
	now = g.Now()
	sent := g.currentVersions()
	n := g.withListChanges(now, g.locator.ChangesSince(now, g.self.Incarnation, p), p.ListNext-1, g.directory.RoutingOffset())
	n.Stamp = g.stampFor(now, n.Token)
	n.BlocksChecksum, n.Blocks = g.blocks.forResponse(now, p.BlocksChecksum)
	n.SignalsChecksum, n.Signals = g.signals.forResponse(now, p.SignalsChecksum)
	n.BrittleChecksum, n.Brittle = g.brittle.forResponse(now, p.BrittleChecksum)
	n.Accounts = g.accounts.limiter.Levels()
	n.Levels = g.levels.Current(now)
	hosts, more := g.cache.HostsFrom(p.HostsNext)
	n.Hosts, n.HostsNext, n.HostsMore = hosts.Entries, hosts.Next, more
	sent.hosts = hosts.Next
	n.Occupancy, sent.occupancy = g.occupancyFor(now, ch.sent.occupancy)
	g.children.responded(ch, now, sent)
	return &n
}

// currentVersions returns the versions of all state that children must learn of immediately.
func (g *Gateway) currentVersions() stateVersions {
	return stateVersions{
		list:   g.directory.RoutingOffset(),
		claim:  g.election.Newest().Token,
		config: g.configVersion(),
		hosts:  g.cache.HostsOffset(),
		blocks: g.guard.Blocklist.Version(),

		accounts: g.accounts.version(),
		signals:  g.health.Signals.Version() + g.health.Brittle.Version(),
		levels:   g.levels.Version(),
	}
}

// recordDemand records a demand report: in the controller if this host is the controller,
// otherwise in the totals that this host reports upstream.
func (g *Gateway) recordDemand(now time.Time, p fleet.Pull) {
	held := g.election.HeldToken()
	if held == 0 {
		if g.demandAggregator.Add(now, p.Demand, p.Heartbeat) && g.hasUnplacedDemand(p.Demand) {
			g.requestReport()
		}
		return
	}
	g.controller.Report(now, p.Demand)
	trySend(g.stepNow)
	for _, h := range append(p.DownstreamHeartbeats, p.Heartbeat) {
		if h.Stamp <= 0 {
			continue
		}
		g.lease.RecordAck(held, g.storeReads.LastSuccess(fleet.TopicClaims), orders.NoticeResponse{
			Host:     h.Host,
			Sent:     g.stampTime(h.Stamp),
			Token:    h.Token,
			StoreAge: milliseconds(h.StoreAge),
		})
	}
}

// hasUnplacedDemand reports whether requests wait for a model that no endpoint known to this host
// holds or is loading. Such demand is reported to the controller immediately.
func (g *Gateway) hasUnplacedDemand(r fleet.DemandReport) bool {
	now := g.Now()
	for _, n := range r.Needs {
		if n.Waiting == 0 {
			continue
		}
		if at := g.locator.LocateVersion(now, n.Service, n.Model, n.Adapter, n.Version); len(at.Ready) == 0 && at.ReadyAt.IsZero() {
			return true
		}
	}
	return false
}
