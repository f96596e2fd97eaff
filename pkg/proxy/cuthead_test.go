package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// Guards against passing on a head that an endpoint did not finish as a response, and against sending its
// request again.
func TestCutHeadBehindHelperIsBroken(t *testing.T) {
	for name, head := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-A: a\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"LF":     "HTTP/1.0 200 OK\nX-A: a\n\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				is := is.New(t)
				var cut, runs atomic.Int64
				p := newHostPair(t, func(w http.ResponseWriter, _ *http.Request) {
					runs.Add(1)
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					_, _ = io.WriteString(conn, head[:cut.Load()])
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					_ = conn.Close()
				})
				for n := range len(head) {
					cut.Store(int64(n))
					_, err := p.send(t.Context(), "")
					is.True(err != nil)
					is.True(!errors.Is(err, upstream.ErrNotSent))
					is.Equal(int(runs.Load()), n+1)
				}
			})
		}
	}
}

// recordedStream keeps the frames that are written to it.
type recordedStream struct {
	Stream
	bytes.Buffer
}

func (s *recordedStream) Read(p []byte) (int, error)  { return s.Buffer.Read(p) }
func (s *recordedStream) Write(p []byte) (int, error) { return s.Buffer.Write(p) }

// Guards against taking what another host has sent before it ended for a whole response.
func TestCutFramesAreBroken(t *testing.T) {
	for name, c := range map[string]struct {
		head responseHead
		end  frameType
	}{
		"length":   {responseHead{Status: 200, Length: 4, Header: http.Header{"X-A": {"a"}}}, frameEnd},
		"chunks":   {responseHead{Status: 200, Length: -1, Chunked: true}, frameEnd},
		"unframed": {responseHead{Status: 200, Length: -1}, frameClosed},
	} {
		for _, abort := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, aborted %t", name, abort), func(t *testing.T) {
				is := is.New(t)
				recorded := &recordedStream{}
				out := &frameWriter{out: recorded}
				is.NoErr(out.writeValue(frameHead, c.head))
				is.NoErr(out.write(frameData, []byte("part")))
				is.NoErr(out.write(c.end, nil))
				sent := recorded.Bytes()
				var cut atomic.Int64
				p := newHostPair(t, nil)
				p.intercept = func(s Stream) {
					_ = (&frameWriter{out: s}).writeValue(frameReady, acceptance{})
					for {
						if kind, _, err := readFrame(s); err != nil || kind == frameEnd {
							break
						}
					}
					_, _ = s.Write(sent[:cut.Load()])
					if abort {
						s.Abort()
						return
					}
					_ = s.Close()
				}
				for n := range len(sent) + 1 {
					cut.Store(int64(n))
					resp, err := p.send(t.Context(), "")
					if err == nil {
						_, err = io.ReadAll(resp.Body)
						is.NoErr(resp.Body.Close())
					}
					is.True(!errors.Is(err, upstream.ErrNotSent))
					is.True(err != nil || n == len(sent))
					is.True(err == nil || abort || n < len(sent))
				}
			})
		}
	}
}
