package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a host that trusts its view for too long: the response was read late, after a suspension, or came from a
// host that was behind.
func TestViewAgeIsThatOfContent(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var n noticeTracker
	n.recordResponse(now)
	n.recordView(now.Add(-1500*time.Millisecond), 900*time.Millisecond)
	is.Equal(n.age(now), time.Duration(0))
	is.Equal(n.viewAge(now), 2400*time.Millisecond)
	n.recordView(now.Add(-time.Second), 0)
	n.recordView(now.Add(-time.Second), 500*time.Millisecond) // Another pull that was answered before.
	is.Equal(n.viewAge(now), time.Second)
}
