package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/slotshare"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// reserveTimeout bounds the time to connect to an endpoint for another host.
const reserveTimeout = 500 * time.Millisecond

// Limits bounds the requests of other hosts that a host has in progress.
type Limits struct {
	Requests int
	// Bytes bounds the sum of their bodies.
	Bytes int64
}

// Server sends requests of other hosts to endpoints. It is safe for concurrent use.
type Server struct {
	Direct *upstream.Transport
	// Endpoint returns an endpoint that, by this host's list, takes requests.
	Endpoint func(id fleet.EndpointID) (fleet.Endpoint, bool)
	// Unreachable reports whether this host is known to be unable to connect to an endpoint.
	Unreachable func(id fleet.EndpointID) bool
	// LinksLost finds out whether this host seems to have lost its links to endpoints. It may block
	// for a few hundred milliseconds.
	LinksLost func(ctx context.Context) bool
	// Stopping reports whether the host is shutting down.
	Stopping func() bool
	Limits   Limits
	// Slots holds this host's slots of brittle endpoints, and Rejected reports whether a response rejects
	// a request for lack of room.
	Slots    *slotshare.Table
	Rejected func(header http.Header, status int) bool
	// OwnResponse returns a function that reports whether a response belongs to the request with a
	// header.
	OwnResponse func(request http.Header) func(http.Header, int) bool
	// Count counts a request of another host by its result.
	Count func(result string)

	mu       sync.Mutex
	requests int
	bytes    int64
	// idle is closed when no request is in progress, nil if nobody waits for that.
	idle chan struct{}
}

// Load returns the number of requests of other hosts in progress.
func (s *Server) Load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// admit counts a request, or returns why it is refused.
func (s *Server) admit(bytes int64) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.Stopping():
		return ReasonStopping
	case s.requests >= s.Limits.Requests || bytes < 0 || s.bytes+bytes > s.Limits.Bytes:
		return ReasonBusy
	}
	s.requests++
	s.bytes += bytes
	return ""
}

