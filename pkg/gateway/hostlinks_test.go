package gateway_test

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/tealvane/tealvane/pkg/upstream"
)

// linkFault is a fault of the links of one host to all endpoints.
type linkFault int

const (
	linksWork linkFault = iota
	// linksSilent drops all packets.
	linksSilent
	// linksReset resets open connections and refuses new ones.
	linksReset
	// linksRefuse refuses new connections; open ones work.
	linksRefuse
)

// The timeouts of connections over silent links, as of upstream.Dial.
const (
	silentDialTimeout = 1500 * time.Millisecond
	silentUserTimeout = 2 * time.Second
)

// hostLinks are the links of one host to all endpoints.
type hostLinks struct {
	mu    sync.Mutex
	fault linkFault
	// spared holds the addresses of endpoints that faults do not affect. It must not be changed once
	// a fault is set.
	spared map[string]bool
	// healed is closed when a fault ends.
	healed chan struct{}
	conns  map[*linkConn]bool
}

func newHostLinks() *hostLinks {
	healed := make(chan struct{})
	close(healed)
	return &hostLinks{healed: healed, conns: map[*linkConn]bool{}}
}

// set sets the fault.
func (l *hostLinks) set(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault != linksWork {
		close(l.healed)
	}
	l.fault = f
	if f == linksWork {
		return
	}
	l.healed = make(chan struct{})
	if f == linksReset {
		for c := range l.conns {
			_ = c.fail(syscall.ECONNRESET)
		}
	}
}

func (l *hostLinks) state() (linkFault, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.healed
}

// dial implements upstream.Dialer.
func (l *hostLinks) dial(ctx context.Context, addr string) (net.Conn, error) {
	fault, healed := l.state()
	if l.spared[addr] {
		return upstream.Dial(ctx, addr)
	}
	switch fault {
	case linksReset, linksRefuse:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case linksSilent:
		timeout := time.NewTimer(silentDialTimeout)
		defer timeout.Stop()
		select {
		case <-healed:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout.C:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
	}
	inner, err := upstream.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: inner, links: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// linkConn is a connection over a host's links.
type linkConn struct {
	net.Conn
	links  *hostLinks
	once   sync.Once
	closed chan struct{}
	// err is the reason why the connection failed, or nil. It is set before closed is closed.
	err error
}

func (c *linkConn) fail(err error) error {
	var closeErr error
	c.once.Do(func() {
		c.err = err
		close(c.closed)
		closeErr = c.Conn.Close()
	})
	return closeErr
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.fail(net.ErrClosed)
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if fault, healed := c.links.state(); fault == linksSilent {
		select {
		case <-healed:
		case <-c.closed:
		}
	}
	select {
	case <-c.closed:
		return 0, c.err
	default:
		return n, err
	}
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	if fault, _ := c.links.state(); fault == linksSilent {
		time.AfterFunc(silentUserTimeout, func() { _ = c.fail(syscall.ETIMEDOUT) })
		return len(p), nil
	}
	return c.Conn.Write(p)
}
