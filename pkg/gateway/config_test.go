package gateway_test

import (
	"fmt"
	"testing"

	"github.com/tealvane/tealvane/internal/proptest"
	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/pkg/fleet"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { proptest.Main(m, 100, 30) }

// Guards against an older configuration replacing a newer one when records arrive twice, late,
// out of order or damaged.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	d := newDeployment(t)
	g := d.startHostWithFault("a", site.FaultNoResponse)
	newest := int64(0)
	rapid.Check(t, func(t *rapid.T) {
		start := newest
		for i, step := range rapid.SliceOfN(rapid.IntRange(0, 30), 1, 20).Draw(t, "versions") {
			version := start + int64(step)
			value := fmt.Sprintf(`{"version":%d,"routes":[],"services":[]}`, version)
			damaged := rapid.IntRange(0, 4).Draw(t, "damaged") == 0
			if damaged {
				value = value[:len(value)/2]
			} else if version > newest {
				newest = version
			}
			if got := g.ApplyConfig(fleet.Entry{Key: "config", Value: []byte(value), Offset: fleet.Position(i)}); got != newest {
				t.Fatalf("got version %d in force, want %d, after %s", got, newest, value)
			}
		}
	})
}
