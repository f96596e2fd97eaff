package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// ProxyRequest asks another host to send a request to an endpoint. The rest of the stream is defined by
// package proxy.
type ProxyRequest struct {
	Endpoint fleet.EndpointID `cbor:"1,keyasint"`
	// Bytes is the size of the request's body.
	Bytes int64 `cbor:"2,keyasint,omitempty"`
	// Trace is the trace context of the request.
	Trace map[string]string `cbor:"3,keyasint,omitempty"`
	// Slot is set if the endpoint is brittle and the other host has to send the request in one of its own
	// slots.
	Slot *SlotClaim `cbor:"4,keyasint,omitempty"`
}

// SlotClaim is a request's claim to a slot of a brittle endpoint.
type SlotClaim struct {
	// Urgency orders requests that wait, 0 first. WaitMillis is how long the request may wait.
	Urgency    int   `cbor:"1,keyasint,omitempty"`
	WaitMillis int64 `cbor:"2,keyasint,omitempty"`
	// MaxRejections is the number of requests that the endpoint can reject in a second without crashing.
	MaxRejections float64 `cbor:"3,keyasint,omitempty"`
}

// EndpointCheck asks another host whether an endpoint has terminated.
type EndpointCheck struct {
	Endpoint fleet.EndpointID `cbor:"1,keyasint"`
}

// EndpointState is the result of an EndpointCheck.
type EndpointState struct {
	// Known reports whether the host could find out. A host that seems to have lost its own links to
	// endpoints does not know.
	Known      bool `cbor:"1,keyasint,omitempty"`
	Terminated bool `cbor:"2,keyasint,omitempty"`
}

// Stream is a stream to another host that stays open after the first message. Read and Write may be called
// concurrently.
type Stream struct {
	stream *quic.Stream
}

// Read implements io.Reader.
func (s *Stream) Read(p []byte) (int, error) { return s.stream.Read(p) }

// Write implements io.Writer.
func (s *Stream) Write(p []byte) (int, error) { return s.stream.Write(p) }

// SetReadDeadline sets the time at which a blocked Read fails.
func (s *Stream) SetReadDeadline(at time.Time) error { return s.stream.SetReadDeadline(at) }

// Close ends the sending direction. What was written is still delivered.
func (s *Stream) Close() error { return s.stream.Close() }

// Abort ends both directions at once.
func (s *Stream) Abort() {
	s.stream.CancelWrite(0)
	s.stream.CancelRead(0)
}

// Open opens a stream to a host with a request as its first message.
func (n *Node) Open(ctx context.Context, addr string, r Request) (*Stream, error) {
	r.Version = protocolVersion
	conn, err := n.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStream()
	if err != nil {
		if conn.Context().Err() != nil {
			n.dropConn(addr, conn)
		}
		return nil, errors.Wrapf(err, "open stream to %s", addr)
	}
	s := &Stream{stream}
	if err := writeFrame(stream, r); err != nil {
		s.Abort()
		n.dropConn(addr, conn)
		return nil, err
	}
	return s, nil
}

// StreamHandler handles a stream whose first message is a ProxyRequest. It must end both directions of the
// stream. known reports whether the sender is a known host. ctx is done when the node closes.
type StreamHandler func(ctx context.Context, s *Stream, r ProxyRequest, known bool)
