package gateway

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/quarantine"
)

// maxCrashesTold bounds the crashes in one question, some 40 bytes each: together a
// fiftieth of what the slowest link in use (10 Mbit/s) carries until the next question, with
// which the rest goes.
const maxCrashesTold = 128

const (
	// ownSpan is over what time for each host the hosts that hear nobody try copies of a
	// suspect: longer than one needs to learn from the store what became of another's.
	ownSpan = time.Second
	// maxOwnSpan bounds the sum: the requests wait for it, or are refused.
	maxOwnSpan = 10 * time.Second
)

// newGuard returns what keeps requests that crash endpoints from them.
func (g *Gateway) newGuard() *quarantine.Guard {
	return quarantine.NewGuard(quarantine.Config{
		Host:      g.self.Incarnation,
		Ended:     g.endpoints.Ended,
		Announced: g.directory.Announced,
		Crashed: func([]fleet.Crash) {
			g.metrics.count("endpoints_crashed", nil)
			g.wantReport()
		},
		Moved: g.tellBlocks,
		Now:   g.Now,
		Log:   g.log,
	})
}

// guardRequests blocks requests that are to blame for the ends of endpoints. The controller
// decides, who hears of all ends; a host that is told nothing decides by what it knows.
func (g *Gateway) guardRequests(now time.Time) {
	g.guard.Tend(now)
	controls := g.election.Held() != 0
	if !controls && g.news.recent(now) {
		return
	}
	if g.guard.Decide(now) {
		g.tellBlocks()
	}
	switch {
	case controls:
		g.guard.Grant(now)
	case g.news.silence(now) > cutOffFor:
		g.guard.GrantOwn(now, min(maxOwnSpan, time.Duration(g.mesh.hosts())*ownSpan))
	}
}

// tellBlocks lets the hosts that ask this one, and the one that it asks, hear of new blocks.
func (g *Gateway) tellBlocks() {
	g.blocks.differs.Store(true)
	g.wantReport()
	g.children.wake()
}

// crashesTold is which crashes each host that was asked has been told. It is safe for
// concurrent use.
type crashesTold struct {
	mu     sync.Mutex
	byAddr map[string]crashMark
}

// crashMark is how far one host was told.
type crashMark struct {
	// source is the incarnation that was told, next the number of the first crash that
	// it has not been told.
	source string
	next   int64
}

func newCrashesTold() *crashesTold { return &crashesTold{byAddr: map[string]crashMark{}} }

// next is the number of the first crash that a host has not been told.
func (t *crashesTold) next(addr string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byAddr[addr].next
}

// answered notes that a host has answered a question with the crashes up to a number. An
// incarnation that was not told before knows none of the earlier ones.
func (t *crashesTold) answered(addr, source string, next int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.byAddr[addr]; ok && m.source != source {
		next = 0
	}
	t.byAddr[addr] = crashMark{source: source, next: next}
}

// addCrashes adds to a question the crashes that the host which is asked does not know, and
// returns the number after them.
func (g *Gateway) addCrashes(now time.Time, addr string, p *fleet.Pull) int64 {
	var next int64
	p.Crashes, next = g.guard.Ledger.Since(now, g.crashesTold.next(addr), maxCrashesTold)
	p.BlocksSum, p.Blocks = g.blocks.inQuestion(now)
	return next
}

// takeCrashes takes in what the question of another host tells of crashes and blocks.
func (g *Gateway) takeCrashes(now time.Time, p fleet.Pull) {
	if g.guard.Ledger.Add(now, p.Crashes) && g.election.Held() == 0 {
		g.wantReport()
	}
	g.takeBlocks(now, p.Blocks)
}

// takeBlocks takes in blocks that were decided elsewhere, and lets others hear of them.
func (g *Gateway) takeBlocks(now time.Time, blocks []fleet.Block) {
	if g.addBlocks(now, blocks) {
		g.tellBlocks()
	}
}

// addBlocks takes in blocks and tells whether any is new.
func (g *Gateway) addBlocks(now time.Time, blocks []fleet.Block) bool {
	added := g.guard.Take(now, blocks)
	for _, b := range added {
		if b.Suspect {
			g.log.Info("trial", "content", fleet.Hex(b.Request.Content), "round", b.Trial.Round, "stage", b.Trial.Stage.String(), "host", b.Trial.Host)
			continue
		}
		g.log.Info("block", "content", fleet.Hex(b.Request.Content), "caller", fleet.Hex(b.Request.Caller), "age_s", now.Unix()-b.Since)
	}
	return len(added) > 0
}

// takeAnsweredBlocks takes in the blocks of an answer.
func (g *Gateway) takeAnsweredBlocks(now time.Time, n fleet.Notice) {
	if g.addBlocks(now, n.Blocks) {
		g.children.wake()
	}
	g.blocks.answered(n.BlocksSum)
}
