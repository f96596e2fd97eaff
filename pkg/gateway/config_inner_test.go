package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/peer"
)

// Guards against a host waiting indefinitely for a configuration that other hosts announce but
// fail to send in time.
func TestConfigurationIsReadFromStoreIfPeerFails(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	cert, _, err := peer.SelfSigned(g.Now())
	is.NoErr(err)
	node, err := peer.ListenPinned("127.0.0.1:0", cert, g.mesh.isKnown, g.handlePeer)
	is.NoErr(err)
	defer func() { is.NoErr(node.Close()) }()
	g.mesh.node = node
	is.True(!g.missedNewerConfig())
	g.fetchNewerConfig("127.0.0.1:1", 7) // no host listens there
	deadline := time.After(5 * time.Second)
	for !g.missedNewerConfig() {
		select {
		case <-time.After(time.Millisecond):
		case <-deadline:
			t.Fatal("host does not fall back to the store within 5 s")
		}
	}
}

// Guards against several copies of the same response sharing a slow link.
func TestOneStateRequestPerHostInFlight(t *testing.T) {
	is := is.New(t)
	m := newMesh("a", peer.Fingerprint{})
	now := time.Unix(1000, 0)
	is.True(m.beginStateRequest(now, "x"))
	now = now.Add(minStateRequestInterval)
	is.True(!m.beginStateRequest(now, "x"))
	is.True(m.beginStateRequest(now, "y"))
	m.endStateRequest("x")
	now = now.Add(minStateRequestInterval)
	is.True(m.beginStateRequest(now, "x"))
}
