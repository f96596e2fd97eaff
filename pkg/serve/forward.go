package serve

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"go.opentelemetry.io/otel/trace"
)

// errClientWrite marks errors of writing to the client.
var errClientWrite = errors.New("write to client failed")

// errAttemptAbandoned marks attempts that this host abandoned to retry at another endpoint.
var errAttemptAbandoned = errors.New("try was given up")

// forward sends a response to the client.
func (x *exchange) forward(response *Response, w *stallWatcher, e fleet.Endpoint) error {
	body := &notifyReader{src: response.Body, onRead: func() {
		x.server.Health.RecordByte(x.server.Now(), e.ID)
		if w != nil {
			w.progress()
		}
	}}
	if x.request.Route.Kind == fleet.Stream && response.Status < 300 {
		var events io.Reader = body
		if x.needsEvent(response) {
			events = &nonEmptyReader{src: body}
		}
		if x.request.Route.Resumable {
			return x.forwardEvents(response, events, e)
		}
		return x.forwardStream(response, events)
	}
	head, err := io.ReadAll(io.LimitReader(body, bufferedBodyBytes))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	if len(head) < bufferedBodyBytes {
		x.begin(response)
		return x.write(head)
	}
	if w != nil {
		w.stop() // Another run cannot go on behind what is sent now.
	}
	return x.forwardRaw(response, body, head)
}

// errNoEvent is returned when a stream ends with its connection before its first event.
var errNoEvent = errors.New("stream ended with its connection before its first event")

// needsEvent reports whether a response without any event is a broken one: nothing states its end, and it is
// not the rest of a stream, which may have no more events.
func (x *exchange) needsEvent(response *Response) bool {
	return response.Framing == FramingConnection && response.Events && !x.headSent && x.lastEvent == ""
}

// nonEmptyReader returns errNoEvent if its source ends before the first byte.
type nonEmptyReader struct {
	src   io.Reader
	begun bool
}

// Read implements io.Reader.
func (r *nonEmptyReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	r.begun = r.begun || n > 0
	if err == io.EOF && !r.begun {
		return n, errNoEvent
	}
	return n, err
}

// notifyReader calls onRead after each read that returned bytes.
type notifyReader struct {
	src    io.Reader
	onRead func()
}

// Read implements io.Reader.
func (n *notifyReader) Read(p []byte) (int, error) {
	count, err := n.src.Read(p)
	if count > 0 {
		n.onRead()
	}
	return count, err
}

func (x *exchange) begin(response *Response) {
	if x.headSent {
		x.result.Resumed++
		return
	}
	x.headSent, x.headFraming = true, response.Framing
	x.result.FirstByte = x.server.Now().Sub(x.request.Arrived)
	x.sink.Begin(response)
}

func (x *exchange) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if err := x.sink.Write(p); err != nil {
		return errors.Mark(err, errClientWrite)
	}
	return nil
}

// forwardStream copies a stream that cannot be resumed. It returns errPartialEvent if the stream ends within
// an event.
func (x *exchange) forwardStream(response *Response, body io.Reader) error {
	if !response.Events {
		return x.forwardRaw(response, body, nil)
	}
	var boundary eventBoundary
	tracked := &trackedReader{src: body, boundary: &boundary, onBegun: func() { x.recordBegun(response.Status) }}
	if err := x.forwardRaw(response, tracked, nil); err != nil {
		return err
	}
	if boundary.insideEvent() {
		return errors.Wrap(errPartialEvent, "read stream")
	}
	return nil
}

// trackedReader adds what it reads to boundary.
type trackedReader struct {
	src      io.Reader
	boundary *eventBoundary
	// onBegun is called after each read from the first complete event on.
	onBegun func()
}

// Read implements io.Reader.
func (t *trackedReader) Read(p []byte) (int, error) {
	n, err := t.src.Read(p)
	t.boundary.add(p[:n])
	if t.boundary.hasEvent {
		t.onBegun()
	}
	return n, err
}

