package proxy

import (
	"encoding/binary"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/slotshare"
	"github.com/tealvane/tealvane/pkg/upstream"
)

const (
	// silenceTimeout is the time without a frame after which the other host counts as lost. It allows
	// for a host that stands still for a second and for lost packets.
	silenceTimeout = 2500 * time.Millisecond
	// keepaliveInterval is the interval between two keepalive frames.
	keepaliveInterval = 500 * time.Millisecond
	// maxDataBytes is the largest body part in one frame, maxHeadBytes the largest head.
	maxDataBytes = 16 << 10
	maxHeadBytes = 1 << 20

	frameHeaderBytes = 5
)

// frameType is the type of a frame.
type frameType byte

const (
	// frameKeepalive has no content. Both hosts send it.
	frameKeepalive frameType = iota
	// frameReady means that a connection to the endpoint is reserved, frameRefused that the request was
	// not sent and will not be. Both contain an acceptance.
	frameReady
	frameRefused
	// frameHead contains the head of the request or of the response, frameData a part of its body.
	// frameEnd ends the body, which is complete.
	frameHead
	frameData
	frameEnd
	// frameFailed contains why there is no complete response. The request may have run.
	frameFailed
	// frameClosed ends a body that ended with its connection, so that nobody knows whether it is complete.
	// Hosts of former versions take it for a failure.
	frameClosed
	// frameRejecting is like frameFailed; the brittle endpoint has just rejected requests for lack of room. Hosts of
	// former versions take it for an invalid frame, which is a failure too.
	frameRejecting
)

// failure returns the error that a frame reports.
func failure(t frameType, content []byte) error {
	err := errors.Newf("other host: %s", content)
	if t == frameRejecting {
		return errors.Mark(err, slotshare.ErrRejecting)
	}
	return err
}

// errInvalidFrame means that a frame is too large or unexpected.
var errInvalidFrame = errors.New("invalid frame")

// errWriterClosed is returned for frames after the sending direction has ended.
var errWriterClosed = errors.New("the sending direction has ended")

// Reason is why a host refused to send a request to an endpoint.
type Reason string

const (
	// ReasonStopping means that the host is shutting down.
	ReasonStopping Reason = "stopping"
	// ReasonBusy means that the host has too many requests of other hosts or no connection left.
	ReasonBusy Reason = "busy"
	// ReasonUnknownHost means that the host does not know the sender.
	ReasonUnknownHost Reason = "unknown_host"
	// ReasonNotInUse means that, by the host's own list, the endpoint takes no requests.
	ReasonNotInUse Reason = "endpoint_not_in_use"
	// ReasonNoSlot means that the host has no slot of the brittle endpoint.
	ReasonNoSlot Reason = "no_slot"
	// ReasonUnreachable means that the host cannot connect to the endpoint either.
	ReasonUnreachable Reason = "endpoint_unreachable"
)

// acceptance is the content of frameReady and frameRefused.
type acceptance struct {
	Reason Reason `cbor:"1,keyasint,omitempty"`
	// LinksLost reports that the host seems to have lost its own links to endpoints.
	LinksLost bool `cbor:"2,keyasint,omitempty"`
	// Refused reports that the endpoint's address refused the connection.
	Refused bool `cbor:"3,keyasint,omitempty"`
	// Load is the number of requests of other hosts in progress at the host.
	Load int `cbor:"4,keyasint,omitempty"`
}

// requestHead is the head of a request.
type requestHead struct {
	Method string              `cbor:"1,keyasint"`
	Target string              `cbor:"2,keyasint"`
	Host   string              `cbor:"3,keyasint"`
	Header map[string][]string `cbor:"4,keyasint"`
}

// responseHead is the head of a response.
type responseHead struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint"`
	// Length is the Content-Length, or -1 if there is none.
	Length int64 `cbor:"3,keyasint"`
	// Chunked reports that the body is sent in chunks. Hosts of former versions do not state it: the body
	// of their responses without a length may have ended with its connection.
	Chunked bool `cbor:"4,keyasint,omitempty"`
}

// newResponseHead returns the head of a response of an endpoint.
func newResponseHead(r *http.Response) responseHead {
	chunked := r.ContentLength < 0 && !upstream.EndsWithConnection(r)
	return responseHead{Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, Chunked: chunked}
}

// response returns the response to a request with a method.
func (h responseHead) response(method string, body io.ReadCloser) *http.Response {
	r := &http.Response{
		StatusCode:    h.Status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        h.Header,
		ContentLength: h.Length,
		Body:          body,
		Request:       &http.Request{Method: method},
	}
	if h.Chunked {
		r.TransferEncoding = []string{"chunked"}
	}
	return r
}

// Stream is a stream to another host. peer.Stream implements it.
type Stream interface {
	io.Reader
	io.Writer
	SetReadDeadline(at time.Time) error
	// Close ends the sending direction.
	Close() error
	// Abort ends both directions at once.
	Abort()
}

// frameWriter writes whole frames. It is safe for concurrent use.
type frameWriter struct {
	mu     sync.Mutex
	out    Stream
	closed bool
}

// close ends the sending direction. What was written is still delivered.
func (w *frameWriter) close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	return w.out.Close()
}

func (w *frameWriter) write(t frameType, content []byte) error {
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(content))
	frame[0] = byte(t)
	binary.BigEndian.PutUint32(frame[1:], uint32(len(content)))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return errWriterClosed
	}
	_, err := w.out.Write(append(frame, content...))
	return err
}

func (w *frameWriter) writeValue(t frameType, v any) error {
	content, err := record.Marshal(v)
	if err != nil {
		return err
	}
	return w.write(t, content)
}

// writeBody writes a body in parts.
func (w *frameWriter) writeBody(body []byte) error {
	for len(body) > 0 {
		n := min(len(body), maxDataBytes)
		if err := w.write(frameData, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// keepalive writes keepalive frames until stop is closed or a write fails.
func (w *frameWriter) keepalive(stop <-chan struct{}) {
	t := time.NewTicker(keepaliveInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if w.write(frameKeepalive, nil) != nil {
				return // The reader of the stream notices its end.
			}
		case <-stop:
			return
		}
	}
}

// readFrame reads the next frame that is not a keepalive frame.
func readFrame(s Stream) (frameType, []byte, error) {
	for {
		if err := s.SetReadDeadline(time.Now().Add(silenceTimeout)); err != nil {
			return 0, nil, err
		}
		t, content, err := readAnyFrame(s)
		if err != nil || t != frameKeepalive {
			return t, content, err
		}
	}
}

func readAnyFrame(in io.Reader) (frameType, []byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return 0, nil, err
	}
	t, size := frameType(header[0]), binary.BigEndian.Uint32(header[1:])
	limit := uint32(maxHeadBytes)
	if t == frameData {
		limit = maxDataBytes
	}
	if size > limit {
		return 0, nil, errors.Wrapf(errInvalidFrame, "type %d, %d bytes, limit %d", t, size, limit)
	}
	content := make([]byte, size)
	_, err := io.ReadFull(in, content)
	return t, content, err
}

// readValue decodes the content of a frame of the expected type.
func readValue(s Stream, expected frameType, v any) error {
	t, content, err := readFrame(s)
	if err != nil {
		return err
	}
	if t != expected {
		return errors.Wrapf(errInvalidFrame, "type %d, expected %d", t, expected)
	}
	return record.Unmarshal(content, v)
}
