// Package cli implements the tealvane command for operators.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/tealvane/tealvane/internal/dev"
	"github.com/tealvane/tealvane/pkg/peer"
)

// output holds the writers of a command.
type output struct {
	out, err io.Writer
}

// fail prints an error and returns the exit status for a failure.
func (o output) fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(o.err, err)
	return subcommands.ExitFailure
}

// usageError prints a message and returns the exit status for wrong usage.
func (o output) usageError(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(o.err, format+"\n", args...)
	return subcommands.ExitUsageError
}

// Run executes one command and returns its exit code: 0 for success, 1 for a failure
// or findings, 2 for wrong usage.
func Run(args []string, out, errOut io.Writer) int {
	o := output{out, errOut}
	flags := flag.NewFlagSet("tealvane", flag.ContinueOnError)
	flags.SetOutput(errOut)
	commander := newCommander(flags, "tealvane", o)
	commander.Register(&contractCommand{output: o}, "")
	commander.Register(&statusCommand{output: o}, "")
	commander.Register(&callCommand{output: o}, "")
	commander.Register(&devCommand{output: o}, "")
	commander.Register(&certsCommand{output: o}, "")
	commander.Register(&experimentCommand{output: o}, "")
	commander.Register(&versionCommand{output: o}, "")
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return int(commander.Execute(ctx))
}

func newCommander(flags *flag.FlagSet, name string, o output) *subcommands.Commander {
	c := subcommands.NewCommander(flags, name)
	c.Output, c.Error = o.out, o.err
	c.Register(c.HelpCommand(), "")
	return c
}

type versionCommand struct{ output }

func (*versionCommand) Name() string             { return "version" }
func (*versionCommand) Synopsis() string         { return "print the version" }
func (*versionCommand) Usage() string            { return "version\n" }
func (*versionCommand) SetFlags(_ *flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Fprintln(c.out, "tealvane", version)
	return subcommands.ExitSuccess
}

type devCommand struct {
	output
	callers, operators string
	platform           bool
	crashOnPart        string
}

func (*devCommand) Name() string     { return "dev" }
func (*devCommand) Synopsis() string { return "run one entry host with embedded stand-ins" }
func (*devCommand) Usage() string {
	return "dev [-platform [-crash-on-part ID]] [-listen ADDR] [-operators ADDR]\n"
}

// SetFlags implements subcommands.Command.
func (c *devCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.callers, "listen", "127.0.0.1:7001", "address for callers")
	f.StringVar(&c.operators, "operators", "127.0.0.1:7101", "address for operators")
	f.BoolVar(&c.platform, "platform", false, "run tealvane-gateway, with stand-ins of its platform; SIGUSR1 restores the store from a copy some seconds old")
	f.StringVar(&c.crashOnPart, "crash-on-part", "", "with -platform: `ID` of a part of prompts that crashes the engine as it begins to respond")
}

// Execute implements subcommands.Command.
func (c *devCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.platform {
		return c.runPlatform(ctx)
	}
	err := dev.Run(ctx, dev.Options{
		Callers:   c.callers,
		Operators: c.operators,
		Out:       c.out,
		Log:       c.err,
		Ready:     func(string) { fmt.Fprintln(c.out, `ready; the token is "dev-token", Ctrl-C stops`) },
	})
	if err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *devCommand) runPlatform(ctx context.Context) subcommands.ExitStatus {
	restore := make(chan os.Signal, 1)
	signal.Notify(restore, syscall.SIGUSR1)
	defer signal.Stop(restore)
	err := dev.RunPlatform(ctx, dev.Options{
		RestoreStore: restore,
		CrashOnPart:  c.crashOnPart,

		Callers: c.callers,
		Out:     c.out,
		Log:     c.err,
		Ready:   func(string) { fmt.Fprintln(c.out, "ready; Ctrl-C stops") },
	})
	if err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

type certsCommand struct {
	output
	dir string
}

func (*certsCommand) Name() string     { return "dev-certs" }
func (*certsCommand) Synopsis() string { return "write a development identity for entry hosts" }
func (*certsCommand) Usage() string    { return "dev-certs -dir DIR\n" }

// SetFlags implements subcommands.Command.
func (c *certsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", "", "directory to write ca.pem, cert.pem and key.pem to")
}

// Execute implements subcommands.Command.
func (c *certsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.dir == "" {
		return c.usageError("dev-certs: -dir is required")
	}
	id, err := peer.NewDevIdentity(time.Now())
	if err != nil {
		return c.fail(err)
	}
	if err := os.MkdirAll(c.dir, 0o700); err != nil {
		return c.fail(err)
	}
	for name, data := range map[string][]byte{"ca.pem": id.CA, "cert.pem": id.Cert, "key.pem": id.Key} {
		if err := os.WriteFile(c.dir+"/"+name, data, 0o600); err != nil {
			return c.fail(err)
		}
	}
	return subcommands.ExitSuccess
}
