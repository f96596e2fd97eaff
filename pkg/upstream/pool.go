package upstream

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint does not state
	// a timeout.
	defaultIdleTimeout = 400 * time.Millisecond
	// idleMargin is subtracted from a stated idle timeout, so that no request is sent while
	// the endpoint closes the connection.
	idleMargin = 600 * time.Millisecond
	// maxInlineBody is the size up to which a request body is written before the response is
	// read. A longer body is written concurrently, since an endpoint may respond early and
	// stop reading.
	maxInlineBody = 8 << 10
	// maxStrayResponses limits the number of late responses to earlier requests that are
	// skipped.
	maxStrayResponses = 2
	// MaxInterimResponses limits the interim responses (1xx) before a response.
	MaxInterimResponses = 64
	// maxStrayBytes limits the size of the body of such a response.
	maxStrayBytes = 1 << 20
)

var (
	// ErrNotSent is returned if no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrUnreachable is returned if no connection could be made. It wraps ErrNotSent.
	ErrUnreachable = errors.Wrap(ErrNotSent, "no connection")
	// ErrPoolExhausted is returned if all connections to the endpoint are in use. It wraps
	// ErrNotSent.
	ErrPoolExhausted = errors.Wrap(ErrNotSent, "all connections are in use")
	// ErrConnectSlow marks attempts to connect that took longer than their caller waits, which may be
	// less than a connection takes.
	ErrConnectSlow = errors.New("connecting takes long")
	// ErrStrayResponse is returned if the connection carried only responses to other requests.
	ErrStrayResponse = errors.New("response belongs to another request")
)

// Request is an HTTP request.
type Request struct {
	Method string
	// Target is the path and query exactly as sent by the client.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Urgency orders requests that wait for a slot of a brittle endpoint, 0 first.
	Urgency int
	// Finalize is called with the header right before the request is sent. It may be nil.
	Finalize func(http.Header)
	// IsOwnResponse reports whether a response with the given header and status belongs to
	// this request. If nil, any response does.
	IsOwnResponse func(http.Header, int) bool
}

// Pool holds the connections to one endpoint. It is safe for concurrent use.
type Pool struct {
	addr string
	dial Dialer
	now  func() time.Time
	// onLink is called with the result of each attempt to connect, and with the error of a connection
	// whose data was not acknowledged. It may be nil.
	onLink func(error)
	// onViolation is called with each response whose head is not valid. It may be nil.
	onViolation func(v Violation, bytes int)

	mu    sync.Mutex
	idle  []*conn
	open  int
	limit int
	// opened counts all connections made, for metrics.
	opened int
	closed bool
}

// NewPool returns an empty pool for an address with a limit on open connections.
func NewPool(addr string, limit int, now func() time.Time) *Pool {
	return &Pool{addr: addr, dial: Dial, limit: limit, now: now}
}

// SetLimit sets the maximum number of open connections.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
}

// Opened returns the number of connections made.
func (p *Pool) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes idle connections at once and the others after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}

// closeIdle closes all idle connections.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close() // No request is in flight on an idle connection.
	}
	p.open -= len(p.idle)
	p.idle = nil
}

// reserveSlot counts one more open connection.
func (p *Pool) reserveSlot() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit {
		return ErrPoolExhausted
	}
	p.open++
	p.opened++
	return nil
}

// connect opens a connection for which a slot is reserved.
func (p *Pool) connect(ctx context.Context) (*conn, error) {
	raw, err := p.dial(ctx, p.addr)
	if err != nil {
		p.decrementOpen()
		err = errors.Mark(errors.Wrap(err, "connect"), ErrNotSent)
		switch ctx.Err() {
		case context.Canceled:
			return nil, err // The caller canceled the request; the endpoint may be reachable.
		case context.DeadlineExceeded:
			p.recordLink(errors.Mark(err, ErrConnectSlow))
		default:
			p.recordLink(err)
		}
		return nil, errors.Mark(err, ErrUnreachable)
	}
	p.recordLink(nil)
	return newConn(raw), nil
}

// recordLink passes on the result of an attempt to connect, or the loss of a connection whose data was
// not acknowledged.
func (p *Pool) recordLink(err error) {
	if p.onLink != nil {
		p.onLink(err)
	}
}

// takeIdle returns the most recently used idle connection that is reusable, or nil.
func (p *Pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(c.expires) && c.reusable() {
			return c
		}
		_ = c.Close() // The connection has expired or is broken.
		p.open--
	}
	return nil
}

func (p *Pool) decrementOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// discard closes a connection that cannot be reused.
func (p *Pool) discard(c *conn) {
	_ = c.Close() // Its request has failed or ended.
	p.decrementOpen()
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

// idleTimeout returns how long the connection of a response may be kept idle, or 0 if it must
// be closed.
func idleTimeout(r *http.Response) time.Duration {
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
			return defaultIdleTimeout
		}
		return max(defaultIdleTimeout, time.Duration(seconds)*time.Second-idleMargin)
	}
	return defaultIdleTimeout
}

// Do sends a request once and returns the head of the response. An error marked ErrNotSent
// means that nothing was sent. After any other error the request may have run. Canceling ctx
// closes the connection, which tells the endpoint to stop.
func (p *Pool) Do(ctx context.Context, r Request) (*http.Response, error) {
	c, err := p.Reserve(ctx)
	if err != nil {
		return nil, err
	}
	return c.Do(ctx, r)
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
	// Flush returns the first error of the buffered writer.
	_, _ = out.Write(r.Body)
	return out.Flush()
}

// readOwnResponse reads the head of the response to r. It skips late responses to earlier
// requests on a reused connection.
func readOwnResponse(c *conn, r Request) (*http.Response, error) {
	for range maxStrayResponses + 1 {
		resp, err := readHead(c, r.Method)
		if err != nil {
			return nil, err
		}
		if r.IsOwnResponse == nil || r.IsOwnResponse(resp.Header, resp.StatusCode) {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		if err != nil || n == maxStrayBytes {
			return nil, ErrStrayResponse
		}
	}
	return nil, ErrStrayResponse
}

func readHead(c *conn, method string) (*http.Response, error) {
	c.head.begin(c.in)
	defer c.head.end()
	for range MaxInterimResponses + 1 {
		resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
		if err != nil {
			return nil, c.head.headError(err)
		}
		if !isInterim(resp.StatusCode) {
			return resp, CheckHead(resp)
		}
		if err := CheckFieldNames(resp.Header); err != nil {
			return nil, err
		}
	}
	return nil, ErrHeadTooLong
}

// body returns its connection to the pool if it was read to the end.
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

// Read implements io.Reader. It returns io.EOF only after the complete body, or at the end of the connection if
// the body ends with it.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.ended = true
	case errors.Is(err, syscall.ETIMEDOUT):
		b.pool.recordLink(err)
	}
	return n, err
}

// Close implements io.Closer. If the body was not read to the end, Close closes the
// connection, which tells the endpoint to stop.
func (b *body) Close() error {
	b.once.Do(func() {
		reusable := b.stop() && b.ended && b.idle > 0
		if reusable {
			select {
			case err := <-b.written:
				reusable = err == nil
			default:
				// The request is not completely written.
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
