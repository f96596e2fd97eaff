package slotshare

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/proptest"
	"github.com/tealvane/tealvane/pkg/fleet"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { proptest.Main(m, 200, 200) }

// testHosts are hosts with one clock.
type testHosts struct {
	now    time.Time
	limit  Limit
	tables []*Table
}

func newTestHosts(n int, maxRejections float64) *testHosts {
	h := &testHosts{now: time.Unix(1000, 0), limit: Limit{MaxRejections: maxRejections}}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("host-", i))
	}
	for i := range n {
		t := NewTable(func() time.Time { return h.now }, func(string) (Limit, bool) { return h.limit, true })
		t.SetHosts(names[i], append(append([]string{}, names[:i]...), names[i+1:]...))
		h.tables = append(h.tables, t)
	}
	h.now = h.now.Add(time.Minute)
	h.limit.Since = h.now
	return h
}

func (h *testHosts) try(i int, e fleet.Endpoint) *Slot {
	slot, _ := h.tables[i].Acquire(context.Background(), e, Claim{MaxRejections: -1})
	return slot
}

// Guards against hosts that together send an endpoint more requests than it has slots, and against slots that nobody
// uses.
func TestSharesAddUpToSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newTestHosts(rapid.IntRange(1, 40).Draw(t, "hosts"), float64(rapid.IntRange(0, 30).Draw(t, "max rejections")))
		e := fleet.Endpoint{ID: fleet.EndpointID(rapid.StringN(1, 8, 8).Draw(t, "endpoint")), Slots: rapid.IntRange(1, 70).Draw(t, "slots")}
		var used []*Slot
		for range rapid.IntRange(1, 4).Draw(t, "rounds") {
			for i := range h.tables {
				for slot := h.try(i, e); slot != nil; slot = h.try(i, e) {
					used = append(used, slot)
				}
			}
			if len(used) != e.Slots {
				t.Fatalf("%d requests at an endpoint with %d slots", len(used), e.Slots)
			}
			for n := rapid.IntRange(0, len(used)).Draw(t, "ended"); n > 0; n-- {
				used[0].End(rapid.SampledFrom([]Outcome{Ended, NotSent}).Draw(t, "outcome"))
				used = used[1:]
			}
		}
	})
}

// Guards against a few hosts that own the slots of all endpoints.
func TestSlotsAreSpreadOverHosts(t *testing.T) {
	for _, n := range []int{9, 77, 300} {
		var hosts []string
		for i := range n {
			hosts = append(hosts, fmt.Sprint("front-zone-", i))
		}
		owned, endpoints := map[string]int{}, 20*n
		for i := range endpoints {
			for _, s := range divide(12, 3, ranked(fleet.EndpointID(fmt.Sprintf("i-%04d", i)), hosts, 3)) {
				owned[s.Host] += s.Slots
			}
		}
		mean := 12 * endpoints / n
		for _, h := range hosts {
			if owned[h] < mean/2 || owned[h] > 2*mean {
				t.Errorf("%d hosts: %s owns %d slots, the mean is %d", n, h, owned[h], mean)
			}
		}
	}
}

// Guards against hosts that together cause more rejections than an endpoint can take, when requests that no owner
// knows of take up its room.
func TestRejectionsOfAllOwnersAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 30).Draw(t, "max rejections")
		h := newTestHosts(rapid.IntRange(1, 40).Draw(t, "hosts"), float64(limit))
		h.limit.Since = h.now.Add(-time.Minute)
		e := fleet.Endpoint{ID: "e", Slots: rapid.IntRange(1, 70).Draw(t, "slots")}
		var rejections []time.Time
		for range 200 {
			h.now = h.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "passed")) * time.Millisecond)
			i := rapid.IntRange(0, len(h.tables)-1).Draw(t, "host")
			if slot := h.try(i, e); slot != nil {
				slot.End(Rejected)
				rejections = append(rejections, h.now)
			}
		}
		for i, first := range rejections {
			n := 0
			for _, at := range rejections[i:] {
				if at.Sub(first) < rejectionWindow {
					n++
				}
			}
			if n > limit {
				t.Fatalf("%d rejections in a second, %d allowed", n, limit)
			}
		}
	})
}

