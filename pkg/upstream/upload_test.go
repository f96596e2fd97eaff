package upstream_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// earlyResponse sends a request with a long body to an endpoint that responds before it has read it, and returns
// the body of the response.
func earlyResponse(t *testing.T, end func(net.Conn, *http.Request)) (string, error) {
	t.Helper()
	addr, _ := serveRaw(t, func(c net.Conn, _ int, r *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("a", 3000))
		end(c, r)
	})
	resp, err := upstream.NewPool(addr, 1, time.Now).Do(t.Context(), upstream.Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 8<<20),
	})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), joinClose(resp, err)
}

// joinClose closes the body of a response and returns its first error.
func joinClose(resp *http.Response, err error) error {
	if closeErr := resp.Body.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Guards against taking a body without a length for complete that a reset has cut while the request was still being
// written: the write gets the reset, and the read an end as after a regular close.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for name, prepare := range map[string]func(*http.Request){
		"at once":           func(*http.Request) {},
		"after a while":     func(*http.Request) { time.Sleep(30 * time.Millisecond) },
		"after reading 4KB": func(r *http.Request) { _, _ = io.CopyN(io.Discard, r.Body, 4<<10); time.Sleep(5 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			for n := range 20 {
				body, err := earlyResponse(t, func(c net.Conn, r *http.Request) { prepare(r); closeWith(c, true) })
				if err == nil {
					t.Errorf("try %d: %d bytes were taken for a complete body", n, len(body))
				}
			}
		})
	}
}

// Guards against taking an early response that its endpoint has ended regularly for a broken one, or waiting for
// the request to be written, which may never be read.
func TestEarlyResponseWithRegularEndIsComplete(t *testing.T) {
	for name, rest := range map[string]func(net.Conn, *http.Request){
		"rest is read":       func(_ net.Conn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) },
		"rest is never read": func(net.Conn, *http.Request) { <-t.Context().Done() },
		"reset after it":     func(c net.Conn, _ *http.Request) { closeWith(c, true) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range 20 {
				start := time.Now()
				body, err := earlyResponse(t, func(c net.Conn, r *http.Request) {
					_ = c.(*net.TCPConn).CloseWrite()
					rest(c, r)
				})
				is.NoErr(err)
				is.Equal(len(body), 3000)
				is.True(time.Since(start) < time.Second)
			}
		})
	}
}
