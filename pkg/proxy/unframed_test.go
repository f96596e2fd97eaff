package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// closeConnection responds with neither a length nor chunks.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Transfer-Encoding", "identity")
	_, _ = io.WriteString(w, "part")
}

// Guards against a host of the former version that takes the end of an endpoint's connection, passed on by this
// one, for a complete body. It knows only frameEnd as the end of one.
func TestFormerHostDoesNotGetUnconfirmedEnd(t *testing.T) {
	is := is.New(t)
	p := newHostPair(t, closeConnection)
	resp, err := p.send(t.Context(), "")
	is.NoErr(err)
	resp.Body.(*countedBody).ReadCloser.(*responseBody).endsWithConnection = false // As if unknown.
	_, err = io.ReadAll(resp.Body)
	is.True(errors.Is(err, errInvalidFrame))
}

// Guards against taking a body without a length as complete because a host of the former version, which does
// not tell how it ended, says so.
func TestBodyFromFormerHostIsUnconfirmed(t *testing.T) {
	is := is.New(t)
	p := newHostPair(t, func(http.ResponseWriter, *http.Request) {})
	p.intercept = func(s Stream) {
		out := &frameWriter{out: s}
		_ = out.writeValue(frameReady, acceptance{})
		for {
			if kind, _, err := readFrame(s); err != nil || kind == frameEnd {
				break
			}
		}
		_ = out.writeValue(frameHead, map[int]any{1: 200, 3: -1})
		_ = out.write(frameData, []byte("part"))
		_ = out.write(frameEnd, nil)
	}
	resp, err := p.send(t.Context(), "")
	is.NoErr(err)
	is.True(upstream.EndsWithConnection(resp))
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "part")
}

// Guards against losing the framing of a body over the second hop, which would cost the client's connection.
func TestChunkedBodyStaysChunked(t *testing.T) {
	is := is.New(t)
	p := newHostPair(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
	})
	resp, err := p.send(t.Context(), "")
	is.NoErr(err)
	defer resp.Body.Close()
	is.True(!upstream.EndsWithConnection(resp))
}

// Guards against passing on as an end, by way of another host, a reset that has cut the response to a request that
// was still being written to the endpoint.
func TestResetDuringUploadBehindHelperIsNoEnd(t *testing.T) {
	p := newHostPair(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	const size = 8 << 20
	p.server.Limits.Bytes = size
	for n := range 20 {
		resp, err := p.send(t.Context(), strings.Repeat("a", size))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close() // Its error is that of the read.
		}
		if err == nil {
			t.Errorf("try %d: the part that was sent was taken for a complete body", n)
		}
	}
}

// Guards against keeping, on either host, what an endpoint sends without end while the client does not read it.
func TestEndlessBodyBehindHelperIsNotKept(t *testing.T) {
	const maxGrowth = 1 << 20
	is := is.New(t)
	sent := make(chan int, 1)
	p := newHostPair(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		block, total := make([]byte, 64<<10), 0
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		for err == nil {
			var n int
			n, err = conn.Write(block)
			total += n
		}
		sent <- total
	})
	resp, err := p.send(t.Context(), "")
	is.NoErr(err)
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	_, err = io.CopyN(io.Discard, resp.Body, 64<<20) // Reads, and then does not.
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	is.True(heap()-before < maxGrowth)
	is.NoErr(resp.Body.Close())
	is.True(<-sent >= 64<<20) // The endpoint's connection is closed.
}
