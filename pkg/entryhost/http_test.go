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

// overHTTP sends a request through the callers' whole handler.
func overHTTP(h *fakeHost, path, token, body string, header map[string]string) *httptest.ResponseRecorder {
	server, err := h.door().Server(h.provider)
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

// httpHost runs f on one host whose contract knows the token "t".
func httpHost(t *testing.T, f func(is *is.I, h *fakeHost, spans *tracetest.InMemoryExporter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newFakes()
		spans := tracetest.NewInMemoryExporter()
		w.tracer = sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
		w.addEngine("e0", "p", true)
		w.addService("s0", "screen")
		h := w.boot("h0")
		sum := sha256.Sum256([]byte("t"))
		w.publish(0, strings.Replace(testContract, strings.Repeat("0", 64), hex.EncodeToString(sum[:]), 1))
		time.Sleep(settleTime)
		f(is.NewRelaxed(t), h, spans)
		w.end()
	})
}

func TestTypedErrors(t *testing.T) {
	httpHost(t, func(is *is.I, h *fakeHost, _ *tracetest.InMemoryExporter) {
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
			w := overHTTP(h, c.path, c.token, c.body, nil)
			is.Equal(w.Code, c.status)
			is.True(strings.Contains(w.Body.String(), `"code":"`+c.code+`"`))
		}
		refused := overHTTP(h, "/v1/completions", "t", good, map[string]string{"X-Deadline-Ms": "10"})
		is.Equal(refused.Code, 503)
		is.True(refused.Header().Get("Retry-After") != "")
		is.True(strings.Contains(refused.Body.String(), `"code":"not_run"`))
	})
}

// A caller's trace goes on through the entry host: each hop has a span in it.
func TestSpanForEachHop(t *testing.T) {
	httpHost(t, func(is *is.I, h *fakeHost, spans *tracetest.InMemoryExporter) {
		const traceID = "0af7651916cd43dd8448eb211c80319c"
		w := overHTTP(h, "/v1/chat/completions", "t",
			`{"model":"m1","stream":true,"messages":[{"role":"user","content":"x"}]}`,
			map[string]string{"Traceparent": "00-" + traceID + "-b7ad6b7169203331-01"})
		is.Equal(w.Code, 200)
		is.True(strings.HasSuffix(w.Body.String(), openai.StreamEnd))
		synctest.Wait() // The span of the endpoint ends after the last byte of the answer.
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
