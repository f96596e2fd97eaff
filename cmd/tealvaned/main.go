// Command tealvaned runs one entry host.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/tealvane/tealvane/internal/telemetry"
	"github.com/tealvane/tealvane/pkg/entryhost"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/external/httpadapter"
	"github.com/tealvane/tealvane/pkg/settings"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run()) }

func run() int {
	config := flag.String("config", "", "settings file (YAML)")
	check := flag.Bool("check-config", false, "check the settings and exit")
	flag.Parse()
	if *config == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitUsage
	}
	s, err := settings.Load(*config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if *check {
		fmt.Println(*config + ": ok")
		return exitOK
	}
	if err := serve(s); err != nil {
		fmt.Fprintln(os.Stderr, "tealvaned:", err)
		return exitFailed
	}
	return exitOK
}

func serve(s settings.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// Restore the default handling, so that a second signal ends the process.
	context.AfterFunc(ctx, stop)
	tracer, flush, err := telemetry.Traces(ctx, s.OTLP, s.Host)
	if err != nil {
		return err
	}
	defer flush()
	out := telemetry.NewBoundedWriter(os.Stdout)
	defer out.Close()
	identity, err := s.Peers.TLS()
	if err != nil {
		return err
	}
	var store external.WeightStore
	if s.Platform.WeightStore != "" {
		store = httpadapter.NewWeightStore(s.Platform.WeightStore)
	}
	h, err := entryhost.New(entryhost.Config{
		Settings: s,
		Store:    store,
		Log:      httpadapter.NewLog(s.Platform.Log, s.Platform.Stream),
		Engine:   httpadapter.NewEngine(),
		HostList: httpadapter.NewHostList(s.Platform.Hosts),
		PeerTLS:  identity,
		Logger:   telemetry.Logger(out),
		Tracer:   tracer,
	})
	if err != nil {
		return err
	}
	return h.Run(ctx)
}
