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
	"github.com/tealvane/tealvane/internal/wait"
)

// idleLinger is for how long a connection has to be idle for a stopping host to close it: its
// next request is answered, and ends it. A caller that gets no processor for a while would
// send one just as the host closes the connection, also where its last answer had begun before
// the stop.
const idleLinger = 2 * time.Second

// connsPoll is the pause between two looks at the connections.
const connsPoll = 10 * time.Millisecond

// drainListener is a TCP listener that serves all connections which were made before it stops.
// One that is only closed resets those that the process has not accepted yet: a caller that
// had connected in time saw its request cut.
type drainListener struct {
	tcp *net.TCPListener
	// accepted ends once the listener takes no more connections.
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newDrainListener(tcp *net.TCPListener) *drainListener {
	l := &drainListener{tcp: tcp, accepted: make(chan net.Conn), closed: make(chan struct{})}
	go l.run()
	return l
}

// run accepts connections until the listener stops or is closed.
func (l *drainListener) run() {
	defer close(l.accepted)
	for {
		c, err := l.tcp.Accept()
		if err != nil {
			break
		}
		if !l.pass(c) {
			return
		}
	}
	for c := l.pending(); c != nil; c = l.pending() {
		if !l.pass(c) {
			return
		}
	}
	_ = l.tcp.Close() // Nobody waits for connections any more.
}

// pass hands a connection to the server and tells whether it goes on.
func (l *drainListener) pass(c net.Conn) bool {
	select {
	case l.accepted <- c:
		return true
	case <-l.closed:
		_ = c.Close() // The process ends.
		return false
	}
}

// pending returns a connection that was made and not accepted yet, nil if there is none.
func (l *drainListener) pending() net.Conn {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return nil
	}
	fd := -1
	err = raw.Control(func(listener uintptr) {
		fd, _, _ = syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC) // -1 if there is none.
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

// Stop takes in what is waiting and then no more.
func (l *drainListener) Stop() {
	// An expired deadline ends the wait for connections without closing the socket.
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
	return nil // It had stopped.
}

// Addr implements net.Listener.
func (l *drainListener) Addr() net.Addr { return l.tcp.Addr() }

// callersServer serves callers. It implements shutdowner.
type callersServer struct {
	*http.Server
	listener *drainListener
	conns    *openConns
}

// Shutdown cuts no request that was sent before it on a connection that was open.
func (s *callersServer) Shutdown(ctx context.Context) error {
	s.listener.Stop()
	for !s.conns.over(time.Now()) && wait.For(ctx, connsPoll) {
	}
	return s.Server.Shutdown(ctx)
}

// openConns are the open connections of a server. It is safe for concurrent use.
type openConns struct {
	mu sync.Mutex
	// idleSince is since when no request is under way on each, zero while one is.
	idleSince map[net.Conn]time.Time
}

func newOpenConns() *openConns { return &openConns{idleSince: map[net.Conn]time.Time{}} }

// note follows the states of connections, as http.Server.ConnState.
func (o *openConns) note(c net.Conn, s http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch s {
	case http.StateClosed, http.StateHijacked:
		delete(o.idleSince, c)
	case http.StateIdle:
		o.idleSince[c] = time.Now()
	default:
		o.idleSince[c] = time.Time{}
	}
}

// over tells whether all connections have ended, or have been idle for long.
func (o *openConns) over(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, since := range o.idleSince {
		if since.IsZero() || now.Sub(since) < idleLinger {
			return false
		}
	}
	return true
}
