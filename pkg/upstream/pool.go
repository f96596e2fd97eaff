package upstream

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// defaultIdle is how long a connection is kept when the endpoint does not
	// state its timeout: it may then be below one second.
	defaultIdle = 400 * time.Millisecond
	// idleMargin is kept from a stated idle timeout, so that no request crosses
	// the endpoint's close.
	idleMargin = 600 * time.Millisecond
	// inlineBody is the size up to which a body is written before the answer is
	// read. A longer one is written beside: an endpoint may answer early and
	// stop reading, and the write would block for ever.
	inlineBody = 8 << 10
	// maxStray bounds the answers to earlier requests that are skipped.
	maxStray = 2
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 1 << 20
)

var (
	// ErrNotSent means that no byte of the request has left this host.
	ErrNotSent = errors.New("request was not sent")
	// ErrUnreachable means that no connection could be made; nothing was sent.
	ErrUnreachable = errors.Wrap(ErrNotSent, "no connection")
	// ErrFull means that all connections to the endpoint are in use.
	ErrFull = errors.Wrap(ErrNotSent, "all connections are in use")
	// ErrForeign means that the connection brought answers to other requests only.
	ErrForeign = errors.New("answer belongs to another request")
)

// Request is a request as it goes on the wire.
type Request struct {
	Method string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Own tells whether an answer belongs to this request; nil takes any.
	Own func(http.Header, int) bool
}

// Pool holds the connections to one endpoint. It is safe for concurrent use.
type Pool struct {
	addr string
	now  func() time.Time

	mu    sync.Mutex
	idle  []*conn
	open  int
	limit int
	// opened counts the connections made, for metrics.
	opened int
	closed bool
}

// NewPool returns an empty pool for an address.
func NewPool(addr string, limit int, now func() time.Time) *Pool {
	return &Pool{addr: addr, limit: limit, now: now}
}

// SetLimit changes how many connections may be open.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
}

// Opened returns how many connections were made.
func (p *Pool) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes idle connections now and others after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close() // Nothing is in flight on an idle connection.
	}
	p.open -= len(p.idle)
	p.idle = nil
}

func (p *Pool) get(ctx context.Context) (*conn, error) {
	if c := p.takeIdle(); c != nil {
		return c, nil
	}
	p.mu.Lock()
	if p.open >= p.limit {
		p.mu.Unlock()
		return nil, ErrFull
	}
	p.open++
	p.opened++
	p.mu.Unlock()
	raw, err := Dial(ctx, p.addr)
	if err != nil {
		p.forget()
		err = errors.Mark(errors.Wrap(err, "connect"), ErrNotSent)
		if errors.Is(ctx.Err(), context.Canceled) {
			return nil, err // The caller has gone; that tells nothing of the endpoint.
		}
		return nil, errors.Mark(err, ErrUnreachable)
	}
	return &conn{Conn: raw, in: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// takeIdle returns the connection used last, whose state is best known.
func (p *Pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(c.expires) && c.quiet() {
			return c
		}
		_ = c.Close() // It is expired or broken already.
		p.open--
	}
	return nil
}

func (p *Pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// discard closes a connection that cannot be used again.
func (p *Pool) discard(c *conn) {
	_ = c.Close() // Its request has failed or ended already.
	p.forget()
}

func (p *Pool) put(c *conn, idle time.Duration) {
	p.mu.Lock()
	if p.closed || idle <= 0 {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	defer p.mu.Unlock()
	c.expires = p.now().Add(idle)
	c.used = true
	p.idle = append(p.idle, c)
}

// idleTime returns how long the connection of an answer may be kept idle.
func idleTime(r *http.Response) time.Duration {
	if r.Close {
		return 0
	}
	for _, part := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			return defaultIdle
		}
		return max(defaultIdle, time.Duration(seconds)*time.Second-idleMargin)
	}
	return defaultIdle
}

// Do sends a request once and returns the head of its answer. An error that is
// ErrNotSent means that nothing was sent; with any other the request may run.
// Cancelling ctx closes the connection, which tells the endpoint to stop.
func (p *Pool) Do(ctx context.Context, r Request) (*http.Response, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := make(chan error, 1)
	if len(r.Body) <= inlineBody {
		written <- write(c, r)
	} else {
		go func() { written <- write(c, r) }()
	}
	resp, err := readOwn(c, r)
	if err != nil {
		stop()
		p.discard(c)
		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "request was cancelled")
		}
		return nil, errors.Wrap(err, "read answer")
	}
	resp.Body = &body{ReadCloser: resp.Body, pool: p, conn: c, stop: stop, written: written, idle: idleTime(resp)}
	return resp, nil
}

func write(c *conn, r Request) error {
	out := bufio.NewWriterSize(c, readBuffer)
	_, _ = out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(out); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		_, _ = out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = out.WriteString("\r\n")
	// Errors of a buffered writer stick; the flush returns the first.
	_, _ = out.Write(r.Body)
	return out.Flush()
}

// readOwn reads the head of the answer to r. A late answer to an earlier
// request may stand before it on a reused connection; it is skipped.
func readOwn(c *conn, r Request) (*http.Response, error) {
	for range maxStray + 1 {
		resp, err := readHead(c, r.Method)
		if err != nil {
			return nil, err
		}
		if r.Own == nil || r.Own(resp.Header, resp.StatusCode) {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		if err != nil || n == maxStrayBytes {
			return nil, ErrForeign
		}
	}
	return nil, ErrForeign
}

func readHead(c *conn, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// body returns the connection to its pool when it was read to its end.
type body struct {
	io.ReadCloser
	pool    *Pool
	conn    *conn
	stop    func() bool
	written chan error
	idle    time.Duration
	ended   bool
	once    sync.Once
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Close implements io.Closer. A body that was not read to its end closes its
// connection, and the endpoint drops the request.
func (b *body) Close() error {
	b.once.Do(func() {
		reusable := b.stop() && b.ended && b.idle > 0
		if reusable {
			select {
			case err := <-b.written:
				reusable = err == nil
			default:
				// The rest of the request is still due on the connection.
				reusable = false
			}
		}
		if reusable {
			b.pool.put(b.conn, b.idle)
		} else {
			b.pool.discard(b.conn)
		}
	})
	return nil
}
