package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/relay"
)

const (
	// peerTimeout bounds a message to another host; a round trip takes a few
	// milliseconds, a first connection some tens.
	peerTimeout = 600 * time.Millisecond
	// maxListAge is how old the list of endpoints may be before a peer is asked: an
	// endpoint that leaves must get no requests soon after it has said so, and a
	// read of the store may hang.
	maxListAge = 1100 * time.Millisecond
	// firstNews is how long a new controller may take until all hosts hear of it: after a
	// start, relays read the entries of all hosts first, for more than a second.
	firstNews = 3 * time.Second
	// weakClaimDelay is longer than the random pause of the stronger hosts before a claim.
	weakClaimDelay = 400 * time.Millisecond
	// stateFrom is the offset at which all entries of the list are asked for.
	stateFrom = 0
)

// mesh knows the other hosts. It is safe for concurrent use.
type mesh struct {
	self   string
	member relay.Member
	own    peer.Fingerprint
	node   *peer.Node

	mu         sync.Mutex
	peers      map[string]hostEntry
	pinned     map[peer.Fingerprint]bool
	claimsNext int64
	// silent is until when a host that gave no answer is not asked.
	silent map[string]time.Time
	// failures counts the questions in a row that a host did not answer.
	failures map[string]int
	// tree holds the hosts to ask for what the controller tells, until hosts change.
	tree map[string][]relay.Member
	// relay tells whether this host is one of those, nil until that is looked at.
	relay *bool
	// asked is when a peer was last asked for the state.
	asked time.Time
	// claimSeen is when the newest claim was first seen.
	claimSeen time.Time
	// confirmed is as of when the controller has last told all changes of the list of
	// endpoints that this host had not read itself.
	confirmed time.Time
}

// confirm takes in that this host knows the list of endpoints as of a time.
func (m *mesh) confirm(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.confirmed) {
		m.confirmed = at
	}
}

// confirmedAge is how old the list of endpoints is that the controller has confirmed.
func (m *mesh) confirmedAge(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.confirmed)
}

func newMesh(self string, own peer.Fingerprint) *mesh {
	return &mesh{
		self:     self,
		own:      own,
		peers:    map[string]hostEntry{},
		pinned:   map[peer.Fingerprint]bool{},
		silent:   map[string]time.Time{},
		failures: map[string]int{},
		tree:     map[string][]relay.Member{},
	}
}

func (m *mesh) serve(ctx context.Context) { m.node.Serve(ctx) }

func (m *mesh) known(f peer.Fingerprint) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pinned[f]
}

// learn takes in where a host is reached. A host that has started again has a
// new key, and connections to its former incarnation are of no use.
func (m *mesh) learn(host string, e hostEntry) {
	if host == m.self {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.peers[host]; ok && old.Fingerprint != e.Fingerprint {
		delete(m.pinned, old.Fingerprint)
		m.node.Forget(old.Addr)
	}
	m.peers[host] = e
	clear(m.tree)
	m.relay = nil
	delete(m.silent, e.Addr)
	delete(m.failures, e.Addr)
	m.pinned[e.Fingerprint] = true
}

// hosts is the number of hosts known, this one included.
func (m *mesh) hosts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
}

// addrs returns the addresses of all other hosts.
func (m *mesh) addrs() []string {
	return slices.Collect(maps.Values(m.addresses()))
}

// names returns the names of all other hosts.
func (m *mesh) names() []string {
	return slices.Collect(maps.Keys(m.addresses()))
}

// addresses returns where all other hosts are reached, by name.
func (m *mesh) addresses() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]string, len(m.peers))
	for name, e := range m.peers {
		out[name] = e.Addr
	}
	return out
}

func (m *mesh) setClaimsNext(next int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claimsNext = max(m.claimsNext, next)
}

// noteClaim takes in when a claim was seen that is newer than those before.
func (m *mesh) noteClaim(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claimSeen = now
}

// claimedLately tells whether a claim was just seen: its holder has hardly spoken yet.
func (m *mesh) claimedLately(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.claimSeen) < firstNews
}

// modesty is how much longer than others this host waits before a claim. The controller
// decides for all hosts, which takes the weakest in use a tenth of a second each time and
// most of their memory, so that hosts with half of the strongest's processor come first.
func (m *mesh) modesty() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	strongest := 0.0
	for _, h := range m.members() {
		strongest = max(strongest, h.Cores)
	}
	if m.member.Cores >= strongest/2 {
		return 0
	}
	return weakClaimDelay
}

