package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Guards against a slow log reader that blocks callers, and against dropped lines
// that the log does not report.
func TestBoundedWriterDropsLinesWhenFull(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	const total = 2 * queueCapacity
	for i := range total {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
	}
	close(out.release)
	w.Close()
	text := out.buf.String()
	is.True(strings.Count(text, "line ") >= queueCapacity)
	is.True(strings.Contains(text, `"msg":"log lines dropped"`))
	_, err := fmt.Fprintln(w, "after close")
	is.NoErr(err)
}
