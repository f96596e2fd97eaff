package gateway

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/relay"
)

// children are the questions of other hosts that wait here for something to change. It
// is safe for concurrent use.
type children struct {
	mu     sync.Mutex
	byHost map[string]*asker
}

// asker is a host that asks this one.
type asker struct {
	answered time.Time
	told     told
	// waiting names the models for which requests wait there.
	waiting map[fleet.ModelRef]bool
	// again wakes its question when something may have changed, over is closed when a
	// newer question has come.
	again chan struct{}
	over  chan struct{}
}

// told is what a host was told of last.
type told struct {
	// list is the offset of the newest change of the list of endpoints, claim the token
	// of the newest claim and config the version of the configuration.
	list, claim, config int64
	// hosts is the offset up to which the entries of hosts were told, blocks the version of
	// the blocked requests.
	hosts, blocks int64
	// accounts is the version of the accounts near their limits.
	accounts int64
	// signals is the version of what endpoints say of themselves.
	signals int64
}

// newerThan tells whether something has come since.
func (t told) newerThan(o told) bool {
	return t.list > o.list || t.claim > o.claim || t.config > o.config || t.hosts > o.hosts || t.blocks > o.blocks ||
		t.accounts > o.accounts || t.signals > o.signals
}

func newChildren() *children { return &children{byHost: map[string]*asker{}} }

// enter takes in a question. It ends the one before: its answer would tell less.
func (c *children) enter(r fleet.DemandReport) *asker {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &asker{again: make(chan struct{}, 1), over: make(chan struct{})}
	if old := c.byHost[r.Host]; old != nil {
		a.answered = old.answered
		a.told = old.told
		a.waiting = old.waiting
		close(old.over)
	}
	if !r.Same {
		a.waiting = r.Waiting()
	}
	c.byHost[r.Host] = a
	return a
}

// answered notes when a question was answered.
func (c *children) answered(a *asker, now time.Time, t told) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.answered = now
	a.told = t
}

// count is the number of hosts that ask this one.
func (c *children) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byHost)
}

// wake lets all questions look at what has changed.
func (c *children) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.byHost {
		signal(a.again)
	}
}

// drop forgets hosts that have not asked for long.
func (c *children) drop(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, a := range c.byHost {
		if !a.answered.IsZero() && now.Sub(a.answered) > askerLife {
			delete(c.byHost, host)
		}
	}
}

// askerLife is how long a host that asks no more is remembered.
const askerLife = 4 * time.Second

// answerPull takes in what another host and those behind it need, and answers when
// something has changed for it, or when the host has to hear that the controller lives.
func (g *Gateway) answerPull(p fleet.Pull) *fleet.Notice {
	now := g.Now()
	g.takeDemand(now, p)
	g.takeCrashes(now, p)
	g.takeAccounts(now, p)
	g.takeSignals(now, p.Signals)
	a := g.children.enter(p.Demand)
	spacing := relay.Spacing(g.children.count(), g.settings.cores())
	question := relay.Question{Asked: now, Answered: a.answered}
	for {
		changed, urgent := g.board.ChangedFor(g.self.Incarnation, p, a.waiting)
		urgent = urgent || g.telling().newerThan(a.told)
		rest := question.Answer(changed, urgent, spacing).Sub(g.Now())
		if rest <= 0 {
			break
		}
		timer := time.NewTimer(rest)
		select {
		case <-a.again:
			timer.Stop()
			continue
		case <-a.over:
			timer.Stop()
			return nil
		case <-timer.C:
		}
		break
	}
	now = g.Now()
	g.children.answered(a, now, g.telling())
	n := g.withList(now, g.board.Answer(now, g.self.Incarnation, p), p.ListNext-1, g.directory.Material())
	n.Stamp = g.stampFor(now, n.Token)
	n.BlocksSum, n.Blocks = g.blocks.inAnswer(now, p.BlocksSum)
	n.SignalsSum, n.Signals = g.signals.inAnswer(now, p.SignalsSum)
	n.Accounts = g.accounts.local.Told()
	hosts := g.feed.hostsFrom(p.HostsNext)
	n.Hosts, n.HostsNext = hosts.Entries, hosts.Next
	return &n
}

// telling is what this host tells now of all that others must know at once.
func (g *Gateway) telling() told {
	return told{
		list:   g.directory.Material(),
		claim:  g.election.Newest().Token,
		config: g.configVersion(),
		hosts:  g.feed.hostsKnown(),
		blocks: g.guard.Blocks.Version(),

		accounts: g.accounts.version(),
		signals:  g.health.Signals.Version(),
	}
}

// takeDemand takes in a report for the controller, which is this host or the one that
// it asks itself.
func (g *Gateway) takeDemand(now time.Time, p fleet.Pull) {
	held := g.election.Held()
	if held == 0 {
		if g.sums.Take(now, p.Demand, p.Heard) && g.lacks(p.Demand) {
			g.wantReport()
		}
		return
	}
	g.controller.Report(now, p.Demand)
	signal(g.noticeNow)
	for _, h := range append(p.Below, p.Heard) {
		if h.Stamp <= 0 {
			continue
		}
		g.lease.Heard(held, orders.NoticeAnswer{
			Host:     h.Host,
			Sent:     g.stampTime(h.Stamp),
			Token:    h.Token,
			StoreAge: milliseconds(h.StoreAge),
		})
	}
}

// lacks tells whether requests wait for a model that no endpoint holds or loads, as far
// as this host knows: the controller has to hear of it at once.
func (g *Gateway) lacks(r fleet.DemandReport) bool {
	now := g.Now()
	for _, n := range r.Needs {
		if n.Waiting == 0 {
			continue
		}
		if at := g.board.Locate(now, n.Service, n.Model, n.Adapter); len(at.Ready) == 0 && at.ComingAt.IsZero() {
			return true
		}
	}
	return false
}
