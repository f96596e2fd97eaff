package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/emulator"
)

// shortScenario is small, so that the test is fast.
const shortScenario = `
name: short
duration: 2s
fleet: {endpoints: 2, availability_zones: 1, memory_mb: 100, slots: 8, disk_copies: 4, host_memory_copies: 1, store_slots: 1, rate_per_replica: 15}
classes:
  - {name: rare, models: 4, rate: 5, weights_mb: 60, store_load: 2s, disk_load: 300ms, memory_load: 200ms, objective: 1s, budget: 4s, run: 200ms, worth: 1}
`

func TestExperiment(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "s.yaml")
	is.NoErr(os.WriteFile(file, []byte(shortScenario), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Run([]string{"experiment", "-scenario", file, "-seeds", "2", "-with", "store_slots=2", "-json"}, &out, &errOut), 0)
	var outcomes []emulator.Outcome
	is.NoErr(json.Unmarshal(out.Bytes(), &outcomes))
	is.Equal(len(outcomes), 3)
	is.Equal(outcomes[2].Name, "store_slots=2")
	is.True(outcomes[0].Mean.Classes[0].Requested > 0)
	out.Reset()
	is.Equal(Run([]string{"experiment", "-scenario", file, "-seeds", "1"}, &out, &errOut), 0)
	is.True(strings.Contains(out.String(), "baseline"))

	is.Equal(Run([]string{"experiment", "-scenario", file, "-with", "nothing=1"}, &out, &errOut), 2)
	is.Equal(Run([]string{"experiment"}, &out, &errOut), 2)
}
