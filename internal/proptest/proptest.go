// Package proptest sets the seed and the size of property tests, so that "go test"
// is deterministic. Flags on the command line take precedence:
// -rapid.seed=0 -rapid.checks=10000 runs more checks with random seeds.
package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

const seed = "1"

// Main runs the tests of a package and exits; it is called from TestMain. checks is
// the number of checks of a property, steps the average number of steps of a state
// machine.
func Main(m *testing.M, checks, steps int) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":       seed,
		"rapid.checks":     strconv.Itoa(checks),
		"rapid.steps":      strconv.Itoa(steps),
		"rapid.nofailfile": "true",
	} {
		if set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
