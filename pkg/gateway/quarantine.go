package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/quarantine"
)

// maxCrashesPerPull bounds the crashes in one pull, to limit the bandwidth on slow links. The
// rest follows with the next pull.
const maxCrashesPerPull = 128

const (
	// isolatedTrialSpanPerHost, times the number of hosts, is the time over which hosts that
	// receive no updates spread their trials of a suspect request. It exceeds the time it takes
	// to learn the outcome of another host's trial from the store.
	isolatedTrialSpanPerHost = time.Second
	// maxIsolatedTrialSpan bounds the total, since requests wait for their trial or are
	// refused.
	maxIsolatedTrialSpan = 10 * time.Second
)

// newGuard returns the guard that blocks requests that crash endpoints.
func (g *Gateway) newGuard() *quarantine.Guard {
	return quarantine.NewGuard(quarantine.Config{
		Host:              g.self.Incarnation,
		Terminated:        g.terminated,
		ShutdownAnnounced: g.directory.DrainingOrGone,
		OnCrash: func([]fleet.CrashReport) {
			g.metrics.count("endpoints_crashed", nil)
			g.requestReport()
		},
		OnTrialChange: g.announceBlocks,
		Now:           g.Now,
		Log:           g.log,
	})
}

// updateBlocks decides which requests to block. The controller decides, since it receives all
// crashes; a host that receives no updates decides from its own data.
func (g *Gateway) updateBlocks(now time.Time) {
	g.guard.UpdateTrials(now)
	isController := g.election.HeldToken() != 0
	if !isController && g.notices.Recent(now) {
		return
	}
	decide := g.guard.Decide
	if isController {
		decide = g.guard.DecideForAll
	}
	if decide(now) {
		g.announceBlocks()
	}
	switch {
	case isController:
		g.guard.Grant(now)
	case g.notices.Age(now) > isolationTimeout:
		g.guard.GrantLocally(now, min(maxIsolatedTrialSpan, time.Duration(g.mesh.hosts())*isolatedTrialSpanPerHost))
	}
}

// announceBlocks sends new blocks to the upstream host and to the children of this host.
func (g *Gateway) announceBlocks() {
	g.blocks.peerBehind.Store(true)
	g.requestReport()
	g.children.wake()
}

// crashCursors tracks which crashes each upstream host has received. It is safe for concurrent
// use.
type crashCursors struct {
	mu     sync.Mutex
	byAddr map[string]crashCursor
}

// crashCursor is the position of one upstream host.
type crashCursor struct {
	// source is the incarnation that received the crashes, next the number of the first crash
	// that it has not received.
	source string
	next   int64
}

func newCrashCursors() *crashCursors { return &crashCursors{byAddr: map[string]crashCursor{}} }

// next returns the number of the first crash that the host at addr has not received.
func (c *crashCursors) next(addr string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byAddr[addr].next
}

// acknowledge records that the host at addr has received the crashes below next. A new
// incarnation has received none of the earlier ones.
func (c *crashCursors) acknowledge(addr, source string, next int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cursor, ok := c.byAddr[addr]; ok && cursor.source != source {
		next = 0
	}
	c.byAddr[addr] = crashCursor{source: source, next: next}
}

// addCrashesTo adds blocks to a pull, and the crashes that the host at addr has not received.
// It returns the number of the first crash after them.
func (g *Gateway) addCrashesTo(now time.Time, addr string, p *fleet.Pull) int64 {
	crashes, next := g.guard.CrashLog.Since(now, g.crashCursors.next(addr), maxCrashesPerPull)
	p.Crashes, p.PartCrashes = fleet.SplitCrashes(crashes)
	p.BlocksChecksum, p.Blocks = g.blocks.forRequest(now)
	return next
}

// mergeCrashes merges the crashes and blocks of a pull.
func (g *Gateway) mergeCrashes(now time.Time, p fleet.Pull) {
	if g.guard.CrashLog.Add(now, slices.Concat(p.Crashes, p.PartCrashes)) && g.election.HeldToken() == 0 {
		g.requestReport()
	}
	g.mergeBlocks(now, p.Blocks)
}

// mergeBlocks merges blocks decided by other hosts, and announces new ones.
func (g *Gateway) mergeBlocks(now time.Time, blocks []fleet.Block) {
	if g.addBlocks(now, blocks) {
		g.announceBlocks()
	}
}

// addBlocks adds blocks and reports whether any is new.
func (g *Gateway) addBlocks(now time.Time, blocks []fleet.Block) bool {
	added := g.guard.Merge(now, blocks)
	for _, b := range added {
		switch {
		case b.Suspect && b.PromptPart > 0:
			g.log.Info("suspect prompt part", "prompt_part", fleet.Hex(b.Request.Content), "round", b.Trial.Round, "stage", b.Trial.Stage.String(), "host", b.Trial.Host, "begun_ms_ago", b.Trial.BegunAgo)
			continue
		case b.PromptPart > 0:
			g.log.Info("prompt part blocked", "prompt_part", fleet.Hex(b.Request.Content), "caller", fleet.Hex(b.Request.Caller), "age_s", now.Unix()-b.Since)
			continue
		case b.Suspect:
			g.log.Info("trial of suspect request", "content", fleet.Hex(b.Request.Content), "round", b.Trial.Round, "stage", b.Trial.Stage.String(), "host", b.Trial.Host)
			continue
		}
		g.log.Info("request blocked", "content", fleet.Hex(b.Request.Content), "caller", fleet.Hex(b.Request.Caller), "age_s", now.Unix()-b.Since)
	}
	return len(added) > 0
}

// mergeResponseBlocks merges the blocks of a response to a pull.
func (g *Gateway) mergeResponseBlocks(now time.Time, n fleet.Notice) {
	if g.addBlocks(now, n.Blocks) {
		g.children.wake()
	}
	g.blocks.acknowledge(n.BlocksChecksum)
}
