package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// cutHeads are heads of responses; each part of one is no response.
var cutHeads = map[string]string{
	"length":            "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 12\r\n\r\n",
	"length first":      "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: own\r\n\r\n",
	"chunks":            "HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.0, bare LF": "HTTP/1.0 200 OK\nX-Id: own\nContent-Length: 12\n\n",
	"folded line":       "HTTP/1.1 200 OK\r\nX-Id: own\r\nX-A: a\r\n b\r\nContent-Length: 1\r\n 2\r\n\r\n",
	"no length":         "HTTP/1.1 200 OK\r\nX-Id: own\r\nConnection: close\r\n\r\n",
	"interim response":  "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 12\r\n\r\n",
	"no body":           "HTTP/1.1 204 No Content\r\nX-Id: own\r\n\r\n",
	"failure":           "HTTP/1.1 503 Service Unavailable\r\nX-Id: own\r\nRetry-After: 12\r\nContent-Length: 0\r\n\r\n",
	"after a late one":  "HTTP/1.1 200 OK\r\nX-Id: late\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 12\r\n\r\n",
}

// closeWith closes a connection, with a reset if reset is set.
func closeWith(c net.Conn, reset bool) {
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

// Guards against taking a head that its endpoint did not finish for a whole one, and against taking the crash of
// an endpoint within a head for a wrong protocol, which clears the request that has crashed it.
func TestCutHeadIsBrokenConnection(t *testing.T) {
	for name, head := range cutHeads {
		for _, reset := range []bool{false, true} {
			for _, used := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reset %t, used %t", name, reset, used), func(t *testing.T) {
					is := is.New(t)
					var cut, runs atomic.Int64
					addr, conns := serveRaw(t, func(c net.Conn, n int, r *http.Request) {
						if used && n == 0 {
							reply(c, "own", "ok")
							return
						}
						runs.Add(1)
						_, _ = io.WriteString(c, head[:cut.Load()])
						closeWith(c, reset)
					})
					transport := upstream.NewTransport(time.Now, func(fleet.Endpoint) int { return 2 }, upstream.Dial)
					violations := 0
					transport.OnViolation = func(fleet.EndpointID, upstream.Violation, int) { violations++ }
					do := func() (*http.Response, error) {
						return transport.Do(t.Context(), fleet.Endpoint{ID: "e", Addr: addr}, upstream.Request{
							Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
							IsOwnResponse: func(h http.Header, _ int) bool { return h.Get("X-Id") == "own" },
						})
					}
					for n := range len(head) {
						cut.Store(int64(n))
						if used {
							resp, err := do()
							is.NoErr(err)
							_, err = io.Copy(io.Discard, resp.Body)
							is.NoErr(err)
							is.NoErr(resp.Body.Close())
						}
						_, err := do()
						is.True(err != nil)
						is.True(!errors.Is(err, upstream.ErrNotSent)) // It may have run.
						is.Equal(int(conns.Load()), n+1)              // No connection is used again.
						is.Equal(int(runs.Load()), n+1)
					}
					is.Equal(violations, 0)
				})
			}
		}
	}
}
