package gateway

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/quarantine"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/relay"
	"pgregory.net/rapid"
)

// relayTree is a tree of hosts that pull from one another over a lossy network.
type relayTree struct {
	now   time.Time
	hosts []*Gateway
	// upstream is the index of the host that each host pulls from: its relay, or the controller
	// at 0.
	upstream []int
	// crashesSent is the number of crashes that each host has sent.
	crashesSent []int
}

// newRelayTree returns a tree of a controller, relays and leaves that pull from the relays.
func newRelayTree(relays, leaves int) *relayTree {
	t := &relayTree{now: time.Unix(1000, 0)}
	add := func(upstream int) {
		g := relayHost()
		g.self = orders.Holder{Host: fmt.Sprint(len(t.hosts)), Incarnation: fmt.Sprint("incarnation ", len(t.hosts))}
		t.hosts = append(t.hosts, g)
		t.upstream = append(t.upstream, upstream)
		t.crashesSent = append(t.crashesSent, 0)
	}
	add(0)
	for range relays {
		add(0)
	}
	for i := range leaves {
		add(1 + i%relays)
	}
	return t
}

// pull makes a host pull from its upstream host. The request or the response may be lost.
func (t *relayTree) pull(i int, requestArrives, responseArrives bool) {
	from, to := t.hosts[i], t.hosts[t.upstream[i]]
	if from == to {
		return
	}
	var p fleet.Pull
	next := from.addCrashesTo(t.now, to.self.Host, &p)
	t.crashesSent[i] += len(p.Crashes)
	if !requestArrives {
		return
	}
	to.mergeCrashes(t.now, p)
	if !responseArrives {
		return
	}
	var n fleet.Notice
	n.BlocksChecksum, n.Blocks = to.blocks.forResponse(t.now, p.BlocksChecksum)
	from.crashCursors.acknowledge(to.self.Host, to.self.Incarnation, next)
	from.mergeResponseBlocks(t.now, n)
}

// round makes every host pull once without loss.
func (t *relayTree) round() {
	for i := range t.hosts {
		t.pull(i, true, true)
	}
	t.now = t.now.Add(250 * time.Millisecond)
}

func crashOf(endpoint string) []fleet.CrashReport {
	return []fleet.CrashReport{{Request: fleet.Fingerprint{Content: 1, Caller: 2}, Endpoint: fleet.EndpointID(endpoint)}}
}

// Guards against hosts not learning of a block after lost messages, a failed relay or a restarted
// controller, and against sending the same crashes repeatedly.
func TestAllHostsLearnOfBlock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := newRelayTree(rapid.IntRange(1, 3).Draw(t, "relays"), rapid.IntRange(3, 12).Draw(t, "hosts"))
		seen := rapid.SliceOfNDistinct(rapid.IntRange(0, len(tree.hosts)-1), 3, 3, rapid.ID[int]).Draw(t, "seen by")
		for n, i := range seen {
			tree.hosts[i].guard.CrashLog.Add(tree.now, crashOf(fmt.Sprint("e", n)))
		}
		lost := rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 1, 2}), 30, 30).Draw(t, "lost")
		for n, l := range lost {
			tree.pull(n%len(tree.hosts), l != 1, l == 0)
		}
		if rapid.Bool().Draw(t, "controller starts anew") && !slices.Contains(seen, 0) {
			restarted := relayHost()
			restarted.self = orders.Holder{Host: "0", Incarnation: "new"}
			tree.hosts[0] = restarted
		}
		if relay := rapid.IntRange(0, 3).Draw(t, "dead relay"); relay > 0 && !slices.Contains(seen, relay) {
			for i, upstream := range tree.upstream {
				if upstream == relay {
					tree.upstream[i] = 0
				}
			}
		}
		for range 4 {
			tree.round()
		}
		tree.now = tree.now.Add(time.Second)
		tree.hosts[0].guard.Decide(tree.now)
		for range 3 {
			tree.round()
		}
		for i, g := range tree.hosts {
			if !g.guard.Blocked(fleet.Fingerprint{Content: 1, Caller: 2}) {
				t.Fatalf("host %d of %d does not know of the block", i, len(tree.hosts))
			}
		}
		before := slices.Clone(tree.crashesSent)
		for range 3 {
			tree.round()
		}
		if !slices.Equal(before, tree.crashesSent) {
			t.Fatalf("hosts had sent %v crashes, then %v; want no more", before, tree.crashesSent)
		}
	})
}

// Guards against a block that the upstream host lacks not being sent upstream, or being sent
// repeatedly.
func TestBlockIsSentUpstream(t *testing.T) {
	is := is.New(t)
	tree := newRelayTree(1, 1)
	block := fleet.Block{Request: fleet.BlockedRequest{Content: 1}, Since: tree.now.Unix()}
	tree.hosts[2].mergeBlocks(tree.now, []fleet.Block{block})
	tree.round()
	tree.round()
	tree.round()
	is.Equal(tree.hosts[0].guard.Blocklist.All(time.Now()), []fleet.Block{block})
	var p fleet.Pull
	tree.hosts[2].addCrashesTo(tree.now, "1", &p)
	is.Equal(len(p.Blocks), 0)
}

