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
	"pgregory.net/rapid"
)

// gossip is a tree of hosts that ask one another by messages which may be lost.
type gossip struct {
	now   time.Time
	hosts []*Gateway
	// asks is whom each host asks: its relay, or the controller at 0.
	asks []int
	// told counts the crashes that each host has sent.
	told []int
}

// newGossip returns a controller, relays that ask it and hosts that ask them.
func newGossip(relays, behind int) *gossip {
	t := &gossip{now: time.Unix(1000, 0)}
	add := func(asks int) {
		g := relayHost()
		g.self = orders.Holder{Host: fmt.Sprint(len(t.hosts)), Incarnation: fmt.Sprint("incarnation ", len(t.hosts))}
		t.hosts = append(t.hosts, g)
		t.asks = append(t.asks, asks)
		t.told = append(t.told, 0)
	}
	add(0)
	for range relays {
		add(0)
	}
	for i := range behind {
		add(1 + i%relays)
	}
	return t
}

// ask lets a host ask its upstream; the question, or its answer, may be lost.
func (t *gossip) ask(i int, question, answer bool) {
	from, to := t.hosts[i], t.hosts[t.asks[i]]
	if from == to {
		return
	}
	var p fleet.Pull
	next := from.addCrashes(t.now, to.self.Host, &p)
	t.told[i] += len(p.Crashes)
	if !question {
		return
	}
	to.takeCrashes(t.now, p)
	if !answer {
		return
	}
	var n fleet.Notice
	n.BlocksSum, n.Blocks = to.blocks.inAnswer(t.now, p.BlocksSum)
	from.crashesTold.answered(to.self.Host, to.self.Incarnation, next)
	from.takeAnsweredBlocks(t.now, n)
}

// round lets all hosts ask once without a loss.
func (t *gossip) round() {
	for i := range t.hosts {
		t.ask(i, true, true)
	}
	t.now = t.now.Add(250 * time.Millisecond)
}

func crashOf(endpoint string) []fleet.Crash {
	return []fleet.Crash{{Request: fleet.Fingerprint{Content: 1, Caller: 2}, Endpoint: fleet.EndpointID(endpoint)}}
}

// Hosts of several zones see one end each of endpoints under one request. Messages between
// them are lost, a relay dies, and the controller starts anew. All have to know the
// request soon after the messages come through again, and nobody may send what it has
// told again and again: 295 hosts would have no link left for their requests.
func TestAllHostsLearnOfABlock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newGossip(rapid.IntRange(1, 3).Draw(t, "relays"), rapid.IntRange(3, 12).Draw(t, "hosts"))
		seen := rapid.SliceOfNDistinct(rapid.IntRange(0, len(x.hosts)-1), 3, 3, rapid.ID[int]).Draw(t, "seen by")
		for n, i := range seen {
			x.hosts[i].guard.Ledger.Add(x.now, crashOf(fmt.Sprint("e", n)))
		}
		lost := rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 1, 2}), 30, 30).Draw(t, "lost")
		for n, l := range lost {
			x.ask(n%len(x.hosts), l != 1, l == 0)
		}
		if rapid.Bool().Draw(t, "controller starts anew") && !slices.Contains(seen, 0) {
			fresh := relayHost()
			fresh.self = orders.Holder{Host: "0", Incarnation: "new"}
			x.hosts[0] = fresh
		}
		if relay := rapid.IntRange(0, 3).Draw(t, "dead relay"); relay > 0 && !slices.Contains(seen, relay) {
			for i, asks := range x.asks {
				if asks == relay {
					x.asks[i] = 0
				}
			}
		}
		for range 4 {
			x.round()
		}
		x.now = x.now.Add(time.Second)
		x.hosts[0].guard.Decide(x.now)
		for range 3 {
			x.round()
		}
		for i, g := range x.hosts {
			if !g.guard.Blocked(fleet.Fingerprint{Content: 1, Caller: 2}) {
				t.Fatalf("host %d does not know of the block", i)
			}
		}
		before := slices.Clone(x.told)
		for range 3 {
			x.round()
		}
		if !slices.Equal(before, x.told) {
			t.Fatalf("hosts have told %v crashes, then %v", before, x.told)
		}
	})
}

// A host knows a block that the one which it asks does not: it has read it from the store, or
// that one has started anew. The next question tells it, and the one after it no more.
func TestBlockGoesUpwards(t *testing.T) {
	is := is.New(t)
	x := newGossip(1, 1)
	block := fleet.Block{Request: fleet.BlockedRequest{Content: 1}, Since: x.now.Unix()}
	x.hosts[2].takeBlocks(x.now, []fleet.Block{block})
	x.round()
	x.round()
	x.round()
	is.Equal(x.hosts[0].guard.Blocks.All(time.Now()), []fleet.Block{block})
	var p fleet.Pull
	x.hosts[2].addCrashes(x.now, "1", &p)
	is.Equal(len(p.Blocks), 0)
}

