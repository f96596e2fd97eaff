package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// Guards against an endpoint that sends no valid responses and stays in use like a sound one, since only its
// broken connections are noticed.
func TestInvalidHeadIsReported(t *testing.T) {
	const endless = 1 << 20
	for _, c := range []struct {
		name, sent string
		want       upstream.Violation
		bytes      int
	}{
		{"status line without end", "HTTP/1.1 200 " + strings.Repeat("a", endless), upstream.HeadTooLong, 64 << 10},
		{"no HTTP", "220 mail.example ESMTP\r\n\r\n", upstream.HeadMalformed, 26},
		{"closed without a response", "", "", 0},
		{"sound response", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			addr, _ := serveRaw(t, func(conn net.Conn, _ int, _ *http.Request) {
				_, _ = io.WriteString(conn, c.sent)
				if c.want != upstream.HeadTooLong {
					_ = conn.Close()
				}
			})
			transport := upstream.NewTransport(time.Now, func(fleet.Endpoint) int { return 1 }, upstream.Dial)
			var got []upstream.Violation
			bytes := 0
			transport.OnViolation = func(id fleet.EndpointID, v upstream.Violation, n int) {
				is.Equal(id, fleet.EndpointID("e"))
				got, bytes = append(got, v), n
			}
			_, _ = transport.Do(t.Context(), fleet.Endpoint{ID: "e", Addr: addr}, upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
			is.Equal(len(got) == 1, c.want != "")
			is.True(c.want == "" || got[0] == c.want)
			is.Equal(bytes, c.bytes)
		})
	}
}

// hasBlankInName reports whether the name of a field has a blank, which net/http accepts.
func hasBlankInName(h http.Header) bool {
	for name := range h {
		if strings.Contains(name, " ") {
			return true
		}
	}
	return false
}

// What is read as a complete response must be the same that net/http reads without a bound, but for names of fields
// with blanks, which must be errors.
func FuzzHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("\x00\x01"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length : 1\r\nContent-Length: 2\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		client, server := net.Pipe()
		defer client.Close()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(server))
			_, _ = server.Write(sent)
			_ = server.Close()
		}()
		want, wantErr := http.ReadResponse(bufio.NewReader(strings.NewReader(string(sent))), nil)
		resp, err := upstream.DoOnConn(t.Context(), client, upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			if wantErr == nil && want.StatusCode >= 200 && len(sent) < 64<<10 && !hasBlankInName(want.Header) {
				t.Fatalf("%v, want status %d", err, want.StatusCode)
			}
			return
		}
		defer resp.Body.Close()
		if wantErr != nil || hasBlankInName(want.Header) {
			t.Fatalf("read status %d, want an error (%v)", resp.StatusCode, wantErr)
		}
		if want.StatusCode >= 200 && resp.StatusCode != want.StatusCode {
			t.Fatalf("read status %d, want %d", resp.StatusCode, want.StatusCode)
		}
		body, bodyErr := io.ReadAll(resp.Body)
		if want.StatusCode < 200 {
			return
		}
		wantBody, wantBodyErr := io.ReadAll(want.Body)
		if string(body) != string(wantBody) || (bodyErr == nil) != (wantBodyErr == nil) {
			t.Fatalf("read body %q (%v), want %q (%v)", body, bodyErr, wantBody, wantBodyErr)
		}
	})
}

// BenchmarkSoundResponse measures the reader's cost of a response with a usual head.
func BenchmarkSoundResponse(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: 0123456789\r\nContent-Length: 2\r\n\r\nok")
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				in := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					_, _ = c.Write(head)
				}
			}()
		}
	}()
	p := upstream.NewPool(l.Addr().String(), 1, time.Now)
	b.ReportAllocs()
	for b.Loop() {
		resp, err := p.Do(b.Context(), upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
