package slotshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// Guards against a figure of an endpoint that ends the process: as the size of an allocation, or as a float that no int holds.
func TestFiguresOfAnyEndpointAreShared(t *testing.T) {
	for _, apart := range []bool{false, true} {
		for _, slots := range []int{math.MinInt64, 0, 1, 1 << 40, math.MaxInt64} {
			for _, m := range []float64{math.Inf(-1), 0, 10, 1e18, 1e300, math.Inf(1), math.NaN()} {
				t.Run(fmt.Sprint(apart, slots, m), func(t *testing.T) {
					is := is.New(t)
					x := NewTable(time.Now, func(string) (Limit, bool) { return Limit{MaxRejections: m}, true })
					x.Apart = apart
					x.SetHosts("a", []string{"b", "c"})
					e := fleet.Endpoint{ID: "e@1", Service: "s", Slots: slots}
					is.True(len(x.Owners(e)) <= 3)
					shares, _ := x.shares(e, Limit{MaxRejections: m})
					sum := 0
					for _, s := range shares {
						sum += s.Slots
					}
					is.Equal(sum, max(0, min(slots, 1<<16)))
					is.True(rejectionsPerOwner(m, len(shares)) >= 1)
					is.True(rejectionsPerOwner(m, len(shares)) <= 1<<20)
				})
			}
		}
	}
}
