package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/tealvane/tealvane/internal/api/operators"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/finding"
)

// operatorClient holds the flags that select the operators' API of an entry host.
type operatorClient struct {
	url   string
	token string
}

func (c *operatorClient) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.url, "operators", "http://127.0.0.1:7101", "operators' URL of an entry host")
	f.StringVar(&c.token, "token", os.Getenv("TEALVANE_OPERATOR_TOKEN"), "operators' token")
}

// Bearer implements operators.SecuritySource.
func (c *operatorClient) Bearer(context.Context, operators.OperationName) (operators.Bearer, error) {
	if c.token == "" {
		// On a loopback address the API accepts any token, but requires one.
		return operators.Bearer{Token: "none"}, nil
	}
	return operators.Bearer{Token: c.token}, nil
}

func (c *operatorClient) client() (*operators.Client, error) {
	return operators.NewClient(c.url, c)
}

// responseError returns the findings in an error response, or its message. Other
// errors are returned unchanged.
func responseError(file string, err error) error {
	var status *operators.ErrorStatusCode
	if !errors.As(err, &status) {
		return err
	}
	var findings finding.List
	for _, f := range status.Response.Findings {
		findings = append(findings, finding.Finding{File: file, Line: f.Line, Field: f.Field, Message: f.Message})
	}
	if len(findings) > 0 {
		return findings
	}
	return errors.New(status.Response.Message)
}

type contractCommand struct{ output }

func (*contractCommand) Name() string             { return "contract" }
func (*contractCommand) Synopsis() string         { return "check, publish, list and show contracts" }
func (*contractCommand) Usage() string            { return "contract check|publish|list|show ...\n" }
func (*contractCommand) SetFlags(_ *flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *contractCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	flags := flag.NewFlagSet("contract", flag.ContinueOnError)
	flags.SetOutput(c.err)
	commander := newCommander(flags, "tealvane contract", c.output)
	commander.Register(&checkCommand{output: c.output}, "")
	commander.Register(&publishCommand{output: c.output}, "")
	commander.Register(&listCommand{output: c.output}, "")
	commander.Register(&showCommand{output: c.output}, "")
	if err := flags.Parse(f.Args()); err != nil {
		return subcommands.ExitUsageError
	}
	return commander.Execute(ctx)
}

type checkCommand struct{ output }

func (*checkCommand) Name() string             { return "check" }
func (*checkCommand) Synopsis() string         { return "check a contract file" }
func (*checkCommand) Usage() string            { return "check FILE\n" }
func (*checkCommand) SetFlags(_ *flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usageError("contract check: one file is expected")
	}
	if _, _, err := readContract(f.Arg(0)); err != nil {
		return c.fail(err)
	}
	fmt.Fprintln(c.out, f.Arg(0)+": ok")
	return subcommands.ExitSuccess
}

func readContract(file string) (*contract.Contract, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	parsed, found := contract.Parse(file, data)
	return parsed, data, found.Err()
}

type publishCommand struct {
	output
	operatorClient
	base int64
}

func (*publishCommand) Name() string     { return "publish" }
func (*publishCommand) Synopsis() string { return "publish a new version of a contract" }
func (*publishCommand) Usage() string {
	return "publish -base VERSION [-operators URL] FILE\n\nVERSION is the version that the change was made from, 0 for a first contract.\n"
}

// SetFlags implements subcommands.Command.
func (c *publishCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.Int64Var(&c.base, "base", -1, "version that the change was made from")
}

// Execute implements subcommands.Command.
func (c *publishCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.base < 0 {
		return c.usageError("contract publish: -base and one file are expected")
	}
	parsed, data, err := readContract(f.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	client, err := c.client()
	if err != nil {
		return c.fail(err)
	}
	out, err := client.PublishContract(ctx,
		&operators.Publication{BaseVersion: c.base, Document: string(data)},
		operators.PublishContractParams{Customer: parsed.Customer})
	if err != nil {
		return c.fail(responseError(f.Arg(0), err))
	}
	fmt.Fprintf(c.out, "%s: version %d is in force (offset %d)\n", out.Customer, out.Version, out.Offset)
	return subcommands.ExitSuccess
}

type listCommand struct {
	output
	operatorClient
	format string
}

func (*listCommand) Name() string     { return "list" }
func (*listCommand) Synopsis() string { return "list the contracts in force" }
func (*listCommand) Usage() string    { return "list [-operators URL] [-o table|json]\n" }

// SetFlags implements subcommands.Command.
func (c *listCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.format, "o", "table", "table or json")
}

// Execute implements subcommands.Command.
func (c *listCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := c.client()
	if err != nil {
		return c.fail(err)
	}
	list, err := client.ListContracts(ctx)
	if err != nil {
		return c.fail(responseError("", err))
	}
	if c.format == "json" {
		return c.writeJSON(list)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CUSTOMER\tVERSION\tOFFSET")
	for _, e := range list {
		fmt.Fprintf(w, "%s\t%d\t%d\n", e.Customer, e.Version, e.Offset)
	}
	return c.flush(w)
}

func (o output) writeJSON(v any) subcommands.ExitStatus {
	enc := json.NewEncoder(o.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return o.fail(err)
	}
	return subcommands.ExitSuccess
}

func (o output) flush(w *tabwriter.Writer) subcommands.ExitStatus {
	if err := w.Flush(); err != nil {
		return o.fail(err)
	}
	return subcommands.ExitSuccess
}

type showCommand struct {
	output
	operatorClient
}

func (*showCommand) Name() string     { return "show" }
func (*showCommand) Synopsis() string { return "print the contract of a customer" }
func (*showCommand) Usage() string    { return "show [-operators URL] CUSTOMER\n" }

// SetFlags implements subcommands.Command.
func (c *showCommand) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

// Execute implements subcommands.Command.
func (c *showCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usageError("contract show: one customer is expected")
	}
	client, err := c.client()
	if err != nil {
		return c.fail(err)
	}
	out, err := client.GetContract(ctx, operators.GetContractParams{Customer: f.Arg(0)})
	if err != nil {
		return c.fail(responseError("", err))
	}
	fmt.Fprintf(c.out, "# version %d\n%s", out.Version, out.Document)
	return subcommands.ExitSuccess
}
