package gateway_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
)

// maxStartupCalls is the maximum average number of store calls of a host at its start: one per
// topic and one to write its entry. maxNonListCalls bounds those that are not reads of the list
// of endpoints, which may be repeated.
const (
	maxStartupCalls = 5
	maxNonListCalls = 3
)

// Guards against excessive store calls when all hosts start together. Only the controller and
// the relays must read every topic; hosts that receive updates late are not counted.
func TestStoreCallsAtStartup(t *testing.T) {
	const fleet, relays = 7, 3
	d := newDeployment(t)
	d.publish(config(1))
	d.startEngine("e1")
	d.startEngine("e2")
	var hosts []*host
	for i := range fleet {
		hosts = append(hosts, d.newHost(fmt.Sprint("h", i), site.NoFault))
	}
	for _, h := range hosts {
		h.run()
	}
	defer func() {
		for _, h := range hosts {
			h.stop() // In parallel, since each stop takes seconds.
		}
	}()
	<-time.After(2 * time.Second)
	var updated []map[string]int
	late := 0
	for _, h := range hosts {
		switch {
		case h.IsController():
		case h.UpdatedDuringStartup():
			updated = append(updated, h.storeListener.Calls())
		default:
			late++
		}
	}
	slices.SortFunc(updated, func(a, b map[string]int) int { return sum(a) - sum(b) })
	updated = updated[:max(0, len(updated)-relays)]
	if late > 0 {
		t.Logf("%d hosts received updates late, %d are checked", late, len(updated))
	}
	all := 0
	for _, calls := range updated {
		all += sum(calls)
		if nonList := sum(calls) - calls["keyed.servers"]; nonList > maxNonListCalls {
			t.Errorf("a host without children made %v calls, want at most %d other than reads of the list", calls, maxNonListCalls)
		}
	}
	if all > maxStartupCalls*len(updated) {
		t.Errorf("%d hosts without children made %d calls in two seconds (%v), want at most %d each on average", len(updated), all, updated, maxStartupCalls)
	}
	d.waitFor("all hosts know each other", func() bool {
		return !slices.ContainsFunc(hosts, func(h *host) bool { return h.Peers() < fleet-1 || h.LiveEndpoints() < 2 })
	})
}

func sum(calls map[string]int) int {
	n := 0
	for _, c := range calls {
		n += c
	}
	return n
}
