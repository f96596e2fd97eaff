// Command tealvane-gateway runs one entry host with the adapters of package platform.
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

// memoryLimitRatio is the ratio of the Go memory limit to the configured memory. The
// rest is headroom for memory outside the Go runtime, such as socket buffers.
const memoryLimitRatio = 0.6

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
	applyLimits(settings)
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
	go reloadOnHangup(ctx, g, file)
	return g.Run(ctx)
}

// applyLimits sets GOMAXPROCS and the Go memory limit from the settings.
func applyLimits(s gateway.Settings) {
	if s.Limits.Cores > 0 {
		runtime.GOMAXPROCS(s.Limits.Cores)
	}
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.Limits.MemoryMB<<20)))
	}
}

// reloadOnHangup reloads the settings on each SIGHUP until ctx is done.
func reloadOnHangup(ctx context.Context, g *gateway.Gateway, file string) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for {
		select {
		case <-hangups:
			settings, err := gateway.LoadSettings(file)
			g.Reload(settings, err)
		case <-ctx.Done():
			return
		}
	}
}
