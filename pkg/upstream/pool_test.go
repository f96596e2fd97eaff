package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// serveRaw listens on a local port and calls script for the n-th request of a connection. It
// returns the address and the number of accepted connections.
func serveRaw(t *testing.T, script func(c net.Conn, n int, r *http.Request)) (addr string, conns *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	conns = &atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				in := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						_ = c.Close()
						return
					}
					script(c, n, r)
				}
			}()
		}
	}()
	return l.Addr().String(), conns
}

func reply(c net.Conn, id, body string, headers ...string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), strings.Join(headers, ""), body)
}

func doRequest(t *testing.T, p *upstream.Pool, id, body string) (string, error) {
	t.Helper()
	resp, err := p.Do(context.Background(), upstream.Request{
		Method:        http.MethodPost,
		Target:        "/a%2Fb?q=%20",
		Host:          "h",
		Header:        http.Header{"X-Id": {id}},
		Body:          []byte(body),
		IsOwnResponse: func(h http.Header, _ int) bool { return h.Get("X-Id") == id },
	})
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(resp.Body)
	return string(data), errors.CombineErrors(err, resp.Body.Close())
}

func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	addr, conns := serveRaw(t, func(c net.Conn, _ int, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		reply(c, r.Header.Get("X-Id"), r.RequestURI+string(body))
	})
	p := upstream.NewPool(addr, 4, time.Now)
	for i := range 3 {
		got, err := doRequest(t, p, fmt.Sprint(i), "body")
		is.NoErr(err)
		is.Equal(got, "/a%2Fb?q=%20body") // the target is sent unchanged
	}
	is.Equal(conns.Load(), int32(1))
}

// A duplicate response on a reused connection must not be taken for the response to the next
// request.
func TestStrayResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	addr, _ := serveRaw(t, func(c net.Conn, n int, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if n == 1 {
			reply(c, "first", "answer to another request")
		}
		reply(c, r.Header.Get("X-Id"), "mine")
	})
	p := upstream.NewPool(addr, 4, time.Now)
	_, err := doRequest(t, p, "first", "")
	is.NoErr(err)
	got, err := doRequest(t, p, "second", "")
	is.NoErr(err)
	is.Equal(got, "mine")
}

// A request must not be sent again if the reused connection breaks, since it may have run.
func TestRequestIsNeverResent(t *testing.T) {
	is := is.New(t)
	var seen atomic.Int32
	addr, conns := serveRaw(t, func(c net.Conn, n int, r *http.Request) {
		seen.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		if n == 0 {
			reply(c, r.Header.Get("X-Id"), "ok")
			return
		}
		_ = c.Close()
	})
	p := upstream.NewPool(addr, 4, time.Now)
	_, err := doRequest(t, p, "1", "")
	is.NoErr(err)
	_, err = doRequest(t, p, "2", "")
	is.True(err != nil)
	is.True(!errors.Is(err, upstream.ErrNotSent)) // it may have run
	is.Equal(seen.Load(), int32(2))
	is.Equal(conns.Load(), int32(1))
}

// A connection must not be reused after a response that arrives before the request body is
// completely written.
func TestEarlyResponseClosesConnection(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	addr, conns := serveRaw(t, func(c net.Conn, _ int, r *http.Request) {
		if r.ContentLength < 1<<20 {
			reply(c, r.Header.Get("X-Id"), "short")
			return
		}
		reply(c, r.Header.Get("X-Id"), "early")
		<-release
	})
	defer close(release)
	p := upstream.NewPool(addr, 4, time.Now)
	got, err := doRequest(t, p, "1", strings.Repeat("x", 8<<20))
	is.NoErr(err)
	is.Equal(got, "early")
	got, err = doRequest(t, p, "2", "")
	is.NoErr(err)
	is.Equal(got, "short")
	is.Equal(conns.Load(), int32(2))
}

// A response shorter than its Content-Length must return an error. A response without a
// Content-Length ends when its connection is closed.
func TestTruncatedBodyReturnsError(t *testing.T) {
	is := is.New(t)
	addr, _ := serveRaw(t, func(c net.Conn, _ int, r *http.Request) {
		id := r.Header.Get("X-Id")
		if id == "cut" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: cut\r\nContent-Length: 100\r\n\r\npart")
		} else {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: open\r\n\r\nwhole")
		}
		_ = c.(*net.TCPConn).CloseWrite()
	})
	p := upstream.NewPool(addr, 4, time.Now)
	_, err := doRequest(t, p, "cut", "")
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	got, err := doRequest(t, p, "open", "")
	is.NoErr(err)
	is.Equal(got, "whole")
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	addr, _ := serveRaw(t, func(c net.Conn, _ int, r *http.Request) {
		close(started)
		<-release
		reply(c, r.Header.Get("X-Id"), "done")
	})
	p := upstream.NewPool(addr, 1, time.Now)
	done := make(chan error)
	go func() {
		_, err := doRequest(t, p, "1", "")
		done <- err
	}()
	<-started
	_, err := doRequest(t, p, "2", "")
	is.True(errors.Is(err, upstream.ErrPoolExhausted))
	is.True(errors.Is(err, upstream.ErrNotSent))
	close(release)
	is.NoErr(<-done)
}

func TestRefusedConnectionReturnsErrNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	_, err = doRequest(t, upstream.NewPool(addr, 1, time.Now), "1", "")
	is.True(errors.Is(err, upstream.ErrNotSent))
}