// forwardRaw copies a body unbuffered. No other run may follow once a part of it was sent.
func (x *exchange) forwardRaw(response *Response, body io.Reader, head []byte) error {
	buf := make([]byte, 8<<10)
	x.sentRaw = true
	if len(head) > 0 {
		x.begin(response)
		if err := x.write(head); err != nil {
			return err
		}
	}
	for {
		n, err := body.Read(buf)
		if n > 0 || err == io.EOF {
			if !x.headSent {
				x.begin(response)
			}
			if werr := x.write(buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read body")
		}
	}
}

// forwardEvents forwards complete events of an endpoint only, so that a broken stream can be resumed after
// the last delivered event.
func (x *exchange) forwardEvents(response *Response, body io.Reader, e fleet.Endpoint) error {
	r := &eventReader{src: body}
	first := true
	for {
		complete, id, err := r.next()
		if err == io.EOF {
			if first {
				x.begin(response)
			}
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
		if first {
			x.begin(response)
			first = false
		}
		if len(bytes.TrimSpace(complete)) > 0 {
			x.recordBegun(response.Status)
			x.recordEvent(e) // Before the client has the event: it may resume the stream at once.
		}
		if err := x.write(complete); err != nil {
			return err
		}
		if id != "" {
			x.lastEvent = id
		}
	}
}

// stallWatcher abandons an attempt if its endpoint stalls and the request may run elsewhere.
type stallWatcher struct {
	mu       sync.Mutex
	timer    *time.Timer
	lastByte time.Time
	// gotFirstByte is set once the endpoint has sent any byte of the response.
	gotFirstByte bool
	now          func() time.Time
}

func (x *exchange) watchForStall(ctx context.Context, cancel context.CancelCauseFunc, e fleet.Endpoint) *stallWatcher {
	s := x.server
	start := s.Now()
	w := &stallWatcher{now: s.Now, lastByte: start}
	route := x.request.Route
	if !route.Retryable() || x.result.Runs+1 >= route.Attempts || route.Objective == 0 {
		// Without an objective, a slow endpoint cannot be distinguished from a stalled one.
		return w
	}
	timeout := x.progressTimeout()
	nextCheck := checkRunAfter
	check := func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.timer == nil {
			return
		}
		if !w.gotFirstByte && s.Now().Sub(start) >= nextCheck {
			nextCheck *= 2
			go x.checkRun(ctx, e, w, cancel)
		}
		silence := s.Now().Sub(w.lastByte)
		stalled := silence >= timeout || (silence >= stalledAfter && s.Health.StallTime(s.Now(), e.ID) >= stalledAfter)
		// Without another endpoint, canceling the attempt would discard its progress and a
		// second run would add load to the same endpoint.
		if stalled && s.Queue.HasAlternative(x.need(), e.ID) && x.reserveRetry() {
			s.Health.RecordConnectionFailure(s.Now(), e.ID)
			cancel(errors.Wrapf(errAttemptAbandoned, "nothing came for %v", silence.Round(time.Millisecond)))
			return
		}
		w.timer.Reset(min(timeout, stalledAfter) / 3)
	}
	w.mu.Lock()
	w.timer = time.AfterFunc(min(timeout, stalledAfter), check)
	w.mu.Unlock()
	return w
}

// checkRun abandons an attempt whose response is lost: the endpoint no longer holds the
// request, or reports that it started to respond while no byte has arrived. It also covers
// models with a single replica, for which no other endpoint is available.
func (x *exchange) checkRun(ctx context.Context, e fleet.Endpoint, w *stallWatcher, cancel context.CancelCauseFunc) {
	ctx, stop := context.WithTimeout(ctx, checkRunTimeout)
	defer stop()
	run, err := x.server.Backend.RunStatus(ctx, x.request, e)
	if err != nil {
		// The state of the run is unknown; the other timeouts of the attempt still apply.
		trace.SpanFromContext(ctx).RecordError(err)
		return
	}
	if run.Active && !run.Started {
		return
	}
	if w.awaitingFirstByte() && x.reserveRetry() {
		cancel(errors.Wrapf(errAttemptAbandoned, "response is lost: active %t, started %t", run.Active, run.Started))
	}
}

// progressTimeout returns how long a retryable request waits for the next byte.
func (x *exchange) progressTimeout() time.Duration {
	route := x.request.Route
	if x.headSent {
		return max(maxGapFactor*route.MaxGap, stalledAfter)
	}
	serviceTime := x.server.Queue.ServiceTime(x.request.Service)
	if route.Kind == fleet.Stream {
		serviceTime = 0
	}
	return max(minFirstByteTimeout, time.Duration(firstByteObjectives*float64(route.Objective)), firstByteServiceTimes*serviceTime)
}

// progress records that the endpoint has sent bytes for this request.
func (w *stallWatcher) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastByte = w.now()
	w.gotFirstByte = true
}

// awaitingFirstByte reports whether the attempt is still waiting for its first byte.
func (w *stallWatcher) awaitingFirstByte() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.timer != nil && !w.gotFirstByte
}

func (w *stallWatcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
