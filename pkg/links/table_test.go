package links

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

func endpoints(n int) []fleet.Endpoint {
	out := make([]fleet.Endpoint, n)
	for i := range out {
		out[i].ID = fleet.EndpointID(fmt.Sprint("e", i))
	}
	return out
}

// Guards against one endpoint that has terminated being taken for the loss of this host's links.
func TestOneFailureIsNotLossOfLinks(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for _, c := range []struct {
		reached, failed int
		want            bool
	}{{3, 1, false}, {2, 2, false}, {1, 3, true}, {0, 4, true}, {0, 1, false}, {0, 2, true}, {0, 0, false}} {
		table := NewTable()
		is.True(table.RecordFailed(now, "e0"))
		is.True(!table.RecordFailed(now, "e1")) // The sample has just been due.
		table.RecordSample(now, c.reached, c.failed)
		is.Equal(table.Lost(), c.want)
		is.Equal(table.State("e0"), Down)
		is.Equal(table.State("e9") == Suspect, c.want)
	}
}

// Guards against links that stay suspect after they work, and against all of them returning in one moment.
func TestLinksReturnOneByOne(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table, all := NewTable(), endpoints(20)
	for _, e := range all {
		table.RecordFailed(now, e.ID)
	}
	table.RecordSample(now, 0, 4)
	table.RecordConnected("e7")
	is.Equal(table.State("e7"), Up) // Though the others seem lost.
	is.Equal(len(table.ChecksDue(now.Add(time.Hour), all)), 0)
	is.True(table.ResampleDue(now.Add(sampleInterval)))
	is.True(!table.RecordSample(now, 2, 1))
	is.True(!table.RecordSample(now, 1, 2))
	is.True(!table.RecordSample(now, 2, 1))
	is.True(table.RecordSample(now, 2, 1))
	is.Equal(table.DownCount(), 19)
	is.Equal(len(table.ChecksDue(now, all)), 0) // The checks are spread.
	later := now.Add(sampleInterval)
	due := table.ChecksDue(later, all)
	is.Equal(len(due), maxChecks)
	is.Equal(len(table.ChecksDue(later, all)), 0) // The first checks have not ended.
	for _, e := range due {
		table.RecordConnected(e.ID)
		table.EndCheck(e.ID)
	}
	is.Equal(table.DownCount(), 19-maxChecks)
	is.Equal(len(table.ChecksDue(later, all)), maxChecks)
}

// Guards against a failure that counts for longer than it says anything.
func TestFailureExpires(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable()
	table.RecordFailed(now, "e0")
	is.True(table.FailedRecently(now, "e0"))
	is.True(!table.FailedRecently(now.Add(failureTTL), "e0"))
	table.RecordSample(now, 0, 4)
	is.True(table.FailedRecently(now.Add(failureTTL), "e0")) // Samples are taken instead.
	table.Retain(nil)
	is.Equal(table.DownCount(), 0)
}
