package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/relay"
)

// Guards against a host that trusts its view for too long: the response was read late, after a suspension, or came from a
// host that was behind.
func TestViewAgeIsThatOfContent(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var n relay.NoticeTracker
	n.RecordResponse(now)
	n.RecordView(now.Add(-1500*time.Millisecond), 900*time.Millisecond)
	is.Equal(n.Age(now), time.Duration(0))
	is.Equal(n.ViewAge(now), 2400*time.Millisecond)
	n.RecordView(now.Add(-time.Second), 0)
	n.RecordView(now.Add(-time.Second), 500*time.Millisecond) // Another pull that was answered before.
	is.Equal(n.ViewAge(now), time.Second)
}

// Guards against an older response overwriting the state of a newer one.
func TestOlderNoticeIsIgnored(t *testing.T) {
	is := is.New(t)
	var s relay.NoticeTracker
	is.True(!s.Accept(fleet.Notice{Source: "a", Token: 1, Version: 4})) // changes without a full notice before
	is.True(s.Accept(fleet.Notice{Source: "a", Token: 1, Version: 5, Full: true}))
	is.True(s.Accept(fleet.Notice{Source: "a", Token: 1, Version: 7}))
	is.True(!s.Accept(fleet.Notice{Source: "a", Token: 1, Version: 6}))
	is.True(!s.Accept(fleet.Notice{Source: "b", Token: 1, Version: 9})) // changes relative to another host
	is.True(s.Accept(fleet.Notice{Source: "b", Token: 1, Version: 2, Full: true}))
}