// Guards against two hosts that use the same slots while hosts change, and against slots that nobody takes over.
func TestSlotsOfLostHostAreTakenOver(t *testing.T) {
	is := is.New(t)
	h := newTestHosts(9, 10)
	e := fleet.Endpoint{ID: "e", Slots: 12}
	lost := ""
	for _, o := range h.tables[0].Owners(e) {
		if !o.Self {
			lost = o.Name
		}
	}
	free := func() (n int) {
		for i := range h.tables {
			if h.tables[i].self == lost {
				continue
			}
			var used []*Slot
			for slot := h.try(i, e); slot != nil; slot = h.try(i, e) {
				used = append(used, slot)
			}
			n += len(used)
			for _, s := range used {
				s.End(Ended)
			}
		}
		return n
	}
	is.Equal(free(), 8)
	for _, table := range h.tables {
		table.RecordDown(lost)
	}
	is.Equal(free(), 8) // its requests may still be running
	h.now = h.now.Add(handoverTime)
	is.True(free() > 8) // fewer at first than the new owner has slots
	free()
	free()
	is.Equal(free(), 12)
	for _, table := range h.tables {
		table.RecordUp(lost)
	}
	is.Equal(free(), 8)
}

// Guards against a host that goes on using its slots while it shuts down, when others have taken them over.
func TestStoppingHostGivesUpItsSlots(t *testing.T) {
	is := is.New(t)
	h := newTestHosts(3, 10)
	e := fleet.Endpoint{ID: "e", Slots: 12}
	for _, table := range h.tables {
		table.RecordDown("host-0")
	}
	h.now = h.now.Add(time.Minute)
	is.True(h.try(0, e) == nil)
	is.Equal(len(h.tables[0].Owners(e)), 2)
	is.True(!slices.Contains(h.tables[0].ProbesDue(true), "host-0"))
	h.tables[0].ProbesDue(false)
	is.True(h.try(0, e) == nil)
}

// Guards against slots that all belong to a few hosts where hosts do not send requests by way of one another.
func TestAllHostsOwnSlotsIfApart(t *testing.T) {
	is := is.New(t)
	h := newTestHosts(9, 10)
	e := fleet.Endpoint{ID: "e", Slots: 12}
	used := 0
	for i, table := range h.tables {
		table.Apart = true
		own := 0
		for slot := h.try(i, e); slot != nil; slot = h.try(i, e) {
			own++
		}
		is.True(own > 0)
		used += own
	}
	is.Equal(used, 12)
}

// Guards against a host that uses slots as soon as it has started, while others still use them.
func TestNewHostWaitsForItsSlots(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable(func() time.Time { return now }, func(string) (Limit, bool) { return Limit{MaxRejections: 10}, true })
	table.SetHosts("a", nil)
	e := fleet.Endpoint{ID: "e", Slots: 12}
	for range int((handoverTime + listTime) / (100 * time.Millisecond)) {
		_, refused := table.Acquire(context.Background(), e, Claim{MaxRejections: -1})
		is.Equal(refused, &Refusal{NotOwner})
		now = now.Add(100 * time.Millisecond)
	}
	_, refused := table.Acquire(context.Background(), e, Claim{MaxRejections: -1})
	is.Equal(refused, nil)
}

// Guards against requests that wait behind less urgent ones, wait too long, or are never refused.
func TestWaitingRequestsAreOrderedByUrgency(t *testing.T) {
	is := is.New(t)
	p := &part{}
	p.setShare(2, 1, 2)
	now := time.Unix(1000, 0)
	is.True(p.take(now))
	is.True(p.take(now))
	is.True(!p.take(now))
	newWaiter := func(urgency int) *waiter {
		return &waiter{urgency: urgency, granted: make(chan struct{}), refused: make(chan struct{})}
	}
	late, usual, urgent, later := newWaiter(9), newWaiter(5), newWaiter(1), newWaiter(9)
	is.True(p.enqueue(late) && p.enqueue(usual))
	is.True(!p.enqueue(later))
	is.True(p.enqueue(urgent))
	<-late.refused
	p.release(now, Ended)
	<-urgent.granted
	p.release(now, Ended)
	<-usual.granted
	is.Equal(p.inUse, 2)
}

// Guards against an endpoint that gets more requests than it has just had room for, once it has rejected one.
func TestWindowFollowsRejections(t *testing.T) {
	is := is.New(t)
	p := &part{}
	p.setShare(4, 2, 4)
	now := time.Unix(1000, 0)
	for range 4 {
		is.True(p.take(now))
	}
	p.release(now, Rejected)
	is.Equal(p.window, 3)
	is.True(!p.take(now))
	p.release(now, Ended)
	is.True(p.take(now)) // in place of the one that has ended
	is.True(!p.take(now))
	now = now.Add(rejectionWindow)
	p.release(now, Ended)
	is.Equal(p.window, 4)
}
