package streamorigin_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/streamorigin"
)

func start(attempt, version string) fleet.StreamStart {
	return fleet.StreamStart{Attempt: attempt, Origin: fleet.StreamOrigin{Service: "s", Version: version}}
}

// Guards against choosing one of several versions that an attempt is said to have begun at.
func TestConflictingOriginsAreNotKnown(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := streamorigin.NewTable()
	table.Add(now, start("a", "1"))
	table.Add(now, start("a", "1"))
	is.Equal(table.Find(now, "a").Origin.Version, "1")
	table.Add(now, start("a", "2"))
	table.Add(now, start("a", "1"))
	found := table.Find(now, "a")
	is.True(found.Origin == nil)
	is.True(found.Conflict)
}

// Guards against forgetting a stream while its client may take it up, and against remembering all forever.
func TestStreamsAreForgottenInTime(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := streamorigin.NewTable()
	for i := range 10 * 60 {
		now = now.Add(100 * time.Millisecond)
		table.Add(now, start(fmt.Sprint("x", i), ""))
		if i >= 290 {
			is.True(table.Find(now, fmt.Sprint("x", i-290)).Origin != nil)
		}
	}
	is.True(table.Len() <= 601)
	for i := range 200_000 {
		table.Add(now, start(fmt.Sprint("y", i), "1"))
	}
	is.True(table.Len() <= 2<<16)
	is.Equal(len(table.Of("s", now, 10)), 10)
	for _, attempt := range []string{"", strings.Repeat("x", 4000)} {
		table.Add(now, start(attempt, "1"))
		is.True(table.Find(now, attempt).Origin == nil)
	}
	is.Equal(len(table.Of("other", now, 10)), 0)
}

func hosts(n, zones int) []streamorigin.Host {
	var out []streamorigin.Host
	for i := range n {
		out = append(out, streamorigin.Host{Name: fmt.Sprint("host-", i), Addr: fmt.Sprint("10.0.0.", i), Zone: fmt.Sprint("z", i%zones)})
	}
	return out
}

// Guards against streams that are forgotten with one zone, or that a few hosts remember for all.
func TestKeepersAreInTwoZonesAndShareTheWork(t *testing.T) {
	is := is.New(t)
	all := hosts(9, 3)
	kept := map[string]int{}
	for i := range 9000 {
		k := streamorigin.Keepers(fmt.Sprintf("%016x", i), all, 2)
		is.Equal(len(k), 2)
		is.True(k[0].Zone != k[1].Zone)
		kept[k[0].Name]++
		kept[k[1].Name]++
	}
	for _, n := range kept {
		is.True(n > 1500 && n < 2500)
	}
	is.Equal(len(streamorigin.Keepers("a", hosts(1, 1), 2)), 1)
	is.Equal(len(streamorigin.Keepers("a", hosts(5, 1), 4)), 4)
}

// Guards against asking other hosts than those that were told when hosts are added or removed meanwhile.
func TestKeepersChangeLittleWithMembership(t *testing.T) {
	is := is.New(t)
	before, after := hosts(30, 3), hosts(33, 3)
	missed := 0
	for i := range 3000 {
		attempt := fmt.Sprintf("%016x", i)
		told, asked := streamorigin.Keepers(attempt, before, 2), streamorigin.Keepers(attempt, after, 4)
		found := false
		for _, a := range asked {
			found = found || a.Name == told[0].Name || a.Name == told[1].Name
		}
		if !found {
			missed++
		}
	}
	is.True(missed < 30)
}
