package httpadapter_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/external/httpadapter"
)

// serveConn answers each request with what respond does with its connection. The body of the request is not read.
func serveConn(t *testing.T, respond func(c net.Conn)) (url string) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		respond(conn)
		_ = conn.Close()
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

// Guards against taking a call with a long body for done whose response, without a length, a reset has cut while the
// call was still being written.
func TestResetDuringCallIsAnError(t *testing.T) {
	engine := httpadapter.NewEngine()
	for name, wait := range map[string]time.Duration{"at once": 0, "after a while": 30 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			url := serveConn(t, func(c net.Conn) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+`{"part":`)
				time.Sleep(wait)
				_ = c.(*net.TCPConn).SetLinger(0)
			})
			for n := range 20 {
				err := engine.ImportKV(t.Context(), url, "q", make([]byte, 8<<20))
				if err == nil || errors.Is(err, external.ErrRejected) {
					t.Errorf("try %d: %v", n, err)
				}
			}
		})
	}
}
