package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blocked is a log reader that stalls until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Nobody reads the log for a while. Requests must go on; the lines that found no
// place are counted in the log itself.
func TestSlowReaderBlocksNobody(t *testing.T) {
	is := is.New(t)
	out := &blocked{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	const lines = 2 * queuedLines
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
	}
	close(out.release)
	w.Close()
	text := out.buf.String()
	is.True(strings.Count(text, "line ") >= queuedLines)
	is.True(strings.Contains(text, `"msg":"log lines dropped"`))
	_, err := fmt.Fprintln(w, "after the end")
	is.NoErr(err)
}
