package telemetry

import (
	"bytes"
	"io"
	"strconv"
	"sync"
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
	mu      sync.RWMutex
	closed  bool
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

// Write implements io.Writer; p is one line. After Close it drops the line:
// background work may still end while the process does.
func (w *BoundedWriter) Write(p []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(p), nil
	}
	select {
	case w.lines <- bytes.Clone(p):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since the last report.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued.
func (w *BoundedWriter) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	<-w.done
}
