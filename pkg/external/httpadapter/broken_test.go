package httpadapter_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
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
			for n := range 10 {
				err := engine.ImportKV(t.Context(), url, "q", make([]byte, 8<<20))
				if err == nil || errors.Is(err, external.ErrRejected) {
					t.Errorf("try %d: %v", n, err)
				}
			}
		})
	}
}

// Guards against taking bytes that are no response of HTTP/1 for one, or for a call that had no effect.
func TestInvalidHeadIsAnError(t *testing.T) {
	engine := httpadapter.NewEngine()
	for name, call := range map[string]func(addr string) error{
		"generate": func(addr string) error {
			stream, err := engine.Generate(t.Context(), addr, external.GenerateRequest{RequestID: "q"})
			if err == nil {
				_, err = readAll(stream)
			}
			return err
		},
		"call": func(addr string) error {
			_, err := engine.Call(t.Context(), addr, external.ServiceCall{RequestID: "q"})
			return err
		},
		"cancel": func(addr string) error { return engine.Cancel(t.Context(), addr, "q") },
		"append": func(addr string) error {
			_, err := httpadapter.NewLog(addr, "s").Append(t.Context(), []byte("a"))
			return err
		},
		"list": func(addr string) error { _, err := httpadapter.NewHostList(addr).List(t.Context()); return err },
		"limits": func(addr string) error {
			_, err := httpadapter.NewWeightStore(addr).Limits(t.Context())
			return err
		},
	} {
		for _, head := range []string{
			"000 A\r\n", "042 A\r\n", "101 A\r\n", "101 A\r\nUpgrade: a\r\nConnection: upgrade\r\n", "600 A\r\n", "999 A\r\n",
			"200 OK\r\nX A: 1\r\n", "200 OK\r\nContent-Length : 1\r\n", "200 OK\r\nX\x01A: 1\r\n",
			"103 A\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\n", "103 A\r\nX\x01A: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
		} {
			t.Run(fmt.Sprintf("%s, %q", name, head), func(t *testing.T) {
				const body = `{"request_id":"q","index":0,"done":true,"offset":1,"hosts":[]}` + "\n"
				url := serveConn(t, func(c net.Conn) {
					fmt.Fprintf(c, "HTTP/1.1 %sContent-Length: %d\r\n\r\n%s", head, len(body), body)
				})
				if err := call(url); err == nil || errors.Is(err, external.ErrRejected) {
					t.Errorf("got %v", err)
				}
			})
		}
	}
}

// Guards against an engine that ends a host by sending bytes without end where the head of a response or a token is
// due.
func TestEndlessHeadIsBounded(t *testing.T) {
	engine := httpadapter.NewEngine()
	for name, c := range map[string]struct {
		start, repeated string
		max             uint64
	}{
		"no HTTP":           {"", "[", 1 << 20},
		"header line":       {"HTTP/1.1 200 OK\r\nX-A: ", "a", 1 << 20},
		"many headers":      {"HTTP/1.1 200 OK\r\n", "X-A: aaaaaaaa\r\n", 1 << 20},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 1 << 20},
		"token":             {"HTTP/1.1 200 OK\r\n\r\n", "[", 4 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			block := []byte(strings.Repeat(c.repeated, 4096/len(c.repeated)))
			url := serveConn(t, func(conn net.Conn) {
				_, err := io.WriteString(conn, c.start)
				for err == nil {
					_, err = conn.Write(block)
				}
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			stream, err := engine.Generate(t.Context(), url, external.GenerateRequest{RequestID: "q"})
			if err == nil {
				_, err = readAll(stream)
			}
			runtime.ReadMemStats(&after)
			if err == nil || errors.Is(err, external.ErrRejected) {
				t.Errorf("got %v", err)
			}
			if got := after.TotalAlloc - before.TotalAlloc; got >= c.max {
				t.Errorf("allocated %d bytes", got)
			}
		})
	}
}

// Guards against a service that ends a host by answering many calls at once with bodies without end.
func TestEndlessBodiesOfManyCallsAreBounded(t *testing.T) {
	const calls, maxHeap = 20, 200 << 20 // of the 284 MB of a host
	engine := httpadapter.NewEngine()
	block := bytes.Repeat([]byte("["), 4096)
	for framing, head := range map[string]string{
		"unframed": "HTTP/1.1 200 OK\r\n\r\n",
		"length":   "HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n",
		"too long": "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
	} {
		t.Run(framing, func(t *testing.T) {
			url := serveConn(t, func(conn net.Conn) {
				_, err := io.WriteString(conn, head)
				for err == nil {
					_, err = conn.Write(block)
				}
			})
			sound := serveConn(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+`{"request_id":"q"}`)
			})
			var group sync.WaitGroup
			for range calls {
				group.Go(func() {
					for range 5 {
						if _, err := engine.Call(t.Context(), url, external.ServiceCall{RequestID: "q"}); err == nil || errors.Is(err, external.ErrRejected) {
							t.Errorf("got %v", err)
						}
						if _, err := engine.Call(t.Context(), sound, external.ServiceCall{RequestID: "q"}); err != nil {
							t.Errorf("call of another service: %v", err)
						}
					}
				})
			}
			ended := make(chan struct{})
			go func() { group.Wait(); close(ended) }()
			peak := uint64(0)
			for running := true; running; {
				select {
				case <-ended:
					running = false
				case <-time.After(5 * time.Millisecond):
				}
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapAlloc)
			}
			if peak >= maxHeap {
				t.Errorf("%d MiB of heap", peak>>20)
			}
		})
	}
}
