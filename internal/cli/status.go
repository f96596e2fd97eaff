package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/tealvane/tealvane/internal/api/operators"
)

type statusCommand struct {
	output
	operatorClient
	format string
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show hosts, owners, replicas, queues and the log" }
func (*statusCommand) Usage() string    { return "status [-operators URL] [-o table|json]\n" }

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.format, "o", "table", "table or json")
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := c.client()
	if err != nil {
		return c.fail(err)
	}
	s, err := client.GetStatus(ctx)
	if err != nil {
		return c.fail(responseError("", err))
	}
	if c.format == "json" {
		return c.writeJSON(s)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KIND\tNAME\tWHERE\tSTATE\tDETAIL")
	writeStatus(w, s)
	return c.flush(w)
}

func writeStatus(w io.Writer, s *operators.Status) {
	row := func(kind, name, where, state, detail string) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", kind, name, where, state, detail)
	}
	row("log", "", s.Host, ifElse(s.Log.Readable && s.Log.Writable, "reachable", "unreachable"),
		fmt.Sprintf("offset %d", s.Log.Applied))
	for _, h := range s.Hosts {
		row("host", h.Name, h.Zone, ifElse(h.Live, "live", "unreachable"), h.Incarnation)
	}
	for _, p := range s.Pools {
		row("pool", p.Name, p.Owner, "owned", fmt.Sprintf("epoch %d", p.Epoch))
		for _, e := range p.Endpoints {
			row("endpoint", e.Name, e.Zone, ifElse(e.Lost, "lost", "known"),
				fmt.Sprintf("%d of %d MB reserved", e.ReservedMB, e.MemoryMB))
		}
		for _, r := range p.Replicas {
			row("replica", r.Model, r.Endpoint, r.Phase, fmt.Sprintf("%d MB for %s", r.MemoryMB, r.Customer))
		}
	}
	for _, q := range s.Queues {
		row("queue", q.Model, q.Customer, "", fmt.Sprintf("%d waiting, %d running", q.Waiting, q.Inflight))
	}
}

func ifElse(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

type callCommand struct {
	output
	url, token, model, service, key string
	deadline                        time.Duration
}

func (*callCommand) Name() string     { return "call" }
func (*callCommand) Synopsis() string { return "send one request and print its answer as it comes" }
func (*callCommand) Usage() string {
	return "call -token TOKEN (-model MODEL PROMPT... | -service SERVICE JSON)\n"
}

// SetFlags implements subcommands.Command.
func (c *callCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.url, "callers", "http://127.0.0.1:7001", "callers' URL of an entry host")
	f.StringVar(&c.token, "token", os.Getenv("TEALVANE_TOKEN"), "token of a contract")
	f.StringVar(&c.model, "model", "", "model or adapter")
	f.StringVar(&c.service, "service", "", "plain service")
	f.StringVar(&c.key, "key", "", "idempotency key; a fresh one by default")
	f.DurationVar(&c.deadline, "deadline", 0, "longest time until the answer starts")
}

// Execute implements subcommands.Command.
func (c *callCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if (c.model == "") == (c.service == "") || f.NArg() == 0 {
		return c.usageError("call: -model with a prompt or -service with a JSON body is expected")
	}
	resp, err := c.send(ctx, strings.Join(f.Args(), " "))
	if err != nil {
		return c.fail(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		fmt.Fprintf(c.err, "%s: %s\n", resp.Status, body)
		return subcommands.ExitFailure
	}
	if c.service != "" {
		_, err = io.Copy(c.out, resp.Body)
		fmt.Fprintln(c.out)
	} else {
		err = c.printStream(resp.Body)
	}
	if err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *callCommand) send(ctx context.Context, text string) (*http.Response, error) {
	target, body := c.url+"/v1/services/"+c.service+"/calls", []byte(text)
	if c.model != "" {
		target = c.url + "/v1/completions"
		body, _ = json.Marshal(map[string]any{"model": c.model, "prompt": text, "stream": true})
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if c.key == "" {
		c.key = uuid.Must(uuid.NewV7()).String()
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Idempotency-Key", c.key)
	if c.deadline > 0 {
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	}
	return http.DefaultClient.Do(req)
}

// printStream prints the tokens of an event stream. A stream that ends without its
// end marker is an error.
func (c *callCommand) printStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			fmt.Fprintln(c.out)
			return nil
		}
		var event struct {
			Choices []struct{ Text string }
			Error   *struct{ Code, Message string }
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return err
		}
		if event.Error != nil {
			return fmt.Errorf("%s: %s", event.Error.Code, event.Error.Message)
		}
		for _, choice := range event.Choices {
			fmt.Fprint(c.out, choice.Text)
		}
	}
	return fmt.Errorf("event stream ended without [DONE]")
}
