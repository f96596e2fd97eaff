package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/tealvane/tealvane/internal/telemetry"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/uber-go/tally/v4"
)

// metrics holds the counters and histograms of a host; docs/OPERATIONS.md explains each.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
	// accounts bounds the number of accounts with a series of their own.
	accounts tagValues
	// models bounds the number of models with a series of their own.
	models tagValues
}

// maxTagValues bounds the values of a tag that come from outside, since each creates a series.
const maxTagValues = 64

// tagValues holds the first maxTagValues values of a tag. It is safe for concurrent use.
type tagValues struct {
	mu   sync.Mutex
	seen map[string]bool
}

// limit returns value, or "other" if there are too many values.
func (v *tagValues) limit(value string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.seen == nil {
		v.seen = map[string]bool{}
	}
	if !v.seen[value] && len(v.seen) >= maxTagValues {
		return "other"
	}
	v.seen[value] = true
	return value
}

// latencyBuckets range from 1 ms to about half a minute.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

func newMetrics() *metrics {
	// The closer is not used, since reporting continues until the process exits.
	scope, handler, _ := telemetry.Metrics()
	return &metrics{scope: scope, handler: handler}
}

func (m *metrics) count(name string, tags map[string]string) { m.add(name, 1, tags) }

func (m *metrics) add(name string, n int64, tags map[string]string) {
	m.scope.Tagged(tags).Counter(name).Inc(n)
}

func (m *metrics) gauge(name string, v float64) { m.scope.Gauge(name).Update(v) }

// result records the outcome and the latencies of a request.
func (m *metrics) result(r serve.Result) {
	tags := map[string]string{"route": r.Request.Route.Name, "outcome": r.Outcome()}
	m.count("requests", tags)
	route := m.scope.Tagged(map[string]string{"route": r.Request.Route.Name})
	route.Histogram("wait", latencyBuckets).RecordDuration(r.Waited)
	if r.FirstByte > 0 {
		route.Histogram("first_byte", latencyBuckets).RecordDuration(r.FirstByte)
	}
	if r.Refusal != nil && r.Refusal.Cause == serve.CauseAllowance {
		m.count("beyond_allowance", map[string]string{"account": m.accounts.limit(r.Request.Account)})
	}
	if r.Framing != "" {
		m.count("endpoint_responses", map[string]string{"framing": string(r.Framing)})
	}
	if r.Full > 0 {
		route.Counter("rejected_full").Inc(int64(r.Full))
	}
	m.contended(r)
	if r.Sent > 1 {
		m.scope.Tagged(tags).Counter("resent").Inc(int64(r.Sent - 1))
	}
}
