// Command tealvane-gateway runs one entry host on the users' platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/tealvane/tealvane/internal/telemetry"
	"github.com/tealvane/tealvane/pkg/gateway"
	"github.com/tealvane/tealvane/platform"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// memoryShare is the part of a host's memory that the garbage collector keeps
// to; the rest is for stacks, sockets and received bytes.
const memoryShare = 0.6

func main() { os.Exit(run()) }

func run() int {
	config := flag.String("config", os.Getenv(platform.SettingsVariable), "settings file (YAML)")
	check := flag.Bool("check-config", false, "check the settings and exit")
	flag.Parse()
	if *config == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitUsage
	}
	settings, err := gateway.LoadSettings(*config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if *check {
		fmt.Println(*config + ": ok")
		return exitOK
	}
	if err := serve(settings, *config); err != nil {
		fmt.Fprintln(os.Stderr, "tealvane-gateway:", err)
		return exitFailed
	}
	return exitOK
}

func serve(settings gateway.Settings, file string) error {
	limit(settings)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	out := telemetry.NewBoundedWriter(os.Stdout)
	defer out.Close()
	provider, flush, err := telemetry.Traces(ctx, settings.OTLP, settings.Host)
	if err != nil {
		return err
	}
	defer flush()
	g, err := platform.NewGateway(settings, telemetry.Logger(out), provider)
	if err != nil {
		return err
	}
	go reload(ctx, g, file)
	return g.Run(ctx)
}

// limit keeps the process to its share of the host.
func limit(s gateway.Settings) {
	if s.Limits.Cores > 0 {
		runtime.GOMAXPROCS(s.Limits.Cores)
	}
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB<<20)))
	}
}

// reload checks the settings again at each SIGHUP.
func reload(ctx context.Context, g *gateway.Gateway, file string) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for {
		select {
		case <-hangups:
			s, err := gateway.LoadSettings(file)
			g.Reload(s, err)
		case <-ctx.Done():
			return
		}
	}
}
