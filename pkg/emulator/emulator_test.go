package emulator_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/emulator"
	"github.com/tealvane/tealvane/pkg/residency"
)

func load(t testing.TB, name string) emulator.Scenario {
	t.Helper()
	s, err := emulator.LoadScenario("../../examples/scenarios/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestSameSeedSamePlay(t *testing.T) {
	is := is.New(t)
	s := load(t, "overload.yaml")
	a := emulator.Play(s, residency.Decide, 1)
	b := emulator.Play(s, residency.Decide, 1)
	is.Equal(a.Worth, b.Worth)
	is.Equal(a.Loads, b.Loads)
}

// Certificate reviews of rare models are late or refused while endpoints spend
// their time on loads from the weight store: for models whose home was only not
// free at that moment (overload), or for all missing models at once (loss).
func TestLoadAtItsWorst(t *testing.T) {
	const seeds = 3
	for _, c := range []struct {
		scenario string
		// least is the worth that has to be reached: with homes not waited for, or
		// with loads from the store on all endpoints, less is.
		least float64
	}{
		{"overload.yaml", 0.90},
		{"loss.yaml", 0.55},
	} {
		t.Run(c.scenario, func(t *testing.T) {
			is := is.New(t)
			got := emulator.Compare(load(t, c.scenario), []emulator.Variant{
				{Name: "tealvane", Policy: residency.Decide},
				{Name: "baseline", Policy: emulator.Baseline},
			}, seeds)
			t.Logf("worth %.3f, baseline %.3f", got[0].Mean.Worth, got[1].Mean.Worth)
			is.True(got[0].Mean.Worth >= c.least)
			is.True(got[0].Mean.Worth > got[1].Mean.Worth)
		})
	}
}

func TestScenarioFindingsComeTogether(t *testing.T) {
	is := is.New(t)
	_, err := emulator.ParseScenario("s.yaml", []byte("name: x\nevents: [{kind: nothing, at: 1s}]\n"))
	is.True(err != nil)
	for _, field := range []string{"duration", "fleet.endpoints", "fleet.store_slots", "events[0].kind"} {
		is.True(strings.Contains(err.Error(), field))
	}
}

// BenchmarkOverload reports what clients of rare models see under overload.
func BenchmarkOverload(b *testing.B) {
	s := load(b, "overload.yaml")
	worth, tail := 0.0, 0.0
	for seed := range b.N {
		r := emulator.Play(s, residency.Decide, uint64(seed+1))
		worth += r.Worth
		tail += float64(r.Classes[1].Tail)
	}
	b.ReportMetric(worth/float64(b.N), "worth")
	b.ReportMetric(tail/float64(b.N), "rare-p95-ms")
}
