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

// experimentCommand compares placement policies and settings in the emulator.
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
		"Runs the scenario on the same seeds with the current policy, with the baseline policy, and\n" +
		"once for each -with setting: " + strings.Join(settingNames(), ", ") + ".\n"
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
		return c.usageError("experiment needs -scenario and a positive number of seeds")
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
		prefix := fmt.Sprintf("%s\t%.3f\t%.0f\t%.0f", o.Name, o.Mean.Worth, o.Mean.Loads, o.Mean.StoreLoads)
		for _, class := range o.Mean.Classes {
			fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", prefix, class.Name, class.Requested, class.OnTime, class.Late, class.Refused, class.MedianMS, class.TailMS)
			prefix = "\t\t\t"
		}
	}
	if err := w.Flush(); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

// settingValue is a scenario setting with the value to use instead.
type settingValue struct {
	name  string
	value float64
}

// settings lists the settings that -with accepts.
var settings = []struct {
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
	for _, s := range settings {
		names = append(names, s.name)
	}
	return names
}

// String implements fmt.Stringer.
func (s settingValue) String() string {
	return s.name + "=" + strconv.FormatFloat(s.value, 'f', -1, 64)
}

func (s settingValue) apply(scenario *emulator.Scenario) {
	for _, x := range settings {
		if x.name == s.name {
			x.set(scenario, s.value)
		}
	}
}

// settingsFlag collects -with flags.
type settingsFlag []settingValue

// String implements flag.Value.
func (f *settingsFlag) String() string { return fmt.Sprint([]settingValue(*f)) }

// Set implements flag.Value.
func (f *settingsFlag) Set(text string) error {
	name, value, _ := strings.Cut(text, "=")
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || v <= 0 {
		return errors.Newf("setting %q must be a positive number, got %q", name, value)
	}
	for _, x := range settings {
		if x.name == name {
			*f = append(*f, settingValue{name, v})
			return nil
		}
	}
	return errors.Newf("unknown setting %q, want one of %s", name, strings.Join(settingNames(), ", "))
}
