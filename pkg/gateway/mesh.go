package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

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
	// asked is when a peer was last asked for the state, asking names those that are now.
	asked  time.Time
	asking map[string]bool
	// claimSeen is when the newest claim was first seen.
	claimSeen time.Time
	// learned is when the entry of another host last came or changed.
	learned time.Time
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
		asking:   map[string]bool{},
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
	old, ok := m.peers[host]
	if !ok || old.Fingerprint != e.Fingerprint {
		m.learned = time.Now()
	}
	if ok && old.Fingerprint != e.Fingerprint {
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

// settled tells whether no entry of another host has come for a while: hosts that start
// together are known then.
func (m *mesh) settled(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.learned) >= gatherTime
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
