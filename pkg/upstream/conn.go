// Package upstream maintains HTTP/1.1 connections to endpoints and sends each request exactly
// once. It does not use the transport of net/http, which resends some requests when a reused
// connection breaks, so that a request that must not run twice could run twice.
package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/tealvane/tealvane/internal/duplexconn"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout covers one retransmission of the SYN packet.
	dialTimeout = 1500 * time.Millisecond
	// userTimeout closes a connection whose data is not acknowledged, so that reads do not
	// block while the endpoint is partitioned.
	userTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive probes.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	readBuffer        = 8 << 10
)

// Dial opens a TCP connection that detects an unresponsive peer.
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
			var sockErr error
			err := c.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}
	return dialer.DialContext(ctx, "tcp", addr)
}

// conn is a connection that serves one request at a time.
type conn struct {
	net.Conn
	// raw is the connection that Conn reads and writes.
	raw  net.Conn
	in   *bufio.Reader
	head headLimiter
	// expires is the time until which the idle connection may be reused.
	expires time.Time
	used    bool
}

func newConn(raw net.Conn) *conn {
	duplex := duplexconn.New(raw)
	c := &conn{Conn: duplex, raw: raw, head: headLimiter{src: duplex}}
	c.in = bufio.NewReaderSize(&c.head, readBuffer)
	return c
}

// reusable reports whether an idle connection is open and has no data to read. Unread data
// does not belong to the next request, and the outcome of a request on a closed connection
// would be unknown.
func (c *conn) reusable() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	tcp, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = err == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}
