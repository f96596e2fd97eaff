package entryhost

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/drain"
)

// drainListener is a TCP listener that can stop accepting connections without resetting those in
// the accept queue. Closing a listener resets every connection that was established but not yet
// accepted.
type drainListener struct {
	tcp *net.TCPListener
	// accepted is closed when the listener accepts no more connections.
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newDrainListener(tcp *net.TCPListener) *drainListener {
	l := &drainListener{tcp: tcp, accepted: make(chan net.Conn), closed: make(chan struct{})}
	go l.run()
	return l
}

// run accepts connections until the listener is stopped or closed.
func (l *drainListener) run() {
	defer close(l.accepted)
	for {
		c, err := l.tcp.Accept()
		if err != nil {
			break
		}
		if !l.deliver(c) {
			return
		}
	}
	for c := l.acceptPending(); c != nil; c = l.acceptPending() {
		if !l.deliver(c) {
			return
		}
	}
	_ = l.tcp.Close()
}

// deliver passes a connection to Accept. It returns false if the listener is closed.
func (l *drainListener) deliver(c net.Conn) bool {
	select {
	case l.accepted <- c:
		return true
	case <-l.closed:
		_ = c.Close()
		return false
	}
}

// acceptPending returns a connection from the accept queue, or nil if the queue is empty.
func (l *drainListener) acceptPending() net.Conn {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return nil
	}
	fd := -1
	err = raw.Control(func(listener uintptr) {
		fd, _, _ = syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC) // -1 if the queue is empty.
	})
	if err != nil || fd < 0 {
		return nil
	}
	f := os.NewFile(uintptr(fd), "")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil
	}
	return c
}

// Stop stops accepting connections. Connections already in the accept queue are still served.
func (l *drainListener) Stop() {
	// An expired deadline unblocks Accept without closing the socket.
	if err := l.tcp.SetDeadline(time.Unix(0, 1)); err != nil {
		_ = l.tcp.Close()
	}
}

// Accept implements net.Listener.
func (l *drainListener) Accept() (net.Conn, error) {
	if c, ok := <-l.accepted; ok {
		return c, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *drainListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	if err := l.tcp.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil // Already closed by run.
}

// Addr implements net.Listener.
func (l *drainListener) Addr() net.Addr { return l.tcp.Addr() }

// callersServer is the HTTP server for callers. It implements shutdowner.
type callersServer struct {
	*http.Server
	listener *drainListener
	conns    *drain.Tracker
}

// Shutdown stops the listener, waits until all connections are closed or idle, and shuts the
// server down. It does not abort requests unless ctx ends.
func (s *callersServer) Shutdown(ctx context.Context) error {
	s.listener.Stop()
	s.conns.Wait(ctx)
	return s.Server.Shutdown(ctx)
}
