package gateway

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/allowance"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/relay"
	"pgregory.net/rapid"
)

// relayHost returns a host that answers pulls.
func relayHost() *Gateway {
	g := listHost(time.Minute)
	g.self = orders.Holder{Host: "relay", Incarnation: "relay-1"}
	g.demandAggregator = relay.NewAggregator()
	g.occupancy = newSharedOccupancy(g.self.Host)
	g.startedAt = g.Now()
	g.reportNow = make(chan struct{}, 1)
	g.accounts = newAccounts(allowance.Tolerance{}, g.requestReport, g.Now)
	g.election = orders.NewElection(g.self, orders.Timing{Lease: time.Second, Takeover: time.Second}, g.Now())
	g.lease = orders.NewHolderLease(time.Second)
	return g
}

func pullFrom(host string, seq int64, model string) fleet.Pull {
	p := fleet.Pull{Source: "relay-1", Token: 1, Version: 1}
	p.Demand = fleet.DemandReport{Host: host, Incarnation: "i", Seq: seq}
	if model != "" {
		p.Demand.Needs = []fleet.NeedReport{{Service: "s", Model: model, Waiting: 1}}
	}
	return p
}

func noticeWithModel(model string) fleet.Notice {
	return fleet.Notice{Token: 1, ColdUnchanged: true, Endpoints: []fleet.Placement{{
		Endpoint: "e",
		Models:   []fleet.ModelPlacement{{Model: model, ReadyIn: 700}},
	}}}
}

// Guards against delays for requests that wait for a model that is now placed, and against
// waking children for every other change.
func TestPullIsAnsweredWhenModelIsPlaced(t *testing.T) {
	for _, c := range []struct {
		name, waitsFor, placed string
		after                  time.Duration
	}{
		{"a model with waiting requests", "m", "m", 100 * time.Millisecond},
		{"another model", "m", "n", 108 * time.Millisecond},
		{"no change", "m", "", relay.MaxPullHold},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := relayHost()
				g.directory.Apply(g.Now(), 0, fleet.Endpoint{ID: "e", Service: "s"})
				g.locator.ApplyNotice(g.Now(), noticeWithModel("old"))
				p := pullFrom("h", 1, c.waitsFor)
				p.ListNext = 1
				g.children.responded(g.children.register(p.Demand), g.Now().Add(100*time.Millisecond), g.currentVersions())
				start := time.Now()
				done := make(chan time.Duration)
				go func() {
					g.respondToPull(p)
					done <- time.Since(start)
				}()
				time.Sleep(100 * time.Millisecond)
				if c.placed != "" {
					g.locator.ApplyNotice(g.Now(), noticeWithModel(c.placed))
					g.children.wake()
				}
				is.Equal(<-done, c.after)
			})
		})
	}
}

// Guards against a host accumulating open pulls each time it reports new demand.
func TestNewerPullSupersedesPrevious(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := relayHost()
		g.locator.ApplyNotice(g.Now(), noticeWithModel("old"))
		g.children.responded(g.children.register(fleet.DemandReport{Host: "h"}), g.Now(), g.currentVersions())
		previous := make(chan *fleet.Notice)
		go func() { previous <- g.respondToPull(pullFrom("h", 1, "")) }()
		synctest.Wait()
		newer := make(chan *fleet.Notice)
		go func() { newer <- g.respondToPull(pullFrom("h", 2, "m")) }()
		is.Equal(<-previous, nil)
		is.True(<-newer != nil)
	})
}

// Guards against repeated timeouts with a failed relay, and against not returning to it after its
// restart.
func TestUnreachableRelayIsSkipped(t *testing.T) {
	is := is.New(t)
	m := newMesh("self", peer.Fingerprint{})
	list := []relay.Member{{Name: "r", Addr: "r:1"}, {Name: "b", Addr: "b:1"}, {Name: "c", Addr: "c:1"}}
	now := time.Unix(1000, 0)
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	is.Equal(m.firstReachable(now, list).Name, "r")
	m.markUnreachable(now, "r:1")
	is.Equal(m.firstReachable(at(1), list).Name, "b")
	is.Equal(m.firstReachable(at(2.1), list).Name, "r") // retried after the backoff
	m.markUnreachable(at(2.1), "r:1")
	is.Equal(m.firstReachable(at(5), list).Name, "b") // the backoff doubles
	m.markUnreachable(at(5), "b:1")
	is.Equal(m.firstReachable(at(5), list).Name, "c")
	m.markUnreachable(at(5), "c:1")
	is.Equal(m.firstReachable(at(5), list).Name, "c") // the last one if all are in backoff
	m.updatePeer("r", hostEntry{Addr: "r:1", Fingerprint: peer.Fingerprint{1}})
	is.Equal(m.firstReachable(at(5), list).Name, "r") // restarted with a new key
}

