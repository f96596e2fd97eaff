package entrycache_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/entrycache"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// Guards against endpoints that a host never passes on, because a listing that began before they
// registered replaced what the host had learned of them meanwhile.
func TestOlderListingKeepsNewerEntries(t *testing.T) {
	entry := func(key, value string, offset int64) fleet.Entry {
		return fleet.Entry{Key: key, Value: []byte(value), Offset: fleet.NewPosition(0, offset)}
	}
	c := entrycache.New()
	for _, e := range []fleet.Entry{entry("left", "old", 1), entry("updated", "new", 12), entry("added", "new", 11), entry("removed", "", 13)} {
		c.AddEndpoint(e)
	}
	listed := map[string]fleet.Entry{"kept": entry("kept", "old", 2), "updated": entry("updated", "old", 3), "removed": entry("removed", "old", 4)}
	c.ReplaceEndpoints(listed, fleet.NewPosition(0, 10))
	for key, want := range map[string]string{"kept": "old", "updated": "new", "added": "new", "left": "", "removed": ""} {
		t.Run(key, func(t *testing.T) {
			is := is.New(t)
			e, ok := c.Endpoint(key)
			is.True(ok)
			is.Equal(string(e.Value), want)
		})
	}
	is.New(t).Equal(c.ListBytes(), len("old")+len("new")+len("new"))
}