func (s *Server) release(bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests--
	s.bytes -= bytes
	if s.requests == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Wait blocks until no request of another host is in progress or ctx is done.
func (s *Server) Wait(ctx context.Context) {
	s.mu.Lock()
	if s.requests == 0 {
		s.mu.Unlock()
		return
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// Serve handles a stream with a request for an endpoint. known reports whether the sender is a known host.
func (s *Server) Serve(ctx context.Context, stream Stream, r peer.ProxyRequest, known bool) {
	out := &frameWriter{out: stream}
	if !known {
		s.refuse(stream, out, acceptance{Reason: ReasonUnknownHost})
		return
	}
	if reason := s.admit(r.Bytes); reason != "" {
		s.refuse(stream, out, acceptance{Reason: reason})
		return
	}
	defer s.release(r.Bytes)
	slot, refused := s.takeSlot(ctx, r)
	if refused != nil {
		s.refuse(stream, out, *refused)
		return
	}
	defer slot.End(slotshare.NotSent) // unless it was sent
	reservation, refused := s.reserve(ctx, r.Endpoint)
	if refused != nil {
		s.refuse(stream, out, *refused)
		return
	}
	if err := out.writeValue(frameReady, acceptance{Load: s.Load()}); err != nil {
		reservation.Release()
		stream.Abort()
		return
	}
	request, err := readRequest(stream, r.Bytes)
	if err != nil {
		reservation.Release()
		stream.Abort()
		s.Count("not_sent")
		return
	}
	if _, ok := s.Endpoint(r.Endpoint); !ok {
		// The endpoint was removed, or has announced its shutdown, in the meantime.
		reservation.Release()
		s.refuse(stream, out, acceptance{Reason: ReasonNotInUse})
		return
	}
	s.Count(s.send(ctx, stream, out, reservation, request, slot))
}

// takeSlot takes a slot of a brittle endpoint. Other requests need none.
func (s *Server) takeSlot(ctx context.Context, r peer.ProxyRequest) (*slotshare.Slot, *acceptance) {
	if r.Slot == nil || s.Slots == nil {
		return nil, nil
	}
	e, ok := s.Endpoint(r.Endpoint)
	if !ok {
		return nil, &acceptance{Reason: ReasonNotInUse}
	}
	slot, refused := s.Slots.Acquire(ctx, e, slotshare.Claim{
		Urgency:       r.Slot.Urgency,
		Wait:          min(slotWait, time.Duration(r.Slot.WaitMillis)*time.Millisecond),
		MaxRejections: r.Slot.MaxRejections,
	})
	if refused != nil {
		return nil, &acceptance{Reason: ReasonNoSlot}
	}
	return slot, nil
}

func (s *Server) refuse(stream Stream, out *frameWriter, a acceptance) {
	a.Load = s.Load()
	s.Count("refused_" + string(a.Reason))
	if out.writeValue(frameRefused, a) != nil || out.close() != nil {
		stream.Abort()
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(stream, maxDataBytes)) // Until the sender ends its direction.
}

// reserve reserves a connection to an endpoint.
func (s *Server) reserve(ctx context.Context, id fleet.EndpointID) (*upstream.Reservation, *acceptance) {
	e, ok := s.Endpoint(id)
	if !ok {
		return nil, &acceptance{Reason: ReasonNotInUse}
	}
	if s.Unreachable(id) {
		return nil, &acceptance{Reason: ReasonUnreachable, LinksLost: s.LinksLost(ctx)}
	}
	reservation, pending, err := s.Direct.ReserveWithin(ctx, e, reserveTimeout)
	switch {
	case pending != nil:
		pending.Abandon()
		return nil, &acceptance{Reason: ReasonUnreachable, LinksLost: s.LinksLost(ctx)}
	case errors.Is(err, upstream.ErrUnreachable):
		return nil, &acceptance{Reason: ReasonUnreachable, Refused: errors.Is(err, syscall.ECONNREFUSED), LinksLost: s.LinksLost(ctx)}
	case err != nil:
		return nil, &acceptance{Reason: ReasonBusy}
	}
	return reservation, nil
}

// readRequest reads a complete request.
func readRequest(stream Stream, size int64) (upstream.Request, error) {
	var head requestHead
	if err := readValue(stream, frameHead, &head); err != nil {
		return upstream.Request{}, err
	}
	var body []byte
	for {
		t, content, err := readFrame(stream)
		switch {
		case err != nil:
			return upstream.Request{}, err
		case t == frameEnd && int64(len(body)) == size:
			return upstream.Request{Method: head.Method, Target: head.Target, Host: head.Host, Header: head.Header, Body: body}, nil
		case t != frameData || int64(len(body)+len(content)) > size:
			return upstream.Request{}, errors.Wrapf(errInvalidFrame, "type %d after %d of %d bytes", t, len(body), size)
		}
		body = append(body, content...)
	}
}

// send sends a request to the endpoint and the response to the other host. It returns the result for
// metrics, and ends the use of the slot once the endpoint has responded.
func (s *Server) send(ctx context.Context, stream Stream, out *frameWriter, reservation *upstream.Reservation, r upstream.Request, slot *slotshare.Slot) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// Only keepalive frames follow the request. When they end, the sender has ended the exchange
		// or is lost.
		_, _, _ = readFrame(stream)
		cancel()
	}()
	stop := make(chan struct{})
	defer close(stop)
	go out.keepalive(stop)
	if s.OwnResponse != nil {
		r.IsOwnResponse = s.OwnResponse(r.Header)
	}
	resp, err := reservation.Do(ctx, r)
	if err == nil {
		defer resp.Body.Close()
		if s.Rejected != nil && s.Rejected(resp.Header, resp.StatusCode) {
			slot.End(slotshare.Rejected)
		}
		err = s.forward(out, resp)
	}
	slot.End(slotshare.Ended)
	if err == nil {
		if err = out.close(); err == nil {
			<-ctx.Done() // The response must not be cut off before the sender has read it.
			return "complete"
		}
	}
	failed := frameFailed
	if slot.Rejecting() {
		failed = frameRejecting
	}
	if ctx.Err() != nil || out.write(failed, []byte(err.Error())) != nil || out.close() != nil {
		stream.Abort()
		return "aborted"
	}
	<-ctx.Done()
	return "failed"
}

// forward writes a response to the other host.
func (s *Server) forward(out *frameWriter, resp *http.Response) error {
	if err := out.writeValue(frameHead, newResponseHead(resp)); err != nil {
		return err
	}
	buf := make([]byte, maxDataBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if werr := out.write(frameData, buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF && upstream.EndsWithConnection(resp) {
			return out.write(frameClosed, nil)
		}
		if err == io.EOF {
			return out.write(frameEnd, nil)
		}
		if err != nil {
			return err
		}
	}
}
