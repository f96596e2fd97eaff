package gateway_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// An endpoint leaves, and the notice that says so is lost; the next one tells of
// another that came later. A host that took the second for all there was to know went
// on to send requests to the endpoint that had left, for ten seconds.
func TestListIsConfirmedOnlyIfNothingIsMissing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.engine("e1")
	h := d.startHost("a")
	d.until("the host gives orders", h.Controls)
	h.door.Set(site.Silent) // It cannot fill the gap by a read of its own.
	d.until("the store is away", h.StoreAway)
	known := h.ListOffset()
	notice := fleet.Notice{Holder: "b", Incarnation: "b-1", Addr: "127.0.0.1:9", Token: 99, ListAge: 10}

	notice.ListSince, notice.ListChange = known+5, known+7
	notice.ListEntries = []fleet.Entry{{Key: "e2", Offset: known + 7}}
	h.HearNotice(notice)
	is.True(!h.Confirmed()) // what came between known and known+5 is missing
	is.Equal(h.ListOffset(), known)

	notice.ListSince = known - 1
	h.HearNotice(notice)
	is.True(h.Confirmed())
	is.Equal(h.ListOffset(), known+8)
}

// The store was away, and entries of endpoints that serve lapsed meanwhile. A host that
// reads the list seldom has not noticed, and took them for gone at the first notice
// that named them: every request was refused for two seconds.
func TestLapsedEntriesStayAtAHostThatDidNotNotice(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.engine("e1")
	h := d.startHost("a")
	d.until("the host gives orders", h.Controls)
	h.door.Set(site.Silent)
	d.until("the store is away", h.StoreAway)
	known := h.ListOffset()
	h.HearNotice(fleet.Notice{
		Holder: "b", Incarnation: "b-1", Addr: "127.0.0.1:9", Token: 99,
		ListSince: known - 1, ListChange: known, StoreBackAgo: 100,
		ListEntries: []fleet.Entry{{Key: "e1", Offset: known}},
	})
	is.Equal(h.LiveEndpoints(), 1)
}
