package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// Guards against a request, its queue wait or its endpoint call missing in the client's trace.
func TestSpanForEachHop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const traceID = "0af7651916cd43dd8448eb211c80319c"
	spans := tracetest.NewInMemoryExporter()
	d := newDeployment(t)
	d.tracer = sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
	d.publish(config(1))
	d.startEngine("e1")
	h := d.startHost("a")
	req, err := http.NewRequest(http.MethodPost, "http://"+h.Addr()+"/chat/", strings.NewReader("body"))
	is.NoErr(err)
	req.Host = "h.example"
	req.Header.Set("X-Request-Attempt-Id", "traced")
	req.Header.Set("X-Model-Name", "warm")
	req.Header.Set("Traceparent", "00-"+traceID+"-b7ad6b7169203331-01")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
	names := func() map[string]bool {
		names := map[string]bool{}
		for _, s := range spans.GetSpans() {
			if s.SpanContext.TraceID().String() == traceID {
				names[s.Name] = true
			}
		}
		return names
	}
	d.waitFor("all spans have ended", func() bool {
		n := names()
		return n["request"] && n["queue"] && n["endpoint"]
	})
}
