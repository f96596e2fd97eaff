package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/relay"
)

const (
	// peerTimeout bounds a request to another host.
	peerTimeout = 600 * time.Millisecond
	// maxListAge is the age of the list of endpoints after which a peer is asked for it. Reads
	// of the store may hang, and a draining endpoint must soon receive no more requests.
	maxListAge = 1100 * time.Millisecond
	// firstNoticeTimeout is how long a new controller may take to reach all hosts. After a
	// start, relays first read the entries of all hosts.
	firstNoticeTimeout = 3 * time.Second
	// weakHostClaimDelay delays the claims of weak hosts. It is longer than strong ones take to
	// start one after the other.
	weakHostClaimDelay = 400 * time.Millisecond
	// fullStateOffset is the offset that requests all entries of the list.
	fullStateOffset = 0
)

// messenger sends requests to other hosts and receives theirs. It is implemented by peer.Node.
type messenger interface {
	Addr() string
	Send(ctx context.Context, addr string, r peer.Request) ([]peer.Response, error)
	// Open opens a stream with a request as its first message.
	Open(ctx context.Context, addr string, r peer.Request) (*peer.Stream, error)
	RemoveConn(addr string)
	Serve(ctx context.Context)
	Close() error
}

// mesh tracks the other hosts. It is safe for concurrent use.
type mesh struct {
	self        string
	member      relay.Member
	fingerprint peer.Fingerprint
	node        messenger

	mu    sync.Mutex
	peers map[string]hostEntry
	// known holds the certificate fingerprints of the other hosts.
	known map[peer.Fingerprint]bool
	// claimsNext is the offset up to which claims were read.
	claimsNext fleet.Position
	// backoffUntil is the time, by address, until which a host is not contacted.
	backoffUntil map[string]time.Time
	// failures is the number of consecutive failed requests by address.
	failures map[string]int
	// upstreamCache holds the upstream hosts for each controller. It is cleared when a host
	// changes.
	upstreamCache map[string][]relay.Member
	// roles caches which hosts are relays; nil means not computed.
	roles *relayRoles
	// lastStateRequest is when state was last requested from a peer, lastListRequest when changes of the
	// list were. pendingStateRequests holds the addresses with a request in flight.
	lastStateRequest     time.Time
	lastListRequest      time.Time
	pendingStateRequests map[string]bool
	// claimSeenAt is when the newest claim was first seen.
	claimSeenAt time.Time
	// peersChangedAt is when the entry of another host was last added or changed, peersAddedAt
	// when one was last added.
	peersChangedAt time.Time
	peersAddedAt   time.Time
	// listConfirmedAt is the time up to which, by the controller's last confirmation, this host's
	// list of endpoints is complete.
	listConfirmedAt time.Time
}

// confirmList records that this host's list of endpoints is complete as of a time.
func (m *mesh) confirmList(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.listConfirmedAt) {
		m.listConfirmedAt = at
	}
}

// confirmedListAge returns the time since the list of endpoints was last confirmed by the
// controller.
func (m *mesh) confirmedListAge(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.listConfirmedAt)
}

func newMesh(self string, own peer.Fingerprint) *mesh {
	return &mesh{
		self:                 self,
		fingerprint:          own,
		peers:                map[string]hostEntry{},
		known:                map[peer.Fingerprint]bool{},
		backoffUntil:         map[string]time.Time{},
		failures:             map[string]int{},
		pendingStateRequests: map[string]bool{},
		upstreamCache:        map[string][]relay.Member{},
	}
}

func (m *mesh) serve(ctx context.Context) { m.node.Serve(ctx) }

// isKnown reports whether a certificate belongs to a known host.
func (m *mesh) isKnown(f peer.Fingerprint) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known[f]
}

// peer returns the newest entry of another host.
func (m *mesh) peer(host string) (hostEntry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.peers[host]
	return e, ok
}

// updatePeer adds or updates the entry of a host. A restarted host has a new key, so
// connections to its former incarnation are closed.
func (m *mesh) updatePeer(host string, e hostEntry) {
	if host == m.self {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old, ok := m.peers[host]
	if !ok || old.Fingerprint != e.Fingerprint {
		m.peersChangedAt = time.Now()
	}
	if !ok {
		m.peersAddedAt = time.Now()
	}
	if ok && old.Fingerprint != e.Fingerprint {
		delete(m.known, old.Fingerprint)
		m.node.RemoveConn(old.Addr)
	}
	m.peers[host] = e
	clear(m.upstreamCache)
	m.roles = nil
	delete(m.backoffUntil, e.Addr)
	delete(m.failures, e.Addr)
	m.known[e.Fingerprint] = true
}

// membershipStable reports whether no entry of another host was added or changed within
// hostBatchDelay.
func (m *mesh) membershipStable(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.peersChangedAt) >= hostBatchDelay
}

// rolesStable reports whether no other host was added within hostBatchDelay. Which hosts are relays
// does not change when a known host starts anew.
func (m *mesh) rolesStable(now time.Time) bool { return m.sinceAdded(now) >= hostBatchDelay }

// sinceAdded returns the time since another host was last added.
func (m *mesh) sinceAdded(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.peersAddedAt)
}

// hosts returns the number of known hosts, including this one.
func (m *mesh) hosts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
}

// addrs returns the addresses of all other hosts.
func (m *mesh) addrs() []string {
	return slices.Collect(maps.Values(m.addrsByName()))
}

// names returns the names of all other hosts.
func (m *mesh) names() []string {
	return slices.Collect(maps.Keys(m.addrsByName()))
}

// addrsByName returns the addresses of all other hosts by name.
func (m *mesh) addrsByName() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]string, len(m.peers))
	for name, e := range m.peers {
		out[name] = e.Addr
	}
	return out
}

func (m *mesh) advanceClaimsOffset(next fleet.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claimsNext = max(m.claimsNext, next)
}

// recordClaim records when the newest claim was seen.
func (m *mesh) recordClaim(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claimSeenAt = now
}

// claimSeenRecently reports whether the newest claim is so recent that its holder may not have
// sent a notice yet.
func (m *mesh) claimSeenRecently(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.claimSeenAt) < firstNoticeTimeout
}

// weakHostDelay returns the additional delay before a claim of this host. It is 0 unless the host
// has less than half the CPU capacity of the strongest one, since the controller's decisions need
// CPU time and memory.
func (m *mesh) weakHostDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	strongest := 0.0
	for _, h := range m.members() {
		strongest = max(strongest, h.Cores)
	}
	if m.member.Cores >= strongest/2 {
		return 0
	}
	return weakHostClaimDelay
}

// claimRank returns how many hosts other than excluded go before this one in the order in which
// hosts claim.
func (m *mesh) claimRank(excluded string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return relay.Rank(m.member, excluded, m.members())
}

// claimsOffset returns the offset up to which claims were read.
func (m *mesh) claimsOffset() fleet.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.claimsNext
}

// send sends a request and returns the first response.
func (m *mesh) send(ctx context.Context, addr string, r peer.Request) (peer.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	responses, err := m.node.Send(ctx, addr, r)
	if err != nil {
		return peer.Response{}, err
	}
	return responses[0], nil
}
