// Command tealvane-standin runs stand-ins for the external systems of a deployment,
// all of them or a single one.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/tealvane/tealvane/internal/standin"
)

// platformName is the value of -only that selects the log, the weight store and the
// host list.
const platformName = "platform"

func main() {
	config := flag.String("config", "", "stand-ins file (YAML)")
	only := flag.String("only", "", `run only "platform" or the endpoint of that name`)
	platformURL := flag.String("platform", "", "base URL of the platform's stand-in; by default the address in the file")
	flag.Parse()
	if *config == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	if err := run(*config, *only, *platformURL); err != nil {
		fmt.Fprintln(os.Stderr, "tealvane-standin:", err)
		os.Exit(1)
	}
}

func run(config, only, platformURL string) error {
	c, err := standin.LoadConfig(config)
	if err != nil {
		return err
	}
	if platformURL == "" {
		platformURL = "http://" + c.Platform.Listen
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if only == "" || only == platformName {
		p, err := standin.StartPlatform(c.Platform, c.EntryHosts)
		if err != nil {
			return err
		}
		defer p.Close()
		platformURL = p.URL
		fmt.Println("platform", p.URL)
	}
	for _, e := range c.Endpoints {
		if only != "" && only != e.Name {
			continue
		}
		endpoint, err := standin.StartEndpoint(e, platformURL)
		if err != nil {
			return err
		}
		defer endpoint.Close()
		fmt.Println("endpoint", e.Name, endpoint.URL)
	}
	<-ctx.Done()
	return nil
}
