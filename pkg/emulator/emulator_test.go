package emulator_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/emulator"
	"github.com/tealvane/tealvane/pkg/residency"
)

func loadScenario(t testing.TB, name string) emulator.Scenario {
	t.Helper()
	s, err := emulator.LoadScenario("../../examples/scenarios/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestSameSeedGivesSameResult(t *testing.T) {
	is := is.New(t)
	s := loadScenario(t, "overload.yaml")
	a := emulator.Simulate(s, residency.Decide, 1)
	b := emulator.Simulate(s, residency.Decide, 1)
	is.Equal(a.Worth, b.Worth)
	is.Equal(a.Loads, b.Loads)
}

// Guards against a placement policy that spends endpoints on loads from the weight
// store, so that requests for rare models are late or refused: under overload, or
// after a loss of endpoints.
func TestPolicyBeatsBaseline(t *testing.T) {
	const seeds = 3
	for _, c := range []struct {
		scenario string
		minWorth float64
	}{
		{"overload.yaml", 0.90},
		{"loss.yaml", 0.55},
	} {
		t.Run(c.scenario, func(t *testing.T) {
			is := is.New(t)
			got := emulator.Compare(loadScenario(t, c.scenario), []emulator.Variant{
				{Name: "tealvane", Policy: residency.Decide},
				{Name: "baseline", Policy: emulator.Baseline},
			}, seeds)
			t.Logf("worth %.3f, baseline %.3f", got[0].Mean.Worth, got[1].Mean.Worth)
			is.True(got[0].Mean.Worth >= c.minWorth)
			is.True(got[0].Mean.Worth > got[1].Mean.Worth)
		})
	}
}

func TestParseScenarioReportsAllFindings(t *testing.T) {
	is := is.New(t)
	_, err := emulator.ParseScenario("s.yaml", []byte("name: x\nevents: [{kind: nothing, at: 1s}]\n"))
	is.True(err != nil)
	for _, field := range []string{"duration", "fleet.endpoints", "fleet.store_slots", "events[0].kind"} {
		is.True(strings.Contains(err.Error(), field))
	}
}

// BenchmarkOverload reports the worth and the p95 latency of rare models under
// overload.
func BenchmarkOverload(b *testing.B) {
	s := loadScenario(b, "overload.yaml")
	worth, tail := 0.0, 0.0
	for seed := range b.N {
		r := emulator.Simulate(s, residency.Decide, uint64(seed+1))
		worth += r.Worth
		tail += float64(r.Classes[1].Tail)
	}
	b.ReportMetric(worth/float64(b.N), "worth")
	b.ReportMetric(tail/float64(b.N), "rare-p95-ms")
}
