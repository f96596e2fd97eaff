// Package telemetry sets up the logs, metrics and traces of a daemon.
package telemetry

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const shutdownTimeout = 2 * time.Second

// Logger returns a logger that writes JSON lines to w.
func Logger(w io.Writer) *slog.Logger { return slog.New(slog.NewJSONHandler(w, nil)) }

// Traces returns a provider that exports spans over OTLP/HTTP to the collector at
// url, and a function that flushes and stops it. If url is empty, no spans are
// recorded.
func Traces(ctx context.Context, url, host string) (trace.TracerProvider, func(), error) {
	if url == "" {
		return noop.NewTracerProvider(), func() {}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(url+"/v1/traces"))
	if err != nil {
		return nil, nil, errors.Wrap(err, "create trace exporter")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "tealvaned"),
			attribute.String("host.name", host),
		)),
	)
	flush := func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = provider.Shutdown(ctx)
	}
	return provider, flush, nil
}
