package upstream

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Reservation is a connection to an endpoint for one request. Either Do or Release must be called.
type Reservation struct {
	pool *Pool
	conn *conn
}

// Reserve returns a connection to the endpoint: an idle one or a new one. Its errors are marked
// ErrNotSent.
func (p *Pool) Reserve(ctx context.Context) (*Reservation, error) {
	if c := p.takeIdle(); c != nil {
		return &Reservation{p, c}, nil
	}
	if err := p.reserveSlot(); err != nil {
		return nil, err
	}
	c, err := p.connect(ctx)
	if err != nil {
		return nil, err
	}
	return &Reservation{p, c}, nil
}

// ReserveWithin is like Reserve, but returns the pending connection if it takes longer than patience.
func (p *Pool) ReserveWithin(ctx context.Context, patience time.Duration) (*Reservation, *Pending, error) {
	if c := p.takeIdle(); c != nil {
		return &Reservation{p, c}, nil, nil
	}
	pending, err := p.Connect()
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	r, err := pending.Wait(ctx)
	if errors.Is(err, errPending) {
		return nil, pending, nil
	}
	return r, nil, err
}

// errPending is returned by Wait if the context ends first.
var errPending = errors.Wrap(ErrNotSent, "connection is not established yet")

// Pending is a connection that is being established. It outlives the request that it was opened for, since
// another one can use it.
type Pending struct {
	pool *Pool
	done chan struct{}

	mu sync.Mutex
	// conn and err are the result once done is closed. abandoned is set if nobody waits for it.
	conn      *conn
	err       error
	abandoned bool
}

// Connect begins to open a connection, whether or not there are idle ones.
func (p *Pool) Connect() (*Pending, error) {
	if err := p.reserveSlot(); err != nil {
		return nil, err
	}
	c := &Pending{pool: p, done: make(chan struct{})}
	go func() {
		conn, err := p.connect(context.Background())
		c.mu.Lock()
		defer c.mu.Unlock()
		c.conn, c.err = conn, err
		close(c.done)
		if c.abandoned {
			c.releaseLocked()
		}
	}()
	return c, nil
}

// Wait returns the connection once it is established. If ctx ends first, the connection remains pending.
func (c *Pending) Wait(ctx context.Context) (*Reservation, error) {
	select {
	case <-c.done:
	case <-ctx.Done():
		return nil, errPending
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, c.err
	}
	conn := c.conn
	c.conn = nil
	return &Reservation{c.pool, conn}, nil
}

// Abandon returns the connection to the pool once it is established.
func (c *Pending) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	c.releaseLocked()
}

// releaseLocked returns an established connection to the pool. It must be called with mu held.
func (c *Pending) releaseLocked() {
	if c.conn != nil {
		c.pool.put(c.conn, defaultIdleTimeout)
		c.conn = nil
	}
}

// Release returns the unused connection to the pool.
func (r *Reservation) Release() {
	idle := defaultIdleTimeout
	if r.conn.used {
		idle = r.conn.expires.Sub(r.pool.now())
	}
	r.pool.put(r.conn, idle)
}

// Do sends a request once and returns the head of the response. After an error the request may have run.
// Canceling ctx closes the connection.
func (r *Reservation) Do(ctx context.Context, q Request) (*http.Response, error) {
	c, p := r.conn, r.pool
	if q.Finalize != nil {
		q.Finalize(q.Header)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := make(chan error, 1)
	if len(q.Body) <= maxInlineBody {
		written <- write(c, q)
	} else {
		go func() { written <- write(c, q) }()
	}
	resp, err := readOwnResponse(c, q)
	if err != nil {
		stop()
		p.discard(c)
		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "request was canceled")
		}
		if errors.Is(err, syscall.ETIMEDOUT) {
			p.recordLink(err)
		}
		if v := violationOf(err); v != "" && p.onViolation != nil {
			p.onViolation(v, c.head.bytesRead())
		}
		return nil, errors.Wrap(err, "read response")
	}
	resp.Body = &body{ReadCloser: resp.Body, pool: p, conn: c, stop: stop, written: written, idle: idleTimeout(resp)}
	return resp, nil
}
