package openai

import (
	"net/http"
	"strings"

	"go.opentelemetry.io/otel/propagation"
)

// closeWhenStopping closes each connection after its current response while the
// host is shutting down. If only the shutdown closed idle connections, a request
// already in transit on one would fail.
func (h Handler) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.Host.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// extractTrace takes the caller's trace context from the request headers.
func extractTrace(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// flushEvents flushes every write of an event stream. Otherwise net/http buffers
// the stream that the generated code copies, and tokens are delayed.
func flushEvents(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&flushWriter{ResponseWriter: w, control: http.NewResponseController(w)}, r)
	})
}

// flushWriter does not expose ReadFrom of the underlying writer, which would
// bypass Write and its flush.
type flushWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

// Write implements http.ResponseWriter.
func (w *flushWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	if err == nil && strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream") {
		err = w.control.Flush()
	}
	return n, err
}