// Guards against redundant writes of crash records, and against a block that is missing in the
// store.
func TestCrashRecordsToWrite(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	now := g.Now()
	g.notices.RecordResponse(now)
	g.guard.CrashLog.Add(now, crashOf("e1"))
	g.guard.CrashLog.Add(now, crashOf("e2"))
	is.Equal(len(g.recordsToWrite(now, false)), 0) // receives updates and is not the controller
	later := now.Add(2 * isolationTimeout)
	records := g.recordsToWrite(later, false) // isolated
	is.Equal(len(records), 1)
	is.Equal(len(records[0].Crashes), 2)
	g.storedCrashes.set(1, records[0])
	is.Equal(len(g.recordsToWrite(later, false)), 0)
	g.guard.Blocklist.Add(later, []fleet.Block{{Request: fleet.BlockedRequest{Content: 1, Caller: 2}, Since: later.Unix()}})
	is.Equal(len(g.recordsToWrite(later, false)), 1)
	g.notices.RecordResponse(later)
	is.Equal(len(g.recordsToWrite(later, false)), 0) // the controller writes it
	is.Equal(len(g.recordsToWrite(later, true)), 1)  // the controller has not written it
}

// Guards against expired crash records staying in the store forever.
func TestExpiredRecordsAreRemoved(t *testing.T) {
	is := is.New(t)
	stored := newStoredCrashes()
	now := time.Unix(10_000, 0)
	stored.set(1, crashRecord{Written: now.Add(-quarantine.BlockTTL - time.Second).UnixMilli()})
	stored.set(2, crashRecord{Written: now.UnixMilli()})
	stored.prune(now)
	is.Equal(stored.drainStale(), []string{"1"})
	is.Equal(len(stored.drainStale()), 0)
	is.Equal(len(stored.byContent), 1)
}

// Guards against a new controller removing a record that was renewed after it had been marked
// for removal.
func TestRenewedRecordIsNotRemoved(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	now := g.Now()
	entry := func(written time.Time) fleet.Entry {
		value, err := record.Marshal(crashRecord{Written: written.UnixMilli(), Crashes: crashOf("e")})
		is.NoErr(err)
		return fleet.Entry{Key: fleet.Hex(1), Value: value}
	}
	old := now.Add(-2 * quarantine.BlockTTL)
	g.applyCrashRecords(fleet.Batch{Entries: []fleet.Entry{entry(old)}})
	g.applyCrashRecords(fleet.Batch{Entries: []fleet.Entry{entry(now)}})
	is.Equal(len(g.storedCrashes.drainStale()), 0)
	g.applyCrashRecords(fleet.Batch{Entries: []fleet.Entry{entry(old)}})
	g.applyCrashRecords(fleet.Batch{Entries: []fleet.Entry{{Key: fleet.Hex(1)}}}) // another host has removed it
	is.Equal(len(g.storedCrashes.drainStale()), 0)
	is.True(g.storedCrashes.needsWrite(1, crashRecord{Crashes: crashOf("e")})) // written again
}

// Guards against hosts other than the controller deciding blocks while they receive updates,
// and against an isolated host never deciding.
func TestOnlyControllerOrIsolatedHostDecidesBlocks(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	start := g.Now()
	for i := range 3 {
		g.guard.CrashLog.Add(start, crashOf(fmt.Sprint("e", i)))
	}
	now := start.Add(2 * time.Second)
	g.notices.RecordResponse(now)
	g.updateBlocks(now)
	is.Equal(g.guard.Blocklist.Count(), 0)
	g.updateBlocks(now.Add(relay.NoticeTTL))
	is.Equal(g.guard.Blocklist.Count(), 1)
}

// Guards against writing records for suspects, whose crashes are stored anyway.
func TestSuspectsAreNotWritten(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	now := g.Now()
	g.guard.Blocklist.Add(now, []fleet.Block{{Request: fleet.BlockedRequest{Content: 1}, Since: now.Unix(), Suspect: true}})
	is.Equal(len(g.recordsToWrite(now.Add(2*isolationTimeout), true)), 0)
}

// Guards against hosts that start together considering themselves relays before they know each
// other.
func TestStartingHostExpectsUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := relayHost()
		g.storeReads.SetLoaded(fleet.TopicHosts)
		g.mesh.updatePeer("other", hostEntry{Addr: "o:1", Fingerprint: peer.Fingerprint{1}})
		is.True(g.mesh.isRelay())
		is.True(g.expectsUpdates()) // more hosts may follow
		time.Sleep(hostBatchDelay)
		is.True(!g.expectsUpdates())
		g.mesh.updatePeer("third", hostEntry{Addr: "t:1", Fingerprint: peer.Fingerprint{2}})
		is.True(g.expectsUpdates())
		time.Sleep(startupGracePeriod)
		is.True(!g.expectsUpdates())
	})
}
