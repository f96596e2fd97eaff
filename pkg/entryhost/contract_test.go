package entryhost

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// propagationLimit is the time within which a published contract must be in force at all hosts.
const propagationLimit = 3 * time.Second

// revision returns a distinct contract document for each n.
func revision(n int) string { return fmt.Sprintf("# revision %d\n%s", n, testContract) }

// contractWatcher checks which contracts hosts have in force.
type contractWatcher struct {
	mu       sync.Mutex
	problems []string
	stop     chan struct{}
	running  sync.WaitGroup
}

// watch polls a host until it is killed.
func (w *contractWatcher) watch(h *fakeHost, document func(version uint64) string) {
	w.running.Go(func() {
		last := uint64(0)
		for !h.dead.Load() {
			if e, ok := h.state.Contracts.Get("c"); ok {
				w.check(h, e.Version, last, string(e.Document) == document(e.Version))
				last = e.Version
			} else if last > 0 {
				w.addProblem("%s no longer has a contract", h.settings.Host)
			}
			select {
			case <-w.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
}

func (w *contractWatcher) check(h *fakeHost, version, last uint64, known bool) {
	if version < last {
		w.addProblem("%s reverted from version %d to %d", h.settings.Host, last, version)
	}
	if !known {
		w.addProblem("%s has a document for version %d that was not accepted", h.settings.Host, version)
	}
}

func (w *contractWatcher) addProblem(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// contractCluster is a cluster whose contracts are watched.
type contractCluster struct {
	*fakeCluster
	hosts    []*fakeHost
	watcher  *contractWatcher
	revision int
}

func newContractCluster(n int) *contractCluster {
	c := &contractCluster{fakeCluster: newFakeCluster(), watcher: &contractWatcher{stop: make(chan struct{})}}
	c.snapshotEvery = 100
	for i := range n {
		c.start(fmt.Sprintf("h%d", i))
	}
	c.publish(0, revision(0))
	time.Sleep(settleTime)
	return c
}

func (c *contractCluster) start(name string) *fakeHost {
	h := c.startHost(name)
	c.hosts = append(c.hosts, h)
	c.watcher.watch(h, c.document)
	return h
}

func (c *contractCluster) finish() []string {
	close(c.watcher.stop)
	c.watcher.running.Wait()
	c.stopAll()
	return c.watcher.problems
}

// outdatedHosts lists the live hosts that do not have the latest version in force.
func (c *contractCluster) outdatedHosts() (found []string) {
	for _, h := range c.hosts {
		e, _ := h.state.Contracts.Get("c")
		if !h.dead.Load() && e.Version != c.latestVersion() {
			found = append(found, fmt.Sprintf("%s is at version %d of %d", h.settings.Host, e.Version, c.latestVersion()))
		}
	}
	return found
}

func (c *contractCluster) apply(kind string, arg int) {
	h := c.hosts[arg%len(c.hosts)]
	switch kind {
	case "publish", "race":
		base := c.latestVersion()
		c.revision++
		c.publish(base, revision(c.revision))
		if kind == "race" {
			c.revision++
			c.publish(base, revision(c.revision))
		}
	case "repeat an old publication":
		c.replayPublication(arg)
	case "kill host":
		h.kill()
		c.start(h.settings.Host)
	case "cut from log":
		c.setPartitioned(h.settings.Host, true)
	case "join to log":
		c.setPartitioned(h.settings.Host, false)
	case "log down":
		c.setLogDown(true)
	case "log up":
		c.setLogDown(false)
	case "trim":
		c.trimToSnapshot()
	}
}

// Guards against a published contract that is reverted, or not in force at every host in time,
// under concurrent publications, replays, log outages, partitions, host restarts and trimming.
func TestContractsNeverRevert(t *testing.T) {
	kinds := []string{
		"publish", "publish", "race", "repeat an old publication", "kill host",
		"cut from log", "join to log", "log down", "log up", "trim",
	}
	rapid.Check(t, func(rt *rapid.T) {
		acts := rapid.SliceOfN(rapid.SampledFrom(kinds), 3, 15).Draw(rt, "acts")
		args := rapid.SliceOfN(rapid.IntRange(0, 9), len(acts), len(acts)).Draw(rt, "args")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 6000), len(acts), len(acts)).Draw(rt, "pauses")
		found := inVirtualTime(t, func() []string {
			c := newContractCluster(3)
			for i, kind := range acts {
				c.apply(kind, args[i])
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
			}
			for _, h := range c.hosts {
				c.setPartitioned(h.settings.Host, false)
			}
			c.setLogDown(false)
			time.Sleep(propagationLimit + settleTime)
			behind := c.outdatedHosts()
			return append(c.finish(), behind...)
		})
		if len(found) > 0 {
			rt.Fatalf("%s", strings.Join(found, "\n"))
		}
	})
}

// Guards against a host that keeps an outdated contract while it is partitioned from the log. It
// receives the tail of the log from its peers.
func TestContractReachesHostPartitionedFromLog(t *testing.T) {
	found := inVirtualTime(t, func() []string {
		c := newContractCluster(3)
		c.apply("cut from log", 1)
		time.Sleep(settleTime)
		c.apply("publish", 0)
		time.Sleep(propagationLimit)
		behind := c.outdatedHosts()
		return append(c.finish(), behind...)
	})
	is.New(t).Equal(found, nil)
}

// Guards against a host that starts during a log outage and becomes ready with outdated contracts.
// It must first receive the current state from a peer.
func TestNewHostDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newContractCluster(2)
		c.apply("publish", 0)
		time.Sleep(time.Second)
		c.apply("log down", 0)
		h := c.start("fresh")
		is.True(!h.Ready())
		time.Sleep(propagationLimit)
		is.True(h.Ready())
		is.Equal(len(c.outdatedHosts()), 0)
		is.Equal(len(c.finish()), 0)
	})
}

// Guards against the loss of contracts whose records were trimmed from the log. A new host
// restores them from the snapshot in the log.
func TestRestoreAfterTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newContractCluster(2)
		time.Sleep(2 * time.Minute)
		is.True(c.trimToSnapshot())
		for _, h := range c.hosts {
			h.kill()
		}
		h := c.start("fresh")
		time.Sleep(propagationLimit)
		is.True(h.Ready())
		is.Equal(len(c.outdatedHosts()), 0)
		is.Equal(len(c.finish()), 0)
	})
}
