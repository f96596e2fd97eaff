package httpadapter_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/external/httpadapter"
)

// Guards against a response that was cut short, within its head or its body, and counts as whole or as that of a
// call that had no effect, and against a call that is sent again.
func TestCutResponseIsAnError(t *testing.T) {
	engine := httpadapter.NewEngine()
	for name, c := range map[string]struct {
		body string
		call func(addr string) error
	}{
		"generate": {`{"request_id":"q","index":0,"done":true}` + "\n", func(addr string) error {
			stream, err := engine.Generate(t.Context(), addr, external.GenerateRequest{RequestID: "q"})
			if err == nil {
				_, err = readAll(stream)
			}
			return err
		}},
		"call": {`{"request_id":"c"}`, func(addr string) error {
			_, err := engine.Call(t.Context(), addr, external.ServiceCall{RequestID: "c"})
			return err
		}},
		"read": {`{"entries":[]}`, func(addr string) error {
			_, err := httpadapter.NewLog(addr, "s").Read(t.Context(), 0, 1, 0)
			return err
		}},
		"list":   {`{"hosts":[]}`, func(addr string) error { _, err := httpadapter.NewHostList(addr).List(t.Context()); return err }},
		"cancel": {"", func(addr string) error { return engine.Cancel(t.Context(), addr, "q") }},
	} {
		for framing, sent := range map[string]string{
			"length":   fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(c.body), c.body),
			"chunks":   fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", max(1, len(c.body)), c.body),
			"unframed": "HTTP/1.0 200 OK\nX-A: a\n\n" + c.body,
		} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reset %t", name, framing, reset), func(t *testing.T) {
					is := is.New(t)
					var cut, got atomic.Int64
					srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						got.Add(1)
						conn, _, err := http.NewResponseController(w).Hijack()
						if err != nil {
							t.Error(err)
							return
						}
						_, _ = io.WriteString(conn, sent[:cut.Load()])
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						_ = conn.Close()
					}))
					defer srv.Close()
					whole := len(sent)
					if name == "generate" {
						whole = strings.Index(sent, "}") + 1 // The last token ends the stream.
					}
					for n := range whole {
						cut.Store(int64(n))
						err := c.call(srv.URL)
						if err == nil || errors.Is(err, external.ErrRejected) {
							t.Errorf("cut after %d of %d bytes: %v", n, len(sent), err)
						}
						is.Equal(got.Load(), int64(n+1))
					}
				})
			}
		}
	}
}
