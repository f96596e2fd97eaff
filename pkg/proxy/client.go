package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/upstream"
	"go.opentelemetry.io/otel/propagation"
)

// readyTimeout bounds the time until the other host says whether it can send the request. That host may
// take reserveTimeout and sampleTimeout to find out.
const readyTimeout = 900 * time.Millisecond

// Open opens a stream to the host at an address. peer.Node implements it.
type Open func(ctx context.Context, addr string, r peer.Request) (Stream, error)

// refusedError is returned if the other host refused to send the request.
type refusedError struct {
	host string
	acceptance
}

// Error implements error.
func (e *refusedError) Error() string { return "host " + e.host + " refused: " + string(e.Reason) }

// session is a stream to a host that has reserved a connection to the endpoint.
type session struct {
	stream Stream
	out    *frameWriter
	// stop is closed when the exchange has ended, which ends the keepalive frames.
	stop chan struct{}
	once sync.Once
	// unwatch ends the effect of the context of the request.
	unwatch func() bool
}

// reserve asks a host to reserve a connection to an endpoint, and waits for its answer for at most a time. After an error
// nothing was sent.
func reserve(ctx context.Context, open Open, h Host, r peer.ProxyRequest, timeout time.Duration) (*session, acceptance, error) {
	trace := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, trace)
	r.Trace = trace
	short, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stream, err := open(short, h.Addr, peer.Request{Proxy: &r})
	if err != nil {
		return nil, acceptance{}, err
	}
	unwatch := context.AfterFunc(short, stream.Abort)
	t, content, err := readFrame(stream)
	var a acceptance
	if err == nil {
		err = record.Unmarshal(content, &a)
	}
	if !unwatch() && err == nil {
		err = short.Err()
	}
	if err == nil && t == frameRefused {
		err = &refusedError{h.Name, a}
	} else if err == nil && t != frameReady {
		err = errors.Wrapf(errInvalidFrame, "type %d, expected a response to the reservation", t)
	}
	if err != nil {
		stream.Abort()
		return nil, a, errors.Wrapf(err, "reserve a connection at host %s", h.Name)
	}
	s := &session{stream: stream, out: &frameWriter{out: stream}, stop: make(chan struct{})}
	s.unwatch = context.AfterFunc(ctx, s.abort)
	return s, a, nil
}

// do sends the request and returns the head of the response. After an error that is not marked
// upstream.ErrNotSent the request may have run.
func (s *session) do(ctx context.Context, r upstream.Request) (*http.Response, error) {
	if r.Finalize != nil {
		r.Finalize(r.Header)
	}
	resp, err := s.exchange(r)
	if err != nil {
		s.abort()
		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "request was canceled")
		}
		return nil, err
	}
	return resp, nil
}

func (s *session) exchange(r upstream.Request) (*http.Response, error) {
	if err := s.out.writeValue(frameHead, requestHead{r.Method, r.Target, r.Host, r.Header}); err != nil {
		return nil, errors.Wrap(err, "send request to the other host")
	}
	if err := s.out.writeBody(r.Body); err != nil {
		return nil, errors.Wrap(err, "send request to the other host")
	}
	if err := s.out.write(frameEnd, nil); err != nil {
		return nil, errors.Wrap(err, "send request to the other host")
	}
	go s.out.keepalive(s.stop)
	t, content, err := readFrame(s.stream)
	if err != nil {
		return nil, errors.Wrap(err, "read response of the other host")
	}
	switch t {
	case frameFailed, frameRejecting:
		return nil, failure(t, content)
	case frameRefused:
		return nil, errors.Wrap(upstream.ErrNotSent, "the other host no longer uses the endpoint")
	}
	var head responseHead
	if t != frameHead {
		return nil, errors.Wrapf(errInvalidFrame, "type %d, expected a response", t)
	}
	if err := record.Unmarshal(content, &head); err != nil {
		return nil, errors.Wrap(err, "decode response of the other host")
	}
	body := &responseBody{session: s}
	resp := head.response(r.Method, body)
	if err := upstream.CheckHead(resp); err != nil {
		return nil, errors.Wrap(err, "response of the other host")
	}
	body.endsWithConnection = upstream.EndsWithConnection(resp)
	return resp, nil
}

// abort ends the exchange before its end.
func (s *session) abort() {
	s.end()
	s.stream.Abort()
}

// end ends the keepalive frames.
func (s *session) end() { s.once.Do(func() { close(s.stop) }) }

// responseBody is the body of a response of another host.
type responseBody struct {
	session *session
	// endsWithConnection reports whether the body ends with the endpoint's connection.
	endsWithConnection bool
	// rest is the part of the last frame that was not read yet.
	rest []byte
	err  error
	once sync.Once
}

// Read implements io.Reader. It returns io.EOF only after the complete body, or with endsWithConnection at the
// end of the connection.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		t, content, err := readFrame(b.session.stream)
		switch {
		case err != nil:
			b.err = errors.Newf("read response of the other host: %v", err) // It is not complete.
		case t == frameData:
			b.rest = content
		case t == frameEnd, t == frameClosed && b.endsWithConnection:
			b.err = io.EOF
		case t == frameFailed, t == frameRejecting:
			b.err = failure(t, content)
		default:
			b.err = errors.Wrapf(errInvalidFrame, "type %d in the body", t)
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close implements io.Closer. If the body was not read to the end, the run at the endpoint is ended.
func (b *responseBody) Close() error {
	b.once.Do(func() {
		if !b.session.unwatch() || b.err != io.EOF {
			b.session.abort()
			return
		}
		b.session.end()
		_ = b.session.out.close() // The response is complete.
	})
	return nil
}
