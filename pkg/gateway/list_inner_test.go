package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// A host's own read of the list has failed, and it is told since: it does not read again for
// a minute. An endpoint ends without a word while the store has just come back for another
// host. It counted as one whose entry may still come back, for as long as the host believed
// the store to be away, and got requests four seconds after it had left.
func TestToldHostLetsLapsedEntriesEnd(t *testing.T) {
	is := is.New(t)
	g := listHost(time.Minute)
	now := g.Now()
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	g.takeEndpoints(fleet.Batch{Entries: []fleet.Entry{{Key: "e", Value: []byte("ready")}}})
	g.directory.StoreState(at(0), false)
	notice := fleet.Notice{ListSince: 0, ListChange: 1, StoreBackAgo: 1800, ListEntries: []fleet.Entry{{Key: "e", Offset: 1}}}
	g.takeListNotice(at(0.1), notice)
	is.Equal(len(g.directory.Live(at(0.1))), 1) // it may still come back
	is.Equal(len(g.directory.Live(at(0.5))), 0)
}
