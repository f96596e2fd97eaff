package telemetry

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// queueCapacity is the maximum number of queued log lines.
const queueCapacity = 4096

// BoundedWriter writes lines asynchronously through a bounded queue, so that callers
// never block. Lines are dropped and counted while the queue is full. It is safe for
// concurrent use.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	mu      sync.RWMutex
	closed  bool
	done    chan struct{}
}

// NewBoundedWriter returns a BoundedWriter to out. Close must be called to stop it.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *BoundedWriter) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		// Errors are ignored: there is no other place to report them.
		_, _ = out.Write(line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = io.WriteString(out, `{"level":"WARN","msg":"log lines dropped","count":`+strconv.FormatInt(n, 10)+"}\n")
		}
	}
}

// Write implements io.Writer; p must be one line. After Close it drops the line,
// since goroutines may still log while the process exits.
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

// Dropped returns the number of dropped lines that have not been logged yet.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer. It must be called only once.
func (w *BoundedWriter) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	<-w.done
}
