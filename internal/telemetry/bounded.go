package telemetry

import (
	"bytes"
	"io"
	"log/slog"
	"strconv"
	"sync/atomic"
)

// queuedLines is how many log lines may wait for a slow reader: a second of
// them under load, at about 300 bytes each.
const queuedLines = 4096

// BoundedWriter hands lines to a writer without ever blocking the caller. Lines
// that find the queue full are dropped and counted.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewBoundedWriter starts a writer; Close ends it.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *BoundedWriter) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		// Nobody is left to be told when the log itself cannot be written.
		_, _ = out.Write(line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = io.WriteString(out, `{"level":"WARN","msg":"log lines dropped","count":`+strconv.FormatInt(n, 10)+"}\n")
		}
	}
}

// Write implements io.Writer; p is one line.
func (w *BoundedWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(p):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since the last report.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued. Nothing may be written after it.
func (w *BoundedWriter) Close() {
	close(w.lines)
	<-w.done
}

// BoundedLogger returns a JSON logger that never blocks.
func BoundedLogger(w *BoundedWriter) *slog.Logger { return Logger(w) }
