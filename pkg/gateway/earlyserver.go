package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/clientconn"
	"github.com/tealvane/tealvane/pkg/serve"
)

const (
	// minStartRetryAfter and maxStartRetryAfter bound when clients of a host that is starting should
	// send a request again. In between it is half the time since the start.
	minStartRetryAfter = 250 * time.Millisecond
	maxStartRetryAfter = 2 * time.Second
)

// notReady returns the error for requests to a host that has no configuration or list of endpoints.
func (g *Gateway) notReady() error {
	after := min(maxStartRetryAfter, max(minStartRetryAfter, g.Now().Sub(g.startedAt)/2))
	return &serve.NotReadyError{RetryAfter: after}
}

// earlyServer returns the server of client requests until the configured limits are known. It refuses
// them: a request that is left unanswered is lost to its client, even if the load balancer should not
// have sent it here. Its connections are closed after one response, so that those of later requests get
// the configured limits.
func (g *Gateway) earlyServer() *http.Server {
	s := &http.Server{Handler: g.handler, ConnContext: clientconn.Save, ReadHeaderTimeout: readinessTimeout, IdleTimeout: readinessTimeout}
	s.SetKeepAlivesEnabled(false)
	return s
}

// serveClients serves client requests with early until the host can serve, and then with server.
func (g *Gateway) serveClients(ctx context.Context, early, server *http.Server) error {
	l := &handoverListener{Listener: g.clientListener}
	ended := make(chan error, 1)
	go func() { ended <- serveUntilClosed(early, l) }()
	if !g.awaitConfig(ctx) {
		return nil
	}
	if err := l.handOver(); err != nil {
		return err
	}
	if err := <-ended; err != nil {
		return err
	}
	if err := l.resume(); err != nil {
		return err
	}
	g.applyLimits(server)
	g.serving.Store(true)
	return serveUntilClosed(server, g.clientListener)
}

// handoverListener is a listener that one server can stop accepting from without closing it, so that
// another one goes on.
type handoverListener struct {
	net.Listener
	over atomic.Bool
}

// deadlineListener is implemented by TCP listeners.
type deadlineListener interface {
	SetDeadline(t time.Time) error
}

// Accept implements net.Listener.
func (l *handoverListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && l.over.Load() {
		return nil, net.ErrClosed
	}
	return conn, err
}

// Close implements net.Listener. It ends Accept, which a shutdown of the server waits for, and leaves
// the listener open.
func (l *handoverListener) Close() error { return l.handOver() }

// handOver ends Accept.
func (l *handoverListener) handOver() error {
	l.over.Store(true)
	return l.setDeadline(time.Now())
}

// resume allows others to accept from the listener again.
func (l *handoverListener) resume() error { return l.setDeadline(time.Time{}) }

func (l *handoverListener) setDeadline(at time.Time) error {
	d, ok := l.Listener.(deadlineListener)
	if !ok {
		return errors.Newf("listener %T has no deadline", l.Listener)
	}
	err := d.SetDeadline(at)
	if errors.Is(err, net.ErrClosed) {
		return nil // The host is shutting down.
	}
	return errors.Wrap(err, "hand over the client listener")
}
