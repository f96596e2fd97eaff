package entryhost

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/openai"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// postHTTP sends a POST request to the HTTP handler for callers.
func postHTTP(h *fakeHost, path, token, body string, header map[string]string) *httptest.ResponseRecorder {
	server, err := h.callersAPI().Server(h.provider)
	if err != nil {
		panic(err)
	}
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	server.Handler.ServeHTTP(w, r)
	return w
}

// withHTTPHost runs f on one host whose contract accepts the token "t".
func withHTTPHost(t *testing.T, f func(is *is.I, h *fakeHost, spans *tracetest.InMemoryExporter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := newFakeCluster()
		spans := tracetest.NewInMemoryExporter()
		cluster.tracer = sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
		cluster.addEngine("e0", "p", true)
		cluster.addService("s0", "screen")
		h := cluster.startHost("h0")
		sum := sha256.Sum256([]byte("t"))
		cluster.publish(0, strings.Replace(testContract, strings.Repeat("0", 64), hex.EncodeToString(sum[:]), 1))
		time.Sleep(settleTime)
		f(is.NewRelaxed(t), h, spans)
		cluster.stopAll()
	})
}

// Guards against errors with a wrong status or code, and refusals without a retry delay.
func TestErrorStatusAndCode(t *testing.T) {
	withHTTPHost(t, func(is *is.I, h *fakeHost, _ *tracetest.InMemoryExporter) {
		good := `{"model":"m1","prompt":"x"}`
		for _, c := range []struct {
			path, token, body string
			status            int
			code              string
		}{
			{"/v1/completions", "", good, 401, "unauthenticated"},
			{"/v1/completions", "wrong", good, 401, "unauthenticated"},
			{"/v1/completions", "t", `{"model":"other","prompt":"x"}`, 403, "forbidden"},
			{"/v1/completions", "t", `{"model":"lookup","prompt":"x"}`, 400, "invalid"},
			{"/v1/completions", "t", `{"prompt":"x"}`, 400, "invalid"},
			{"/v1/completions", "t", `{`, 400, "invalid"},
			{"/v1/completions", "t", `{"model":"once","prompt":"x"}`, 400, "invalid"},
			{"/v1/services/screen/calls", "t", `{}`, 400, "invalid"},
			{"/v1/deferred", "t", good, 400, "invalid"},
		} {
			w := postHTTP(h, c.path, c.token, c.body, nil)
			is.Equal(w.Code, c.status)
			is.True(strings.Contains(w.Body.String(), `"code":"`+c.code+`"`))
		}
		refused := postHTTP(h, "/v1/completions", "t", good, map[string]string{"X-Deadline-Ms": "10"})
		is.Equal(refused.Code, 503)
		is.True(refused.Header().Get("Retry-After") != "")
		is.True(strings.Contains(refused.Body.String(), `"code":"not_run"`))
	})
}

// Guards against spans that are missing from the caller's trace.
func TestSpanForEachHop(t *testing.T) {
	withHTTPHost(t, func(is *is.I, h *fakeHost, spans *tracetest.InMemoryExporter) {
		const traceID = "0af7651916cd43dd8448eb211c80319c"
		w := postHTTP(h, "/v1/chat/completions", "t",
			`{"model":"m1","stream":true,"messages":[{"role":"user","content":"x"}]}`,
			map[string]string{"Traceparent": "00-" + traceID + "-b7ad6b7169203331-01"})
		is.Equal(w.Code, 200)
		is.True(strings.HasSuffix(w.Body.String(), openai.StreamEnd))
		synctest.Wait() // The endpoint span ends after the last byte of the response.
		names := map[string]bool{}
		for _, s := range spans.GetSpans() {
			if s.SpanContext.TraceID().String() == traceID {
				names[s.Name] = true
			}
		}
		for _, hop := range []string{"CreateChatCompletion", "queue", "endpoint"} {
			is.True(names[hop])
		}
	})
}
