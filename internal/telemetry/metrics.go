package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportPeriod is the interval at which the scope updates the Prometheus reporter.
const reportPeriod = time.Second

// Metrics returns the root scope of a process, the handler that serves it in the
// Prometheus text format, and a closer that stops the reporting.
func Metrics() (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "tealvane",
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportPeriod)
	return scope, reporter.HTTPHandler(), closer
}
