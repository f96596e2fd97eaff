package openai

import (
	"net/http"
	"strings"

	"go.opentelemetry.io/otel/propagation"
)

// closing ends each connection with its present answer while the host stops.
// A connection that is only closed by the shutdown may have a request on its
// way; its caller would see it cut.
func (d Door) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.Host.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// traced continues the caller's trace.
func traced(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// flushed sends each write of an event stream at once. The generated code
// copies the stream, and net/http would hold tokens back until its buffer is
// full.
func flushed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&flushWriter{ResponseWriter: w, control: http.NewResponseController(w)}, r)
	})
}

// flushWriter hides ReadFrom of the writer below, which would buffer.
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