// claimsEnd is the offset up to which the claims were read.
func (m *mesh) claimsEnd() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.claimsNext
}

// send sends a message and returns the first message of the answer.
func (m *mesh) send(ctx context.Context, addr string, r peer.Request) (peer.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answers, err := m.node.Send(ctx, addr, r)
	if err != nil {
		return peer.Response{}, err
	}
	return answers[0], nil
}

// answerPeer answers the messages of other hosts.
func (g *Gateway) answerPeer(r peer.Request) []peer.Response {
	now := g.Now()
	answer := peer.Response{ConfigVersion: g.configVersion()}
	if !r.Known {
		g.lease.UnknownHost(now)
		// A host that the store turned away before its entry was written. It may
		// read what the store would tell it, and say nothing.
		if r.State != nil {
			answer.State = g.state(*r.State)
		}
		return []peer.Response{answer}
	}
	switch {
	case r.Pull != nil:
		g.compareConfig(r.Pull.Demand.Addr, r.Pull.Demand.ConfigVersion)
		answer.Notice = g.answerPull(*r.Pull)
		now = g.Now()
		answer.ConfigVersion = g.configVersion()
	case r.State != nil:
		answer.State = g.state(*r.State)
	}
	claim := g.election.Newest()
	answer.Claim = &claim
	answer.Controlling = g.election.Held() != 0
	answer.HolderHeard = g.election.HeardAgo(now).Milliseconds()
	answer.StoreAge = g.listAge(now).Milliseconds()
	return []peer.Response{answer}
}

