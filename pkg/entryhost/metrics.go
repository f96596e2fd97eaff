package entryhost

import (
	"io"
	"net/http"
	"time"

	"github.com/tealvane/tealvane/internal/telemetry"
	"github.com/tealvane/tealvane/pkg/state"
	"github.com/uber-go/tally/v4"
)

// metrics holds the metrics of one host.
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

// latencyBuckets range from one millisecond to about two minutes.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)

func (m *metrics) recordLatency(name string, tags map[string]string, d time.Duration) {
	m.scope.Tagged(tags).Histogram(name, latencyBuckets).RecordDuration(d)
}

// recordOutcome counts a record that was applied or rejected.
func (m *metrics) recordOutcome(o state.Outcome) {
	result := "accepted"
	if o.Rejected != nil {
		result = "void"
	}
	m.count("records", map[string]string{"result": result})
}

func (m *metrics) recordRefusal(model, reason string) {
	m.count("refusals", map[string]string{"model": model, "reason": reason})
}

// RecordFirstToken implements completion.Meter.
func (m *metrics) RecordFirstToken(model string, cold bool, firstToken time.Duration) {
	start := "warm"
	if cold {
		start = "cold"
	}
	m.recordLatency("first_token", map[string]string{"model": model, "start": start}, firstToken)
}

// RecordRetry implements completion.Meter.
func (m *metrics) RecordRetry(model, kind string) {
	m.count("retries", map[string]string{"model": model, "kind": kind})
}

func (m *metrics) recordOrder(kind string, ok bool, d time.Duration) {
	result := "ok"
	if !ok {
		result = "failed"
	}
	m.recordLatency("orders", map[string]string{"kind": kind, "result": result}, d)
}

func (m *metrics) renewFailed()             { m.count("session_renew_failures", nil) }
func (m *metrics) listFailed()              { m.count("host_list_failures", nil) }
func (m *metrics) snapshotFailed()          { m.count("snapshot_failures", nil) }
func (m *metrics) planRejected(pool string) { m.count("plans_void", map[string]string{"pool": pool}) }
