package peer

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

const (
	idleTimeout      = 10 * time.Second
	keepAlive        = 3 * time.Second
	handshakeTimeout = time.Second
	streamTimeout    = 5 * time.Second
	maxPeerStreams   = 256
	// maxStreamWindow and maxConnWindow bound the bytes that were received on a stream or a connection
	// and not read yet.
	maxStreamWindow = 1 << 20
	maxConnWindow   = 4 << 20
	// maxSnapshotChunks limits the size of a snapshot.
	maxSnapshotChunks = 4096
)

// Node sends requests to other hosts and responds to theirs.
type Node struct {
	dialTLS *tls.Config
	respond Responder
	// HandleStream handles streams of requests to endpoints. If it is nil they are rejected. It must not
	// be changed once Serve runs.
	HandleStream StreamHandler
	// isKnown reports whether a certificate belongs to a known host. If it is nil, all hosts
	// count as known.
	isKnown   func(Fingerprint) bool
	transport *quic.Transport
	listener  *quic.Listener

	mu    sync.Mutex
	conns map[string]*quic.Conn
	// dialing holds a channel for each address to which a connection is being opened. It is closed at
	// the end.
	dialing map[string]chan struct{}
}

// Responder returns the responses to a request.
type Responder func(Request) []Response

// Listen opens a node on a UDP address.
func Listen(addr string, conf *tls.Config, respond Responder) (*Node, error) {
	return open(addr, conf, conf, nil, respond)
}

// ListenPinned opens a node that identifies its peers by their certificates.
func ListenPinned(addr string, cert tls.Certificate, isKnown func(Fingerprint) bool, respond Responder) (*Node, error) {
	dial, accept := PinnedTLS(cert, isKnown)
	return open(addr, dial, accept, isKnown, respond)
}

func open(addr string, dial, accept *tls.Config, isKnown func(Fingerprint) bool, respond Responder) (*Node, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "resolve listen address")
	}
	socket, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	n := &Node{
		dialTLS:   dial,
		isKnown:   isKnown,
		respond:   respond,
		transport: &quic.Transport{Conn: socket},
		conns:     map[string]*quic.Conn{},
		dialing:   map[string]chan struct{}{},
	}
	n.listener, err = n.transport.Listen(accept, quicConfig())
	if err != nil {
		return nil, errors.CombineErrors(err, socket.Close())
	}
	return n, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
		MaxIncomingStreams:   maxPeerStreams,

		MaxStreamReceiveWindow:     maxStreamWindow,
		MaxConnectionReceiveWindow: maxConnWindow,
	}
}

// RemoveConn removes the connection to an address, for use when another host has taken the address
// over.
func (n *Node) RemoveConn(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, addr)
}

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Close closes the node and all its connections.
func (n *Node) Close() error {
	return errors.CombineErrors(n.listener.Close(), errors.CombineErrors(n.transport.Close(), n.transport.Conn.Close()))
}

// Serve responds to requests until the node is closed or ctx is done.
func (n *Node) Serve(ctx context.Context) {
	for {
		conn, err := n.listener.Accept(ctx)
		if err != nil {
			return
		}
		go n.serveConn(ctx, conn)
	}
}

func (n *Node) serveConn(ctx context.Context, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go n.serveStream(ctx, conn, stream)
	}
}

// isKnownPeer reports whether the remote end of a connection is a known host.
func (n *Node) isKnownPeer(conn *quic.Conn) bool {
	if n.isKnown == nil {
		return true
	}
	certs := conn.ConnectionState().TLS.PeerCertificates
	return len(certs) > 0 && n.isKnown(sha256.Sum256(certs[0].Raw))
}

func (n *Node) serveStream(ctx context.Context, conn *quic.Conn, stream *quic.Stream) {
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(streamTimeout))
	var r Request
	if err := readFrame(stream, &r); err != nil {
		stream.CancelWrite(0)
		return
	}
	r.Known = n.isKnownPeer(conn)
	if r.Proxy != nil && n.HandleStream != nil {
		_ = stream.SetDeadline(time.Time{})
		n.HandleStream(ctx, &Stream{stream}, *r.Proxy, r.Known)
		return
	}
	for _, response := range n.respond(r) {
		response.Version = protocolVersion
		if writeFrame(stream, response) != nil {
			stream.CancelWrite(0)
			return
		}
	}
}

// Send sends a request and returns the responses.
func (n *Node) Send(ctx context.Context, addr string, r Request) ([]Response, error) {
	r.Version = protocolVersion
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	conn, err := n.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		n.dropConn(addr, conn)
		return nil, errors.Wrapf(err, "open stream to %s", addr)
	}
	defer stream.CancelRead(0)
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	if err := writeFrame(stream, r); err != nil {
		n.dropConn(addr, conn)
		return nil, err
	}
	if err := stream.Close(); err != nil {
		return nil, err
	}
	return readAll(stream)
}

func readAll(stream io.Reader) ([]Response, error) {
	var responses []Response
	for len(responses) <= maxSnapshotChunks {
		var r Response
		err := readFrame(stream, &r)
		if errors.Is(err, io.EOF) && len(responses) > 0 {
			return responses, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		responses = append(responses, r)
	}
	return nil, errors.Wrapf(ErrInvalidMessage, "response has more than %d messages", maxSnapshotChunks)
}

// dial returns the open connection to an address, or opens a new one. Concurrent calls share one attempt
// to open it.
func (n *Node) dial(ctx context.Context, addr string) (*quic.Conn, error) {
	for {
		n.mu.Lock()
		if conn := n.conns[addr]; conn != nil && conn.Context().Err() == nil {
			n.mu.Unlock()
			return conn, nil
		}
		other := n.dialing[addr]
		if other == nil {
			ended := make(chan struct{})
			n.dialing[addr] = ended
			n.mu.Unlock()
			conn, err := n.open(ctx, addr)
			n.mu.Lock()
			delete(n.dialing, addr)
			n.mu.Unlock()
			close(ended)
			return conn, err
		}
		n.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "dial peer %s", addr)
		}
	}
}

// open opens a connection to an address.
func (n *Node) open(ctx context.Context, addr string) (*quic.Conn, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "resolve peer address")
	}
	conn, err := n.transport.Dial(ctx, udpAddr, n.dialTLS, quicConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "dial peer %s", addr)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[addr] = conn
	return conn, nil
}

func (n *Node) dropConn(addr string, conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[addr] == conn {
		delete(n.conns, addr)
	}
}
