// Package upstream keeps HTTP/1.1 connections to endpoints and sends each
// request exactly once. The transport of net/http is not used: it repeats some
// requests by itself when a reused connection breaks, and a request that must
// not run twice would run twice.
package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the setup of a connection. A round trip takes a few
	// milliseconds; a lost opening packet is sent again after a second.
	dialTimeout = 1500 * time.Millisecond
	// userTimeout closes a connection whose bytes are not acknowledged. A host
	// behind a partition answers nothing, and reads would hang without it.
	userTimeout = 2 * time.Second
	// keepAliveIdle and keepAliveInterval find idle connections that fell silent.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	readBuffer        = 8 << 10
)

// Dial opens a TCP connection that notices a silent peer.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return dialer.DialContext(ctx, "tcp", addr)
}

// conn is a connection that serves one request at a time.
type conn struct {
	net.Conn
	in *bufio.Reader
	// expires is when the endpoint may close the idle connection.
	expires time.Time
	used    bool
}

// quiet tells whether an idle connection is open and has nothing to read.
// Bytes that came without a request belong to no request, and a connection that
// the endpoint has closed would fail a request whose outcome is then unknown.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
