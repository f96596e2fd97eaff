package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/peer"
)

// The configuration has grown by thousands of routes, and a relay with a slow link passes it on to all
// its hosts. None got it before its question timed out, and each asked again every 150 ms, so
// that it came seconds late: requests were refused for want of a route that was there.
func TestConfigurationThatNobodyPassesOnIsReadFromTheStore(t *testing.T) {
	is := is.New(t)
	g := relayHost()
	cert, _, err := peer.SelfSigned(g.Now())
	is.NoErr(err)
	node, err := peer.ListenPinned("127.0.0.1:0", cert, g.mesh.known, g.answerPeer)
	is.NoErr(err)
	defer func() { is.NoErr(node.Close()) }()
	g.mesh.node = node
	is.True(!g.lacksConfig())
	g.compareConfig("127.0.0.1:1", 7) // nobody answers there
	deadline := time.After(5 * time.Second)
	for !g.lacksConfig() {
		select {
		case <-time.After(time.Millisecond):
		case <-deadline:
			t.Fatal("the host goes on to rest on the word of others")
		}
	}
}

// A question whose answer is on its way is not asked again, other hosts are.
func TestNoHostIsAskedTwiceAtATime(t *testing.T) {
	is := is.New(t)
	m := newMesh("a", peer.Fingerprint{})
	now := time.Unix(1000, 0)
	is.True(m.beginAsk(now, "x"))
	now = now.Add(askPause)
	is.True(!m.beginAsk(now, "x"))
	is.True(m.beginAsk(now, "y"))
	m.endAsk("x")
	now = now.Add(askPause)
	is.True(m.beginAsk(now, "x"))
}