// Guards against growing backoff for a relay that does not know its child yet, which would send
// all hosts to the controller.
func TestUnavailableRelayIsRetriedSoon(t *testing.T) {
	is := is.New(t)
	m := newMesh("self", peer.Fingerprint{})
	list := []relay.Member{{Name: "r", Addr: "r:1"}, {Name: "c", Addr: "c:1"}}
	now := time.Unix(1000, 0)
	for range 5 {
		m.markUnavailable(now, "r:1")
		is.Equal(m.firstReachable(now.Add(unavailableBackoff/2), list).Name, "c")
		now = now.Add(unavailableBackoff)
		is.Equal(m.firstReachable(now, list).Name, "r")
	}
	is.True(!isControllerFallback(list, list[0]))
	is.True(isControllerFallback(list, list[1]))
	is.True(!isControllerFallback(list[1:], list[1])) // no relay
}

// Guards against a confirmed list that is older than its confirmation when notices pass through
// a relay, with loss, delay and reordering on both hops.
func TestConfirmedListThroughRelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hops := []*Gateway{listHost(time.Minute), listHost(time.Minute), listHost(time.Minute)}
		w := &listSim{controller: hops[0], host: hops[2], now: time.Unix(1000, 0), draining: map[string]bool{}}
		var sent [2][]sentNotice
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			hop := rapid.IntRange(0, 1).Draw(t, "hop")
			from, to := hops[hop], hops[hop+1]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				w.change(t)
			case 2, 3: // A pull is answered; the response may arrive later or never.
				hops[0].storeReads.RecordResult(fleet.TopicEndpoints, w.now, nil)
				n := from.withListChanges(w.now, fleet.Notice{}, to.directory.Offset()-1, from.directory.RoutingOffset())
				sent[hop] = append(sent[hop], sentNotice{n, w.now})
			case 4:
				if i := rapid.IntRange(0, 3).Draw(t, "which"); i < len(sent[hop]) {
					n := sent[hop][len(sent[hop])-1-i]
					if w.now.Sub(n.at) <= pullTimeout {
						to.applyListNotice(w.now, n.Notice)
					}
				}
			}
			w.check(t)
		}
	})
}

// Guards against every host polling the list frequently when the controller does not confirm
// it.
func TestOnlyRelaysPollUnconfirmedList(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	g.settings.Timing.Drain = time.Minute
	for i := range 300 {
		g.mesh.updatePeer("h"+strconv.Itoa(i), hostEntry{Addr: "h" + strconv.Itoa(i), Cores: 0.2})
	}
	g.mesh.member = relay.Member{Name: "relay", Cores: 0.1} // the weakest of its zone
	is.Equal(g.listPollInterval(), maxListPollInterval)
	g.mesh.member.Cores = 0.8
	g.mesh.updatePeer("h0", hostEntry{Addr: "h0", Cores: 0.2}) // recomputes the relays
	is.Equal(g.listPollInterval(), controllerListPollInterval)
}

// Guards against every host contacting every other one before a claim.
func TestHolderCheckUsesSample(t *testing.T) {
	is := is.New(t)
	m := newMesh("self", peer.Fingerprint{})
	for i := range 300 {
		m.updatePeer("h"+strconv.Itoa(i), hostEntry{Addr: "h" + strconv.Itoa(i)})
	}
	chosen := map[string]bool{}
	for range 20 {
		sample := m.sample(time.Now(), maxHolderChecks)
		is.Equal(len(sample), maxHolderChecks)
		for _, addr := range sample {
			chosen[addr] = true
		}
	}
	is.True(len(chosen) > 50) // a different sample each time
}

// Guards against a weak host becoming the controller while stronger ones are available.
func TestStrongHostsClaimFirst(t *testing.T) {
	is := is.New(t)
	m := newMesh("self", peer.Fingerprint{})
	m.member = relay.Member{Name: "self", Cores: 0.2}
	is.Equal(m.weakHostDelay(), time.Duration(0)) // no stronger host is known
	m.updatePeer("strong", hostEntry{Addr: "s", Cores: 0.8})
	is.Equal(m.weakHostDelay(), weakHostClaimDelay)
	m.member.Cores = 0.8
	is.Equal(m.weakHostDelay(), time.Duration(0))
}

// Guards against an isolated host taking a series of claims for updates and not reading any
// topic.
func TestClaimsWithoutNoticesAreNotUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := relayHost()
		g.mesh.member = relay.Member{Name: "self", Cores: 0.1} // the weakest
		for i := range 40 {
			g.mesh.updatePeer(strconv.Itoa(i), hostEntry{Addr: strconv.Itoa(i), Cores: 1, Fingerprint: peer.Fingerprint{byte(i + 1)}})
		}
		is.True(!g.mesh.isRelay())
		g.notices.RecordResponse(g.Now())
		for range 5 {
			time.Sleep(firstNoticeTimeout / 2)
			g.mesh.recordClaim(g.Now())
		}
		is.True(!g.receivesUpdates())
		g.notices.RecordResponse(g.Now())
		is.True(g.receivesUpdates())
		time.Sleep(firstNoticeTimeout)
		is.True(!g.receivesUpdates())
		g.mesh.recordClaim(g.Now())
		is.True(g.receivesUpdates()) // a new controller needs time for its first notice
	})
}
