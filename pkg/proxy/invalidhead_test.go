package proxy

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// invalidHeads are heads that a host of a former version passes on from an endpoint.
var invalidHeads = map[string]responseHead{
	"status 000":     {Status: 0, Length: 2},
	"status 101":     {Status: 101, Length: 2},
	"interim":        {Status: 103, Length: 2},
	"blank in name":  {Status: 200, Length: 2, Header: http.Header{"X A": {"1"}}},
	"blank at end":   {Status: 200, Length: 2, Header: http.Header{"Content-Length ": {"1"}}},
	"name of a line": {Status: 200, Length: 2, Header: http.Header{"X-A: 1\r\nX-B": {"1"}}},
	"no name":        {Status: 200, Length: 2, Header: http.Header{"": {"1"}}},
}

// Guards against passing on a head that is no response of HTTP/1 because a host of a former version did not check it.
func TestInvalidHeadFromHostIsAnError(t *testing.T) {
	for name, head := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newHostPair(t, nil)
			p.intercept = func(s Stream) {
				out := &frameWriter{out: s}
				_ = out.writeValue(frameReady, acceptance{})
				for {
					if kind, _, err := readFrame(s); err != nil || kind == frameEnd {
						break
					}
				}
				_ = out.writeValue(frameHead, head)
				_ = out.write(frameData, []byte("ok"))
				_ = out.write(frameEnd, nil)
			}
			_, err := p.send(t.Context(), "")
			is.True(errors.Is(err, upstream.ErrMalformedHead))
			is.True(!errors.Is(err, upstream.ErrNotSent)) // It may have run.
		})
	}
}

// Guards against passing on to another host a head that is no response of HTTP/1.
func TestInvalidHeadBehindHelperIsAnError(t *testing.T) {
	for _, first := range []string{"000 A\r\n", "042 A\r\n", "101 A\r\n", "200 OK\r\nX A: 1\r\n", "200 OK\r\nContent-Length : 1\r\n", "103 A\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\n"} {
		t.Run(first, func(t *testing.T) {
			is := is.New(t)
			const inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
			p := newHostPair(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 %sContent-Length: %d\r\n\r\n%s", first, len(inner), inner)
				_ = conn.Close()
			})
			resp, err := p.send(t.Context(), "")
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			is.True(err != nil)
			is.True(!errors.Is(err, upstream.ErrNotSent))
		})
	}
}
