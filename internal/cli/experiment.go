package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/tealvane/tealvane/pkg/emulator"
	"github.com/tealvane/tealvane/pkg/residency"
)

// experimentCommand compares policies and settings on an emulated deployment.
type experimentCommand struct {
	output
	scenario string
	seeds    int
	json     bool
	with     settingsFlag
}

// Name implements subcommands.Command.
func (*experimentCommand) Name() string { return "experiment" }

// Synopsis implements subcommands.Command.
func (*experimentCommand) Synopsis() string {
	return "compare placement policies and settings on an emulated load"
}

// Usage implements subcommands.Command.
func (*experimentCommand) Usage() string {
	return "experiment -scenario FILE [-seeds N] [-with SETTING=VALUE ...] [-json]\n" +
		"Plays the scenario on the same seeds with the policy in use, with a plain baseline, and\n" +
		"once for each -with: " + strings.Join(settingNames(), ", ") + ".\n"
}

// SetFlags implements subcommands.Command.
func (c *experimentCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.scenario, "scenario", "", "scenario file (YAML)")
	f.IntVar(&c.seeds, "seeds", 8, "number of seeds")
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.Var(&c.with, "with", "a setting to try, NAME=VALUE; may be repeated")
}

// Execute implements subcommands.Command.
func (c *experimentCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.scenario == "" || c.seeds < 1 {
		return c.usage("experiment needs -scenario and a positive number of seeds")
	}
	s, err := emulator.LoadScenario(c.scenario)
	if err != nil {
		return c.fail(err)
	}
	variants := []emulator.Variant{
		{Name: "tealvane", Policy: residency.Decide},
		{Name: "baseline", Policy: emulator.Baseline},
	}
	for _, w := range c.with {
		variants = append(variants, emulator.Variant{Name: w.String(), Policy: residency.Decide, Change: w.apply})
	}
	outcomes := emulator.Compare(s, variants, c.seeds)
	if c.json {
		return c.printJSON(outcomes)
	}
	return c.printTable(outcomes)
}

func (c *experimentCommand) printJSON(outcomes []emulator.Outcome) subcommands.ExitStatus {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(outcomes); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *experimentCommand) printTable(outcomes []emulator.Outcome) subcommands.ExitStatus {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "variant\tworth\tloads\tfrom store\tclass\tasked\tin time\tlate\trefused\tmedian ms\tp95 ms")
	for _, o := range outcomes {
		head := fmt.Sprintf("%s\t%.3f\t%.0f\t%.0f", o.Name, o.Mean.Worth, o.Mean.Loads, o.Mean.StoreLoads)
		for _, x := range o.Mean.Classes {
			fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", head, x.Name, x.Asked, x.InTime, x.Late, x.Refused, x.MedianMS, x.TailMS)
			head = "\t\t\t"
		}
	}
	if err := w.Flush(); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

// setting is one setting of a scenario with a value to try.
type setting struct {
	name  string
	value float64
}

// settable are the settings that -with takes.
var settable = []struct {
	name string
	set  func(*emulator.Scenario, float64)
}{
	{"rate_per_replica", func(s *emulator.Scenario, v float64) { s.Fleet.RatePerReplica = v }},
	{"endpoints", func(s *emulator.Scenario, v float64) { s.Fleet.Endpoints = int(v) }},
	{"disk_copies", func(s *emulator.Scenario, v float64) { s.Fleet.DiskCopies = int(v) }},
	{"host_memory_copies", func(s *emulator.Scenario, v float64) { s.Fleet.HostCopies = int(v) }},
	{"store_slots", func(s *emulator.Scenario, v float64) { s.Fleet.StoreSlots = int(v) }},
}

func settingNames() []string {
	var names []string
	for _, s := range settable {
		names = append(names, s.name)
	}
	return names
}

// String implements fmt.Stringer.
func (s setting) String() string {
	return s.name + "=" + strconv.FormatFloat(s.value, 'f', -1, 64)
}

func (s setting) apply(to *emulator.Scenario) {
	for _, x := range settable {
		if x.name == s.name {
			x.set(to, s.value)
		}
	}
}

// settingsFlag collects -with flags.
type settingsFlag []setting

// String implements flag.Value.
func (f *settingsFlag) String() string { return fmt.Sprint([]setting(*f)) }

// Set implements flag.Value.
func (f *settingsFlag) Set(text string) error {
	name, value, _ := strings.Cut(text, "=")
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || v <= 0 {
		return errors.Newf("%s needs a positive number", name)
	}
	for _, x := range settable {
		if x.name == name {
			*f = append(*f, setting{name, v})
			return nil
		}
	}
	return errors.Newf("there is no setting %q; there are %s", name, strings.Join(settingNames(), ", "))
}