func (g *Gateway) configVersion() int64 {
	if c := g.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// compareConfig asks a host that knows a newer configuration for it. A host
// whose read of the store hangs, or that the store turns away, would keep an old
// one in force for seconds; every message between hosts tells the version.
func (g *Gateway) compareConfig(addr string, version int64) {
	if version > g.configVersion() && addr != "" {
		go g.askPeerAt(context.Background(), addr)
	}
}

// takeNotice takes in what the controller says, as another host has told it.
func (g *Gateway) takeNotice(now time.Time, n fleet.Notice) {
	if !g.news.fresh(n) || !g.board.Notice(now, n) {
		return
	}
	if n.Token != 0 {
		g.election.Observe(now, orders.Claim{
			Holder: orders.Holder{Host: n.Holder, Incarnation: n.Incarnation, Addr: n.Addr},
			Token:  n.Token,
		})
		g.election.Heard(now.Add(-milliseconds(n.HeardAgo)), n.Token)
		g.heardStamp.Store(n.Stamp)
	}
	g.takeListNotice(now, n)
	g.dispatcher.Kick()
	g.children.wake()
}

// takeListNotice takes in what the controller tells of the list of endpoints. Changes
// that came in a notice which was lost are not in this one: a host that lacks what
// came before reads the store itself. Else it would send requests for ten seconds to
// an endpoint that has left.
func (g *Gateway) takeListNotice(now time.Time, n fleet.Notice) {
	if n.StoreBackAgo > 0 {
		g.directory.StoreBack(now.Add(-milliseconds(n.StoreBackAgo)))
	}
	if len(n.ListEntries) > 0 && g.directory.Offset() > n.ListSince {
		g.takeEndpoints(fleet.Batch{Entries: n.ListEntries})
	}
	if n.ListChange >= g.directory.Offset() {
		if !g.listConfirmed() {
			signal(g.listNow)
		}
		return // Else the next answers bring it, or the confirmation ends.
	}
	g.mesh.confirm(now.Add(-milliseconds(n.ListAge)))
	if g.listConfirmed() {
		g.directory.Confirmed()
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// state answers a host that cannot read the store.
func (g *Gateway) state(r peer.StateRequest) *peer.StateAnswer {
	g.listMu.Lock()
	defer g.listMu.Unlock()
	g.feed.mu.Lock()
	defer g.feed.mu.Unlock()
	out := &peer.StateAnswer{EndpointsNext: g.directory.Offset()}
	if c := g.config.Load(); c != nil && c.Version > r.ConfigVersion {
		config := g.feed.config
		out.Config = &config
	}
	for _, e := range g.feed.endpoints {
		if e.Offset >= r.EndpointsFrom {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	return out
}

// askPause separates two questions to peers for what the store does not tell.
const askPause = 150 * time.Millisecond

// askPeer asks some other host for what this one cannot read from the store.
func (g *Gateway) askPeer(ctx context.Context) {
	if addrs := g.mesh.answering(g.Now()); len(addrs) > 0 {
		g.askPeerAt(ctx, addrs[rand.IntN(len(addrs))])
	}
}

const (
	// silentFor is how long a host that gave no answer is not asked again; it doubles
	// with each further time up to silentMost. Hosts that are gone for good stay in
	// the store, and each question to one costs its timeout.
	silentFor  = 2 * time.Second
	silentMost = 32 * time.Second
)

// answering returns the hosts that have not failed to answer lately, or all.
func (m *mesh) answering(now time.Time) []string {
	all := m.addrs()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.DeleteFunc(slices.Clone(all), func(addr string) bool { return now.Before(m.silent[addr]) })
	if len(out) == 0 {
		return all
	}
	return out
}

// some returns a few of the hosts that have not failed to answer lately, at random.
func (m *mesh) some(now time.Time, most int) []string {
	all := m.answering(now)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(most, len(all))]
}

func (m *mesh) noteSilent(now time.Time, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silent[addr] = now.Add(min(silentMost, silentFor<<min(m.failures[addr], 4)))
	m.failures[addr]++
}

// noteAnswer takes in that a host has answered.
func (m *mesh) noteAnswer(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.silent, addr)
	delete(m.failures, addr)
}

// members returns all hosts, this one included, as the tree sees them. It is called with
// the lock held.
func (m *mesh) members() []relay.Member {
	out := []relay.Member{m.member}
	for name, e := range m.peers {
		out = append(out, relay.Member{Name: name, Addr: e.Addr, Zone: e.Zone, Cores: e.Cores})
	}
	return out
}

// upstreams returns the hosts that this one asks, best first. The controller is left
// out while its address is not known.
func (m *mesh) upstreams(controller relay.Member) []relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := controller.Name + " " + controller.Addr
	if list, ok := m.tree[key]; ok {
		return list
	}
	controller.Cores = m.peers[controller.Name].Cores
	list := relay.Upstreams(m.member, controller, m.members())
	list = slices.DeleteFunc(list, func(u relay.Member) bool { return u.Addr == "" || u.Name == m.self })
	m.tree[key] = list
	return list
}

// relaying tells whether this host is one that others ask, or would ask next.
func (m *mesh) relaying() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.relay == nil {
		is := relay.Relaying(m.member, m.members())
		m.relay = &is
	}
	return *m.relay
}

// fanOut is how many hosts at most ask a host with some cores.
func (m *mesh) fanOut(cores float64) int { return min(m.hosts(), relay.Children(cores)) }

// firstAnswering returns the first host that has not failed to answer lately; the last
// one, which is the controller, if all have.
func (m *mesh) firstAnswering(now time.Time, hosts []relay.Member) relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range hosts {
		if !now.Before(m.silent[h.Addr]) {
			return h
		}
	}
	return hosts[len(hosts)-1]
}

func (g *Gateway) askPeerAt(ctx context.Context, addr string) {
	if !g.mesh.mayAsk(g.Now()) {
		return
	}
	request := peer.StateRequest{EndpointsFrom: stateFrom, ConfigVersion: g.configVersion()}
	if g.reads.Loaded(fleet.TopicEndpoints) {
		request.EndpointsFrom = g.directory.Offset()
	}
	answer, err := g.mesh.send(ctx, addr, peer.Request{State: &request})
	if err != nil {
		g.mesh.noteSilent(g.Now(), addr)
		g.log.Info("peer did not answer", "peer", addr, "error", err.Error())
		return
	}
	if answer.State == nil {
		return
	}
	if answer.State.Config != nil {
		g.takeConfig(*answer.State.Config)
	}
	if len(answer.State.Endpoints) > 0 {
		g.takeEndpoints(fleet.Batch{Entries: answer.State.Endpoints, Next: answer.State.EndpointsNext})
		g.reads.SetLoaded(fleet.TopicEndpoints)
	}
}

// mayAsk keeps questions to peers apart.
func (m *mesh) mayAsk(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.asked) < askPause {
		return false
	}
	m.asked = now
	return true
}