// The controller hears of the second end under a request and writes both to the store; each
// record that says nothing more would be a call. A host that is told what happens writes
// nothing, unless the block is not in the store long after.
func TestWhatIsWrittenToTheStore(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	now := g.Now()
	g.news.note(now)
	g.guard.Ledger.Add(now, crashOf("e1"))
	g.guard.Ledger.Add(now, crashOf("e2"))
	is.Equal(len(g.recordsToKeep(now, false)), 0) // it is told, and does not control
	later := now.Add(2 * cutOffFor)
	records := g.recordsToKeep(later, false) // it is cut off
	is.Equal(len(records), 1)
	is.Equal(len(records[0].Crashes), 2)
	g.crashesKept.set(1, records[0])
	is.Equal(len(g.recordsToKeep(later, false)), 0)
	g.guard.Blocks.Add(later, []fleet.Block{{Request: fleet.BlockedRequest{Content: 1, Caller: 2}, Since: later.Unix()}})
	is.Equal(len(g.recordsToKeep(later, false)), 1)
	g.news.note(later)
	is.Equal(len(g.recordsToKeep(later, false)), 0) // the controller writes it
	is.Equal(len(g.recordsToKeep(later, true)), 1)  // it has not
}

// A controller runs for weeks. Records of requests that ended endpoints an hour ago stood in the
// store for ever, and each host read all of them at its start.
func TestOldRecordsAreRemoved(t *testing.T) {
	is := is.New(t)
	k := newKeptCrashes()
	now := time.Unix(10_000, 0)
	k.set(1, crashRecord{Written: now.Add(-quarantine.BlockLife - time.Second).UnixMilli()})
	k.set(2, crashRecord{Written: now.UnixMilli()})
	k.prune(now)
	is.Equal(k.takeStale(), []string{"1"})
	is.Equal(len(k.takeStale()), 0)
	is.Equal(len(k.byContent), 1)
}

// A record grew old and was marked for removal at a host that does not give orders. The request
// came back, its record was written anew, and the host took over: it removed the new record,
// and the block was lost with the next loss of power of all hosts.
func TestRecordWrittenAnewIsNotRemoved(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	now := g.Now()
	entry := func(written time.Time) fleet.Entry {
		value, err := record.Marshal(crashRecord{Written: written.UnixMilli(), Crashes: crashOf("e")})
		is.NoErr(err)
		return fleet.Entry{Key: fleet.Hex(1), Value: value}
	}
	old := now.Add(-2 * quarantine.BlockLife)
	g.takeCrashRecords(fleet.Batch{Entries: []fleet.Entry{entry(old)}})
	g.takeCrashRecords(fleet.Batch{Entries: []fleet.Entry{entry(now)}})
	is.Equal(len(g.crashesKept.takeStale()), 0)
	g.takeCrashRecords(fleet.Batch{Entries: []fleet.Entry{entry(old)}})
	g.takeCrashRecords(fleet.Batch{Entries: []fleet.Entry{{Key: fleet.Hex(1)}}}) // another host has removed it
	is.Equal(len(g.crashesKept.takeStale()), 0)
	is.True(g.crashesKept.lacks(1, crashRecord{Crashes: crashOf("e")})) // and what counts is written again
}

// The controller hears of all ends and decides; a host that is told nothing has to go by what
// it knows, or would send a harmful request to endpoints until somebody speaks to it again.
func TestWhoDecides(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	start := g.Now()
	for i := range 3 {
		g.guard.Ledger.Add(start, crashOf(fmt.Sprint("e", i)))
	}
	now := start.Add(2 * time.Second)
	g.news.note(now)
	g.guardRequests(now)
	is.Equal(g.guard.Blocks.Count(), 0)
	g.guardRequests(now.Add(newsLife))
	is.Equal(g.guard.Blocks.Count(), 1)
}

// A suspect is told to all hosts, and is none to write down: its ends are. A record for it would
// make a call to the store for each request that ran at two ends.
func TestSuspectsAreNotWritten(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	now := g.Now()
	g.guard.Blocks.Add(now, []fleet.Block{{Request: fleet.BlockedRequest{Content: 1}, Since: now.Unix(), Suspect: true}})
	is.Equal(len(g.recordsToKeep(now.Add(2*cutOffFor), true)), 0)
}

// Hosts start together, and the first ones read the entries of a few others. Each of them took
// itself for a relay and read all topics.
func TestHostExpectsNewsWhileOthersStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := relayHost()
		g.reads.SetLoaded(fleet.TopicHosts)
		g.mesh.learn("other", hostEntry{Addr: "o:1", Fingerprint: peer.Fingerprint{1}})
		is.True(g.mesh.relaying())
		is.True(g.expectsNews()) // more may come
		time.Sleep(gatherTime)
		is.True(!g.expectsNews())
		g.mesh.learn("third", hostEntry{Addr: "t:1", Fingerprint: peer.Fingerprint{2}})
		is.True(g.expectsNews())
		time.Sleep(startGrace)
		is.True(!g.expectsNews())
	})
}
