package entryhost

import (
	"io"
	"net/http"
	"time"

	"github.com/tealvane/tealvane/internal/telemetry"
	"github.com/tealvane/tealvane/pkg/state"
	"github.com/uber-go/tally/v4"
)

// metrics holds the counters and histograms of one host; docs/operations
// explains each.
type metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

func newMetrics() *metrics {
	scope, handler, closer := telemetry.Metrics()
	return &metrics{scope: scope, closer: closer, handler: handler}
}

func (m *metrics) count(name string, tags map[string]string) {
	m.scope.Tagged(tags).Counter(name).Inc(1)
}

// latencyBuckets reach from a millisecond to about two minutes.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)

func (m *metrics) latency(name string, tags map[string]string, d time.Duration) {
	m.scope.Tagged(tags).Histogram(name, latencyBuckets).RecordDuration(d)
}

// record counts folded records.
func (m *metrics) record(o state.Outcome) {
	result := "accepted"
	if o.Void != nil {
		result = "void"
	}
	m.count("records", map[string]string{"result": result})
}

func (m *metrics) refusal(model, reason string) {
	m.count("refusals", map[string]string{"model": model, "reason": reason})
}

// Answered implements completion.Meter.
func (m *metrics) Answered(model string, cold bool, firstToken time.Duration) {
	start := "warm"
	if cold {
		start = "cold"
	}
	m.latency("first_token", map[string]string{"model": model, "start": start}, firstToken)
}

// Retried implements completion.Meter.
func (m *metrics) Retried(model, kind string) {
	m.count("retries", map[string]string{"model": model, "kind": kind})
}

func (m *metrics) order(kind string, ok bool, d time.Duration) {
	result := "ok"
	if !ok {
		result = "failed"
	}
	m.latency("orders", map[string]string{"kind": kind, "result": result}, d)
}

func (m *metrics) renewFailed()         { m.count("session_renew_failures", nil) }
func (m *metrics) listFailed()          { m.count("host_list_failures", nil) }
func (m *metrics) snapshotFailed()      { m.count("snapshot_failures", nil) }
func (m *metrics) planVoid(pool string) { m.count("plans_void", map[string]string{"pool": pool}) }
