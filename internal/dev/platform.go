package dev

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/internal/telemetry"
	"github.com/tealvane/tealvane/pkg/gateway"
	"github.com/tealvane/tealvane/platform"
	"go.opentelemetry.io/otel/trace/noop"
)

// platformSettings is the settings file of the gateway. Its parameters are the
// callers' address and the address of the store.
const platformSettings = `
host: dev
availability_zone: zone-1
listen:
  callers: %s
  readiness: 127.0.0.1:0
  peers: 127.0.0.1:0
store:
  address: %s
timing:
  lease: 3s
  drain: 2s
  shutdown: 4s
retry:
  ratio: 0.2
  extra: 50
  window: 10s
orders:
  endpoints_check_tokens: true
`

// Sizes of the stand-ins. Two of the three models fit into the endpoint's memory.
const (
	devSlots = 8
	// devAccountRate is the rate limit of the client account in requests per second.
	devAccountRate   = 20
	devMemoryMB      = 130
	devModelMB       = 60
	devEventCount    = 12
	devEventInterval = 40 * time.Millisecond
)

// RunPlatform runs the gateway's entry host with stand-ins of its platform until ctx
// is done.
func RunPlatform(ctx context.Context, o Options) error {
	store := site.NewStore()
	listener, err := store.Listen()
	if err != nil {
		return err
	}
	defer listener.Close()
	if err := publishConfig(store); err != nil {
		return err
	}
	engines := &engines{store: store, crashOnPart: o.CrashOnPart}
	if err := engines.start(); err != nil {
		return err
	}
	defer engines.close()
	s, err := gateway.ParseSettings("dev", fmt.Appendf(nil, platformSettings, o.Callers, listener.Addr))
	if err != nil {
		return err
	}
	g, err := platform.NewGateway(s, telemetry.Logger(o.Log), noop.NewTracerProvider())
	if err != nil {
		return err
	}
	go restoreOnSignal(ctx, o, store, engines)
	result := make(chan error, 1)
	go func() { result <- g.Run(ctx) }()
	if err := pollUntil(ctx, g.Ready); err != nil {
		return <-result
	}
	fmt.Fprintf(o.Out, "callers: http://%s\n%s", g.Addr(), site.DevRequestHelp)
	if o.Ready != nil {
		o.Ready(g.Addr())
	}
	return <-result
}

// Copies of the store are made each copyInterval, and a restore goes back to the oldest of maxCopies.
const (
	copyInterval = time.Second
	maxCopies    = 5
)

// restoreOnSignal restores the store from a copy some seconds old at each receive from o.RestoreStore.
// The operator and the endpoints then write their entries again.
func restoreOnSignal(ctx context.Context, o Options, store *site.Store, engines *engines) {
	copies := []*site.Store{store.Copy()}
	tick := time.NewTicker(copyInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			copies = append(copies, store.Copy())
			copies = copies[max(0, len(copies)-maxCopies):]
		case <-o.RestoreStore:
			store.Restore(copies[0])
			if err := publishConfig(store); err != nil {
				fmt.Fprintln(o.Out, "publish the configuration again:", err)
			}
			engines.heartbeat()
			copies = []*site.Store{store.Copy()}
			fmt.Fprintln(o.Out, "store restored from an older copy")
		}
	}
}

// engineRestart is how long after a crash the engine starts again.
const engineRestart = time.Second

// engines is the stand-in of an engine with three models, which starts again under a new ID after each crash. It
// is safe for concurrent use.
type engines struct {
	store       *site.Store
	crashOnPart string

	mu      sync.Mutex
	starts  int
	current *site.Endpoint
	closed  bool
}

// start starts the engine.
func (e *engines) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil
	}
	e.starts++
	engine, err := site.StartEndpoint(e.store, site.EndpointConfig{
		ID: fmt.Sprint("e", e.starts), Service: "llm", Zone: "zone-1", Slots: devSlots, WeightsMB: devMemoryMB, AdapterSlots: 4, Models: devModels(),
		LoadedModels: []string{"warm", "idle"}, OnDisk: []string{"rare"}, Events: devEventCount, EventInterval: devEventInterval,
		CrashOnPart: e.crashOnPart, OnCrash: e.restart,
	})
	e.current = engine
	return err
}

// restart removes the crashed engine and starts it again later. If that fails, requests are refused for lack of
// an endpoint.
func (e *engines) restart() {
	time.AfterFunc(engineRestart, func() {
		e.mu.Lock()
		e.current.Remove()
		e.mu.Unlock()
		_ = e.start()
	})
}

func (e *engines) heartbeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current.Heartbeat()
}

func (e *engines) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.current.Close()
}

func devModels() []site.Model {
	var models []site.Model
	for _, name := range []string{"warm", "rare", "idle"} {
		models = append(models, site.Model{Name: name, WeightsMB: devModelMB, LoadS: 6, DiskS: 0.8, WarmS: 0.6, Adapters: 2, AdapterMB: 1})
	}
	return models
}

func publishConfig(store *site.Store) error {
	return store.Publish(site.Config{
		Version: 1,
		Routes: []site.Route{{
			Name: "summary", Host: "dev.example", PathPrefix: "/summary/", Kind: "streaming", Service: "llm",
			TimeoutMS: 10000, TargetLatencyMS: 500, TargetGapMS: 400, Attempts: 2, Resumable: true,
		}},
		Services: []site.Service{{Name: "llm", ConnectionLimit: 100, Engine: &site.Engine{
			Slots: devSlots, WeightsMB: devMemoryMB, AdapterSlots: 4, LoadsPerS: 4, Models: devModels(),
		}}},
		Limits: site.DefaultLimits,
		Accounts: []site.Account{{
			Name: "dev", Keys: []string{site.DevKey}, Unit: "requests", Rate: devAccountRate, Burst: devAccountRate,
		}},
	})
}
