package upstream_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// Guards against taking an end that nobody has stated for a stated one, and the reverse, which would cost connections.
func TestEndsWithConnection(t *testing.T) {
	for head, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                            false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": false,
		"HTTP/1.1 204 No Content\r\n\r\n":                                           false,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n":         false,
		"HTTP/1.1 200 OK\r\n\r\nok":                                                 true,
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok":                            true,
		"HTTP/1.1 500 Internal Server Error\r\n\r\nno":                              true,
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nok":                       true,
	} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			addr, _ := serveRaw(t, func(c net.Conn, _ int, _ *http.Request) {
				_, _ = io.WriteString(c, head)
				_ = c.Close()
			})
			p := upstream.NewPool(addr, 1, time.Now)
			resp, err := p.Do(t.Context(), upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(upstream.EndsWithConnection(resp), want)
			_, err = io.ReadAll(resp.Body)
			is.NoErr(err)
		})
	}
}
