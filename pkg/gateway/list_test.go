package gateway_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// Guards against confirming a list that lacks changes from a lost notice: the host would keep
// sending requests to a draining or removed endpoint.
func TestListIsConfirmedOnlyWithoutGaps(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.startEngine("e1")
	h := d.startHost("a")
	d.waitFor("the host is the controller", h.IsController)
	h.storeListener.SetFault(site.FaultNoResponse) // The host cannot fill the gap by its own read.
	d.waitFor("the host notices the store outage", h.StoreUnavailable)
	known := h.ListOffset()
	notice := fleet.Notice{Holder: "b", Incarnation: "b-1", Addr: "127.0.0.1:9", Token: 99, ListAge: 10}

	notice.ListSince, notice.ListChange = known+5, known+7
	notice.ListEntries = []fleet.Entry{{Key: "e2", Offset: known + 7}}
	h.ApplyNotice(notice)
	is.True(!h.ListConfirmed()) // changes between known and known+5 are missing
	is.Equal(h.ListOffset(), known)

	notice.ListSince = known - 1
	h.ApplyNotice(notice)
	is.True(h.ListConfirmed())
	is.Equal(h.ListOffset(), known+8)
}

// Guards against dropping endpoints whose entries lapsed during a store outage that this host
// did not notice.
func TestLapsedEntriesSurviveUnnoticedStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.startEngine("e1")
	h := d.startHost("a")
	d.waitFor("the host is the controller", h.IsController)
	h.storeListener.SetFault(site.FaultNoResponse)
	d.waitFor("the host notices the store outage", h.StoreUnavailable)
	known := h.ListOffset()
	h.ApplyNotice(fleet.Notice{
		Holder: "b", Incarnation: "b-1", Addr: "127.0.0.1:9", Token: 99,
		ListSince: known - 1, ListChange: known, StoreRestoredAgo: 100,
		ListEntries: []fleet.Entry{{Key: "e1", Offset: known}},
	})
	is.Equal(h.LiveEndpoints(), 1)
}
