// Package dev runs one entry host and stand-ins for its external systems in one
// process.
package dev

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/examples"
	"github.com/tealvane/tealvane/internal/api/operators"
	"github.com/tealvane/tealvane/internal/standin"
	"github.com/tealvane/tealvane/internal/telemetry"
	"github.com/tealvane/tealvane/pkg/entryhost"
	"github.com/tealvane/tealvane/pkg/external/httpadapter"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/settings"
)

const (
	customer     = "example"
	pollInterval = 20 * time.Millisecond
	readyTimeout = 30 * time.Second
)

// Options holds the listen addresses and outputs of the development mode.
type Options struct {
	Callers   string
	Operators string
	Out       io.Writer
	Log       io.Writer
	// RestoreStore makes the stand-in of the users' store come back from a copy some seconds old, at
	// each receive. It may be nil, and only RunPlatform uses it.
	RestoreStore <-chan os.Signal
	// CrashOnPart is the ID of a part of prompts that crashes the stand-in of the engine, which starts again a
	// second later. It is optional, and only RunPlatform uses it.
	CrashOnPart string
	// Ready is called with the callers' address once the host serves requests. It may
	// be nil.
	Ready func(callers string)
}

// Run runs tealvaned's entry host until ctx is done.
func Run(ctx context.Context, o Options) error {
	config, err := examples.Dev.ReadFile("dev/standins.yaml")
	if err != nil {
		return err
	}
	standins, findings := standin.ParseConfig("standins.yaml", config)
	if err := findings.Err(); err != nil {
		return err
	}
	platform, err := standin.StartPlatform(standins.Platform, nil)
	if err != nil {
		return err
	}
	defer platform.Close()
	for _, e := range standins.Endpoints {
		endpoint, err := standin.StartEndpoint(e, platform.URL)
		if err != nil {
			return err
		}
		defer endpoint.Close()
	}
	h, err := newHost(o, platform.URL)
	if err != nil {
		return err
	}
	result := make(chan error, 1)
	go func() { result <- h.Run(ctx) }()
	if err := publish(ctx, "http://"+h.OperatorsAddr()); err != nil && ctx.Err() == nil {
		return err
	}
	fmt.Fprintf(o.Out, "callers:   http://%s\noperators: http://%s\n", h.CallersAddr(), h.OperatorsAddr())
	if o.Ready != nil {
		o.Ready(h.CallersAddr())
	}
	return <-result
}

func newHost(o Options, platformURL string) (*entryhost.Host, error) {
	identity, err := peer.NewDevIdentity(time.Now())
	if err != nil {
		return nil, err
	}
	tlsConfig, err := identity.TLS()
	if err != nil {
		return nil, err
	}
	s := settings.Default()
	s.Host = "dev"
	s.Zone = "zone-1"
	s.Callers.Listen = o.Callers
	s.Operators.Listen = o.Operators
	s.Peers.Listen = "127.0.0.1:0"
	s.Timing.ReadinessLag = 0
	tracer, _, err := telemetry.Traces(context.Background(), "", s.Host)
	if err != nil {
		return nil, err
	}
	return entryhost.New(entryhost.Config{
		Settings: s,
		Log:      httpadapter.NewLog(platformURL, s.Platform.Stream),
		Engine:   httpadapter.NewEngine(),
		HostList: httpadapter.NewHostList(platformURL),
		PeerTLS:  tlsConfig,
		Logger:   telemetry.Logger(o.Log),
		Tracer:   tracer,
	})
}

// anyToken is the token source for an operators' API that accepts any token.
type anyToken struct{}

// Bearer implements operators.SecuritySource.
func (anyToken) Bearer(context.Context, operators.OperationName) (operators.Bearer, error) {
	return operators.Bearer{Token: "none"}, nil
}

// publish publishes the example contract and blocks until its pool has endpoints.
func publish(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client, err := operators.NewClient(url, anyToken{}, operators.WithClient(http.DefaultClient))
	if err != nil {
		return err
	}
	document, err := examples.Dev.ReadFile("dev/contract.yaml")
	if err != nil {
		return err
	}
	if err := pollUntil(ctx, func() bool { _, err := client.GetReadiness(ctx); return err == nil }); err != nil {
		return errors.Wrap(err, "wait for the entry host to be ready")
	}
	published := func() bool {
		_, err = client.PublishContract(ctx, &operators.Publication{Document: string(document)}, operators.PublishContractParams{Customer: customer})
		return err == nil
	}
	if waitErr := pollUntil(ctx, published); waitErr != nil {
		return errors.CombineErrors(err, waitErr)
	}
	return pollUntil(ctx, func() bool {
		s, err := client.GetStatus(ctx)
		return err == nil && len(s.Pools) > 0 && len(s.Pools[0].Endpoints) > 0
	})
}

func pollUntil(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
